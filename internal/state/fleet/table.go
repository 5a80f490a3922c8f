package fleet

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config tunes a table.
type Config struct {
	// SuspectFor is how long a suspected member may refute before it is dead.
	SuspectFor time.Duration
	// KeepDead is how long a dead member's row stays: long enough that no late
	// message brings it back, and that a healed partition finds it again.
	KeepDead time.Duration
	// SpreadFactor times log2 of the fleet is how often each update is passed on.
	SpreadFactor int
}

// DefaultConfig is what processes use.
func DefaultConfig() Config {
	return Config{SuspectFor: 2 * time.Second, KeepDead: time.Hour, SpreadFactor: 3}
}

type row struct {
	Member
	since time.Time
	// sends is how often the row is still to be passed on.
	sends int
}

type soft struct {
	Report
	sends int
}

// Table is one process's view of the fleet, safe for concurrent use.
type Table struct {
	cfg  Config
	mu   sync.RWMutex
	self string
	rows map[string]*row
	// soft holds reports, by incarnation.
	soft map[uint64]*soft
	// incarnations maps the known ones to members.
	incarnations map[uint64]string
	// order holds ids by hash: the ring along which members watch each other.
	order  []string
	digest uint64
	// fresh lists hold ids whose rows or reports are still to be passed on.
	// Changes of known members go before introductions: after many starts at
	// once, a death would otherwise wait behind them for seconds.
	freshChanges []string
	freshRows    []string
	freshReports []uint64
	changed      chan struct{}
	generation   uint64
}

// NewTable returns a table that knows only its own member.
func NewTable(cfg Config, self Member, now time.Time) *Table {
	t := &Table{
		cfg: cfg, self: self.ID, rows: map[string]*row{}, soft: map[uint64]*soft{},
		incarnations: map[uint64]string{},
		changed:      make(chan struct{}),
	}
	t.put(self, now)
	return t
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

func rowHash(m Member) uint64 {
	var buf [17]byte
	binary.LittleEndian.PutUint64(buf[:], hashID(m.ID))
	binary.LittleEndian.PutUint64(buf[8:], m.Version)
	buf[16] = byte(m.State)
	return xxhash.Sum64(buf[:])
}

// put stores a row that has won, and queues it to be passed on.
func (t *Table) put(m Member, now time.Time) {
	old, known := t.rows[m.ID]
	if known {
		t.digest ^= rowHash(old.Member)
	} else {
		t.insertOrder(m.ID)
	}
	t.digest ^= rowHash(m)
	t.rows[m.ID] = &row{Member: m, since: now, sends: t.spreadTimes()}
	if known && old.Incarnation != m.Incarnation {
		t.forget(old.Incarnation)
	}
	t.incarnations[m.Incarnation] = m.ID
	if known || m.State != Alive {
		t.freshChanges = appendOnce(t.freshChanges, m.ID)
	} else {
		t.freshRows = appendOnce(t.freshRows, m.ID)
	}
	t.generation++
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Table) insertOrder(id string) {
	at, _ := slices.BinarySearchFunc(t.order, id, byHash)
	t.order = slices.Insert(t.order, at, id)
}

func byHash(a, b string) int {
	ha, hb := hashID(a), hashID(b)
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func appendOnce[T comparable](ids []T, id T) []T {
	if slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}

func (t *Table) spreadTimes() int {
	return t.cfg.SpreadFactor * bits.Len(uint(len(t.rows)+1))
}

// Merge takes in a row from a peer and reports whether it told something new.
//
// A row about this process itself is never believed: if it is worse or from an
// earlier life, the process refutes it with a higher version. Without that, a
// paused process would stay dead in every table after it goes on.
func (t *Table) Merge(m Member, now time.Time) bool {
	return t.merge(m, now, true)
}

// Learn is Merge for rows of a table that was fetched whole: they are no news to
// the fleet, and passing them on would repeat the whole table's introduction
// each time a process starts.
func (t *Table) Learn(m Member, now time.Time) bool {
	return t.merge(m, now, false)
}

func (t *Table) merge(m Member, now time.Time, passOn bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.ID == "" {
		return false
	}
	if m.ID == t.self {
		return t.refute(m, now)
	}
	old, known := t.rows[m.ID]
	if known && !supersedes(m, old.Member) {
		return false
	}
	if known && m.Version == old.Version {
		// Bad news must not wipe out the member's own word that it leaves.
		m.WasLeaving = m.WasLeaving || old.WasLeaving || old.State == Leaving
	}
	if !known && m.State == Dead {
		// A dead member that was never known needs no row to be passed on.
		return false
	}
	t.put(m, now)
	if !passOn {
		t.rows[m.ID].sends = 0
	}
	return true
}

func supersedes(m, old Member) bool {
	if m.Version != old.Version {
		return m.Version > old.Version
	}
	return m.State > old.State
}

func (t *Table) refute(m Member, now time.Time) bool {
	own := t.rows[t.self].Member
	if m.Version < own.Version || (m.Version == own.Version && m.State <= own.State && m.Incarnation == own.Incarnation) {
		return false
	}
	if (m.State == Leaving || m.WasLeaving) && m.Incarnation == own.Incarnation {
		own.State = Leaving
	}
	own.Version = m.Version + 1
	t.put(own, now)
	return true
}

// Update changes this process's own row.
func (t *Table) Update(now time.Time, change func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.rows[t.self].Member
	next := own
	change(&next)
	if next.State == own.State && next.Endpoint.equal(own.Endpoint) {
		return
	}
	next.Version = own.Version + 1
	t.put(next, now)
}

// MarkLeaving records the platform's word that a host leaves, for all members
// on it, and reports whether that was news.
func (t *Table) MarkLeaving(host string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for _, r := range t.rows {
		if r.Host != host || r.State != Alive {
			continue
		}
		m := r.Member
		m.State = Leaving
		t.put(m, now)
		news = true
	}
	return news
}

// Suspect records that a member did not answer; it is news only if the member
// was thought to be well.
func (t *Table) Suspect(id string, incarnation uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[id]
	if !ok || id == t.self || r.Incarnation != incarnation || r.State >= Suspect {
		return false
	}
	m := r.Member
	m.WasLeaving = m.State == Leaving
	m.State = Suspect
	t.put(m, now)
	return true
}

// Expire declares dead the suspects that did not refute in time and drops rows
// that have been dead long enough. It returns the members newly dead.
func (t *Table) Expire(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dead []Member
	for id, r := range t.rows {
		switch {
		case r.State == Suspect && now.Sub(r.since) >= t.cfg.SuspectFor:
			m := r.Member
			m.State = Dead
			dead = append(dead, m)
		case r.State == Dead && now.Sub(r.since) >= t.cfg.KeepDead:
			t.drop(id)
		}
	}
	for _, m := range dead {
		t.put(m, now)
	}
	return dead
}

func (t *Table) drop(id string) {
	t.digest ^= rowHash(t.rows[id].Member)
	t.forget(t.rows[id].Incarnation)
	delete(t.rows, id)
	if at, ok := slices.BinarySearchFunc(t.order, id, byHash); ok {
		t.order = slices.Delete(t.order, at, at+1)
	}
	t.generation++
}

func (t *Table) forget(incarnation uint64) {
	delete(t.soft, incarnation)
	delete(t.incarnations, incarnation)
}

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

// IsWatcher tells whether this process is among the n members of its failure
// domain that watch the platform. The choice is by rendezvous hashing over the
// live members and an epoch, so it needs no agreement, moves as hosts come and
// go, and wears no host for long. Tables that differ for a moment give one
// watcher more or less.
func (t *Table) IsWatcher(n int, epoch uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	self := t.rows[t.self].Member
	own := watchScore(t.self, epoch)
	ahead := 0
	for _, r := range t.rows {
		if r.ID == t.self || r.State != Alive || r.Domain != self.Domain {
			continue
		}
		if watchScore(r.ID, epoch) > own {
			ahead++
		}
	}
	return ahead < n
}

func watchScore(id string, epoch uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], hashID(id))
	binary.LittleEndian.PutUint64(buf[8:], epoch)
	return xxhash.Sum64(buf[:])
}

