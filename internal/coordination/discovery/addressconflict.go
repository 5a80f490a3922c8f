package discovery

import (
	"go.uber.org/zap"

	"limpetwall/internal/state/fleet"
)

// addressConflicts tells apart the instances that are listed with one address: the endpoint that has
// it now, and entries of those before it. A crashed one's entry stays for seconds, longer if
// the store is away; and one that was on its way when the endpoint was cut off comes after
// the new one's, with a higher revision. Used in place of the new one, it would keep a sound
// endpoint idle until its entry next changes, which may be never, and without new weights.
type addressConflicts struct {
	// firstSeen is the revision at which each id was firstSeen listed.
	firstSeen map[string]uint64
	// waiting are entries whose address another instance is believed to have.
	waiting map[string]Instance
}

// maxFirstSeen bounds the ids remembered: a day's restarts of a thousand endpoints.
const maxFirstSeen = 16_384

// observe notes an entry of an instance.
func (c *addressConflicts) observe(i Instance) {
	if _, seen := c.firstSeen[i.ID]; seen {
		return
	}
	if len(c.firstSeen) >= maxFirstSeen {
		clear(c.firstSeen)
	}
	c.firstSeen[i.ID] = i.Revision
}

// isLater tells whether a began after b, both at one address. A life begins after the one
// before it has ended, so it is also listed first after that was; where they tell their
// starts, these decide.
func (c *addressConflicts) isLater(a, b Instance) bool {
	if a.Born != 0 && b.Born != 0 && a.Born != b.Born {
		return a.Born > b.Born
	}
	return c.firstSeen[a.ID] > c.firstSeen[b.ID]
}

// latestWaiting finds the latest entry that waits for an address.
func (c *addressConflicts) latestWaiting(address string) (Instance, bool) {
	var best Instance
	for _, i := range c.waiting {
		if i.Address == address && (best.ID == "" || c.isLater(i, best)) {
			best = i
		}
	}
	return best, best.ID != ""
}

// claimAddress decides which instance has a new one's address; false tells that another has
// it, and the new one waits. An entry that lapsed before does not wait: its endpoint is
// gone. s.mu is held.
func (s *State) claimAddress(i Instance) bool {
	s.conflicts.observe(i)
	delete(s.conflicts.waiting, i.ID)
	for _, other := range s.instances {
		if other.Address != i.Address || i.Address == "" || other.ID == i.ID {
			continue
		}
		if s.conflicts.isLater(other.Instance, i) {
			s.conflicts.waiting[i.ID] = i
			return false
		}
		s.Log.Info("endpoint restarted", zap.String("endpoint", i.ID), zap.String("before", other.ID), zap.String("address", i.Address))
		if other.removedAt.IsZero() {
			s.conflicts.waiting[other.ID] = other.Instance
		}
		s.markDead(other)
	}
	return true
}

// removeInstance takes an instance out of use; one that waited for its address is used then.
func (s *State) removeInstance(k *knownInstance) {
	s.markDead(k)
	if next, ok := s.conflicts.latestWaiting(k.Address); ok {
		s.setInstance(next)
	}
}

// markDead takes an instance out of use.
func (s *State) markDead(k *knownInstance) {
	delete(s.instances, k.ID)
	s.writeRow(k, fleet.Dead)
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
	next, ok := s.conflicts.latestWaiting(k.Address)
	if !ok {
		return
	}
	s.Log.Info("endpoint is not at its address", zap.String("endpoint", id), zap.String("other", next.ID), zap.String("address", k.Address))
	s.conflicts.firstSeen[id] = 0
	s.conflicts.waiting[id] = k.Instance
	s.markDead(k)
	s.setInstance(next)
}
