// Package sharedread shares reads of a value that others change. Whoever asks gets what a read returned that began after the
// question: an earlier read, or an answer that waited in a socket while the process was paused, says nothing of what has changed
// since.
package sharedread
