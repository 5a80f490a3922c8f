package contextcache

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// reporters is how many processes of a failure domain follow a store or engine for all of
	// them: if one dies or is frozen, the other is heard. Stores and engines hold about a
	// dozen calls for events. With a hundred gateways in five domains each follower of its own
	// was refused most of its calls, and a gateway knew two of three engines and not all
	// stores at a time.
	reporters = 2
	// storeReportTimeout and engineUntold are how long a process waits for a teller's word before it
	// follows by itself: three of the tellers' messages may be lost, and a store stays usable
	// for nearly all of the time (freshFor).
	storeReportTimeout  = 700 * time.Millisecond
	engineReportTimeout = 1500 * time.Millisecond
	// minSelfFollow is how long it then does so at least.
	minSelfFollow = 3 * time.Second
	// reporterWait is the longest that a teller's call for a store's events waits: its answer
	// is told on, and must still be fresh then.
	reporterWait = 300 * time.Millisecond
	// maxUnsentChanges bounds the changes kept for telling, of one store or engine: some seconds of
	// the busiest. Older ones are dropped, as datagrams that are lost.
	maxUnsentChanges = 512
)

// Report is what one process tells others of a store or engine that it follows.
type Report struct {
	Address string
	Epoch   int64
	// AsOf is when the store last answered, on the endpoints' clock in Unix ms; 0 tells that
	// it does not answer the sender.
	AsOf int64
	// Next is the number after the last event known.
	Next    int64
	Changes []Change
}

// reportState is what a store is told of, and told on.
type reportState struct {
	// reportedAt is when another process last told of it.
	reportedAt time.Time
	// selfFollowUntil is until when this process follows it although others should.
	selfFollowUntil time.Time
	// listed tells that what it held before this process's start is known: by a list, or
	// since it has started anew meanwhile.
	listed bool
	// unsent changes are to be told to others.
	unsent []Change
}

// DrainReports takes what is to be told now of the stores and engines that this process follows
// for its failure domain.
func (t *Tracker) DrainReports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	offset, known := t.endpointClock.offset(now)
	if !known {
		return nil
	}
	var out []Report
	for address := range t.reporting {
		s, fresh := t.stores[address], storeFreshFor
		if s == nil {
			s, fresh = t.engines[address], engineFreshFor
		}
		if s == nil {
			continue
		}
		r := Report{Address: address, Epoch: s.epoch, Next: s.next, Changes: s.unsent}
		s.unsent = nil
		if s.known && now.Sub(s.lastAnswer) <= fresh {
			r.AsOf = s.lastAnswer.UnixMilli() + offset
		}
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Address < out[b].Address })
	return out
}

// ApplyReport takes in what another process tells. Of two that tell of one store the later
// word counts: what was said of its life before it started anew comes too late.
func (t *Tracker) ApplyReport(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	s, isStore := t.stores[r.Address]
	if !isStore {
		s = t.engines[r.Address]
	}
	offset, known := t.endpointClock.offset(now)
	if s == nil || !known {
		return
	}
	s.reportedAt = now
	if r.AsOf == 0 || (isStore && !s.listed) {
		return
	}
	asOf := time.UnixMilli(r.AsOf - offset)
	if asOf.After(now) {
		asOf = now
	}
	if r.Epoch != s.epoch {
		if !asOf.After(s.lastAnswer) {
			return
		}
		t.Log.Info("context is told of a new start", zap.String("address", r.Address), zap.Int64("epoch", r.Epoch), zap.Int64("before", s.epoch))
		s.loadListing(Listing{Epoch: r.Epoch, Complete: map[SegmentKey]SegmentInfo{}}, asOf)
	}
	s.applyReport(r, asOf)
}

// applyReport applies the changes that are not known yet.
func (s *store) applyReport(r Report, asOf time.Time) {
	for _, c := range r.Changes {
		if c.Number >= s.next {
			s.applyChange(c)
		}
	}
	s.known = true
	s.next = max(s.next, r.Next)
	if asOf.After(s.lastAnswer) {
		s.lastAnswer = asOf
	}
}

// queueUnsent keeps changes for the others if this process tells of the store; k.mu is held.
func (t *Tracker) queueUnsent(address string, s *store, changes []Change) {
	if !t.reporting[address] {
		s.unsent = nil
		return
	}
	s.unsent = append(s.unsent, changes...)
	s.unsent = s.unsent[max(0, len(s.unsent)-maxUnsentChanges):]
}

// shouldFollow decides whether this process shouldFollow a store or engine, and notes whether it tells
// others of it; k.mu is held.
func (t *Tracker) shouldFollow(address string, s *store, timeout time.Duration, now time.Time) bool {
	if len(t.peers) < reporters {
		return true
	}
	if t.isReporter(address) {
		t.reporting[address] = true
		return true
	}
	if now.Sub(s.reportedAt) > timeout && now.After(s.selfFollowUntil) {
		s.selfFollowUntil = now.Add(minSelfFollow)
	}
	return now.Before(s.selfFollowUntil) || !s.listed
}

// updatePeers takes in who the others of the domain are; k.mu is held.
func (t *Tracker) updatePeers() {
	if t.Peers == nil {
		return
	}
	peers := t.Peers()
	slices.Sort(peers)
	if !slices.Equal(peers, t.peers) {
		t.peers, t.reporterCache = peers, map[string]bool{}
	}
	t.reporting = map[string]bool{}
}

// isReporter ranks this process among the others of its domain for an address: all come to the
// same, and one that comes or goes changes little.
func (t *Tracker) isReporter(address string) bool {
	if reporter, known := t.reporterCache[address]; known {
		return reporter
	}
	own, lower := t.followRank(address), 0
	for _, p := range t.peers {
		if processRank(p, address) < own {
			lower++
		}
	}
	t.reporterCache[address] = lower < reporters
	return t.reporterCache[address]
}

func processRank(process, address string) uint64 {
	return xxhash.Sum64String(process + "\x00" + address)
}

// clockWindow is how long the best of the endpoints' clock's readings stands: long enough to
// hold one that came at once, short enough for clocks that drift.
const clockWindow = 10 * time.Second

// endpointClock estimates how far the endpoints' clock is ahead of this process's. An answer
// that was long on its way, or read by a process that had been suspended, makes it look less
// far ahead: the largest reading is the best.
type endpointClock struct {
	// best reading of the present window and of the one previous, which ended at began.
	best, previous int64
	windowStart    time.Time
}

func (c *endpointClock) observe(clockMS int64, now time.Time) {
	reading := clockMS - now.UnixMilli()
	switch age := now.Sub(c.windowStart); {
	case c.windowStart.IsZero() || age > 2*clockWindow:
		c.best, c.previous, c.windowStart = reading, reading, now
	case age > clockWindow:
		c.best, c.previous, c.windowStart = reading, c.best, now
	default:
		c.best = max(c.best, reading)
	}
}

// offset in ms; false if no reading is recent.
func (c *endpointClock) offset(now time.Time) (int64, bool) {
	return max(c.best, c.previous), !c.windowStart.IsZero() && now.Sub(c.windowStart) <= 3*clockWindow
}
