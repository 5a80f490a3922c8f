// Package gateway forwards callers' HTTP requests unchanged to endpoints. It
// decides who may call, which endpoint runs a request, what may be sent again
// after a failure, and what a caller is told when nothing more can be done.
package gateway
