// Package pushbackgossip exchanges, among processes that send requests to the same endpoints, what
// endpoints ask for in their answers and how limits are divided.
//
// A process sends what it has learned from an answer to all others at once, and a few times more to some
// of them, as messages are lost. The process that uses a limit confirms it regularly, and one that
// has just started asks a few others for all that they know. A process that missed all of it
// learns of a limit from the first answer that it gets, so no guarantee depends on a message.
package pushbackgossip
