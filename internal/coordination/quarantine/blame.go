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
	// otherKindInterval is the time between two requests of a process for a resource of which another kind of
	// request is blamed, until one has run to its end.
	otherKindInterval = time.Second
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
	// OnProbe: it contains some of several parts that were always in flight together; a few such requests decide
	// which of them crash endpoints.
	OnProbe
)

// strictness orders the standings by how little they let run.
func (s Standing) strictness() int {
	return [...]int{Clear: 0, Pending: 3, Quarantined: 4, OnTrial: 2, OnProbe: 1}[s]
}

// Status says whether a request may run.
type Status struct {
	Standing Standing
	// After is how long its caller should wait before it retries.
	After time.Duration
	// Crashes counts the crashes at which it was in flight.
	Crashes int
	// Part is the part of its prompt that decided; zero if the request itself did.
	Part Part
}

// Check returns the status of a request that contains these parts.
func (t *Tracker) Check(key fingerprint.Key, now time.Time, parts ...Part) Status {
	if t.IsEmpty() {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if own := t.checkRequest(key, now); own.Standing != Clear {
		return own
	}
	return t.checkParts(parts, now)
}

// checkRequest returns the status of a request by its own crashes and those of its resource; t.mu is held.
func (t *Tracker) checkRequest(key fingerprint.Key, now time.Time) Status {
	r := t.records[key]
	switch {
	case r == nil || !now.Before(r.expiresAt()):
		return t.checkSubject(key.Subject())
	case r.Level > 0 && now.Before(r.Until):
		return Status{Standing: Quarantined, After: r.Until.Sub(now), Crashes: len(r.Crashes)}
	case r.Level > 0:
		return Status{Standing: OnTrial, After: pendingRetryAfter, Crashes: len(r.Crashes)}
	case len(r.Crashes) == 0:
		return t.checkSubject(key.Subject())
	case t.isBlamed(r, t.related(r)):
		return Status{Standing: Pending, After: pendingRetryAfter, Crashes: len(r.Crashes)}
	}
	return Status{}
}

// checkSubject returns the status of a request that was at no crash itself, by those for the same resource that
// were; t.mu is held. It is refused only once as many crashes are theirs as are enough on their own: until then it
// may be the first of them that runs to its end, which clears it.
func (t *Tracker) checkSubject(key fingerprint.Subject) Status {
	s := t.bySubject[key]
	if s == nil || s.survived {
		return Status{}
	}
	var related []*Record
	for _, r := range s.records {
		if len(r.Crashes) > 0 {
			related = append(related, r)
		}
	}
	if len(related) < 2 || len(related) > maxRelated {
		return Status{}
	}
	if n := len(crashesOf(related)); n >= sufficientCrashes && t.isBlamed(related[0], related) {
		return Status{Standing: Pending, After: pendingRetryAfter, Crashes: n}
	}
	return Status{}
}

// AdmitOtherKind reports whether a request that is not blamed may run now. While another kind of request for the
// same resource is blamed, one runs in each otherKindInterval until one has run to its end: it may crash its
// endpoint as well, or clear the resource.
func (t *Tracker) AdmitOtherKind(key fingerprint.Key, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.bySubject[key.Subject()]
	if s == nil || s.survived || len(s.records) > maxRelated || !slices.ContainsFunc(s.records, t.isHeld) {
		return true
	}
	if now.Sub(s.otherKindAt) < otherKindInterval {
		return false
	}
	s.otherKindAt = now
	return true
}

// isHeld reports whether a request is blamed for its own crashes or in quarantine; t.mu is held.
func (t *Tracker) isHeld(r *Record) bool {
	return r.Level > 0 || (len(r.Crashes) > 0 && t.isBlamed(r, []*Record{r}))
}

// IsSuspect reports whether a request was in flight at a crash or is quarantined: it should not run twice at the
// same time. A part counts from its second crash on, as parts of sound requests are at single ones.
func (t *Tracker) IsSuspect(key fingerprint.Key, parts ...Part) bool {
	if t.IsEmpty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil && (len(r.Crashes) > 0 || r.Level > 0) {
		return true
	}
	return slices.ContainsFunc(parts, func(p Part) bool {
		r := t.records[p.Key]
		return r != nil && (len(r.Crashes) >= minCulpritCrashes || r.Level > 0)
	})
}

// isBlamed reports whether a request caused the crashes at which it was in flight.
//
// A crash is attributed to the request that was in flight at the most crashes: one that only ran beside the
// culprit was at some of the same crashes, and at hardly any others. The culprit must also have been in flight at
// most of the crashes since shortly before its own first one: while endpoints are killed, a request that is
// retried may be in flight at several crashes, but endpoints without it are killed as well.
//
// The crashes at which the related requests were in flight count as well, r among them.
func (t *Tracker) isBlamed(r *Record, related []*Record) bool {
	if len(r.Crashes) == 0 {
		return false
	}
	crashes := crashesOf(related)
	if len(crashes) < minBlamedCrashes {
		return false
	}
	blamed, distinct := 0, 0
	var first time.Time
	for incarnation := range crashes {
		event := t.crashes[incarnation]
		if first.IsZero() || event.firstSeen.Before(first) {
			first = event.firstSeen
		}
		switch t.likelihoodAt(event, related, len(crashes)) {
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
	return blamed >= minBlamedCrashes && distinct >= minDistinctCrashes && blamed > t.countCrashesWithout(crashes, first.Add(-backgroundWindow))
}

// maxRelated is the largest number of requests with the same subject that are taken to be about one resource. In an
// interface whose paths end alike for all resources, more of a customer's requests are soon in flight at crashes.
const maxRelated = 4

// related returns the records of requests for the same resource that were in flight at crashes, r among them. What
// crashes an endpoint is often the resource, and each way to ask for it would otherwise crash three more. A resource
// for which a request ran to its end is not the cause, or the paths do not name resources.
//
// Such evidence only holds requests back. A quarantine reaches all processes, also those that have seen a request for
// the resource run to its end, so it needs the request's own crashes.
func (t *Tracker) related(r *Record) []*Record {
	subject := t.bySubject[r.Key.Subject()]
	if len(subject.records) < 2 || subject.survived {
		return []*Record{r}
	}
	var out []*Record
	for _, other := range subject.records {
		if other == r || len(other.Crashes) > 0 {
			out = append(out, other)
		}
	}
	if len(out) > maxRelated {
		return []*Record{r}
	}
	return out
}

// countCrashes returns the number of crashes at which a request, or another for the same resource, was in flight.
func (t *Tracker) countCrashes(r *Record) int {
	if len(t.bySubject[r.Key.Subject()].records) < 2 {
		return len(r.Crashes)
	}
	return len(crashesOf(t.related(r)))
}

// crashesOf returns the incarnations of the endpoints that crashed while one of the requests was in flight.
func crashesOf(records []*Record) map[uint64]struct{} {
	out := map[uint64]struct{}{}
	for _, r := range records {
		for _, crash := range r.Crashes {
			out[crash.Incarnation] = struct{}{}
		}
	}
	return out
}

// likelihood compares a request with the others in flight at a crash, as its cause.
type likelihood uint8

const (
	mostLikely likelihood = iota
	equallyLikely
	lessLikely
)

// likelihoodAt compares requests for one resource, which were in flight at a number of crashes, with the others in
// flight at a crash.
func (t *Tracker) likelihoodAt(event *endpointCrash, related []*Record, crashes int) likelihood {
	result := mostLikely
	for _, key := range event.inFlight {
		other := t.records[key]
		if key.IsPart() {
			if other.Level > 0 {
				return lessLikely
			}
			continue
		}
		if slices.Contains(related, other) {
			continue
		}
		switch n := t.countCrashes(other); {
		case other.Level > 0 || n > crashes:
			return lessLikely
		case n == crashes:
			result = equallyLikely
		}
	}
	return result
}

// countCrashesWithout counts the crashes since a time that are not among those given and at which no other possible
// culprit was in flight: several culprits that come at once would otherwise be evidence in favor of each other.
func (t *Tracker) countCrashesWithout(crashes map[uint64]struct{}, since time.Time) int {
	n := 0
	for incarnation, event := range t.crashes {
		if _, own := crashes[incarnation]; !own && !event.firstSeen.Before(since) && !slices.ContainsFunc(event.inFlight, t.isCulprit) {
			n++
		}
	}
	return n
}

// minCulpritCrashes is at how many crashes a request must have been in flight for these to say nothing about others:
// of several culprits that come at once, all reach it before the first can be blamed.
const minCulpritCrashes = 2

// isCulprit reports whether a request is quarantined, or was in flight at enough crashes to be their likely cause.
func (t *Tracker) isCulprit(key fingerprint.Key) bool {
	r := t.records[key]
	if key.IsPart() {
		return r.Level > 0
	}
	return r.Level > 0 || t.countCrashes(r) >= minCulpritCrashes
}
