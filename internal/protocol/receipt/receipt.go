// Package receipt names what a caller has of a request that has ended. Request lines tell it
// beside what was decided: a refusal that comes after an answer was begun reaches nobody.
package receipt

// Receipt is what a caller has.
type Receipt string

// The receipts.
const (
	// Answer: an endpoint's whole answer.
	Answer Receipt = "answer"
	// Refusal: an error answer of this process's own.
	Refusal Receipt = "refusal"
	// Part: an answer's beginning. This process broke it off, by an error event or by breaking the
	// connection, or the caller left.
	Part Receipt = "part"
	// Nothing: the caller left before anything was written to it.
	Nothing Receipt = "nothing"
)
