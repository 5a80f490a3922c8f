package discovery

import (
	"go.uber.org/zap"

	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/objectapi"
)

// addressConflicts decides which of several instances listed with one address has it now; the
// others are entries of earlier instances. The entry of a crashed instance remains for seconds,
// longer if the store is unreachable. An entry whose write was in flight when its endpoint was
// cut off may be stored after the new instance's entry, with a higher revision. If it replaced
// the new one, a healthy endpoint would stay idle, and get no new weights, until its entry next
// changes, which may never happen.
type addressConflicts struct {
	// firstSeen is the revision at which each id was first listed.
	firstSeen map[string]objectapi.Revision
	// waiting holds, by id, the entries whose address is assigned to another instance.
	waiting map[string]Instance
}

// maxFirstSeen bounds the number of remembered ids: a day of restarts of a thousand
// endpoints.
const maxFirstSeen = 16_384

// observe records the revision at which an instance is first listed.
func (c *addressConflicts) observe(i Instance) {
	if _, seen := c.firstSeen[i.ID]; seen {
		return
	}
	if len(c.firstSeen) >= maxFirstSeen {
		clear(c.firstSeen)
	}
	c.firstSeen[i.ID] = i.Revision
}

// isLater reports whether a started after b, where both have the same address. An instance
// starts after the previous one at its address has ended, so it is also listed first after
// the previous one was. If both have a start time, the start times decide.
func (c *addressConflicts) isLater(a, b Instance) bool {
	if a.Born != 0 && b.Born != 0 && a.Born != b.Born {
		return a.Born > b.Born
	}
	return c.firstSeen[a.ID] > c.firstSeen[b.ID]
}

// latestWaiting returns the instance that started last among those waiting for an address.
func (c *addressConflicts) latestWaiting(address string) (Instance, bool) {
	var best Instance
	for _, i := range c.waiting {
		if i.Address == address && (best.ID == "" || c.isLater(i, best)) {
			best = i
		}
	}
	return best, best.ID != ""
}

// claimAddress decides whether a new instance gets its address. It returns false if another
// instance keeps it; the new one then waits. An instance that loses its address waits too,
// unless its entry has already expired: then its endpoint is gone. s.mu is held.
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

// removeInstance takes an instance out of use. If another instance waits for its address,
// that one is used from then on.
func (s *State) removeInstance(k *knownInstance) {
	if k.Leaving || k.wasRemoved() {
		s.departures.record(k.Instance, k.removedEra, s.Now())
	}
	s.markDead(k)
	if next, ok := s.conflicts.latestWaiting(k.Address); ok {
		s.setInstance(next)
	}
}

// markDead deletes an instance and marks its row as dead.
func (s *State) markDead(k *knownInstance) {
	delete(s.instances, k.ID)
	s.reportSoftware(k.Instance)
	s.writeRow(k, fleet.Dead)
}

// MarkMisdirected records that another instance answers at the address of the instance id.
// An instance that waits for the address is used from then on: a process that starts when
// both are listed can't determine from their revisions which came first.
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
	s.Log.Info("another endpoint answers at the address", zap.String("endpoint", id), zap.String("other", next.ID), zap.String("address", k.Address))
	s.conflicts.firstSeen[id] = 0
	s.conflicts.waiting[id] = k.Instance
	s.markDead(k)
	s.setInstance(next)
}
