package contextcache

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/state/routes"
)

// SegmentKey identifies a segment in a store. Contexts under different salts share nothing.
type SegmentKey struct {
	Salt, ID string
}

// SegmentInfo describes a complete segment in a store.
type SegmentInfo struct {
	// Tokens is the number of tokens stored now.
	Tokens int
	// Model is the model that computed the segment.
	Model string
}

// Change is one event of a store.
type Change struct {
	// Number is the event's number.
	Number  int64
	Added   bool
	Segment SegmentKey
	SegmentInfo
}

// Listing is the contents of a store.
type Listing struct {
	// Epoch changes when the store restarts. The store is empty then.
	Epoch int64
	// Next is the event number from which to continue.
	Next     int64
	Complete map[SegmentKey]SegmentInfo
	// Partial holds the reserved tokens of segments whose write is in progress or was aborted;
	// both keep the memory that they reserved.
	Partial map[SegmentKey]int
}

// Events are the changes in a store or engine.
type Events struct {
	Epoch, Next int64
	// Lost is set if some changes are missing.
	Lost    bool
	Changes []Change
	// ClockMS is the endpoints' clock in Unix ms, 0 if the answer does not give it.
	ClockMS int64
	// StartMS is the start time of the store or engine in Unix ms, 0 if the answer does not
	// give it.
	StartMS int64
}

const (
	// storeFreshFor is how long after its last answer a store may be used as a source. It is
	// shorter than any restart of a store, so the contents of one epoch are never used in the
	// next.
	storeFreshFor = time.Second
	// pendingSaveTimeout is how long a requested save counts as in flight.
	pendingSaveTimeout = 3 * time.Second
	// maxFillShare is the share of a store's memory that requested saves may fill; the rest
	// allows for several processes that request saves at once.
	maxFillShare = 0.97
	// maxPendingSaves bounds the saves in flight of one store: callers choose the segments and their sizes, which may be 0.
	maxPendingSaves = 4_096
)

// store is what this process knows of one store or engine.
type store struct {
	config routes.Store
	// known is set while the fields below are up to date as of lastAnswer.
	known    bool
	epoch    int64
	next     int64
	complete map[SegmentKey]SegmentInfo
	// reserved is the number of tokens that partial segments reserve.
	reserved int
	used     int
	changeOrder
	// startMS is Events.StartMS of the last answer that gave another one.
	startMS int64
	// lastAnswer is when the store last answered, by Tracker.Now.
	lastAnswer time.Time
	// pending holds the saves in flight that this process requested.
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
	s.changeOrder = changeOrder{floor: l.Next}
	s.complete = l.Complete
	s.used, s.reserved = 0, 0
	for _, h := range l.Complete {
		s.used += h.Tokens
	}
	for _, tokens := range l.Partial {
		s.reserved += tokens
	}
}

// applyEvents applies events, and returns false if the store must be listed again.
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

// applyChange applies a change unless a later one of its segment is known.
func (s *store) applyChange(c Change) {
	if !s.accept(c) {
		return
	}
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

// usable reports whether the store's known contents are recent enough to use.
func (s *store) usable(now time.Time) bool {
	return s.known && now.Sub(s.lastAnswer) <= storeFreshFor
}

// transferTime returns how long a transfer takes over the store's link within its failure
// domain, 0 if the link's rate is not known.
func (s *store) transferTime(tokens, tokenBytes int) time.Duration {
	rate := s.config.LinkBytesPerSecond
	if rate <= 0 {
		return 0
	}
	return s.config.TransferLatency + time.Duration(float64(tokens)*float64(tokenBytes)/float64(rate)*float64(time.Second))
}

// holds reports whether the store has all tokens of a segment.
func (s *store) holds(key SegmentKey, tokens int) bool { return s.complete[key].Tokens >= tokens }

// tryBeginSave reports whether a segment should be saved in the store; if so, it counts the
// save as in flight.
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
	if len(s.pending) >= maxPendingSaves {
		s.expirePending(now)
		if len(s.pending) >= maxPendingSaves {
			return false
		}
	}
	// The ID is part of a caller's header, which must not be kept for it.
	s.pending[SegmentKey{key.Salt, strings.Clone(key.ID)}] = pendingSave{now, tokens}
	s.pendingTokens += tokens
	return true
}

// minFillTime limits a store's weight: saves at that rate take at least this long to use up its
// free capacity. Saves of other processes become known only after about half a second.
const minFillTime = 2 * time.Second

// saveWeight is the weight by which a store gets contexts to save: its link's rate. Imports and
// saves are limited by the links more than by memory. With weights in proportion to memory, five
// stores of 29 GB/s and 1,450,000 tokens got nine tenths of all contexts while four of 97 GB/s
// and 230,000 tokens filled slowly, and with 41 engines 0.02 fewer of all requests were served.
//
// The weight falls with the free capacity: if a hundred processes all choose the same store
// until it is full, they send it more saves in the meantime than fit, and the contexts of
// those that don't fit are prefilled again.
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

// freeCapacity returns how many more tokens may be saved, by what this process knows.
func (s *store) freeCapacity() int {
	return int(maxFillShare*float64(s.config.MemoryTokens)) - s.used - s.reserved - s.pendingTokens
}

// hasCapacity reports whether a segment fits, or has its capacity already by a save in flight.
func (s *store) hasCapacity(key SegmentKey, tokens int, now time.Time) bool {
	if s.hasPendingSave(key, now) {
		return true
	}
	return tokens <= s.freeCapacity()
}

// hasPendingSave reports whether a save of a segment that this process requested is in flight.
func (s *store) hasPendingSave(key SegmentKey, now time.Time) bool {
	p, ok := s.pending[key]
	return ok && now.Sub(p.at) < pendingSaveTimeout
}

// expirePending drops pending saves that were not confirmed within pendingSaveTimeout.
func (s *store) expirePending(now time.Time) {
	for key, p := range s.pending {
		if now.Sub(p.at) >= pendingSaveTimeout {
			s.removePending(key)
		}
	}
}

// obsoleteSegments lists the segments whose salt names weights below the given version of their
// model.
func (s *store) obsoleteSegments(below map[string]int64) []SegmentKey {
	var out []SegmentKey
	for key, h := range s.complete {
		if weights, ok := weightsVersion(key.Salt); ok && weights < below[h.Model] {
			out = append(out, key)
		}
	}
	return out
}

// Salt returns the cache salt that separates the contexts of sharing groups, models and
// versions of weights.
func Salt(sharingGroup, model, weights string) string {
	return strconv.FormatUint(xxhash.Sum64String(sharingGroup+"\x00"+model), 36) + "." + weights
}

// weightsVersion reads the version of weights from a salt; it returns false for a salt that
// Salt did not make.
func weightsVersion(salt string) (int64, bool) {
	_, text, ok := strings.Cut(salt, ".")
	weights, err := strconv.ParseInt(text, 10, 64)
	return weights, ok && err == nil
}
