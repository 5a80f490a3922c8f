package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"limpetwall/internal/state/fingerprint"
)

const (
	// initialQuarantine is about what an operator needs to look at the request. A longer one would do more harm if
	// the verdict is wrong.
	initialQuarantine = 5 * time.Minute
	// firstPartQuarantine is the length of a part's first quarantine.
	firstPartQuarantine = 10 * time.Second
	// maxQuarantine bounds the wait for a request whose endpoints have been repaired.
	maxQuarantine = time.Hour
	// evidenceLifetime is how long a crash counts against a request that is not quarantined.
	evidenceLifetime = 10 * time.Minute
	// clearedLifetime is how long a cleared request is remembered: longer than messages about it are in flight.
	clearedLifetime = time.Minute
	// maxCrashes bounds the crashes recorded for one request; verdicts need fewer.
	maxCrashes = 8
	// maxPartCrashes bounds the crashes recorded for one part.
	maxPartCrashes = 8
)

// Record is what is known of one request, or of one part of prompts, that was in flight when endpoints crashed.
//
// Invariant: merge is commutative, associative and idempotent, so that all processes end up with the same record
// in whatever order they receive updates.
type Record struct {
	Key fingerprint.Key
	// Round is incremented when the request is cleared, which voids the evidence of earlier rounds.
	Round uint32
	// Crashes are the crashes of endpoints at which the request was in flight, ordered by incarnation. Those of a part
	// are later than RanWellAt.
	Crashes []Crash
	// RanWellAt is when the newest answer began that ran well with this part; zero for requests, whose runs to the end
	// begin a new round.
	RanWellAt time.Time
	// Requests are hashes of requests that contained this part at its crashes, the smallest minPartRequests.
	Requests []uint32
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
	// suspectSince is when this process knows the first crash of a part to have been, since an answer with it ran well.
	suspectSince time.Time
	// probedSince is when this process began to probe the part; zero if it does not.
	probedSince time.Time
	// blamedSince is when this process began to blame the part; zero if it does not.
	blamedSince time.Time
	// share and probedShare are how many crashes are attributed to the part, in all and since it is probed.
	share, probedShare float64
	// peak is the largest number of Crashes of a part in this round.
	peak int
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
	// Part is the ID of a part of prompts, cut to maxTarget bytes; such an entry holds all requests that contain it.
	Part string `json:"part,omitempty"`
}

// maxTarget bounds the recorded length of a request's target, in bytes.
const maxTarget = 200

// cutTarget returns a copy of what is recorded of a target, so that the rest of its request is not kept.
func cutTarget(target string) string { return strings.Clone(target[:min(len(target), maxTarget)]) }

// quarantineDuration returns the length of a quarantine: it doubles with each failed trial, up to maxQuarantine. The
// first one of a part is short, as many requests contain it: if the verdict was wrong, one trial shows so.
func quarantineDuration(key fingerprint.Key, level uint32) time.Duration {
	if key.IsPart() {
		if level <= 1 {
			return firstPartQuarantine
		}
		level--
	}
	return min(maxQuarantine, initialQuarantine<<min(max(level, 1)-1, 10))
}

// isDurable reports whether the record must reach processes that start later.
func (r *Record) isDurable() bool { return r.Level > 0 || r.Lifted }

