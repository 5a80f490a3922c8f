// Package contextcache follows which segments of prompts the context stores and engines hold.
// From that it decides where a prompt's context is imported from and which segments are saved.
//
// An engine does not verify what it imports: a segment that is still being written, or that is
// freed while it is read, would end up in a caller's answer. So a store is used as a source only
// for segments that it has recently reported as complete in its current epoch.
package contextcache
