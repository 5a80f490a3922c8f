package contextcache

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/state/routes"
)

// SegmentKey names a part within a store: contexts under different salts share nothing.
type SegmentKey struct {
	Salt, ID string
}

// SegmentInfo is what a store says of a whole part.
type SegmentInfo struct {
	// Tokens stored now.
	Tokens int
	// Model that made it.
	Model string
}

// Change is one event of a store.
type Change struct {
	// Number of the event.
	Number  int64
	Added   bool
	Segment SegmentKey
	SegmentInfo
}

// Listing is all that a store holds.
type Listing struct {
	// Epoch changes when the store restarts, empty.
	Epoch int64
	// Next is where to go on with events.
	Next     int64
	Complete map[SegmentKey]SegmentInfo
	// Partial parts are being written, or broke off; they keep the space they reserved.
	Partial map[SegmentKey]int
}

// Events are what changed in a store.
type Events struct {
	Epoch, Next int64
	// Lost tells that some changes are missing.
	Lost    bool
	Changes []Change
	// ClockMS is the endpoints' clock, 0 if not told.
	ClockMS int64
	// StartMS is the Unix millisecond of the teller's start, 0 if not told.
	StartMS int64
}

const (
	// storeFreshFor is how long after a store's last word it may be named as a source.
	// Shorter than any restart of a store takes: what it said in its life before is
	// never used in the next.
	storeFreshFor = time.Second
	// pendingSaveTimeout is how long a save that was asked for counts as underway.
	pendingSaveTimeout = 3 * time.Second
	// maxFillShare of a store's memory is filled by saves that are asked for; several
	// processes ask at once.
	maxFillShare = 0.97
)

// store is what this process knows of one store.
type store struct {
	config   routes.Store
	known    bool
	epoch    int64
	next     int64
	complete map[SegmentKey]SegmentInfo
	// reserved is what partial parts keep.
	reserved int
	used     int
	// startMS is the teller's start as it last said.
	startMS int64
	// lastAnswer is when the store last answered, by a clock that goes on while the host
	// is suspended.
	lastAnswer time.Time
	// pending saves, with when they were asked for and their tokens.
	pending       map[SegmentKey]pendingSave
	pendingTokens int
	reportState
}

type pendingSave struct {
	at     time.Time
	tokens int
}

func newStore(c routes.Store) *store {
	return &store{config: c, complete: map[SegmentKey]SegmentInfo{}, pending: map[SegmentKey]pendingSave{}}
}

func (s *store) loadListing(l Listing, now time.Time) {
	s.known, s.listed, s.epoch, s.next, s.lastAnswer = true, true, l.Epoch, l.Next, now
	s.unsent = nil
	s.complete = l.Complete
	s.used, s.reserved = 0, 0
	for _, h := range l.Complete {
		s.used += h.Tokens
	}
	for _, tokens := range l.Partial {
		s.reserved += tokens
	}
}

// applyEvents takes in events; false means that the store must be listed again.
func (s *store) applyEvents(e Events, now time.Time) bool {
	if !s.known || e.Epoch != s.epoch || e.Lost {
		s.known = false
		return false
	}
	s.next, s.lastAnswer = e.Next, now
	for _, c := range e.Changes {
		s.applyChange(c)
	}
	return true
}

func (s *store) applyChange(c Change) {
	s.used -= s.complete[c.Segment].Tokens
	if !c.Added || c.Tokens <= 0 {
		delete(s.complete, c.Segment)
		return
	}
	s.complete[c.Segment] = c.SegmentInfo
	s.used += c.Tokens
	s.removePending(c.Segment)
}

func (s *store) removePending(key SegmentKey) {
	if p, ok := s.pending[key]; ok {
		s.pendingTokens -= p.tokens
		delete(s.pending, key)
	}
}

// usable tells whether what is known of the store may be relied on.
func (s *store) usable(now time.Time) bool {
	return s.known && now.Sub(s.lastAnswer) <= storeFreshFor
}

