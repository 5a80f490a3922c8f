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
	"limpetwall/internal/transport/sleep"
)

const (
	// engineWait is the longest time for which a call for events waits at an engine.
	engineWait = time.Second
	// engineFreshFor is how long an engine's last answer is used. Correctness doesn't depend
	// on it: a failed import of an evicted segment costs a millisecond, and the segment is
	// prefilled instead.
	engineFreshFor = 3 * time.Second
	// startSpread is the time over which a process starts to follow its engines, each after a
	// random delay. An engine's first answer holds all events that it still has, 4,000 of them:
	// reading these answers all at once would use a starting process's whole processor for
	// most of a second while callers wait.
	startSpread = 4 * time.Second
	// startDelay comes before it: a starting process learns within it who the other processes of its
	// domain are, and leaves the engines to those that report them.
	startDelay = 500 * time.Millisecond
	// maxFullyFollowed is the largest number of engines that are all followed from the oldest
	// event they still have. In a larger fleet a process follows only the engines of its own
	// failure domain, to which it sends most requests, and only new events: the events of
	// 55 engines are 1 Mbit/s, and their stored events are 13 MB, which take ten seconds on a
	// small host's link of 10 Mbit/s, while an engine's cache is replaced within seconds.
	maxFullyFollowed = 16
	// maxFollowed bounds the engines that one process follows; each process follows different
	// ones. With 100 gateways and 1,000 engines, 333 of them in the gateway's failure domain,
	// following all 333 took 39% of a host's processor and 131 KB/s; following 64 takes 21% and
	// 56 KB/s. What the other engines hold is estimated from the requests that this process
	// has sent them.
	maxFollowed = 64
	// fromNow is larger than any event number: the engine answers that events are missing
	// and returns its newest number.
	fromNow = int64(1) << 50
	// engineRetryDelay follows a failed call. remoteRetryDelay follows a refusal by an engine of
	// another failure domain that has reached its limit of waiting calls: in a large fleet these
	// calls are left to the processes of its own domain, which send it most requests.
	engineRetryDelay = 4 * time.Second
	remoteRetryDelay = time.Minute
)

// ErrTooManyCalls is returned when a store or engine has reached its limit of waiting calls.
const ErrTooManyCalls = errors.ConstError("too many waiting calls")

// ResidentPrefix is the prefix of a prompt that an engine has in its cache.
type ResidentPrefix struct {
	Address string
	// Tokens and Segments count from the first segment, without a gap.
	Tokens, Segments int
}

// Engine describes an engine whose cache contents are followed.
type Engine struct {
	Domain string
	// TokenBytes is the size of one token's context on this engine.
	TokenBytes int
	// LinkBytesPerSecond is the rate at which other engines import from it.
	LinkBytesPerSecond int64
}

// SetEngines sets the engines whose cache contents are followed, by address.
func (t *Tracker) SetEngines(engines map[string]Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, e := range engines {
		if t.engines[address] == nil {
			t.engines[address] = newStore(routes.Store{Address: address, Domain: e.Domain, LinkBytesPerSecond: e.LinkBytesPerSecond})
			// Engines are never listed: their contents come from events alone.
			t.engines[address].listed = true
			// The processes that report an engine may take that long to begin. If all processes that
			// start together followed all engines meanwhile, their events, a quarter of a megabyte each,
			// would fill a link of 10 Mbit/s for four seconds.
			t.engines[address].reportedAt = t.Now().Add(startDelay + startSpread)
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

// firstEngineEvent returns the event number from which an engine is followed: the next one
// if reports of other processes have covered the events before.
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

// followedEngines lists the engines that this process follows itself; t.mu is held.
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

// followRank orders engines differently in each process. The order barely changes when
// engines are added or removed.
func (t *Tracker) followRank(address string) uint64 { return processRank(t.Self, address) }

// residentEngines lists the engines that hold a prefix of a prompt; t.mu is held.
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

// enginesKnown computes LookupResult.EnginesKnown; t.mu is held.
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

// followEngine follows an engine's events from firstEngineEvent on. It never lists the
// engine's contents, as that would stall the engine.
func (t *Tracker) followEngine(ctx context.Context, address string) {
	next := t.firstEngineEvent(address)
	if !sleep.For(ctx, startDelay+time.Duration(rand.Int64N(int64(startSpread)))) {
		return
	}
	p := pollPace{maxWait: engineWait}
	for p.pauseBeforeCall(ctx) && t.awaitRest(ctx, address) {
		callCtx, cancel := context.WithTimeout(ctx, p.callWait()+callMargin)
		events, err := t.Client.Events(callCtx, address, next, p.callWait())
		cancel()
		if err == nil {
			next = t.applyEngineEvents(address, events)
			t.notifyEngineStart(address, events.StartMS)
			continue
		}
		if ctx.Err() != nil {
			// Other processes report this engine from now on.
			return
		}
		p.saturated = p.saturated || errors.Is(err, ErrTooManyCalls)
		if wait := t.handleEngineFailure(address, err); wait > 0 && !sleep.For(ctx, sleep.Jitter(wait)) {
			return
		}
	}
}

// awaitRest waits until an engine accepts calls of this process again. It returns false if ctx has ended.
func (t *Tracker) awaitRest(ctx context.Context, address string) bool {
	if t.RestLeft == nil {
		return true
	}
	left := t.RestLeft(address)
	return left <= 0 || sleep.For(ctx, left)
}

// handleEngineFailure returns how long to wait before the next call to an engine, in addition
// to the pause of pollPace. An engine of this domain that refuses the call for its limit is
// only polled less often; the contents of one that does not answer are no longer used.
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
		t.Log.Info("engine does not answer; its cache contents are not used", zap.String("address", address), zap.Error(err))
	}
	return engineRetryDelay
}

// notifyEngineStart calls OnEngineStart if an engine's start time differs from the one it
// gave before.
func (t *Tracker) notifyEngineStart(address string, startMS int64) {
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
		e.loadListing(Listing{Epoch: events.Epoch, Next: firstNumber(events), Complete: map[SegmentKey]SegmentInfo{}}, now)
		events.Lost = false
	}
	// After a failed call the events continue where they stopped.
	e.known = true
	e.applyEvents(events, now)
	t.queueUnsent(address, e, events.Changes)
	return e.next
}

// firstNumber returns the number of the first change in an answer, or the next one if it has none.
func firstNumber(events Events) int64 {
	if len(events.Changes) == 0 {
		return events.Next
	}
	return events.Changes[0].Number
}
