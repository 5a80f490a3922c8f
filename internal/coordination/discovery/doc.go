// Package discovery holds one process's view of the platform: the routing table in
// force, the instances of all endpoints, and the weights that operators asked for. It
// lists and watches the platform's store, and continues with its last known state while
// the store is unreachable.
package discovery
