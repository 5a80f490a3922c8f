// Package origingossip exchanges, between processes that serve the same callers, which software version began each stream.
// A process sends its records to a few others, and asks all others for an origin that it does not know: streams begin
// hundreds of times as often as they are taken up elsewhere, so the records must be cheap and the question may cost more.
// A lost datagram may cost a stream, which is then refused.
package origingossip
