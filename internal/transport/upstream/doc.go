// Package upstream speaks HTTP/1.1 to endpoints. It differs from a general client
// in what it can tell: whether any byte of a request left this process, whether an
// answer is the one that was asked for, and whether a body is whole. It never
// sends a request twice.
package upstream