// Fresh is the number of rows still to be passed on.
func (t *Table) Fresh() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.freshChanges) + len(t.freshRows)
}

// SetReport takes in a member's soft state if it is newer.
func (t *Table) SetReport(r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.incarnations[r.Incarnation]; !known {
		return false
	}
	old, had := t.soft[r.Incarnation]
	if had && old.Version >= r.Version {
		return false
	}
	t.soft[r.Incarnation] = &soft{Report: r, sends: t.reportSends()}
	t.freshReports = appendOnce(t.freshReports, r.Incarnation)
	return true
}

func (t *Table) reportSends() int {
	return max(1, 2*bits.Len(uint(len(t.rows)+1))/3)
}

// ReportSends is how often each process passes a report on.
func (t *Table) ReportSends() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.reportSends()
}

// ReportOf returns a member's soft state.
func (t *Table) ReportOf(id string) (Report, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, known := t.rows[id]
	if !known {
		return Report{}, false
	}
	s, ok := t.soft[r.Incarnation]
	if !ok {
		return Report{}, false
	}
	return s.Report, true
}

// TakeFresh returns up to rows and reports that are still to be passed on, and
// counts them as passed on once more.
func (t *Table) TakeFresh(rows, reports int) ([]Member, []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	visit := func(id string) bool {
		r, ok := t.rows[id]
		if !ok || r.sends <= 0 {
			return false
		}
		r.sends--
		members = append(members, r.Member)
		return r.sends > 0
	}
	t.freshChanges = takeSome(t.freshChanges, rows, visit)
	t.freshRows = takeSome(t.freshRows, rows-len(members), visit)
	var out []Report
	t.freshReports = takeSome(t.freshReports, reports, func(incarnation uint64) bool {
		s, ok := t.soft[incarnation]
		if !ok || s.sends <= 0 {
			return false
		}
		s.sends--
		out = append(out, s.Report)
		return s.sends > 0
	})
	return members, out
}

// takeSome visits up to n ids and moves those that stay to the end, so that all
// get their turn.
func takeSome[T any](ids []T, n int, visit func(T) bool) []T {
	n = min(n, len(ids))
	rest := append([]T(nil), ids[n:]...)
	for _, id := range ids[:n] {
		if visit(id) {
			rest = append(rest, id)
		}
	}
	return rest
}
