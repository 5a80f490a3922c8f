// Package upstream is an HTTP/1.1 client for endpoints. Unlike a general client, it
// reports whether any byte of a request left this process, whether an answer belongs
// to the request, and whether a body is complete. It never sends a request twice.
package upstream
