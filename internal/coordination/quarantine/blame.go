package quarantine

import (
	"slices"
	"time"

	"limpetwall/internal/state/fingerprint"
)

const (
	// minBlamedCrashes is at how many crashes a request must have been in flight, with no likelier cause at any of
	// them, to be blamed. Fewer coincide by chance while endpoints are killed one after the other.
	minBlamedCrashes = 3
	// minDistinctCrashes is at how many of them it must have been in flight at more crashes than any other request
	// there: two requests that were always in flight together can't be told apart yet.
	minDistinctCrashes = 2
	// sufficientCrashes is enough to blame even requests that can't be told apart, or that ran among many crashes
	// of another cause.
	sufficientCrashes = 5
	// backgroundWindow is how long before a request's first crash other crashes still indicate another cause.
	// Older ones may have been the request's own, with the evidence lost together with the processes that had it.
	backgroundWindow = 5 * time.Second
	// verdictDelay is the time without new evidence after which a verdict is final: by then, what other processes
	// know of the same crash has arrived. The request is refused meanwhile.
	verdictDelay = 750 * time.Millisecond
	// pendingRetryAfter is when a caller may retry a request that was refused while its verdict was not final or
	// its trial not decided.
	pendingRetryAfter = time.Second
)

// Standing is how a request is treated, given the evidence.
type Standing uint8

// The standings of a request.
const (
	// Clear: it may run.
	Clear Standing = iota
	// Pending: it is refused, and will be quarantined unless the crashes turn out to have another cause.
	Pending
	// Quarantined: it may not run.
	Quarantined
	// OnTrial: its quarantine is over; a single attempt decides whether it may run.
	OnTrial
)

// Status says whether a request may run.
type Status struct {
	Standing Standing
	// After is how long its caller should wait before it retries.
	After time.Duration
	// Crashes counts the crashes at which it was in flight.
	Crashes int
}

// Check returns the status of a request.
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

// IsSuspect reports whether a request was in flight at a crash or is quarantined: it should not run twice at the
// same time.
func (t *Tracker) IsSuspect(key fingerprint.Key) bool {
	if t.IsEmpty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	return r != nil && (len(r.Crashes) > 0 || r.Level > 0)
}

// isBlamed reports whether a request caused the crashes at which it was in flight.
//
// A crash is attributed to the request that was in flight at the most crashes: one that only ran beside the
// culprit was at some of the same crashes, and at hardly any others. The culprit must also have been in flight at
// most of the crashes since shortly before its own first one: while endpoints are killed, a request that is
// retried may be in flight at several crashes, but endpoints without it are killed as well.
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

// likelihood compares a request with the others in flight at a crash, as its cause.
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

// countCrashesWithout counts the crashes since a time at which neither the request nor another possible culprit
// was in flight: several culprits that come at once would otherwise be evidence in favor of each other.
func (t *Tracker) countCrashesWithout(r *Record, since time.Time) int {
	n := 0
	for incarnation, event := range t.crashes {
		if !r.hasCrash(incarnation) && !event.firstSeen.Before(since) && !slices.ContainsFunc(event.inFlight, t.isCulprit) {
			n++
		}
	}
	return n
}

// isCulprit reports whether a request is quarantined, or was in flight at as many crashes as it takes to be
// blamed.
func (t *Tracker) isCulprit(key fingerprint.Key) bool {
	r := t.records[key]
	return r.Level > 0 || len(r.Crashes) >= minBlamedCrashes
}
