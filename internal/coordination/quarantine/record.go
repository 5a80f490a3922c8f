package quarantine

import (
	"cmp"
	"slices"
	"time"

	"limpetwall/internal/state/fingerprint"
)

const (
	// firstQuarantine is about what an operator needs to look at the request; a longer one would punish
	// a wrong verdict.
	firstQuarantine = 5 * time.Minute
	// maxQuarantine bounds the wait for a request whose endpoints have been repaired.
	maxQuarantine = time.Hour
	// evidenceLasts is how long a crash is held against a request that is not in quarantine.
	evidenceLasts = 10 * time.Minute
	// clearedLasts is how long a cleared request is remembered: longer than messages about it are underway.
	clearedLasts = time.Minute
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

// length of a quarantine: it doubles with each trial that failed.
func length(level uint32) time.Duration {
	return min(maxQuarantine, firstQuarantine<<min(max(level, 1)-1, 10))
}

// isDurable tells whether the case must reach processes that start later.
func (c *Record) isDurable() bool { return c.Level > 0 || c.Lifted }

// began is when the quarantine did; zero without one.
func (c *Record) began() time.Time {
	switch {
	case c.Level > 0:
		return c.Until.Add(-length(c.Level))
	case c.Lifted:
		return c.changed
	}
	return time.Time{}
}

// expires is when the case is forgotten.
func (c *Record) expires() time.Time {
	switch {
	case c.Level > 0:
		// Who asks again after that is on trial; nobody has asked for long if it is still there.
		return c.Until.Add(maxQuarantine)
	case c.Lifted:
		return c.changed.Add(maxQuarantine)
	case len(c.Crashes) == 0:
		return c.changed.Add(clearedLasts)
	}
	return c.changed.Add(evidenceLasts)
}

// quarantine begins the case's next quarantine. That of a request on trial begins with the trial: nobody else may try
// meanwhile, also if the process that does ends.
func (c *Record) quarantine(now time.Time) {
	c.Level++
	c.Until, c.changed = now.Add(length(c.Level)), now
}

// clear voids what is known of the case.
func (c *Record) clear(now time.Time) {
	c.Lifted = c.Level > 0
	c.Round++
	c.Crashes, c.Level, c.Until, c.changed = nil, 0, time.Time{}, now
}

// merge takes in what another process knows; false if it is nothing new.
func (c *Record) merge(o Record, now time.Time) bool {
	if o.Round < c.Round {
		return false
	}
	if o.Round > c.Round {
		about := c.About
		*c = o
		c.Crashes = slices.Clone(o.Crashes)
		c.changed = now
		if c.About == (RequestInfo{}) {
			c.About = about
		}
		return true
	}
	if c.About == (RequestInfo{}) {
		c.About = o.About
	}
	changed := false
	for _, crash := range o.Crashes {
		changed = c.addCrash(crash) || changed
	}
	if o.Lifted && !c.Lifted {
		c.Lifted, changed = true, true
	}
	switch {
	case o.Level > c.Level:
		c.Level, c.Until, changed = o.Level, o.Until, true
	case o.Level == c.Level && o.Until.After(c.Until):
		// No news: processes count the same quarantine from slightly different moments.
		c.Until = o.Until
	}
	if changed {
		c.changed = now
	}
	return changed
}

func (c *Record) wasAt(incarnation uint64) bool {
	_, found := c.findCrash(incarnation)
	return found
}

// findCrash returns the place of an incarnation's crash among the case's.
func (c *Record) findCrash(incarnation uint64) (at int, found bool) {
	return slices.BinarySearchFunc(c.Crashes, incarnation, func(crash Crash, incarnation uint64) int {
		return cmp.Compare(crash.Incarnation, incarnation)
	})
}

// addCrash adds one to the crashes; false if it is known, or the case has all that it keeps.
func (c *Record) addCrash(crash Crash) bool {
	i, known := c.findCrash(crash.Incarnation)
	if known {
		c.Crashes[i].Seen = earlier(c.Crashes[i].Seen, crash.Seen)
		return false
	}
	crashes := slices.Insert(c.Crashes, i, crash)
	if len(crashes) > maxCrashes {
		// Which ones are kept must not depend on their order of arrival.
		if i == maxCrashes {
			return false
		}
		crashes = crashes[:maxCrashes]
	}
	c.Crashes = crashes
	return true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
