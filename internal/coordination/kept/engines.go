package kept

import (
	"context"
	"math/rand/v2"
	"time"

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
	// enginePause follows a failed call. An engine holds a bounded number of calls;
	// those beyond it are refused and cost as much as a report, so that processes
	// that come too late ask seldom, and not in step.
	enginePause = 4 * time.Second
)

// Resident tells how much of a prompt's context an engine keeps.
type Resident struct {
	Address string
	// Tokens and Parts from the first part on, without a gap.
	Tokens, Parts int
}

// SetEngines tells the addresses of the engines whose memory is followed.
func (k *Keeper) SetEngines(addresses map[string]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for address := range addresses {
		if k.engines[address] == nil {
			k.engines[address] = newStore(routes.Store{Address: address})
			k.wake()
		}
	}
	for address := range k.engines {
		if !addresses[address] {
			delete(k.engines, address)
			k.wake()
		}
	}
}

// Resident lists the engines that keep the beginning of a prompt.
func (k *Keeper) Resident(salt string, parts []Part) []Resident {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []Resident
	now := k.Now()
	for address, e := range k.engines {
		if !e.known || now.Sub(e.heard) > engineFresh {
			continue
		}
		if r := e.resident(salt, parts); r.Parts > 0 {
			r.Address = address
			out = append(out, r)
		}
	}
	return out
}

// Informed tells whether most engines' memory is known, so that what none of them
// is said to keep is kept by none.
func (k *Keeper) Informed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, known := k.Now(), 0
	for _, e := range k.engines {
		if e.known && now.Sub(e.heard) <= engineFresh {
			known++
		}
	}
	return known > 0 && 2*known >= len(k.engines)
}

func (s *store) resident(salt string, parts []Part) Resident {
	var r Resident
	for _, p := range parts {
		if !s.holds(PartKey{salt, p.ID}, p.Tokens) {
			break
		}
		r.Parts++
		r.Tokens += p.Tokens
	}
	return r
}

// followEngine follows an engine's events from the oldest it still has. It is
// never listed: that would stall its work.
func (k *Keeper) followEngine(ctx context.Context, address string) {
	next := int64(0)
	if !pause.For(ctx, time.Duration(rand.Int64N(int64(startSpread)))) {
		return
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, engineWait+callMargin)
		events, err := k.Feed.Events(call, address, next, engineWait)
		cancel()
		if err != nil {
			k.forgetEngine(address, err)
			next = 0
			if !pause.For(ctx, enginePause/2+time.Duration(rand.Int64N(int64(enginePause)))) {
				return
			}
			continue
		}
		next = k.takeEngineEvents(address, events)
	}
}

func (k *Keeper) forgetEngine(address string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.engines[address]; e != nil && e.known {
		e.known = false
		k.Log.Info("engine's memory is not known", zap.String("address", address), zap.Error(err))
	}
}

func (k *Keeper) takeEngineEvents(address string, events Events) (next int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.engines[address]
	if e == nil {
		return 0
	}
	now := k.Now()
	if events.ClockMS > 0 {
		k.clock, k.clockKnown = events.ClockMS-now.UnixMilli(), true
	}
	if !e.known || e.epoch != events.Epoch || events.Lost {
		e.load(Listing{Epoch: events.Epoch, Next: events.Next, Whole: map[PartKey]Held{}}, now)
		events.Lost = false
	}
	e.apply(events, now)
	return e.next
}
