package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"limpetwall/internal/state/fingerprint"
)

const (
	// minPartCrashes is at how many crashes a part must have been in flight to be blamed. Parts that sound requests
	// share are in flight at most crashes, so it is more than for a request.
	minPartCrashes = 4
	// minPartShare is how many of them must be attributed to the part.
	minPartShare = 3.5
	// minPartRequests is how many different requests must have contained the part at these crashes. The crashes of
	// one request that is repeated are its own, not those of a part.
	minPartRequests = 3
	// minKnownCrashes is how many crashes of a part must have no unknown part in flight for it to be probed.
	minKnownCrashes = 3
	// probeSettleTime is how long runs that were sent before a part was probed may still crash endpoints.
	probeSettleTime = 500 * time.Millisecond
	// minProbedShare is how many crashes must be attributed to a probed part for it to be blamed.
	minProbedShare = 2.5
	// maxChance is the chance below which a part that has run well before is not at all of its crashes by coincidence.
	maxChance = 1e-3
	// minStreak is at how many crashes without an answer that ran well such a part is blamed in any case, while other
	// answers run well.
	minStreak = 8
	// minPartSpan is the least time between the first and the last of these crashes: endpoints that are killed at once
	// have one cause.
	minPartSpan = 300 * time.Millisecond
	// learningTime is how long a process that has started takes to see which parts run well.
	learningTime = 2 * time.Second
	// ranWellDelay is the time after a crash in which answers that begin after it usually show that they run well.
	ranWellDelay = time.Second
	// minTurnTime is how long a part that has run well before must have been at crashes only, while no answer at all
	// runs well.
	minTurnTime = 1500 * time.Millisecond
	// tieDelay is the time before several parts that were always in flight together are all put into quarantine.
	// Requests with only some of them distinguish them until then.
	tieDelay = 3 * time.Second
	// probeInterval is the time in which about probesPerInterval processes may each run one request that contains
	// some of several parts that were always in flight together.
	probeInterval     = time.Second
	probesPerInterval = 3
)

// Part is a part of a prompt that several requests may contain.
type Part struct {
	Key fingerprint.Key
	// ID is the part's name in its requests, for operators.
	ID string
}

// requestHash identifies a request in the record of a part.
func requestHash(key fingerprint.Key) uint32 { return binary.BigEndian.Uint32(key[len(key)-4:]) }

// recordPartCrash records that a request which contains a part was in flight at a crash; t.mu is held.
func (t *Tracker) recordPartCrash(p Part, request fingerprint.Key, crash Crash, about RequestInfo, now time.Time) {
	about.Method, about.Target, about.Part = "", "", cutTarget(p.ID)
	observed := Record{Key: p.Key, Crashes: []Crash{crash}, Requests: []uint32{requestHash(request)}, About: about}
	if r := t.records[p.Key]; r != nil {
		observed.Round = r.Round
	}
	t.merge(observed, now)
}

// RecordRanWell records that an answer to a request with these parts began at a time and ran well: none of its parts
// caused an earlier crash. It returns the parts whose quarantines this lifted.
func (t *Tracker) RecordRanWell(parts []Part, began, now time.Time) (lifted []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes.add(1, 0, now)
	t.soundParts.newest = later(t.soundParts.newest, began)
	for _, p := range parts {
		t.soundParts.add(p.Key, began, now)
		r := t.records[p.Key]
		if r == nil || !began.After(r.RanWellAt) {
			continue
		}
		wasQuarantined := r.Level > 0
		t.merge(Record{Key: p.Key, Round: r.Round, RanWellAt: began}, now)
		if wasQuarantined && r.Level == 0 {
			lifted = append(lifted, p)
		}
	}
	return lifted
}

// partVerdict is how the evidence speaks against a part.
type partVerdict uint8

const (
	// partClear: the part is not blamed.
	partClear partVerdict = iota
	// partProbed: it explains its crashes best, but has run well before; a few requests with it decide.
	partProbed
	// partTied: it explains its crashes best, together with parts that were in flight at just the same ones.
	partTied
	// partBlamed: it alone explains its crashes best.
	partBlamed
)

