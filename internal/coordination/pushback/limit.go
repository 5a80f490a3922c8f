package pushback

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// limitTTL is how long a limit holds after an answer last named it. Whoever has a share confirms
	// it with each answer; a limit that nobody confirms must not keep an endpoint unused for good.
	limitTTL = 10 * time.Second
	// resumeJitter spreads the return of the processes to an endpoint whose limit has ended.
	resumeJitter = time.Second
	// unknownRetry is the time after which to ask again if other processes use the whole limit.
	unknownRetry = time.Second
)

// Limit is the request rate that an endpoint accepts from all processes together.
type Limit struct {
	// RequestsPerSecond is 0 if the endpoint names no limit.
	RequestsPerSecond float64
	// Since is when this process first learned of the limit.
	Since time.Time
	// AsOf is when an answer last named the limit or, if there is none, when the request was sent
	// whose answer last named none.
	AsOf time.Time
	// From is the peer that this process learned it from, empty if from an answer of its own.
	From string
}

// Share is the part of a limit that this process may use.
type Share struct {
	RequestsPerSecond float64
	// Until is when the share ends unless it is renewed.
	Until time.Time
}

// observeLimit records whether an answer names a limit; e.mu is held.
//
// An answer without a limit ends a limit only if its request was sent after the limit was last
// named: answers on different connections overtake each other.
func (e *Endpoint) observeLimit(perSecond float64, sent, now time.Time) {
	if perSecond > 0 {
		e.setLimit(Limit{RequestsPerSecond: perSecond, AsOf: now}, now)
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
			e.bucket.spend(e.debt, now)
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

// isLimited reports whether a limit binds this process, and ends one that nobody confirms; e.mu is
// held.
func (e *Endpoint) isLimited(now time.Time) bool {
	if e.limit.RequestsPerSecond > 0 && now.Sub(e.limit.AsOf) > limitTTL {
		e.setLimit(Limit{AsOf: e.limit.AsOf, From: unconfirmed}, now)
	}
	return e.limit.RequestsPerSecond > 0 || now.Before(e.resumeAt)
}

// unconfirmed stands for the peer that a limit's end was learned from if nobody has named the limit
// any more.
const unconfirmed = "nobody"

// allowsByLimit is Allows for the limit; e.mu is held.
func (e *Endpoint) allowsByLimit(now time.Time) (ok bool, retryIn time.Duration) {
	if !e.isLimited(now) {
		return true, 0
	}
	if !now.Before(e.share.Until) || e.share.RequestsPerSecond <= 0 {
		return false, unknownRetry
	}
	return e.bucket.hasToken(now), e.bucket.untilToken(now)
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
		e.bucket.spend(requests, now)
		return
	}
	e.debt, e.debtAt = e.debt+requests, now
}

// SentUnaware returns how many requests this process has sent within Window that the endpoint may
// count against its limit, although the process had not learned of it.
func (e *Endpoint) SentUnaware(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropOldSends(now)
	first, _ := slices.BinarySearchFunc(e.sends, e.unlimitedAt, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(e.sends, e.limit.Since, time.Time.Compare)
	return max(0, last-first)
}
