package ingress

import (
	"time"

	"limpetwall/internal/state/routes"
)

const (
	// markIdle and markHeader are the fixed time limits given to net/http, which
	// reads them without synchronisation. They are never waited for: each tells
	// conn which of the limits in force it stands for.
	//
	// A handler's own deadline comes to conn by the same call and must not be taken for
	// one of them, or a body's time would be cut to the idle or header limit. So they lie
	// decades beyond the time of any request, and yet below the 292 years that a
	// time.Duration holds. The year that conn allows for is for a process that was paused
	// between net/http's look at the clock and its own.
	markIdle   = 200 * year
	markHeader = 100 * year
	year       = 365 * 24 * time.Hour
	// unsetIdle and unsetHeader apply while no limit is in force.
	unsetIdle   = 2 * time.Hour
	unsetHeader = time.Hour
	// slack above the callers' own idle limit keeps this side from closing at the
	// moment when a caller sends.
	slack = time.Second
)

// limit is a time limit whose length a configuration sets.
type limit uint8

const (
	noLimit limit = iota
	idleLimit
	headerLimit
)

// limitMarked returns the limit that a deadline marks, noLimit if it is none of the marks.
func limitMarked(t time.Time) limit {
	if t.IsZero() {
		return noLimit
	}
	switch left := time.Until(t); {
	case left > markIdle-year:
		return idleLimit
	case left > markHeader-year:
		return headerLimit
	}
	return noLimit
}

// in returns the limit's length.
func (l limit) in(limits *routes.Limits) time.Duration {
	switch {
	case l == idleLimit && limits.IdleTimeout <= 0:
		return unsetIdle
	case l == idleLimit:
		return limits.IdleTimeout + slack
	case limits.HeaderTimeout <= 0:
		return unsetHeader
	}
	return limits.HeaderTimeout
}
