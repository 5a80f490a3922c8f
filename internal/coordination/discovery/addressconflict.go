package discovery

import (
	"go.uber.org/zap"

	"limpetwall/internal/state/fleet"
)

// lives tells apart the instances that are listed with one address: the endpoint that has
// it now, and entries of those before it. A crashed one's entry stays for seconds, longer if
// the store is away; and one that was on its way when the endpoint was cut off comes after
// the new one's, with a higher revision. Used in place of the new one, it would keep a sound
// endpoint idle until its entry next changes, which may be never, and without new weights.
type lives struct {
	// first is the revision at which each id was first listed.
	first map[string]uint64
	// waiting are entries whose address another instance is believed to have.
	waiting map[string]Instance
}

// keptFirst bounds the ids remembered: a day's restarts of a thousand endpoints.
const keptFirst = 16_384

// see notes an entry of an instance.
func (l *lives) see(i Instance) {
	if _, seen := l.first[i.ID]; seen {
		return
	}
	if len(l.first) >= keptFirst {
		clear(l.first)
	}
	l.first[i.ID] = i.Revision
}

// later tells whether a began after b, both at one address. A life begins after the one
// before it has ended, so it is also listed first after that was; where they tell their
// starts, these decide.
func (l *lives) later(a, b Instance) bool {
	if a.Born != 0 && b.Born != 0 && a.Born != b.Born {
		return a.Born > b.Born
	}
	return l.first[a.ID] > l.first[b.ID]
}

// waitingAt finds the latest entry that waits for an address.
func (l *lives) waitingAt(address string) (Instance, bool) {
	var best Instance
	for _, i := range l.waiting {
		if i.Address == address && (best.ID == "" || l.later(i, best)) {
			best = i
		}
	}
	return best, best.ID != ""
}

// takeAddress decides which instance has a new one's address; false tells that another has
// it, and the new one waits. An entry that lapsed before does not wait: its endpoint is
// gone. s.mu is held.
func (s *State) takeAddress(i Instance) bool {
	s.lives.see(i)
	delete(s.lives.waiting, i.ID)
	for _, other := range s.instances {
		if other.Address != i.Address || i.Address == "" || other.ID == i.ID {
			continue
		}
		if s.lives.later(other.Instance, i) {
			s.lives.waiting[i.ID] = i
			return false
		}
		s.Log.Info("endpoint restarted", zap.String("endpoint", i.ID), zap.String("before", other.ID), zap.String("address", i.Address))
		if other.removedAt.IsZero() {
			s.lives.waiting[other.ID] = other.Instance
		}
		s.take(other)
	}
	return true
}

// drop takes an instance out of use; one that waited for its address is used then.
func (s *State) drop(k *known) {
	s.take(k)
	if next, ok := s.lives.waitingAt(k.Address); ok {
		s.setInstance(next)
	}
}

// take takes an instance out of use.
func (s *State) take(k *known) {
	delete(s.instances, k.ID)
	s.put(k, fleet.Dead)
}

// MarkMisdirected records that another instance answers at an instance's address. An entry
// that waits for it is used from now on: a process that starts when both are listed can't
// tell by their revisions which came first.
func (s *State) MarkMisdirected(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok {
		return
	}
	next, ok := s.lives.waitingAt(k.Address)
	if !ok {
		return
	}
	s.Log.Info("endpoint is not at its address", zap.String("endpoint", id), zap.String("other", next.ID), zap.String("address", k.Address))
	s.lives.first[id] = 0
	s.lives.waiting[id] = k.Instance
	s.take(k)
	s.setInstance(next)
}