// judgePart returns whether a part caused the crashes at which it was in flight; t.mu is held.
//
// A crash is attributed to the part that was in flight at the most crashes since an answer with it last ran well. A
// part that sound requests share is in flight at crashes of any cause, but some of its answers run well. One that is
// known to have run well before is tried first: while endpoints crash one after the other, no answer may get that far.
func (t *Tracker) judgePart(r *Record, now time.Time) partVerdict {
	if len(r.Crashes) < minPartCrashes || len(r.Requests) < minPartRequests {
		return partClear
	}
	t.attributeCrashes(now)
	tied := t.tiedParts(r)
	share := r.share
	for _, other := range tied {
		share += other.share
	}
	if share < minPartShare || r.newestCrash().Sub(r.suspectSince) < minPartSpan || t.isOneRequests(r) || t.isBackground(r) {
		return partClear
	}
	if !t.hasRunWell(r.Key, now) {
		if len(tied) > 0 {
			return partTied
		}
		return partBlamed
	}
	settled := t.countEvents(r, now.Add(-ranWellDelay))
	othersRunWell := t.soundParts.newest.After(r.suspectSince)
	switch {
	case othersRunWell && (settled >= minStreak || t.outcomes.chanceOfCrashes(settled, now) < maxChance):
		return partBlamed
	case othersRunWell || now.Sub(r.suspectSince) < minTurnTime || t.isLearning(now):
		return partClear
	case now.Sub(r.newestCrash()) > probeSettleTime:
		// No endpoint has crashed since, so there is nothing to prevent.
		return partClear
	case t.countCrashesOfKnown(r) < minKnownCrashes:
		return partClear
	}
	if r.probedSince.IsZero() {
		r.probedSince = now
	}
	if r.probedShare >= minProbedShare {
		return partBlamed
	}
	return partProbed
}

// countCrashesOfKnown counts the recorded crashes of a part at which all others in flight are known to have run well too:
// one that never did is the likelier cause.
func (t *Tracker) countCrashesOfKnown(r *Record) (n int) {
	for _, crash := range r.Crashes {
		isUnknown := func(key fingerprint.Key) bool {
			return key.IsPart() && key != r.Key && !t.soundParts.has(key)
		}
		if !slices.ContainsFunc(t.crashes[crash.Incarnation].inFlight, isUnknown) {
			n++
		}
	}
	return n
}

// countEvents counts the crashes up to a time at which a part was in flight since an answer with it last ran well, those
// that its record no longer lists among them.
func (t *Tracker) countEvents(r *Record, until time.Time) (n int) {
	for _, event := range t.crashes {
		if event.firstSeen.Before(r.suspectSince) || event.firstSeen.After(until) {
			continue
		}
		if slices.Contains(event.inFlight, r.Key) || slices.Contains(event.dropped, r.Key) {
			n++
		}
	}
	return n
}

// tiedParts returns the parts that were in flight at just the crashes of another and may have caused them as well.
func (t *Tracker) tiedParts(r *Record) (tied []*Record) {
	for _, key := range t.crashes[r.Crashes[0].Incarnation].inFlight {
		other := t.records[key]
		if other != r && key.IsPart() && other.Level == 0 && hasSameCrashes(other, r) && other.share >= r.share/2 {
			tied = append(tied, other)
		}
	}
	return tied
}

func hasSameCrashes(a, b *Record) bool {
	return slices.EqualFunc(a.Crashes, b.Crashes, func(x, y Crash) bool { return x.Incarnation == y.Incarnation })
}

// isVerdictFinal reports whether a part has been blamed for verdictDelay, or together with others for tieDelay.
func (t *Tracker) isVerdictFinal(r *Record, now time.Time) bool {
	delay := verdictDelay
	switch t.judgePart(r, now) {
	case partBlamed:
	case partTied:
		delay = tieDelay
	default:
		r.blamedSince = time.Time{}
		return false
	}
	if r.blamedSince.IsZero() {
		r.blamedSince = now
	}
	return now.Sub(r.blamedSince) >= delay
}

// startLearning records when the process started.
func (t *Tracker) startLearning(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startedAt = now
}

