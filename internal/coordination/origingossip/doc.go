// Package origingossip exchanges, between processes that serve the same callers, which software version began each stream.
// A process sends the record of each of its streams to two keepers that follow from the stream's key, so whoever takes up the
// stream knows whom to ask; small fleets send all records to all. A lost datagram may cost a stream, which is then refused.
package origingossip
