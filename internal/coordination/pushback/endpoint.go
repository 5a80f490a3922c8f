package pushback

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// Window is the length of the sliding window in which requests to a limited endpoint are counted.
	Window = 4 * time.Second
	// limitTTL is how long a limit holds after an answer last named it. Whoever has a share confirms
	// it with each answer; a limit that nobody confirms must not keep an endpoint unused for good.
	limitTTL = 10 * time.Second
	// resumeJitter spreads the return of the processes to an endpoint whose limit has ended.
	resumeJitter = time.Second
	// maxRecentSends bounds the send times that are kept of one endpoint.
	maxRecentSends = 256
)

// Limit is the request rate that an endpoint accepts from all processes together.
type Limit struct {
	// RequestsPerSecond is 0 if the endpoint names no limit.
	RequestsPerSecond float64
	// Since is when this process first heard of the limit.
	Since time.Time
	// AsOf is when an answer last named the limit or, if there is none, when the request was sent
	// whose answer last named none.
	AsOf time.Time
	// From is the peer that this process heard it from, empty if from an answer of its own.
	From string
}

// Share is the part of a limit that this process may use.
type Share struct {
	RequestsPerSecond float64
	// Until is when the share ends unless it is renewed.
	Until time.Time
}

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
	// it and before the process heard of a limit may count against that limit.
	unlimitedAt time.Time
	// leavingSince is when an answer first said that the endpoint leaves, zero before.
	leavingSince time.Time
	// restUntil is until when the endpoint wants no requests of this process.
	restUntil time.Time
	// sends are the times of this process's requests within Window, oldest first.
	sends []time.Time
	// pending is set while the limit has changed by an answer and peers have not been told.
	pending bool
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
	if s.Leaving && e.leavingSince.IsZero() {
		e.leavingSince = now
		e.registry.Log.Info("endpoint says that it leaves", zap.String("endpoint", e.id))
	}
	if until := now.Add(s.RetryAfter); until.After(e.restUntil) && s.RetryAfter > 0 {
		if !e.restUntil.After(now) {
			e.registry.Log.Info("endpoint asks for rest", zap.String("endpoint", e.id), zap.Duration("rest", s.RetryAfter))
		}
		e.restUntil = until
	}
	if s.RequestsPerSecond > 0 {
		e.setLimit(Limit{RequestsPerSecond: s.RequestsPerSecond, AsOf: now}, now)
		return
	}
	if sent.After(e.unlimitedAt) {
		e.unlimitedAt = sent
	}
	if e.limit.RequestsPerSecond > 0 && sent.After(e.limit.AsOf) {
		e.setLimit(Limit{AsOf: sent}, now)
	}
}

// setLimit puts a limit in force, or ends it; e.mu is held.
func (e *Endpoint) setLimit(next Limit, now time.Time) {
	old := e.limit
	next.Since = now
	if old.RequestsPerSecond > 0 && next.RequestsPerSecond > 0 {
		next.Since = old.Since
	}
	e.limit = next
	if next.RequestsPerSecond == old.RequestsPerSecond {
		return
	}
	if e.pending = next.From == ""; e.pending {
		notify(e.registry.news)
	}
	switch {
	case next.RequestsPerSecond == 0:
		e.resumeAt = now.Add(rand.N(resumeJitter))
		e.registry.logLimit("endpoint no longer limits its requests", e.id, old, now)
	case old.RequestsPerSecond == 0:
		e.registry.setAsking(e, true)
		e.share, e.bucket, e.debt = Share{}, bucket{at: now}, 0
		e.registry.logLimit("endpoint limits its requests", e.id, next, now)
	case next.RequestsPerSecond < old.RequestsPerSecond:
		e.setShare(Share{e.share.RequestsPerSecond * next.RequestsPerSecond / old.RequestsPerSecond, e.share.Until}, now)
	}
	notify(e.registry.changed)
}

// setShare changes the share; e.mu is held.
func (e *Endpoint) setShare(s Share, now time.Time) {
	e.share = s
	e.bucket.setRate(s.RequestsPerSecond, now)
	if s.RequestsPerSecond > 0 && e.debt > 0 {
		if now.Sub(e.debtAt) < Window {
			e.bucket.take(e.debt, now)
		}
		e.debt = 0
	}
}

// SetShare sets the part of the limit that this process may use.
func (e *Endpoint) SetShare(s Share, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setShare(s, now)
}

// LeavingFor returns how long ago an answer first said that the endpoint leaves, 0 if none did.
func (e *Endpoint) LeavingFor(now time.Time) time.Duration {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leavingSince.IsZero() {
		return 0
	}
	return now.Sub(e.leavingSince)
}

// RestLeft returns for how much longer the endpoint wants no requests of this process.
func (e *Endpoint) RestLeft(now time.Time) time.Duration {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.restUntil.Sub(now))
}

// Share returns the part of the limit that this process may use now.
func (e *Endpoint) Share(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !now.Before(e.share.Until) {
		return 0
	}
	return e.share.RequestsPerSecond
}

// Debit counts requests against the share, or against the next one, that were sent before their
// process could know of the limit.
func (e *Endpoint) Debit(requests int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.share.RequestsPerSecond > 0 {
		e.bucket.take(requests, now)
		return
	}
	e.debt, e.debtAt = e.debt+requests, now
}

// Allows reports whether this process may send the endpoint a request now. If not, retryIn is when
// it may, as far as is known.
func (e *Endpoint) Allows(now time.Time) (ok bool, retryIn time.Duration) {
	if e == nil || !e.isAsking.Load() {
		return true, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isLimited(now) {
		return true, 0
	}
	if !now.Before(e.share.Until) || e.share.RequestsPerSecond <= 0 {
		return false, unknownRetry
	}
	return e.bucket.hasToken(now), e.bucket.untilToken(now)
}

// unknownRetry is the time after which to ask again if other processes use the whole limit.
const unknownRetry = time.Second

// isLimited reports whether a limit binds this process, and ends one that nobody confirms; e.mu is
// held.
func (e *Endpoint) isLimited(now time.Time) bool {
	if e.limit.RequestsPerSecond > 0 && now.Sub(e.limit.AsOf) > limitTTL {
		e.setLimit(Limit{AsOf: e.limit.AsOf, From: unconfirmed}, now)
	}
	if e.limit.RequestsPerSecond > 0 || now.Before(e.resumeAt) {
		return true
	}
	if !e.pending {
		e.registry.setAsking(e, false)
	}
	return false
}

// unconfirmed stands for the peer that a limit's end was heard from if nobody has named the limit
// any more.
const unconfirmed = "nobody"

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
		e.bucket.take(1, now)
	}
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

// EndedAt returns when the endpoint last ended to ask for something, the zero time if it never did.
func (e *Endpoint) EndedAt() time.Time {
	if e == nil {
		return time.Time{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resumeAt
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

// SentUnaware returns how many requests this process has sent within Window that the endpoint may
// count against its limit, although the process had not heard of it.
func (e *Endpoint) SentUnaware(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropOldSends(now)
	first, _ := slices.BinarySearchFunc(e.sends, e.unlimitedAt, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(e.sends, e.limit.Since, time.Time.Compare)
	return max(0, last-first)
}
