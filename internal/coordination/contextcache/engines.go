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
	// engineFresh is how long an engine's last word is used. Nothing rests on it: a
	// part that is gone costs a millisecond, and is read.
	engineFresh = 3 * time.Second
	// startSpread is the time over which a process begins to follow engines, one
	// after the other: each tells all that it remembers at first, 4,000 events, and
	// reading them all at once would take a starting process's whole processor for
	// most of a second while callers wait.
	startSpread = 4 * time.Second
	// smallFleet is the number of engines up to which all are followed, and from the
	// oldest event that they remember. In a larger one a process follows those of its own
	// failure domain, whom it sends most, and from now on: events of 55 engines are 1 Mbit/s,
	// and what these remember is 13 MB, ten seconds of a small host's link of 10 Mbit/s,
	// while what an engine keeps is replaced within seconds.
	smallFleet = 16
	// mostFollowed engines are followed by one process, others by each: with 100 gateways before
	// 1,000 engines, 333 of them near, following all took 39% of a host's processor and 131 KB/s,
	// and 64 take 21% and 56 KB/s. What the others keep is known by what this process itself
	// has sent them.
	mostFollowed = 64
	// fromNow is beyond the number of any event: an engine answers that some are missing
	// and tells its newest number.
	fromNow = int64(1) << 50
	// enginePause follows a failed call, farPause the refusal by an engine of another
	// failure domain that holds as many calls as it takes. In a large fleet its own
	// domain's processes, who send it most, are to find room.
	enginePause = 4 * time.Second
	farPause    = time.Minute
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
func (k *Tracker) SetEngines(engines map[string]Engine) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for address, e := range engines {
		if k.engines[address] == nil {
			k.engines[address] = newStore(routes.Store{Address: address, Domain: e.Domain, LinkBytesPerSecond: e.LinkBytesPerSecond})
			// Engines are not listed.
			k.engines[address].listed = true
			k.wake()
		}
		k.tokenBytes = max(k.tokenBytes, e.TokenBytes)
	}
	for address := range k.engines {
		if _, still := engines[address]; !still {
			delete(k.engines, address)
			k.wake()
		}
	}
}

// firstEvent is the number from which an engine's events are followed: where others have
// told of it, the next one.
func (k *Tracker) firstEvent(address string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.engines[address]; e != nil && e.known && e.next > 0 {
		return e.next
	}
	if len(k.engines) > smallFleet {
		return fromNow
	}
	return 0
}

// followedEngines lists the engines whose memory this process follows itself; k.mu is held.
func (k *Tracker) followedEngines(now time.Time) []string {
	var near, all []string
	for address, e := range k.engines {
		all = append(all, address)
		if e.config.Domain == k.Domain {
			near = append(near, address)
		}
	}
	if len(all) <= smallFleet {
		return all
	}
	if len(near) == 0 {
		near = all
	}
	near = slices.DeleteFunc(near, func(address string) bool {
		return !k.follows(address, k.engines[address], engineUntold, now)
	})
	if len(near) > mostFollowed {
		sort.Slice(near, func(a, b int) bool { return k.followRank(near[a]) < k.followRank(near[b]) })
		for _, address := range near[mostFollowed:] {
			delete(k.telling, address)
		}
		near = near[:mostFollowed]
	}
	return near
}

// followRank orders engines differently in each process, and nearly the same when some
// come or go.
func (k *Tracker) followRank(address string) uint64 { return rank(k.Self, address) }

// resident lists the engines that keep the beginning of a prompt; k.mu is held.
func (k *Tracker) resident(salt string, parts []Segment, now time.Time) []ResidentPrefix {
	var out []ResidentPrefix
	for address, e := range k.engines {
		if !e.known || now.Sub(e.heard) > engineFresh {
			continue
		}
		if r := e.resident(salt, parts); r.Segments > 0 {
			r.Address = address
			out = append(out, r)
		}
	}
	return out
}

// informed decides Contents.Informed; k.mu is held.
func (k *Tracker) informed(now time.Time) bool {
	known, near, knownNear := 0, 0, 0
	for _, e := range k.engines {
		fresh := e.known && now.Sub(e.heard) <= engineFresh
		if fresh {
			known++
		}
		if e.config.Domain == k.Domain {
			near++
			if fresh {
				knownNear++
			}
		}
	}
	if near == 0 {
		return known > 0 && 2*known >= len(k.engines)
	}
	return knownNear > 0 && 2*knownNear >= near
}

func (s *store) resident(salt string, parts []Segment) ResidentPrefix {
	var r ResidentPrefix
	for _, p := range parts {
		if !s.holds(SegmentKey{salt, p.ID}, p.Tokens) {
			break
		}
		r.Segments++
		r.Tokens += p.Tokens
	}
	return r
}

// followEngine follows an engine's events from the oldest it still has. It is
// never listed: that would stall its work.
func (k *Tracker) followEngine(ctx context.Context, address string) {
	next := k.firstEvent(address)
	if !pause.For(ctx, time.Duration(rand.Int64N(int64(startSpread)))) {
		return
	}
	p := pace{usual: engineWait}
	for p.rest(ctx) {
		call, cancel := context.WithTimeout(ctx, p.wait()+callMargin)
		events, err := k.Client.Events(call, address, next, p.wait())
		cancel()
		if err == nil {
			next = k.takeEngineEvents(address, events)
			k.tellStart(address, events.StartMS)
			continue
		}
		if ctx.Err() != nil {
			// Others tell of it from now on.
			return
		}
		p.crowded = p.crowded || errors.Is(err, ErrTooManyCalls)
		if wait := k.afterFailure(address, err); wait > 0 && !pause.For(ctx, pause.Jitter(wait)) {
			return
		}
	}
}

// afterFailure says how long to wait before an engine is asked again, beside its
// pace. An engine of this domain that holds too many calls is only asked less; of
// one that does not answer nothing is used any more.
func (k *Tracker) afterFailure(address string, err error) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.engines[address]
	if e == nil {
		return enginePause
	}
	if errors.Is(err, ErrTooManyCalls) {
		if e.config.Domain != k.Domain {
			return farPause
		}
		return 0
	}
	if e.known {
		e.known = false
		k.Log.Info("engine's memory is not known", zap.String("address", address), zap.Error(err))
	}
	return enginePause
}

// tellStart passes on that an engine has told of another start than before.
func (k *Tracker) tellStart(address string, born int64) {
	k.mu.Lock()
	e := k.engines[address]
	news := e != nil && born != 0 && e.born != born
	if news {
		e.born = born
	}
	k.mu.Unlock()
	if news && k.OnEngineStart != nil {
		k.OnEngineStart(address, born)
	}
}

func (k *Tracker) takeEngineEvents(address string, events Events) (next int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.engines[address]
	if e == nil {
		return 0
	}
	now := k.Now()
	if events.ClockMS > 0 {
		k.takeClock(events.ClockMS, now)
	}
	if e.epoch != events.Epoch || events.Lost {
		e.load(Listing{Epoch: events.Epoch, Next: events.Next, Complete: map[SegmentKey]SegmentInfo{}}, now)
		events.Lost = false
	}
	// After a failed call the events go on where they stopped.
	e.known = true
	e.apply(events, now)
	k.keepUntold(address, e, events.Changes)
	return e.next
}
