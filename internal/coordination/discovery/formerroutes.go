package discovery

import (
	"time"

	"limpetwall/internal/state/routes"
)

const (
	// formerRoutesRetention is longer than a stream and the caller's return take.
	formerRoutesRetention = time.Minute
	// maxFormerRoutes bounds the tables remembered; configurations that change no route add none.
	maxFormerRoutes = 32
)

// formerRoutes holds the routing tables that others with other routes have replaced recently.
type formerRoutes struct {
	tables []formerTable
	// overflowedAt is when the last table was dropped for want of space.
	overflowedAt time.Time
}

type formerTable struct {
	*routes.Table
	replacedAt time.Time
}

func (f *formerRoutes) add(t *routes.Table, now time.Time) {
	f.expire(now)
	if len(f.tables) == maxFormerRoutes {
		f.tables, f.overflowedAt = f.tables[1:], now
	}
	f.tables = append(f.tables, formerTable{t, now})
}

func (f *formerRoutes) expire(now time.Time) {
	for len(f.tables) > 0 && now.Sub(f.tables[0].replacedAt) > formerRoutesRetention {
		f.tables = f.tables[1:]
	}
}

// StreamTargetsSince returns since when this process has seen the routes in force lead resumable streams where they do.
func (s *State) StreamTargetsSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streamTargetsSince
}

// LedElsewhere reports whether requests for a host and path may have been led to other services than the given one recently, as far
// as this process has seen.
func (s *State) LedElsewhere(host, path, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, now := &s.former, s.Now()
	f.expire(now)
	if !f.overflowedAt.IsZero() && now.Sub(f.overflowedAt) <= formerRoutesRetention {
		return true
	}
	for _, t := range f.tables {
		route, ok := t.Match(host, path)
		if !ok {
			continue
		}
		for _, target := range route.Targets {
			if target.Service != service {
				return true
			}
		}
	}
	return false
}
