package pushback

import (
	"time"

	"go.uber.org/zap"
)

const (
	// leavingUnknown is how long it is remembered that an endpoint leaves which this process has not
	// discovered, or which has been removed.
	leavingUnknown = time.Minute
	// storeSource is the source of what an endpoint's entry in the store says.
	storeSource = "the store"
)

// setLeaving records that the endpoint leaves, for good: a process that shuts down does not come back.
// from is the peer that said so, empty for an answer. e.mu is held.
func (e *Endpoint) setLeaving(from string, now time.Time) {
	if e.isLeaving() {
		return
	}
	e.leavingSince = now
	e.registry.setAsking(e, true)
	if e.pendingLeaving = from == ""; e.pendingLeaving {
		notify(e.registry.news)
	}
	notify(e.registry.leaving)
	e.registry.Log.Info("endpoint says that it leaves", zap.String("endpoint", e.id), zap.String("learned_from", source(from)))
}

// isLeaving reports whether the endpoint leaves; e.mu is held.
func (e *Endpoint) isLeaving() bool { return !e.leavingSince.IsZero() }

// LeavingFor returns how long ago this process first learned that the endpoint leaves, 0 if it has not.
func (e *Endpoint) LeavingFor(now time.Time) time.Duration {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isLeaving() {
		return 0
	}
	return now.Sub(e.leavingSince)
}

// IsLeaving reports whether the endpoint leaves.
func (e *Endpoint) IsLeaving() bool {
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isLeaving()
}

// LeavingLearned returns a channel that receives an item when an endpoint was first known to leave. It
// has one reader.
func (r *Registry) LeavingLearned() <-chan struct{} { return r.leaving }

// RecordListed records that an endpoint's entry in the store says that it leaves.
func (r *Registry) RecordListed(key Key, now time.Time) {
	e := r.findOrAdd(key)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listedLeaving {
		return
	}
	e.listedLeaving, e.pendingListed = true, true
	e.setLeaving(storeSource, now)
	notify(e.registry.news)
}

// PopListed returns the endpoints whose entries have said since the last call that they leave.
func (r *Registry) PopListed() []Key {
	var out []Key
	for _, e := range r.allAsking() {
		e.mu.Lock()
		if e.pendingListed {
			e.pendingListed = false
			out = append(out, e.key)
		}
		e.mu.Unlock()
	}
	return out
}

// MergeLeaving records that a peer says that an endpoint leaves.
func (r *Registry) MergeLeaving(key Key, from string, now time.Time) {
	e := r.findOrAdd(key)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setLeaving(from, now)
}

// PopLeaving returns the endpoints whose leaving answers to this process have said since the last call.
func (r *Registry) PopLeaving() []Key {
	var out []Key
	for _, e := range r.allAsking() {
		e.mu.Lock()
		if e.pendingLeaving {
			e.pendingLeaving = false
			out = append(out, e.key)
		}
		e.mu.Unlock()
	}
	return out
}

// AllLeaving returns all endpoints that leave.
func (r *Registry) AllLeaving() []Key {
	var out []Key
	for _, e := range r.allAsking() {
		if e.IsLeaving() {
			out = append(out, e.key)
		}
	}
	return out
}
