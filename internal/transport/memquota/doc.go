// Package memquota bounds the memory that a process holds for the requests of its callers. When it is exceeded, the largest
// incomplete request is revoked; if that is the one that asks for more, it is refused.
package memquota
