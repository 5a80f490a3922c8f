package fleet

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest is equal in two tables that hold the same rows.
func (t *Table) Digest() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.digest
}

// Generation counts the changes of this table's rows.
func (t *Table) Generation() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.generation
}

// Changed returns a channel that is closed when a row changes.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

// Self returns this process's own row.
func (t *Table) Self() Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.rows[t.self].Member
}

// Get returns one member.
func (t *Table) Get(id string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.rows[id]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// Members returns all rows, by id.
func (t *Table) Members() []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Member, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Live returns the members that are not dead, without this process.
func (t *Table) Live() []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Member, 0, len(t.rows))
	for _, id := range t.order {
		if r := t.rows[id]; id != t.self && r.State != Dead {
			out = append(out, r.Member)
		}
	}
	return out
}

// completeAfter is how long after its start a process has heard of all members that live: it joins within seconds of the host list's
// answer, and a member that takes it for dead tries to reach it every ten seconds.
const completeAfter = 15 * time.Second

// IsGone reports whether an incarnation of a process has ended: it is known to, or this process has never heard of it though it
// has run for long enough. One that has just started has heard of few, and takes none of the others for gone.
func (t *Table) IsGone(incarnation uint64, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if id, ok := t.incarnations[incarnation]; ok {
		return t.rows[id].State == Dead
	}
	_, hasEnded := t.ended[incarnation]
	return hasEnded || now.Sub(t.startedAt) >= completeAfter
}

// DeadMembers returns the rows of members thought dead.
func (t *Table) DeadMembers() []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Member
	for _, id := range t.order {
		if r := t.rows[id]; r.State == Dead {
			out = append(out, r.Member)
		}
	}
	return out
}

// Size is the number of members not dead, this process included.
func (t *Table) Size() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, r := range t.rows {
		if r.State != Dead {
			n++
		}
	}
	return n
}

// Successors returns the next n live members on the ring. Each member is so
// probed by n others, whatever the size of the fleet.
func (t *Table) Successors(n int) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	start, _ := slices.BinarySearchFunc(t.order, t.self, byHash)
	var out []Member
	for step := 1; step < len(t.order) && len(out) < n; step++ {
		r := t.rows[t.order[(start+step)%len(t.order)]]
		if r.State != Dead {
			out = append(out, r.Member)
		}
	}
	return out
}

// Contacts returns up to n live members, drawn at random for each member and
// epoch: news goes to some of them. A set that stays for a while keeps the
// connections of a large fleet few; drawn anew for every message, each process
// would in time be connected to all others.
func (t *Table) Contacts(n int, epoch uint64) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	type scored struct {
		score uint64
		row   *row
	}
	best := make([]scored, 0, n+1)
	for _, id := range t.order {
		r := t.rows[id]
		if id == t.self || r.State == Dead {
			continue
		}
		s := scored{watchScore(t.self+"\x00"+id, epoch), r}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			if a.score > b.score {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, at, s)
		best = best[:min(n, len(best))]
	}
	out := make([]Member, 0, len(best))
	for _, s := range best {
		out = append(out, s.row.Member)
	}
	return out
}

// IsWatcher reports whether this process is among the n members of its failure
// domain that watch the platform. The choice is by rendezvous hashing over the
// live members and an epoch, so it needs no agreement, moves as hosts come and
// go, and wears no host for long. Tables that differ for a moment give one
// watcher more or less.
func (t *Table) IsWatcher(n int, epoch uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	self := t.rows[t.self].Member
	return t.ahead(epoch, func(m Member) bool { return m.Domain == self.Domain }) < n
}

// IsChosen reports whether this process is among the n live members of its role that
// rendezvous hashing chooses for an epoch.
func (t *Table) IsChosen(n int, epoch uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	self := t.rows[t.self].Member
	return t.ahead(epoch, func(m Member) bool { return m.Role == self.Role }) < n
}

// ahead counts the other live members that score higher in an epoch. The caller
// holds the lock.
func (t *Table) ahead(epoch uint64, among func(Member) bool) int {
	own := watchScore(t.self, epoch)
	count := 0
	for _, r := range t.rows {
		if r.ID != t.self && r.State == Alive && among(r.Member) && watchScore(r.ID, epoch) > own {
			count++
		}
	}
	return count
}

func watchScore(id string, epoch uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], hashID(id))
	binary.LittleEndian.PutUint64(buf[8:], epoch)
	return xxhash.Sum64(buf[:])
}
