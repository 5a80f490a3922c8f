package quarantine

import (
	"time"

	"limpetwall/internal/state/fingerprint"
)

const (
	// attributionRounds is how often the shares are refined: after a few rounds a part that was only beside the cause
	// has next to nothing left.
	attributionRounds = 4
	// ranWellWeight is the weight of a part that is known to have run well, relative to one that never did.
	ranWellWeight = 0.3
	// sparsity is taken from each share in each round, so that many parts that were at a crash or two each don't explain
	// together what one part explains alone. minWeight is what is left of a part at least.
	sparsity  = 0.75
	minWeight = 0.01
	// attributionWindow limits the crashes that are attributed to the last ones.
	attributionWindow = 30 * time.Second
	// attributionInterval is the least time between two attributions of many crashes.
	attributionInterval = 50 * time.Millisecond
	// manyCrashes is the number of crashes from which attributionInterval applies.
	manyCrashes = 32
)

// suspects are the parts and the repeated requests that may have caused one crash.
type suspects struct {
	seen    time.Time
	records []*Record
}

// attributeCrashes divides each crash among its suspects, in proportion to the crashes that are attributed to each of them
// in all, so that few of them explain as much as possible. t.mu is held.
//
// It is the expectation-maximization algorithm for a mixture in which each crash has one cause, with a prior for few
// causes.
func (t *Tracker) attributeCrashes(now time.Time) {
	if age := now.Sub(t.attributedAt); age < attributionInterval && (!t.attributionStale || len(t.crashes) >= manyCrashes) {
		return
	}
	t.attributionStale, t.attributedAt = false, now
	crashes := t.unexplainedCrashes(now)
	weight := map[*Record]float64{}
	for _, r := range t.records {
		r.share, r.probedShare = 0, 0
	}
	for _, crash := range crashes {
		for _, r := range crash.records {
			r.share++
		}
	}
	for range attributionRounds {
		clear(weight)
		for _, crash := range crashes {
			for _, r := range crash.records {
				weight[r] = max(r.share-sparsity, minWeight) * t.weightOf(r, now)
			}
		}
		for r := range weight {
			r.share, r.probedShare = 0, 0
		}
		for _, crash := range crashes {
			crash.divide(weight)
		}
	}
}

// divide adds to each suspect its share of a crash.
func (s *suspects) divide(weight map[*Record]float64) {
	total := 0.0
	for _, r := range s.records {
		total += weight[r]
	}
	for _, r := range s.records {
		share := weight[r] / total
		r.share += share
		if !r.probedSince.IsZero() && s.seen.After(r.probedSince.Add(probeSettleTime)) {
			r.probedShare += share
		}
	}
}

func (t *Tracker) weightOf(r *Record, now time.Time) float64 {
	if r.Key.IsPart() && t.hasRunWell(r.Key, now) {
		return ranWellWeight
	}
	return 1
}

// unexplainedCrashes returns the latest crashes without those at which a request or a part in quarantine was in flight.
// Of crashes before the start of this process it does not know what else was in flight.
func (t *Tracker) unexplainedCrashes(now time.Time) (out []suspects) {
	for _, event := range t.crashes {
		if event.firstSeen.Before(t.startedAt) || now.Sub(event.firstSeen) > attributionWindow {
			continue
		}
		if s, ok := t.suspectsAt(event, now); ok && len(s.records) > 0 {
			out = append(out, s)
		}
	}
	return out
}

// suspectsAt returns the suspects of a crash. It returns false if something in quarantine explains it. A request is a
// suspect from its second crash on: those that ran beside the cause are rarely at two.
//
// A part that has run well before is none until an answer that begins after the crash could have shown that it still
// does.
func (t *Tracker) suspectsAt(event *endpointCrash, now time.Time) (suspects, bool) {
	isSettled := now.Sub(event.firstSeen) >= ranWellDelay
	s := suspects{seen: event.firstSeen}
	for _, keys := range [][]fingerprint.Key{event.inFlight, event.dropped} {
		for _, key := range keys {
			r := t.records[key]
			switch {
			case r == nil:
			case r.Level > 0:
				return suspects{}, false
			case !key.IsPart() && len(r.Crashes) < minCulpritCrashes:
			case !key.IsPart():
				s.records = append(s.records, r)
			case event.firstSeen.After(r.RanWellAt) && (isSettled || !t.hasRunWell(key, now)):
				s.records = append(s.records, r)
			}
		}
	}
	return s, true
}
