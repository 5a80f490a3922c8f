package routing

import "time"

const (
	// maxFixedSampleTokens is the number of tokens up to which the time to the first token is a sample
	// of its fixed part: computing them takes an engine a few milliseconds.
	maxFixedSampleTokens = 1000
	// maxFixedTime bounds a sample of the fixed part: what took longer waited for something else.
	maxFixedTime = 500 * time.Millisecond
	// fixedSampleWeight is the weight of one sample: about the last fifty determine the mean.
	fixedSampleWeight = 0.02
)

// observeFixed updates the fixed time before a first token with the time that one took whose engine
// computed few tokens.
func (r *modelRate) observeFixed(tokens int, took time.Duration) {
	if tokens > maxFixedSampleTokens || took <= 0 {
		return
	}
	if r.mean > 0 {
		took -= seconds(float64(tokens) / r.mean)
	}
	took = min(max(took, 0), maxFixedTime)
	r.fixed += time.Duration(fixedSampleWeight * float64(took-r.fixed))
}

// fixedTime returns the part of the time to the first token that does not depend on the prompt: the
// way there and back, the connection, and the step that makes the token.
func (e *Endpoint) fixedTime() time.Duration {
	if !e.CountsOnly || e.ModelRate == nil || e.CallTime != nil {
		return 0
	}
	return e.ModelRate.fixed
}
