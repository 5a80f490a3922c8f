package quarantine

import (
	"slices"
	"time"

	"limpetwall/internal/state/fingerprint"
)

const (
	// crashesToBlame a request must have been at, with no likelier culprit at any of them: fewer coincide by
	// chance while endpoints are killed one after the other.
	crashesToBlame = 3
	// ownCrashes of them must have no other request that was at as many: two that were always together can't
	// be told apart yet.
	ownCrashes = 2
	// crashesEnough is enough also for requests that can't be told apart, or among many crashes of another cause.
	crashesEnough = 5
	// background is how long before a request's first crash others still speak for another cause. Those longer ago may
	// have been its own, of which evidence was lost with the processes that had it.
	background = 5 * time.Second
	// settleTime after the last crash a verdict stands: by then what other processes know of the same crash has
	// come. The request is refused meanwhile.
	settleTime = 750 * time.Millisecond
	// heldPause is when a caller comes back that was refused before the verdict stands.
	heldPause = time.Second
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
func (b *Tracker) Check(key fingerprint.Key, now time.Time) Status {
	if b.IsEmpty() {
		return Status{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cases[key]
	switch {
	case c == nil || !now.Before(c.expires()):
		return Status{}
	case c.Level > 0 && now.Before(c.Until):
		return Status{Standing: Quarantined, After: c.Until.Sub(now), Crashes: len(c.Crashes)}
	case c.Level > 0:
		return Status{Standing: OnTrial, After: heldPause, Crashes: len(c.Crashes)}
	case b.isBlamed(c):
		return Status{Standing: Pending, After: heldPause, Crashes: len(c.Crashes)}
	}
	return Status{}
}

// IsSuspect tells whether a request was at a crash: it should not be run twice at once.
func (b *Tracker) IsSuspect(key fingerprint.Key) bool {
	if b.IsEmpty() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cases[key]
	return c != nil && (len(c.Crashes) > 0 || c.Level > 0)
}

// isBlamed tells whether the crashes that a request was at are its doing.
//
// A crash is that of the request that was at most crashes: one that only ran beside a culprit is at some of the
// culprit's, and hardly at all. And a culprit is at most of the crashes since shortly before it came: while endpoints are
// killed, a request that is tried again may be at several, but endpoints without it are killed as well.
func (b *Tracker) isBlamed(c *Record) bool {
	if len(c.Crashes) < crashesToBlame {
		return false
	}
	blamed, own := 0, 0
	var first time.Time
	for _, one := range c.Crashes {
		at := b.crashes[one.Incarnation]
		if first.IsZero() || at.seen.Before(first) {
			first = at.seen
		}
		switch b.likeliest(at, c) {
		case likelierOther:
		case alike:
			blamed++
		case likeliestSelf:
			blamed++
			own++
		}
	}
	if blamed >= crashesEnough {
		return true
	}
	return blamed >= crashesToBlame && own >= ownCrashes && blamed > b.crashesWithout(c, first.Add(-background))
}

// likelihood compares a request with the others that were at a crash.
type likelihood uint8

const (
	likeliestSelf likelihood = iota
	alike
	likelierOther
)

func (b *Tracker) likeliest(at *crash, c *Record) likelihood {
	found := likeliestSelf
	for _, key := range at.present {
		other := b.cases[key]
		switch {
		case other == c:
		case other.Level > 0 || len(other.Crashes) > len(c.Crashes):
			return likelierOther
		case len(other.Crashes) == len(c.Crashes):
			found = alike
		}
	}
	return found
}

// crashesWithout counts the crashes since a time at which neither the request nor another culprit was present: several
// that come at once would else speak for each other.
func (b *Tracker) crashesWithout(c *Record, since time.Time) int {
	n := 0
	for incarnation, at := range b.crashes {
		if !c.wasAt(incarnation) && !at.seen.Before(since) && !slices.ContainsFunc(at.present, b.isCulprit) {
			n++
		}
	}
	return n
}

// isCulprit tells whether a request is in quarantine, or at as many crashes as one that may be.
func (b *Tracker) isCulprit(key fingerprint.Key) bool {
	c := b.cases[key]
	return c.Level > 0 || len(c.Crashes) >= crashesToBlame
}
