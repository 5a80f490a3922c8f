package pushback

import "time"

// MaxRate is the highest request rate that counts as a limit, in requests per second.
const MaxRate = 1e9

// Signal is what one answer of an endpoint asks for.
type Signal struct {
	// RequestsPerSecond is the rate that the endpoint accepts from all processes together, for as
	// long as its answers say so; 0 if the answer names no limit.
	RequestsPerSecond float64
	// Leaving is set if the endpoint shuts down.
	Leaving bool
	// RetryAfter is how long the endpoint accepts no requests of this process, 0 if the answer does not
	// say so.
	RetryAfter time.Duration
}
