// Package originstore keeps in the platform's store which software version began each stream that a caller may still take up.
// Gateways tell each other; this is for the loss of all of them at once.
//
// Each process writes the origins of its open streams to an object of its own, in batches, while a service has several
// software versions. Nobody waits for a write. A process that starts reads its predecessor's object, and answers for it when
// others ask. A stream whose origin was not written in time stays unknown, and is refused.
package originstore
