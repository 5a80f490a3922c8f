package contextcache

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/pause"
)

const (
	// engineWait is the longest that an engine holds a call for events.
	engineWait = time.Second
	// engineFreshFor is how long an engine's last word is used. Nothing rests on it: a
	// part that is gone costs a millisecond, and is read.
	engineFreshFor = 3 * time.Second
	// startSpread is the time over which a process begins to follow engines, one
	// after the other: each tells all that it remembers at first, 4,000 events, and
	// reading them all at once would take a starting process's whole processor for
	// most of a second while callers wait.
	startSpread = 4 * time.Second
	// maxFullyFollowed is the number of engines up to which all are followed, and from the
	// oldest event that they remember. In a larger one a process follows those of its own
	// failure domain, whom it sends most, and from now on: events of 55 engines are 1 Mbit/s,
	// and what these remember is 13 MB, ten seconds of a small host's link of 10 Mbit/s,
	// while what an engine keeps is replaced within seconds.
	maxFullyFollowed = 16
	// maxFollowed engines are followed by one process, others by each: with 100 gateways before
	// 1,000 engines, 333 of them near, following all took 39% of a host's processor and 131 KB/s,
	// and 64 take 21% and 56 KB/s. What the others keep is known by what this process itself
	// has sent them.
	maxFollowed = 64
	// fromNow is beyond the number of any event: an engine answers that some are missing
	// and tells its newest number.
	fromNow = int64(1) << 50
	// engineRetryDelay follows a failed call, farPause the refusal by an engine of another
	// failure domain that holds as many calls as it takes. In a large fleet its own
	// domain's processes, who send it most, are to find room.
	engineRetryDelay = 4 * time.Second
	remoteRetryDelay = time.Minute
)

// ErrTooManyCalls tells that an engine holds as many calls as it takes.
const ErrTooManyCalls = errors.ConstError("too many calls are held")

// ResidentPrefix tells how much of a prompt's context an engine keeps.
type ResidentPrefix struct {
	Address string
	// Tokens and Segments from the first part on, without a gap.
	Tokens, Segments int
}

// Engine is an engine whose memory is followed.
type Engine struct {
	Domain string
	// TokenBytes is the size of a token's context there.
	TokenBytes int
	// LinkBytesPerSecond is the rate at which others import from it.
	LinkBytesPerSecond int64
}

// SetEngines tells the engines whose memory is followed, by address.
func (t *Tracker) SetEngines(engines map[string]Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, e := range engines {
		if t.engines[address] == nil {
			t.engines[address] = newStore(routes.Store{Address: address, Domain: e.Domain, LinkBytesPerSecond: e.LinkBytesPerSecond})
			// Engines are not listed.
			t.engines[address].listed = true
			t.wake()
		}
		t.tokenBytes = max(t.tokenBytes, e.TokenBytes)
	}
	for address := range t.engines {
		if _, ok := engines[address]; !ok {
			delete(t.engines, address)
			t.wake()
		}
	}
}

// firstEngineEvent is the number from which an engine's events are followed: where others have
// told of it, the next one.
func (t *Tracker) firstEngineEvent(address string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.engines[address]; e != nil && e.known && e.next > 0 {
		return e.next
	}
	if len(t.engines) > maxFullyFollowed {
		return fromNow
	}
	return 0
}

// followedEngines lists the engines whose memory this process follows itself; k.mu is held.
func (t *Tracker) followedEngines(now time.Time) []string {
	var local, all []string
	for address, e := range t.engines {
		all = append(all, address)
		if e.config.Domain == t.Domain {
			local = append(local, address)
		}
	}
	if len(all) <= maxFullyFollowed {
		return all
	}
	if len(local) == 0 {
		local = all
	}
	local = slices.DeleteFunc(local, func(address string) bool {
		return !t.shouldFollow(address, t.engines[address], engineReportTimeout, now)
	})
	if len(local) > maxFollowed {
		sort.Slice(local, func(a, b int) bool { return t.followRank(local[a]) < t.followRank(local[b]) })
		for _, address := range local[maxFollowed:] {
			delete(t.reporting, address)
		}
		local = local[:maxFollowed]
	}
	return local
}

// followRank orders engines differently in each process, and nearly the same when some
// come or go.
func (t *Tracker) followRank(address string) uint64 { return processRank(t.Self, address) }