// startedAt returns when the quarantine began or was lifted; zero if there was none.
func (r *Record) startedAt() time.Time {
	switch {
	case r.Level > 0:
		return r.Until.Add(-quarantineDuration(r.Key, r.Level))
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

// recordState is what others must know of a quarantine.
type recordState struct{ round, level uint32 }

// isPartCrashOnly reports whether a part was and is in quarantine: further crashes say nothing new of it.
func (r *Record) isPartCrashOnly(before recordState) bool {
	return r.Key.IsPart() && r.Level > 0 && before == recordState{r.Round, r.Level}
}

// isRefuted reports whether an answer ran well with a part in quarantine that began after the quarantine, or after all
// of the crashes for which it is in quarantine if any are known.
func (r *Record) isRefuted() bool {
	return r.RanWellAt.After(r.startedAt()) || (r.peak > 0 && len(r.Crashes) == 0)
}

// startQuarantine begins the next quarantine. For a request on trial it begins together with the trial: no other
// process may try the request meanwhile, even if the process that runs the trial ends.
func (r *Record) startQuarantine(now time.Time) {
	r.Level++
	r.Until, r.changed = now.Add(quarantineDuration(r.Key, r.Level)), now
}

// clear voids what is known of the request and begins a new round.
func (r *Record) clear(now time.Time) {
	r.Lifted = r.Level > 0
	r.Round++
	r.Crashes, r.Requests, r.Level, r.Until, r.changed = nil, nil, 0, time.Time{}, now
	r.suspectSince, r.probedSince, r.peak = time.Time{}, time.Time{}, 0
}

// merge merges what another process knows into the record. It reports whether anything was new.
func (r *Record) merge(other Record, now time.Time) bool {
	if other.Round < r.Round {
		return false
	}
	if other.Round > r.Round {
		about, ranWell := r.About, r.RanWellAt
		*r = other
		r.Crashes, r.Requests = slices.Clone(other.Crashes), slices.Clone(other.Requests)
		r.changed, r.peak, r.suspectSince, r.probedSince = now, 0, time.Time{}, time.Time{}
		r.setRanWell(ranWell)
		r.setRanWell(other.RanWellAt)
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
		if crash.Seen.After(r.RanWellAt) {
			changed = r.addCrash(crash) || changed
		}
	}
	r.addRequests(other.Requests)
	changed = r.setRanWell(other.RanWellAt) || changed
	if r.Key.IsPart() {
		r.peak = max(r.peak, len(r.Crashes), len(other.Crashes))
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

// setRanWell records when an answer began that ran well with this part. Earlier crashes had another cause. It reports
// whether there were any.
func (r *Record) setRanWell(began time.Time) bool {
	if began.After(r.RanWellAt) {
		r.RanWellAt = began
	}
	if !r.suspectSince.After(r.RanWellAt) {
		r.suspectSince, r.probedSince = time.Time{}, time.Time{}
	}
	before := len(r.Crashes)
	r.Crashes = slices.DeleteFunc(r.Crashes, func(crash Crash) bool { return !crash.Seen.After(r.RanWellAt) })
	if len(r.Crashes) == 0 {
		r.Requests = nil
	}
	if r.Key.IsPart() && r.suspectSince.IsZero() {
		for _, crash := range r.Crashes {
			if r.suspectSince.IsZero() || crash.Seen.Before(r.suspectSince) {
				r.suspectSince = crash.Seen
			}
		}
	}
	return len(r.Crashes) < before
}

// newestCrash returns when the newest of the recorded crashes was seen; zero if there is none.
func (r *Record) newestCrash() (newest time.Time) {
	for _, crash := range r.Crashes {
		newest = later(newest, crash.Seen)
	}
	return newest
}

// addRequests adds hashes of requests, and keeps the smallest.
func (r *Record) addRequests(hashes []uint32) {
	if len(hashes) == 0 || len(r.Crashes) == 0 {
		return
	}
	all := slices.Concat(r.Requests, hashes)
	slices.Sort(all)
	all = slices.Compact(all)
	r.Requests = all[:min(len(all), minPartRequests)]
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
	if r.Key.IsPart() {
		r.Crashes = newestCrashes(crashes)
		return slices.Contains(r.Crashes, crash)
	}
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

// newestCrashes drops the oldest of a part's crashes if there are too many: the newest decide whether it still causes
// them.
func newestCrashes(crashes []Crash) []Crash {
	if len(crashes) <= maxPartCrashes {
		return crashes
	}
	oldest := slices.MinFunc(crashes, func(a, b Crash) int {
		return cmp.Or(a.Seen.Compare(b.Seen), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return slices.DeleteFunc(crashes, func(crash Crash) bool { return crash == oldest })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
