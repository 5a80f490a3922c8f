package ingress

import (
	"time"

	"limpetwall/internal/state/routes"
)

const (
	// idleMarker and headerMarker are the constant time limits given to net/http, which
	// reads them without synchronization. They never expire: each marks which of the
	// limits in force conn applies instead.
	//
	// conn gets a handler's own deadline by the same call and must not take it for a
	// marker, or a body's deadline would become the idle or header limit. So the markers
	// are decades longer than any request, and shorter than the 292 years that a
	// time.Duration holds. conn allows for a year of difference, for a process that was
	// paused between net/http's reading of the clock and its own.
	idleMarker   = 200 * year
	headerMarker = 100 * year
	year         = 365 * 24 * time.Hour
	// unsetIdle and unsetHeader apply while no limit is in force.
	unsetIdle   = 2 * time.Hour
	unsetHeader = time.Hour
	// slack is added to the idle limit that callers apply, so that a connection does not
	// close here at the moment when its caller sends a request.
	slack = time.Second
)

// limit is a time limit that the configuration sets.
type limit uint8

const (
	noLimit limit = iota
	idleLimit
	headerLimit
)

// markedLimit returns the limit that a deadline marks, noLimit if it is not a marker.
func markedLimit(t time.Time) limit {
	if t.IsZero() {
		return noLimit
	}
	switch left := time.Until(t); {
	case left > idleMarker-year:
		return idleLimit
	case left > headerMarker-year:
		return headerLimit
	}
	return noLimit
}

// in returns the limit's duration.
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
