package contextcache

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// reporters is how many processes of a failure domain follow a store or engine and report it
	// to the others: if one dies or freezes, the other still reports. Stores and engines accept
	// about a dozen waiting calls for events. When each of a hundred gateways in five domains
	// followed all of them itself, most of the calls were refused, and a gateway knew two of three
	// engines and not all stores at any time.
	reporters = 2
	// storeReportTimeout and engineReportTimeout are how long a process waits for a report
	// before it follows a store or engine itself: three messages of a reporter may be lost, and
	// a store stays usable for nearly all of that time (storeFreshFor).
	storeReportTimeout  = 700 * time.Millisecond
	engineReportTimeout = 1500 * time.Millisecond
	// minSelfFollow is the least time for which it then does so.
	minSelfFollow = 3 * time.Second
	// reporterWait is the longest that a reporter's call for events waits: the answer is
	// reported to others and must still be fresh when it reaches them.
	reporterWait = 300 * time.Millisecond
	// maxUnsentChanges bounds the queued changes of one store or engine: some seconds of the
	// busiest one's changes. Older ones are dropped, with the effect of a lost datagram.
	maxUnsentChanges = 512
)

// Report is what a process sends to others about a store or engine that it follows.
type Report struct {
	Address string
	Epoch   int64
	// AsOf is when the store last answered, on the endpoints' clock in Unix ms; 0 if it does
	// not answer the sender.
	AsOf int64
	// Next is the number after the last known event.
	Next    int64
	Changes []Change
}

// reportState is the state of reports from and to other processes about one store or engine.
type reportState struct {
	// reportedAt is when the last report of another process arrived.
	reportedAt time.Time
	// selfFollowUntil is the end of the time in which this process follows the store itself
	// although others should.
	selfFollowUntil time.Time
	// listed is set once a list has given the store's contents from before this process's start.
	// Reports and events hold only the changes since then. Engines are never listed; for them it
	// is always set.
	listed bool
	// unsent changes are still to be reported to others.
	unsent []Change
}

// DrainReports returns the reports of the stores and engines that this process follows for its
// failure domain, and removes their changes from the queue.
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

// ApplyReport applies a report of another process. If two processes report different epochs of
// one store, the later report counts, so a delayed report of the epoch before a restart is
// ignored.
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
		t.Log.Info("report shows a new epoch of a store or engine", zap.String("address", r.Address), zap.Int64("epoch", r.Epoch), zap.Int64("before", s.epoch))
		s.loadListing(Listing{Epoch: r.Epoch, Complete: map[SegmentKey]SegmentInfo{}}, asOf)
	}
	t.outOfOrder += int64(s.applyReport(r, asOf))
}

// applyReport applies the changes that are not known yet, and returns how many of them had lower
// numbers than the next expected one: another reporter may have missed them, and a report that
// fills several datagrams gives the same next number in each.
func (s *store) applyReport(r Report, asOf time.Time) (outOfOrder int) {
	for _, c := range r.Changes {
		// A removal that comes late is applied: at worst a segment that is held counts as missing.
		if s.latestNumber(c.Segment) >= c.Number || c.Number < s.floor && c.Added {
			continue
		}
		if c.Number < s.next {
			outOfOrder++
		}
		s.applyChange(c)
	}
	s.known = true
	s.next = max(s.next, r.Next)
	if asOf.After(s.lastAnswer) {
		s.lastAnswer = asOf
	}
	return outOfOrder
}

// OutOfOrderChanges returns how many reported changes were new although later ones were known.
func (t *Tracker) OutOfOrderChanges() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outOfOrder
}

// queueUnsent queues changes for the other processes if this process reports the store;
// t.mu is held.
func (t *Tracker) queueUnsent(address string, s *store, changes []Change) {
	if !t.reporting[address] {
		s.unsent = nil
		return
	}
	s.unsent = append(s.unsent, changes...)
	s.unsent = s.unsent[max(0, len(s.unsent)-maxUnsentChanges):]
}

// shouldFollow reports whether this process is to follow a store or engine itself, and records
// in t.reporting whether it does so for its domain; t.mu is held.
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

// updatePeers reads the domain's other processes from Peers and resets t.reporting; t.mu is
// held.
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

// isReporter reports whether this process is one of the reporters of an address, by a hash that
// ranks the domain's processes: all compute the same ranks, and a process that joins or leaves
// changes few of the reporters.
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

// clockWindow is the time over which the best reading of the endpoints' clock is taken: long
// enough to include a reading that arrived without delay, short enough for clocks that drift.
const clockWindow = 10 * time.Second

// endpointClock estimates how far the endpoints' clock is ahead of this process's clock. A
// delayed answer, or one read by a process that had been suspended, makes it look less far
// ahead, so the largest reading is the best.
type endpointClock struct {
	// best is the largest reading of the current window, which began at windowStart; previous
	// is that of the window before.
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

// offset returns the estimate in ms, and false if no reading is recent.
func (c *endpointClock) offset(now time.Time) (int64, bool) {
	return max(c.best, c.previous), !c.windowStart.IsZero() && now.Sub(c.windowStart) <= 3*clockWindow
}