// residentEngines lists the engines that keep the beginning of a prompt; k.mu is held.
func (t *Tracker) residentEngines(salt string, segments []Segment, now time.Time) []ResidentPrefix {
	var out []ResidentPrefix
	for address, e := range t.engines {
		if !e.known || now.Sub(e.lastAnswer) > engineFreshFor {
			continue
		}
		if r := e.residentPrefix(salt, segments); r.Segments > 0 {
			r.Address = address
			out = append(out, r)
		}
	}
	return out
}

// enginesKnown decides Contents.Informed; k.mu is held.
func (t *Tracker) enginesKnown(now time.Time) bool {
	known, local, knownLocal := 0, 0, 0
	for _, e := range t.engines {
		fresh := e.known && now.Sub(e.lastAnswer) <= engineFreshFor
		if fresh {
			known++
		}
		if e.config.Domain == t.Domain {
			local++
			if fresh {
				knownLocal++
			}
		}
	}
	if local == 0 {
		return known > 0 && 2*known >= len(t.engines)
	}
	return knownLocal > 0 && 2*knownLocal >= local
}

func (s *store) residentPrefix(salt string, segments []Segment) ResidentPrefix {
	var r ResidentPrefix
	for _, segment := range segments {
		if !s.holds(SegmentKey{salt, segment.ID}, segment.Tokens) {
			break
		}
		r.Segments++
		r.Tokens += segment.Tokens
	}
	return r
}

// followEngine follows an engine's events from the oldest it still has. It is
// never listed: that would stall its work.
func (t *Tracker) followEngine(ctx context.Context, address string) {
	next := t.firstEngineEvent(address)
	if !pause.For(ctx, time.Duration(rand.Int64N(int64(startSpread)))) {
		return
	}
	p := pollPace{maxWait: engineWait}
	for p.pauseBeforeCall(ctx) {
		call, cancel := context.WithTimeout(ctx, p.callWait()+callMargin)
		events, err := t.Client.Events(call, address, next, p.callWait())
		cancel()
		if err == nil {
			next = t.applyEngineEvents(address, events)
			t.reportEngineStart(address, events.StartMS)
			continue
		}
		if ctx.Err() != nil {
			// Others tell of it from now on.
			return
		}
		p.saturated = p.saturated || errors.Is(err, ErrTooManyCalls)
		if wait := t.handleEngineFailure(address, err); wait > 0 && !pause.For(ctx, pause.Jitter(wait)) {
			return
		}
	}
}

// handleEngineFailure says how long to wait before an engine is asked again, beside its
// pace. An engine of this domain that holds too many calls is only asked less; of
// one that does not answer nothing is used any more.
func (t *Tracker) handleEngineFailure(address string, err error) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[address]
	if e == nil {
		return engineRetryDelay
	}
	if errors.Is(err, ErrTooManyCalls) {
		if e.config.Domain != t.Domain {
			return remoteRetryDelay
		}
		return 0
	}
	if e.known {
		e.known = false
		t.Log.Info("engine's memory is not known", zap.String("address", address), zap.Error(err))
	}
	return engineRetryDelay
}

// reportEngineStart passes on that an engine has told of another start than before.
func (t *Tracker) reportEngineStart(address string, startMS int64) {
	t.mu.Lock()
	e := t.engines[address]
	changed := e != nil && startMS != 0 && e.startMS != startMS
	if changed {
		e.startMS = startMS
	}
	t.mu.Unlock()
	if changed && t.OnEngineStart != nil {
		t.OnEngineStart(address, startMS)
	}
}

func (t *Tracker) applyEngineEvents(address string, events Events) (next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[address]
	if e == nil {
		return 0
	}
	now := t.Now()
	if events.ClockMS > 0 {
		t.observeClock(events.ClockMS, now)
	}
	if e.epoch != events.Epoch || events.Lost {
		e.loadListing(Listing{Epoch: events.Epoch, Next: events.Next, Complete: map[SegmentKey]SegmentInfo{}}, now)
		events.Lost = false
	}
	// After a failed call the events go on where they stopped.
	e.known = true
	e.applyEvents(events, now)
	t.queueUnsent(address, e, events.Changes)
	return e.next
}
