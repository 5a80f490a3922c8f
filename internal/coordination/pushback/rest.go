package pushback

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// restJitter is the part of a rest by which the return of a process is delayed at most, at random,
	// and maxRestJitter bounds that: an endpoint asks many processes for rest at about the same time.
	restJitter    = 0.5
	maxRestJitter = 2 * time.Second
	// trialTimeout is how long a process waits for the answer to its first request after a rest before
	// it sends another.
	trialTimeout = time.Second
)

// rest is the time for which an endpoint accepts no requests of this process.
type rest struct {
	// until is the end that the endpoint named, resumeAt when this process returns.
	until, resumeAt time.Time
	// isOnTrial is set until the endpoint has answered a request after the rest without asking for
	// another. Meanwhile it gets one request at a time; trialAt is when the last was sent.
	isOnTrial bool
	trialAt   time.Time
}

// observeRest records whether an answer asks for rest; e.mu is held. An answer to a request that was sent
// before the end of the rest says nothing of what comes after.
func (e *Endpoint) observeRest(length time.Duration, sent, now time.Time) {
	if length <= 0 {
		if e.rest.isOnTrial && !sent.Before(e.rest.until) {
			e.rest.isOnTrial = false
		}
		return
	}
	if !now.Before(e.rest.until) {
		e.registry.Log.Info("endpoint asks for rest", zap.String("endpoint", e.id), zap.Duration("rest", length))
	}
	e.registry.setAsking(e, true)
	until := now.Add(length)
	if !until.After(e.rest.until) {
		return
	}
	jitter := min(time.Duration(restJitter*float64(length)), maxRestJitter)
	e.rest = rest{until: until, resumeAt: until.Add(rand.N(jitter + 1)), isOnTrial: true}
}

// allowsByRest is Allows for the rest; e.mu is held.
func (e *Endpoint) allowsByRest(now time.Time) (ok bool, retryIn time.Duration) {
	if now.Before(e.rest.resumeAt) {
		return false, e.rest.resumeAt.Sub(now)
	}
	if next := e.rest.trialAt.Add(trialTimeout); e.rest.isOnTrial && now.Before(next) {
		return false, next.Sub(now)
	}
	return true, 0
}

// isResting reports whether the rest, or the trial after it, binds this process; e.mu is held.
func (e *Endpoint) isResting(now time.Time) bool {
	return e.rest.isOnTrial || now.Before(e.rest.resumeAt)
}

// RestLeft returns for how much longer the endpoint accepts no requests of this process.
func (e *Endpoint) RestLeft(now time.Time) time.Duration {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.rest.until.Sub(now))
}
