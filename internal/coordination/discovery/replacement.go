package discovery

import "time"

// Processes learn at different times that weights were replaced, and some learn nothing for long. Two
// bounds that need no agreement let one process discard what others may still use:
//
// Invariant: for any two processes, CurrentAsOf of the one is not later than the moment at which the
// version was replaced, and confirmedAt of the other is not earlier. What is used only until some time
// after CurrentAsOf is not in use later than that time after confirmedAt.

// eraSettleTime is how long after a process learned that the store came back from an older copy it relies
// on what the copy says of weights. A process that knows of a version which the copy lacks has noticed the
// return by then.
const eraSettleTime = 5 * time.Second

// weightsAnswer describes the store's last answer about target weights.
type weightsAnswer struct {
	// asOf is when the answered call began.
	asOf time.Time
	// era is the store's era in the answer, eraSince when this process first had an answer of it.
	era      uint64
	eraSince time.Time
}

// ConfirmWeights records that the store has answered, in one of its eras, a call for target weights that
// began at asOf, and that all versions in the answer were passed to SetTarget.
func (s *State) ConfirmWeights(asOf time.Time, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era > s.weightsAnswer.era {
		s.weightsAnswer.era, s.weightsAnswer.eraSince = era, s.Now()
	}
	isFirst := s.weightsAnswer.asOf.IsZero()
	s.weightsAnswer.asOf = asOf
	if isFirst {
		s.notifyNamingsChanged()
	}
}

// CurrentAsOf returns the last time at which no version of a model newer than the given one had been
// named, as far as this process knows for certain; it is zero if there is none.
func (s *State) CurrentAsOf(model string, version int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weightsAnswer.era > 0 && s.Now().Sub(s.weightsAnswer.eraSince) < eraSettleTime {
		return time.Time{}
	}
	known := s.targets[model].namings
	if len(known) == maxNamings && version < known[0].version {
		return time.Time{}
	}
	if next, ok := known.after(version); ok {
		return next.absentAt
	}
	return s.weightsAnswer.asOf
}

// Replaced returns, for each model, the highest version that was named at least the given time ago: all
// lower ones have been replaced for that long. It holds until validUntil, unless the store comes back from
// an older copy and this process does not notice. It is empty while the store does not answer.
func (s *State) Replaced(atLeast time.Duration) (below map[string]int64, validUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	validUntil = s.weightsAnswer.asOf.Add(eraSettleTime)
	below = map[string]int64{}
	if s.weightsAnswer.asOf.IsZero() || !now.Before(validUntil) {
		return below, validUntil
	}
	for model, target := range s.targets {
		for _, v := range target.namings {
			if v.confirmedEra == s.weightsAnswer.era && now.Sub(v.confirmedAt) >= atLeast {
				below[model] = max(below[model], v.version)
			}
		}
	}
	return below, validUntil
}
