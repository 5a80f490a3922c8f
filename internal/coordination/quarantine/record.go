package quarantine

import (
	"cmp"
	"slices"
	"time"

	"limpetwall/internal/state/fingerprint"
)

const (
	// initialQuarantine is about what an operator needs to look at the request. A longer one would do more harm if
	// the verdict is wrong.
	initialQuarantine = 5 * time.Minute
	// maxQuarantine bounds the wait for a request whose endpoints have been repaired.
	maxQuarantine = time.Hour
	// evidenceLifetime is how long a crash counts against a request that is not quarantined.
	evidenceLifetime = 10 * time.Minute
	// clearedLifetime is how long a cleared request is remembered: longer than messages about it are in flight.
	clearedLifetime = time.Minute
	// maxCrashes bounds the crashes recorded for one request; verdicts need fewer.
	maxCrashes = 8
)

// Record is what is known of one request that was in flight when endpoints crashed.
//
// Invariant: merge is commutative, associative and idempotent, so that all processes end up with the same record
// in whatever order they receive updates.
type Record struct {
	Key fingerprint.Key
	// Round is incremented when the request is cleared, which voids the evidence of earlier rounds.
	Round uint32
	// Crashes are the crashes of endpoints at which the request was in flight, ordered by incarnation.
	Crashes []Crash
	// Level counts consecutive quarantines; 0 means not quarantined.
	Level uint32
	// Until is the end of the quarantine by this process's clock.
	Until time.Time
	// Lifted is true if this round began with the lifting of a quarantine.
	Lifted bool
	// About describes the request to operators; it is empty where this process has no description.
	About RequestInfo
	// changed is when this process last learned anything new about the request.
	changed time.Time
}

// Crash is the crash of one incarnation of an endpoint.
type Crash struct {
	Incarnation uint64
	// Seen is when the first process observed the crash, by this process's clock. When this process learned of it
	// says little: one that starts learns at once of all earlier crashes.
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

// maxTarget bounds the recorded length of a request's target, in bytes.
const maxTarget = 200

// quarantineDuration returns the length of a quarantine: it doubles with each failed trial, up to maxQuarantine.
func quarantineDuration(level uint32) time.Duration {
	return min(maxQuarantine, initialQuarantine<<min(max(level, 1)-1, 10))
}

// isDurable reports whether the record must reach processes that start later.
func (r *Record) isDurable() bool { return r.Level > 0 || r.Lifted }

// startedAt returns when the quarantine began or was lifted; zero if there was none.
func (r *Record) startedAt() time.Time {
	switch {
	case r.Level > 0:
		return r.Until.Add(-quarantineDuration(r.Level))
	case r.Lifted:
		return r.changed
	}
	return time.Time{}
}

// expiresAt returns when the record is removed.
func (r *Record) expiresAt() time.Time {
	switch {
	case r.Level > 0:
		// A request that comes after Until is put on trial, which begins the next quarantine. If the record gets
		// this old, the request has not come for long.
		return r.Until.Add(maxQuarantine)
	case r.Lifted:
		return r.changed.Add(maxQuarantine)
	case len(r.Crashes) == 0:
		return r.changed.Add(clearedLifetime)
	}
	return r.changed.Add(evidenceLifetime)
}

// startQuarantine begins the next quarantine. For a request on trial it begins together with the trial: no other
// process may try the request meanwhile, even if the process that runs the trial ends.
func (r *Record) startQuarantine(now time.Time) {
	r.Level++
	r.Until, r.changed = now.Add(quarantineDuration(r.Level)), now
}

// clear voids what is known of the request and begins a new round.
func (r *Record) clear(now time.Time) {
	r.Lifted = r.Level > 0
	r.Round++
	r.Crashes, r.Level, r.Until, r.changed = nil, 0, time.Time{}, now
}

// merge merges what another process knows into the record. It reports whether anything was new.
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
		// This is no change: processes time the same quarantine from slightly different moments.
		r.Until = other.Until
	}
	if changed {
		r.changed = now
	}
	return changed
}

// findCrash returns the index of an incarnation's crash in Crashes, or where it belongs.
func (r *Record) findCrash(incarnation uint64) (i int, found bool) {
	return slices.BinarySearchFunc(r.Crashes, incarnation, func(crash Crash, incarnation uint64) int {
		return cmp.Compare(crash.Incarnation, incarnation)
	})
}

// addCrash adds a crash. It returns false if the crash is known, or is not among the maxCrashes that are recorded.
func (r *Record) addCrash(crash Crash) bool {
	i, known := r.findCrash(crash.Incarnation)
	if known {
		r.Crashes[i].Seen = earlier(r.Crashes[i].Seen, crash.Seen)
		return false
	}
	crashes := slices.Insert(r.Crashes, i, crash)
	if len(crashes) > maxCrashes {
		// Which crashes are recorded must not depend on their order of arrival.
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
