package fleet

import (
	"encoding/binary"
	"math/bits"
	"slices"
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
	// ended holds incarnations that are known to have ended and have no row any more.
	ended map[uint64]struct{}
	// startedAt is when this process's view began.
	startedAt time.Time
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
		incarnations: map[uint64]string{}, ended: map[uint64]struct{}{}, startedAt: now,
		changed: make(chan struct{}),
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
		t.dropReport(old.Incarnation)
		t.rememberEnd(old.Incarnation)
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

// Merge merges a row from a peer and reports whether it held anything new.
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
		t.rememberEnd(m.Incarnation)
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
	t.dropReport(t.rows[id].Incarnation)
	t.rememberEnd(t.rows[id].Incarnation)
	delete(t.rows, id)
	if at, ok := slices.BinarySearchFunc(t.order, id, byHash); ok {
		t.order = slices.Delete(t.order, at, at+1)
	}
	t.generation++
}

func (t *Table) dropReport(incarnation uint64) {
	delete(t.soft, incarnation)
	delete(t.incarnations, incarnation)
}

// maxEnded bounds the remembered incarnations; they are needed only until a table is completeAfter old.
const maxEnded = 16_384

func (t *Table) rememberEnd(incarnation uint64) {
	if len(t.ended) >= maxEnded {
		clear(t.ended)
	}
	t.ended[incarnation] = struct{}{}
}
