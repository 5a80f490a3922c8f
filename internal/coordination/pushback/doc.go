// Package pushback holds what endpoints ask for in their answers of the processes that send to
// them, since when, and from whom this process learned it. Everything that sends to an endpoint, or
// chooses one, reads it here.
//
// A limit is one for all processes together. A process that learns of one sends nothing until it has
// a share of it; package limitshare divides the limit.
package pushback
