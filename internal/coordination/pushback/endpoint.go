package pushback

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Window is the length of the sliding window in which requests to a limited endpoint are counted.
	Window = 4 * time.Second
	// unservedTime is how long a request that no endpoint could get counts.
	unservedTime = Window
	// maxRecentSends bounds the send times that are kept of one endpoint.
	maxRecentSends = 256
)

// Endpoint holds what one incarnation of an endpoint asks for. A nil Endpoint asks for nothing.
type Endpoint struct {
	key      Key
	registry *Registry
	// isAsking is set while the endpoint asks for anything; most endpoints never do.
	isAsking atomic.Bool

	// acquiring is held from the decision on a request to its record.
	acquiring sync.Mutex

	mu sync.Mutex
	// id and domain are empty while the endpoint is known from peers only.
	id, domain string
	limit      Limit
	// resumeAt is when this process returns to an endpoint whose limit has ended.
	resumeAt time.Time
	share    Share
	bucket   bucket
	// debt counts requests to be taken from the next share, debtAt is when they were reported.
	debt   int
	debtAt time.Time
	// unlimitedAt is when the request was sent whose answer last named no limit. What was sent after
	// it and before the process learned of a limit may count against that limit.
	unlimitedAt time.Time
	// leavingSince is when this process first learned that the endpoint leaves, zero before.
	leavingSince time.Time
	rest         rest
	// sends are the times of this process's requests within Window, oldest first.
	sends []time.Time
	// unservedAt is when this process last had a request that no endpoint could get, while the limit
	// kept it from this one.
	unservedAt time.Time
	// pending is set while the limit has changed by an answer and peers have not been notified,
	// pendingLeaving while that is so for the endpoint's leaving.
	pending, pendingLeaving bool
	// listedLeaving is set once the endpoint's entry has said that it leaves, pendingListed until
	// peers have been notified of that.
	listedLeaving, pendingListed bool
	// removedAt is when the endpoint was removed, zero while it is discovered.
	removedAt time.Time
}

// Observe records the signal of an answer that arrived now to a request that was sent earlier.
func (e *Endpoint) Observe(s Signal, sent, now time.Time) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Leaving {
		e.setLeaving("", now)
	}
	e.observeRest(s.RetryAfter, sent, now)
	if s.RetryAfter > 0 && s.RequestsPerSecond == 0 {
		// An answer that turns a request away need not repeat a limit.
		return
	}
	e.observeLimit(s.RequestsPerSecond, sent, now)
}

// Allows reports whether this process may send the endpoint a request now. If not, retryIn is when
// it may, as far as is known.
func (e *Endpoint) Allows(now time.Time) (ok bool, retryIn time.Duration) {
	if e == nil || !e.isAsking.Load() {
		return true, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isLeaving() {
		return false, unknownRetry
	}
	if ok, retryIn = e.allowsByRest(now); !ok {
		return false, retryIn
	}
	ok, retryIn = e.allowsByLimit(now)
	e.updateAsking(now)
	return ok, retryIn
}

// updateAsking records whether the endpoint still asks for anything; e.mu is held.
func (e *Endpoint) updateAsking(now time.Time) {
	if !e.isLimited(now) && !e.isLeaving() && !e.isResting(now) && !e.pending {
		e.registry.setAsking(e, false)
	}
}

// IsAsking reports whether the endpoint asks for anything.
func (e *Endpoint) IsAsking() bool { return e != nil && e.isAsking.Load() }

// Acquire reports whether this process may send the endpoint a request now, and records it if so.
func (e *Endpoint) Acquire(now time.Time) (ok bool, retryIn time.Duration) {
	if e == nil {
		return true, 0
	}
	e.acquiring.Lock()
	defer e.acquiring.Unlock()
	if ok, retryIn = e.Allows(now); ok {
		e.RecordSend(now)
	}
	return ok, retryIn
}

// RecordSend records that this process sends a request.
func (e *Endpoint) RecordSend(now time.Time) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropOldSends(now)
	if len(e.sends) == maxRecentSends {
		e.sends = e.sends[1:]
	}
	e.sends = append(e.sends, now)
	if e.isAsking.Load() {
		e.bucket.spend(1, now)
		e.rest.trialAt = now
	}
}

// dropOldSends drops the sends that have left the window; e.mu is held.
func (e *Endpoint) dropOldSends(now time.Time) {
	for len(e.sends) > 0 && now.Sub(e.sends[0]) >= Window {
		e.sends = e.sends[1:]
	}
}

// EndedAt returns when the endpoint last ended to ask for something, the zero time if it never did.
func (e *Endpoint) EndedAt() time.Time {
	if e == nil {
		return time.Time{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rest.resumeAt.After(e.resumeAt) {
		return e.rest.resumeAt
	}
	return e.resumeAt
}

// RecordUnserved records that no endpoint could get a request of this process, and that this one could not
// for its limit.
func (e *Endpoint) RecordUnserved(now time.Time) {
	if e == nil || !e.isAsking.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limit.RequestsPerSecond == 0 {
		return
	}
	if now.Sub(e.unservedAt) >= unservedTime {
		notify(e.registry.changed)
	}
	e.unservedAt = now
}

// WasUnserved reports whether no endpoint could get a request of this process of late, while the limit
// kept it from this one.
func (e *Endpoint) WasUnserved(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.unservedAt) < unservedTime
}

// RecentSends returns how many requests this process has sent within Window.
func (e *Endpoint) RecentSends(now time.Time) int {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropOldSends(now)
	return len(e.sends)
}