// hasRunWell reports whether answers with a part have run well before. A process that has just started can't know.
func (t *Tracker) hasRunWell(key fingerprint.Key, now time.Time) bool {
	return t.soundParts.has(key) || t.isLearning(now)
}

func (t *Tracker) isLearning(now time.Time) bool { return now.Sub(t.startedAt) < learningTime }

// isOneRequests reports whether a single request was in flight at all crashes of a part but one at most: the request
// is the narrower explanation.
func (t *Tracker) isOneRequests(r *Record) bool {
	at := map[fingerprint.Key]int{}
	for _, crash := range r.Crashes {
		for _, key := range t.crashes[crash.Incarnation].inFlight {
			if !key.IsPart() {
				at[key]++
			}
		}
	}
	for _, n := range at {
		if n >= len(r.Crashes)-1 {
			return true
		}
	}
	return false
}

// isBackground reports whether at least as many crashes shortly before a part's first one, with no suspected part in
// flight, show that endpoints end for another reason.
func (t *Tracker) isBackground(r *Record) bool {
	since := r.suspectSince.Add(-backgroundWindow)
	before := 0
	for _, event := range t.crashes {
		switch {
		case event.firstSeen.Before(since) || !event.firstSeen.Before(r.suspectSince):
		case len(event.dropped) == 0 && !slices.ContainsFunc(event.inFlight, t.isSuspectedPart):
			before++
		}
	}
	return before >= t.countEvents(r, r.changed)
}

// isSuspectedPart reports whether a key is that of a part in quarantine, or of one that was in flight at several
// crashes.
func (t *Tracker) isSuspectedPart(key fingerprint.Key) bool {
	if !key.IsPart() {
		return false
	}
	r := t.records[key]
	return r.Level > 0 || len(r.Crashes) >= minCulpritCrashes
}

// isHeldPart reports whether a key is that of a part that explains the crashes at which it was in flight; t.mu is
// held.
func (t *Tracker) isHeldPart(key fingerprint.Key, now time.Time) bool {
	if !key.IsPart() {
		return false
	}
	r := t.records[key]
	if r.Level > 0 {
		return true
	}
	return t.judgePart(r, now) == partBlamed
}

// checkParts returns the strictest status that one of a request's parts gives it; t.mu is held.
func (t *Tracker) checkParts(parts []Part, now time.Time) Status {
	var strictest Status
	for _, p := range parts {
		r := t.records[p.Key]
		if r == nil || !now.Before(r.expiresAt()) {
			continue
		}
		status := t.checkPart(r, parts, now)
		if status.Standing.strictness() > strictest.Standing.strictness() {
			strictest = status
			strictest.Part = p
		}
	}
	return strictest
}

// checkPart returns the status that one part gives a request.
func (t *Tracker) checkPart(r *Record, parts []Part, now time.Time) Status {
	switch {
	case r.Level > 0 && now.Before(r.Until):
		return Status{Standing: Quarantined, After: r.Until.Sub(now), Crashes: len(r.Crashes)}
	case r.Level > 0 && t.hasOtherSuspect(r, parts):
		return Status{Standing: Pending, After: pendingRetryAfter, Crashes: len(r.Crashes)}
	case r.Level > 0:
		return Status{Standing: OnTrial, After: pendingRetryAfter, Crashes: len(r.Crashes)}
	}
	switch verdict := t.judgePart(r, now); {
	case verdict == partClear:
		return Status{}
	case verdict == partTied && !containsAll(parts, t.tiedParts(r)), verdict == partProbed && !t.hasOtherSuspect(r, parts):
		return Status{Standing: OnProbe, After: pendingRetryAfter, Crashes: len(r.Crashes)}
	}
	return Status{Standing: Pending, After: pendingRetryAfter, Crashes: len(r.Crashes)}
}

func containsAll(parts []Part, records []*Record) bool {
	for _, r := range records {
		if !slices.ContainsFunc(parts, func(p Part) bool { return p.Key == r.Key }) {
			return false
		}
	}
	return true
}

// hasOtherSuspect reports whether a request contains another suspected part, which would decide its trial.
func (t *Tracker) hasOtherSuspect(r *Record, parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool {
		return p.Key != r.Key && t.records[p.Key] != nil && t.isSuspectedPart(p.Key)
	})
}
