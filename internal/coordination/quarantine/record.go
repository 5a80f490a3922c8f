package quarantine

import (
	"cmp"
	"slices"
	"time"

	"limpetwall/internal/state/fingerprint"
)

const (
	// initialQuarantine is about what an operator needs to look at the request; a longer one would punish
	// a wrong verdict.
	initialQuarantine = 5 * time.Minute
	// maxQuarantine bounds the wait for a request whose endpoints have been repaired.
	maxQuarantine = time.Hour
	// evidenceLifetime is how long a crash is held against a request that is not in quarantine.
	evidenceLifetime = 10 * time.Minute
	// clearedLifetime is how long a cleared request is remembered: longer than messages about it are underway.
	clearedLifetime = time.Minute
	// maxCrashes bounds the crashes kept of one request; verdicts need fewer.
	maxCrashes = 8
)

// Record is what is known of one request that was underway when endpoints crashed.
//
// Invariant: merge is commutative, associative and idempotent, so that all processes come to the same case
// whatever order they hear it in.
type Record struct {
	Key fingerprint.Key
	// Round is raised when the request is cleared: what is said of an earlier round is void.
	Round uint32
	// Crashes are those of endpoints that it was underway at, by incarnation.
	Crashes []Crash
	// Level counts the quarantines in a row; 0 is none.
	Level uint32
	// Until is the end of the quarantine by this process's clock.
	Until time.Time
	// Lifted tells that a quarantine was lifted in this round.
	Lifted bool
	// About tells operators what the request is, as far as this process has seen it.
	About RequestInfo
	// changed is when this process last learned anything of the case.
	changed time.Time
}

// Crash is that of one incarnation of an endpoint.
type Crash struct {
	Incarnation uint64
	// Seen is when the first process saw it, by this process's clock. When this one heard of it says little: those that
	// start hear at once of all that crashed before.
	Seen time.Time
}

// RequestInfo describes a request to operators.
type RequestInfo struct {
	Service  string `json:"service,omitempty"`
	Customer string `json:"customer,omitempty"`
	Method   string `json:"method,omitempty"`
	// Target is the path with its query, cut to maxTarget bytes.
	Target string `json:"target,omitempty"`
}

// maxTarget bounds what is kept of a request's target, in bytes.
const maxTarget = 200

// quarantineDuration of a quarantine: it doubles with each trial that failed.
func quarantineDuration(level uint32) time.Duration {
	return min(maxQuarantine, initialQuarantine<<min(max(level, 1)-1, 10))
}

// isDurable tells whether the case must reach processes that start later.
func (r *Record) isDurable() bool { return r.Level > 0 || r.Lifted }

// startedAt is when the quarantine did; zero without one.
func (r *Record) startedAt() time.Time {
	switch {
	case r.Level > 0:
		return r.Until.Add(-quarantineDuration(r.Level))
	case r.Lifted:
		return r.changed
	}
	return time.Time{}
}

// expiresAt is when the case is forgotten.
func (r *Record) expiresAt() time.Time {
	switch {
	case r.Level > 0:
		// Who asks again after that is on trial; nobody has asked for long if it is still there.
		return r.Until.Add(maxQuarantine)
	case r.Lifted:
		return r.changed.Add(maxQuarantine)
	case len(r.Crashes) == 0:
		return r.changed.Add(clearedLifetime)
	}
	return r.changed.Add(evidenceLifetime)
}

// startQuarantine begins the case's next startQuarantine. That of a request on trial begins with the trial: nobody else may try
// meanwhile, also if the process that does ends.
func (r *Record) startQuarantine(now time.Time) {
	r.Level++
	r.Until, r.changed = now.Add(quarantineDuration(r.Level)), now
}

// clear voids what is known of the case.
func (r *Record) clear(now time.Time) {
	r.Lifted = r.Level > 0
	r.Round++
	r.Crashes, r.Level, r.Until, r.changed = nil, 0, time.Time{}, now
}

// merge takes in what another process knows; false if it is nothing new.
func (r *Record) merge(other Record, now time.Time) bool {
	if other.Round < r.Round {
		return false
	}
	if other.Round > r.Round {
		about := r.About
		*r = other
		r.Crashes = slices.Clone(other.Crashes)
		r.changed = now
		if r.About == (RequestInfo{}) {
			r.About = about
		}
		return true
	}
	if r.About == (RequestInfo{}) {
		r.About = other.About
	}
	changed := false
	for _, crash := range other.Crashes {
		changed = r.addCrash(crash) || changed
	}
	if other.Lifted && !r.Lifted {
		r.Lifted, changed = true, true
	}
	switch {
	case other.Level > r.Level:
		r.Level, r.Until, changed = other.Level, other.Until, true
	case other.Level == r.Level && other.Until.After(r.Until):
		// No news: processes count the same quarantine from slightly different moments.
		r.Until = other.Until
	}
	if changed {
		r.changed = now
	}
	return changed
}

func (r *Record) hasCrash(incarnation uint64) bool {
	_, found := r.findCrash(incarnation)
	return found
}

// findCrash returns the place of an incarnation's crash among the case's.
func (r *Record) findCrash(incarnation uint64) (i int, found bool) {
	return slices.BinarySearchFunc(r.Crashes, incarnation, func(crash Crash, incarnation uint64) int {
		return cmp.Compare(crash.Incarnation, incarnation)
	})
}

// addCrash adds one to the crashes; false if it is known, or the case has all that it keeps.
func (r *Record) addCrash(crash Crash) bool {
	i, known := r.findCrash(crash.Incarnation)
	if known {
		r.Crashes[i].Seen = earlier(r.Crashes[i].Seen, crash.Seen)
		return false
	}
	crashes := slices.Insert(r.Crashes, i, crash)
	if len(crashes) > maxCrashes {
		// Which ones are kept must not depend on their order of arrival.
		if i == maxCrashes {
			return false
		}
		crashes = crashes[:maxCrashes]
	}
	r.Crashes = crashes
	return true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
