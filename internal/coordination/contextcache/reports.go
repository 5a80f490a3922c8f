package contextcache

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// tellers is how many processes of a failure domain follow a store or engine for all of
	// them: if one dies or is frozen, the other is heard. Stores and engines hold about a
	// dozen calls for events. With a hundred gateways in five domains each follower of its own
	// was refused most of its calls, and a gateway knew two of three engines and not all
	// stores at a time.
	tellers = 2
	// storeUntold and engineUntold are how long a process waits for a teller's word before it
	// follows by itself: three of the tellers' messages may be lost, and a store stays usable
	// for nearly all of the time (freshFor).
	storeUntold  = 700 * time.Millisecond
	engineUntold = 1500 * time.Millisecond
	// followUntold is how long it then does so at least.
	followUntold = 3 * time.Second
	// tellerWait is the longest that a teller's call for a store's events waits: its answer
	// is told on, and must still be fresh then.
	tellerWait = 300 * time.Millisecond
	// mostUntold bounds the changes kept for telling, of one store or engine: some seconds of
	// the busiest. Older ones are dropped, as datagrams that are lost.
	mostUntold = 512
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

// sharing is what a store is told of, and told on.
type sharing struct {
	// toldAt is when another process last told of it.
	toldAt time.Time
	// alone is until when this process follows it although others should.
	alone time.Time
	// listed tells that what it held before this process's start is known: by a list, or
	// since it has started anew meanwhile.
	listed bool
	// untold changes are to be told to others.
	untold []Change
}

// DrainReports takes what is to be told now of the stores and engines that this process follows
// for its failure domain.
func (k *Tracker) DrainReports() []Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	offset, known := k.endpointClock.offset(now)
	if !known {
		return nil
	}
	var out []Report
	for address := range k.telling {
		s, fresh := k.stores[address], freshFor
		if s == nil {
			s, fresh = k.engines[address], engineFresh
		}
		if s == nil {
			continue
		}
		r := Report{Address: address, Epoch: s.epoch, Next: s.next, Changes: s.untold}
		s.untold = nil
		if s.known && now.Sub(s.heard) <= fresh {
			r.AsOf = s.heard.UnixMilli() + offset
		}
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Address < out[b].Address })
	return out
}

// ApplyReport takes in what another process tells. Of two that tell of one store the later
// word counts: what was said of its life before it started anew comes too late.
func (k *Tracker) ApplyReport(r Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	s, isStore := k.stores[r.Address]
	if !isStore {
		s = k.engines[r.Address]
	}
	offset, known := k.endpointClock.offset(now)
	if s == nil || !known {
		return
	}
	s.toldAt = now
	if r.AsOf == 0 || (isStore && !s.listed) {
		return
	}
	asOf := time.UnixMilli(r.AsOf - offset)
	if asOf.After(now) {
		asOf = now
	}
	if r.Epoch != s.epoch {
		if !asOf.After(s.heard) {
			return
		}
		k.Log.Info("context is told of a new start", zap.String("address", r.Address), zap.Int64("epoch", r.Epoch), zap.Int64("before", s.epoch))
		s.load(Listing{Epoch: r.Epoch, Complete: map[SegmentKey]SegmentInfo{}}, asOf)
	}
	s.takeTold(r, asOf)
}

// takeTold applies the changes that are not known yet.
func (s *store) takeTold(r Report, asOf time.Time) {
	for _, c := range r.Changes {
		if c.Number >= s.next {
			s.change(c)
		}
	}
	s.known = true
	s.next = max(s.next, r.Next)
	if asOf.After(s.heard) {
		s.heard = asOf
	}
}

// keepUntold keeps changes for the others if this process tells of the store; k.mu is held.
func (k *Tracker) keepUntold(address string, s *store, changes []Change) {
	if !k.telling[address] {
		s.untold = nil
		return
	}
	s.untold = append(s.untold, changes...)
	s.untold = s.untold[max(0, len(s.untold)-mostUntold):]
}

// follows decides whether this process follows a store or engine, and notes whether it tells
// others of it; k.mu is held.
func (k *Tracker) follows(address string, s *store, untold time.Duration, now time.Time) bool {
	if len(k.peers) < tellers {
		return true
	}
	if k.tells(address) {
		k.telling[address] = true
		return true
	}
	if now.Sub(s.toldAt) > untold && now.After(s.alone) {
		s.alone = now.Add(followUntold)
	}
	return now.Before(s.alone) || !s.listed
}

// setPeers takes in who the others of the domain are; k.mu is held.
func (k *Tracker) setPeers() {
	if k.Peers == nil {
		return
	}
	peers := k.Peers()
	slices.Sort(peers)
	if !slices.Equal(peers, k.peers) {
		k.peers, k.chosen = peers, map[string]bool{}
	}
	k.telling = map[string]bool{}
}

// tells ranks this process among the others of its domain for an address: all come to the
// same, and one that comes or goes changes little.
func (k *Tracker) tells(address string) bool {
	if chosen, known := k.chosen[address]; known {
		return chosen
	}
	own, before := k.followRank(address), 0
	for _, p := range k.peers {
		if rank(p, address) < own {
			before++
		}
	}
	k.chosen[address] = before < tellers
	return k.chosen[address]
}

func rank(process, address string) uint64 { return xxhash.Sum64String(process + "\x00" + address) }

// clockWindow is how long the best of the endpoints' clock's readings stands: long enough to
// hold one that came at once, short enough for clocks that drift.
const clockWindow = 10 * time.Second

// endpointClock estimates how far the endpoints' clock is ahead of this process's. An answer
// that was long on its way, or read by a process that had been suspended, makes it look less
// far ahead: the largest reading is the best.
type endpointClock struct {
	// best reading of the present window and of the one before, which ended at began.
	best, before int64
	began        time.Time
}

func (c *endpointClock) observe(told int64, now time.Time) {
	reading := told - now.UnixMilli()
	switch age := now.Sub(c.began); {
	case c.began.IsZero() || age > 2*clockWindow:
		c.best, c.before, c.began = reading, reading, now
	case age > clockWindow:
		c.best, c.before, c.began = reading, c.best, now
	default:
		c.best = max(c.best, reading)
	}
}

// offset in ms; false if no reading is recent.
func (c *endpointClock) offset(now time.Time) (int64, bool) {
	return max(c.best, c.before), !c.began.IsZero() && now.Sub(c.began) <= 3*clockWindow
}
