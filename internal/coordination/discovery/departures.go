package discovery

import (
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/objectapi"
)

const (
	// departureRetention is longer than the age of any copy from which the store comes back.
	departureRetention = 10 * time.Minute
	// maxDepartures bounds the departures remembered: all endpoints of a large fleet, replaced
	// several times within departureRetention.
	maxDepartures = 16_384
	// lapseMargin is the time that the store takes to notice that an entry has lapsed.
	lapseMargin = time.Second
)

// departures remembers the endpoints that were removed. A store that comes back from an older copy
// lists them again, as ready, and they may still serve: they would get requests long after they
// have said that they leave.
type departures struct {
	byID map[string]departure
	// newest is the revision of the newest list. returnedAt is when a list first showed its era, if
	// there was one before it; copyEnd is the number of that list. What the copy held has no
	// higher number.
	newest     objectapi.Revision
	returnedAt time.Time
	copyEnd    uint64
	// unconfirmed holds the entries of removed endpoints that the copy may have brought back.
	unconfirmed map[string]Instance
}

// departure is the removal of one start of an endpoint.
type departure struct {
	incarnation fleet.Incarnation
	hadLeft     bool
	era         uint64
	at          time.Time
}

func newDepartures() departures {
	return departures{byID: map[string]departure{}, unconfirmed: map[string]Instance{}}
}

// record remembers the removal of an endpoint in an era.
func (d *departures) record(i Instance, era uint64, now time.Time) {
	if len(d.byID) >= maxDepartures {
		clear(d.byID)
	}
	d.byID[i.ID] = departure{incarnation: i.Incarnation(), hadLeft: i.Leaving, era: era, at: now}
}

func (d *departures) expire(now time.Time) {
	for id, gone := range d.byID {
		if now.Sub(gone.at) > departureRetention {
			delete(d.byID, id)
		}
	}
}

func (d *departures) observeList(revision objectapi.Revision, now time.Time) {
	if d.newest != 0 && revision.Era() > d.newest.Era() {
		d.returnedAt, d.copyEnd = now, revision.Number()
	}
	d.newest = max(d.newest, revision)
}

// isConfirmed reports whether an entry shows that an endpoint lives which was removed in an earlier
// era: it was written since the store came back, or has been listed for longer than an entry that
// nobody confirms.
func (d *departures) isConfirmed(i Instance, gone departure, now time.Time, lifetime time.Duration) bool {
	return i.Revision.Era() <= gone.era || i.Revision.Number() > d.copyEnd || now.Sub(d.returnedAt) > lifetime+lapseMargin
}

func (d *departures) dropUnconfirmed(id string) { delete(d.unconfirmed, id) }

// popConfirmed returns the entries that have stayed listed until they are confirmed.
func (d *departures) popConfirmed(now time.Time, lifetime time.Duration) []Instance {
	var out []Instance
	for id, i := range d.unconfirmed {
		if d.isConfirmed(i, d.byID[id], now, lifetime) {
			out = append(out, i)
			delete(d.unconfirmed, id)
		}
	}
	return out
}

// readmit decides whether an endpoint that is listed, and not known, may be used. If this start of
// it was removed before, the entry may be of an older copy of the store. s.mu is held.
func (s *State) readmit(i *Instance) bool {
	d := &s.departures
	delete(d.unconfirmed, i.ID)
	gone, ok := d.byID[i.ID]
	if !ok || gone.incarnation != i.Incarnation() {
		return true
	}
	i.Leaving = i.Leaving || gone.hadLeft
	if gone.hadLeft || d.isConfirmed(*i, gone, s.Now(), s.EntryLifetime) {
		return true
	}
	s.holdUnconfirmed(*i)
	return false
}

// wasRemoved reports whether an entry that is missing was removed. From an era later than the entry's it
// may be missing because the copy from which the store came back was made before it was written.
func (k *knownInstance) wasRemoved() bool { return k.Revision.Era() >= k.removedEra }

// isBack decides whether an endpoint whose entry was found missing, and which is still in use, is listed
// again because it lives. s.mu is held.
func (s *State) isBack(k *knownInstance, i Instance) bool {
	d := &s.departures
	delete(d.unconfirmed, i.ID)
	gone := departure{incarnation: k.Incarnation(), era: k.removedEra}
	if !k.wasRemoved() || gone.incarnation != i.Incarnation() || d.isConfirmed(i, gone, s.Now(), s.EntryLifetime) {
		return true
	}
	s.holdUnconfirmed(i)
	return false
}

func (s *State) holdUnconfirmed(i Instance) {
	s.departures.unconfirmed[i.ID] = i
	s.Log.Info("removed endpoint is listed again by an older copy of the store", zap.String("endpoint", i.ID),
		revisionField("revision", i.Revision))
}
