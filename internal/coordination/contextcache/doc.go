// Package contextcache decides where a prompt's context is imported from and which parts
// are saved, from what the stores tell of themselves. An engine checks nothing of
// what it imports: a part that is still being written, or that was freed while it
// was read, would enter somebody's answer. So only parts that a store has reported
// whole, in its present life, moments ago, are named as a source.
package contextcache