// transferTime is how long tokens take over this store's link within its failure domain, 0
// if that is not known.
func (s *store) transferTime(tokens, tokenBytes int) time.Duration {
	rate := s.config.LinkBytesPerSecond
	if rate <= 0 {
		return 0
	}
	return s.config.TransferLatency + time.Duration(float64(tokens)*float64(tokenBytes)/float64(rate)*float64(time.Second))
}

// holds tells whether a part is whole in the store.
func (s *store) holds(key SegmentKey, tokens int) bool { return s.complete[key].Tokens >= tokens }

// tryBeginSave tells whether a part should be saved there, and counts it as underway.
func (s *store) tryBeginSave(key SegmentKey, tokens int, now time.Time) bool {
	if _, stored := s.complete[key]; stored {
		return false
	}
	if p, ok := s.pending[key]; ok {
		if now.Sub(p.at) < pendingSaveTimeout {
			return false
		}
		s.removePending(key)
	}
	if !s.hasCapacity(key, tokens, now) {
		return false
	}
	s.pending[key] = pendingSave{now, tokens}
	s.pendingTokens += tokens
	return true
}

// minFillTime is the time within which a store's room may run out at its share of what is saved.
// The saves underway of other processes are not known for about half a second.
const minFillTime = 2 * time.Second

// saveWeight is a store's share of the contexts that are saved: its link's rate. Imports and
// saves ask more of the links than of the memory: in proportion to memory five stores of 29 GB/s
// and 1,450,000 tokens got nine tenths of all contexts while four of 97 GB/s and 230,000 tokens
// filled slowly, and with 41 engines 0.02 fewer of all requests were served.
//
// The share falls with the room that is left: a hundred processes that all take a store for the
// best until it is full send it more in the meantime than it has room for, and what finds none
// is read again.
func (s *store) saveWeight(tokenBytes int) float64 {
	link := float64(s.config.LinkBytesPerSecond)
	if link <= 0 {
		return float64(s.config.MemoryTokens)
	}
	if tokenBytes <= 0 {
		return link
	}
	return min(link, float64(max(0, s.freeCapacity())*tokenBytes)/minFillTime.Seconds())
}

// freeCapacity is how many more tokens may be saved, as far as is known.
func (s *store) freeCapacity() int {
	return int(maxFillShare*float64(s.config.MemoryTokens)) - s.used - s.reserved - s.pendingTokens
}

// hasCapacity tells whether a part finds room, or has it already by a save underway.
func (s *store) hasCapacity(key SegmentKey, tokens int, now time.Time) bool {
	if s.hasPendingSave(key, now) {
		return true
	}
	return tokens <= s.freeCapacity()
}

// hasPendingSave tells whether a save of a part that this process asked for is underway.
func (s *store) hasPendingSave(key SegmentKey, now time.Time) bool {
	p, ok := s.pending[key]
	return ok && now.Sub(p.at) < pendingSaveTimeout
}

// expirePending forgets saves that nobody has heard of for long.
func (s *store) expirePending(now time.Time) {
	for key, p := range s.pending {
		if now.Sub(p.at) >= pendingSaveTimeout {
			s.removePending(key)
		}
	}
}

// obsoleteSegments lists the parts that no engine can use any more: their salt names
// weights below the oldest that an engine of their model still has.
func (s *store) obsoleteSegments(oldest map[string]int64) []SegmentKey {
	var out []SegmentKey
	for key, h := range s.complete {
		if weights, ok := weightsVersion(key.Salt); ok && weights < oldest[h.Model] {
			out = append(out, key)
		}
	}
	return out
}

// Salt keeps apart the contexts of walls, models and versions of weights.
func Salt(sharingGroup, model, weights string) string {
	return strconv.FormatUint(xxhash.Sum64String(sharingGroup+"\x00"+model), 36) + "." + weights
}

// weightsVersion reads the version of weights from a salt; false for a salt that this
// product did not make.
func weightsVersion(salt string) (int64, bool) {
	_, text, ok := strings.Cut(salt, ".")
	weights, err := strconv.ParseInt(text, 10, 64)
	return weights, ok && err == nil
}
