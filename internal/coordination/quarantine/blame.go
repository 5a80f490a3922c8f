package quarantine

import (
	"slices"
	"time"

	"limpetwall/internal/state/fingerprint"
)

const (
	// minBlamedCrashes a request must have been at, with no likelier culprit at any of them: fewer coincide by
	// chance while endpoints are killed one after the other.
	minBlamedCrashes = 3
	// minDistinctCrashes of them must have no other request that was at as many: two that were always together can't
	// be told apart yet.
	minDistinctCrashes = 2
	// sufficientCrashes is enough also for requests that can't be told apart, or among many crashes of another cause.
	sufficientCrashes = 5
	// backgroundWindow is how long before a request's first crash others still speak for another cause. Those longer ago may
	// have been its own, of which evidence was lost with the processes that had it.
	backgroundWindow = 5 * time.Second
	// verdictDelay after the last crash a verdict stands: by then what other processes know of the same crash has
	// come. The request is refused meanwhile.
	verdictDelay = 750 * time.Millisecond
	// pendingRetryAfter is when a caller comes back that was refused before the verdict stands.
	pendingRetryAfter = time.Second
)

// Standing is how a request stands with the book.
type Standing uint8

// The standings of a request.
const (
	// Clear: it may run.
	Clear Standing = iota
	// Pending: it will be in quarantine unless the crashes turn out to be another's.
	Pending
	// Quarantined: it may not run.
	Quarantined
	// OnTrial: its quarantine is over; one run will tell.
	OnTrial
)

// Status tells whether a request may run.
type Status struct {
	Standing Standing
	// After is when its caller may come back.
	After time.Duration
	// Crashes that it is blamed for.
	Crashes int
}

// Check tells whether a request may run.
func (t *Tracker) Check(key fingerprint.Key, now time.Time) Status {
	if t.IsEmpty() {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	switch {
	case r == nil || !now.Before(r.expiresAt()):
		return Status{}
	case r.Level > 0 && now.Before(r.Until):
		return Status{Standing: Quarantined, After: r.Until.Sub(now), Crashes: len(r.Crashes)}
	case r.Level > 0:
		return Status{Standing: OnTrial, After: pendingRetryAfter, Crashes: len(r.Crashes)}
	case t.isBlamed(r):
		return Status{Standing: Pending, After: pendingRetryAfter, Crashes: len(r.Crashes)}
	}
	return Status{}
}

// IsSuspect tells whether a request was at a crash: it should not be run twice at once.
func (t *Tracker) IsSuspect(key fingerprint.Key) bool {
	if t.IsEmpty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	return r != nil && (len(r.Crashes) > 0 || r.Level > 0)
}

// isBlamed tells whether the crashes that a request was at are its doing.
//
// A crash is that of the request that was at most crashes: one that only ran beside a culprit is at some of the
// culprit's, and hardly at all. And a culprit is at most of the crashes since shortly before it came: while endpoints are
// killed, a request that is tried again may be at several, but endpoints without it are killed as well.
func (t *Tracker) isBlamed(r *Record) bool {
	if len(r.Crashes) < minBlamedCrashes {
		return false
	}
	blamed, distinct := 0, 0
	var first time.Time
	for _, crash := range r.Crashes {
		event := t.crashes[crash.Incarnation]
		if first.IsZero() || event.firstSeen.Before(first) {
			first = event.firstSeen
		}
		switch t.likelihoodAt(event, r) {
		case lessLikely:
		case equallyLikely:
			blamed++
		case mostLikely:
			blamed++
			distinct++
		}
	}
	if blamed >= sufficientCrashes {
		return true
	}
	return blamed >= minBlamedCrashes && distinct >= minDistinctCrashes && blamed > t.countCrashesWithout(r, first.Add(-backgroundWindow))
}

// likelihood compares a request with the others that were at a crash.
type likelihood uint8

const (
	mostLikely likelihood = iota
	equallyLikely
	lessLikely
)

func (t *Tracker) likelihoodAt(event *endpointCrash, r *Record) likelihood {
	result := mostLikely
	for _, key := range event.inFlight {
		other := t.records[key]
		switch {
		case other == r:
		case other.Level > 0 || len(other.Crashes) > len(r.Crashes):
			return lessLikely
		case len(other.Crashes) == len(r.Crashes):
			result = equallyLikely
		}
	}
	return result
}

// countCrashesWithout counts the crashes since a time at which neither the request nor another culprit was present: several
// that come at once would else speak for each other.
func (t *Tracker) countCrashesWithout(r *Record, since time.Time) int {
	n := 0
	for incarnation, event := range t.crashes {
		if !r.hasCrash(incarnation) && !event.firstSeen.Before(since) && !slices.ContainsFunc(event.inFlight, t.isCulprit) {
			n++
		}
	}
	return n
}

// isCulprit tells whether a request is in quarantine, or at as many crashes as one that may be.
func (t *Tracker) isCulprit(key fingerprint.Key) bool {
	r := t.records[key]
	return r.Level > 0 || len(r.Crashes) >= minBlamedCrashes
}
