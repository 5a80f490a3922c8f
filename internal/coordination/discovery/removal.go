package discovery

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/transport/objectapi"
)

// Remove records that an instance's entry is missing. storeWasAway says that the store was
// unreachable shortly before. Entries of running endpoints expire then and come back, so
// an instance is dropped only if its entry stays missing (see Expire).
func (s *State) Remove(id string, storeWasAway bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.conflicts.waiting[id]; ok {
		s.departures.record(i, s.departures.newest.Era(), s.Now())
		delete(s.conflicts.waiting, id)
	}
	s.departures.dropUnconfirmed(id)
	k, ok := s.instances[id]
	if !ok || !k.removedAt.IsZero() {
		return
	}
	k.removedAt, k.removedEra = now, s.departures.newest.Era()
	if !storeWasAway {
		s.removeInstance(k)
	}
	s.Log.Info("endpoint no longer listed", zap.String("endpoint", id), zap.Bool("store_was_away", storeWasAway))
}

// ReplaceInstances records a complete list of instances as of a revision. Those not in it are
// handled as by Remove.
func (s *State) ReplaceInstances(list []Instance, revision objectapi.Revision, storeWasAway bool, now time.Time) {
	if s.OnListed != nil {
		s.OnListed(now)
	}
	s.mu.Lock()
	s.departures.observeList(revision, s.Now())
	s.mu.Unlock()
	present := make(map[string]bool, len(list))
	for _, i := range list {
		present[i.ID] = true
		s.SetInstance(i)
	}
	for _, id := range s.knownIDs() {
		if !present[id] {
			s.Remove(id, storeWasAway, now)
		}
	}
	s.mu.Lock()
	s.listed = true
	s.mu.Unlock()
}

// knownIDs returns the ids of all instances, including those of services that are not in the
// configuration, those that wait for their address and those that are not confirmed yet.
func (s *State) knownIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Concat(slices.Sorted(maps.Keys(s.instances)), slices.Sorted(maps.Keys(s.conflicts.waiting)),
		slices.Sorted(maps.Keys(s.departures.unconfirmed)))
}

// goneAt is the time from which an expired entry that has not come back counts as gone.
// recovered is when the store last began to answer for endpoints again, and settled when its last
// outage is over for all kinds, as in Expire.
func (k *knownInstance) goneAt(recovered, settled time.Time) time.Time {
	if k.removedAt.Sub(recovered) >= reappearWindow {
		// The store had already answered for endpoints for the whole window when the entry
		// expired: only other kinds failed.
		until := k.removedAt.Add(reappearWindow - expiryInterval)
		if !settled.IsZero() && settled.Before(until) {
			return settled
		}
		return until
	}
	until := recovered.Add(reappearWindow)
	if late := k.removedAt.Add(reappearMargin); late.After(until) {
		return late
	}
	return until
}

// Expire drops the instances whose entries expired and did not come back. recovered is when the store
// last began to answer for endpoints again. settled is the time from which no entry is missing because of
// the last outage of any kind, zero while calls for one fail.
func (s *State) Expire(now, recovered, settled time.Time) {
	s.mu.Lock()
	for _, k := range s.instances {
		if !k.removedAt.IsZero() && !now.Before(k.goneAt(recovered, settled)) {
			s.removeInstance(k)
			s.Log.Info("endpoint is gone", zap.String("endpoint", k.ID))
		}
	}
	// Entries that lapsed while the store was unreachable are still among the unconfirmed ones just after.
	if now.Sub(recovered) > s.EntryLifetime+lapseMargin {
		for _, i := range s.departures.popConfirmed(s.Now(), s.EntryLifetime) {
			s.setInstance(i)
		}
	}
	s.departures.expire(s.Now())
	s.mu.Unlock()
	s.Table.Expire(now)
}
