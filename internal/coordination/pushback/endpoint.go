package pushback

import (
	"sync"
	"time"
)

// Window is the length of the sliding window in which requests to a limited endpoint are counted.
const Window = 4 * time.Second

// maxRecentSends bounds the send times that are kept of one endpoint.
const maxRecentSends = 256

// Limit is the request rate that an endpoint accepts.
type Limit struct {
	// RequestsPerSecond is 0 if the endpoint names no limit.
	RequestsPerSecond float64
	// Since is when this process first heard of the limit, HeardAt when an answer last named it.
	Since, HeardAt time.Time
}

// Endpoint holds what one incarnation of an endpoint asks for. A nil Endpoint asks for nothing.
type Endpoint struct {
	id  string
	log func(e *Endpoint, message string, l Limit)

	mu    sync.Mutex
	limit Limit
	// sends are the times of this process's requests within Window, oldest first.
	sends []time.Time
}

// Observe records the signal of an answer that arrived now to a request that was sent earlier.
//
// An answer without a limit ends a limit only if its request was sent after the limit was last
// named: answers on different connections overtake each other.
func (e *Endpoint) Observe(s Signal, sent, now time.Time) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch old := e.limit; {
	case s.RequestsPerSecond > 0:
		e.limit.RequestsPerSecond, e.limit.HeardAt = s.RequestsPerSecond, now
		if old.RequestsPerSecond == 0 {
			e.limit.Since = now
			e.log(e, "endpoint limits its requests", e.limit)
		}
	case old.RequestsPerSecond > 0 && sent.After(old.HeardAt):
		e.limit = Limit{}
		e.log(e, "endpoint no longer limits its requests", old)
	}
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
}

// dropOldSends forgets the sends that have left the window; e.mu is held.
func (e *Endpoint) dropOldSends(now time.Time) {
	for len(e.sends) > 0 && now.Sub(e.sends[0]) >= Window {
		e.sends = e.sends[1:]
	}
}

// Limit returns the limit in force.
func (e *Endpoint) Limit() Limit {
	if e == nil {
		return Limit{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit
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
