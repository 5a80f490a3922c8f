package kept

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/pause"
)

// Feed reads a store's contents.
type Feed interface {
	List(ctx context.Context, address string) (Listing, error)
	// Events waits for changes after since.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error)
	// Free drops parts if the store is still in the given epoch.
	Free(ctx context.Context, address string, epoch int64, parts []PartKey) error
}

// Keeper follows all stores and plans imports and saves. Safe for concurrent use.
type Keeper struct {
	Feed Feed
	Log  *zap.Logger
	// Domain of this process.
	Domain string
	// Now is a clock that goes on while the host is suspended.
	Now func() time.Time

	mu     sync.Mutex
	stores map[string]*store
	// engines hold what each engine keeps in its own memory.
	engines map[string]*store
	// clock is the endpoints' clock less this process's, in ms; known once told.
	clock      int64
	clockKnown bool
	// tokenBytes is the size of a token's context, the largest of all engines'.
	tokenBytes int
	changed    chan struct{}
}

// New returns a keeper that knows no store.
func New(feed Feed, log *zap.Logger, domain string, now func() time.Time) *Keeper {
	return &Keeper{Feed: feed, Log: log, Domain: domain, Now: now, stores: map[string]*store{}, engines: map[string]*store{}, changed: make(chan struct{}, 1)}
}

// SetStores tells which stores the configuration names.
func (k *Keeper) SetStores(services map[string]*routes.Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := map[string]*store{}
	for _, s := range services {
		if s.Store == nil {
			continue
		}
		old, ok := k.stores[s.Store.Address]
		if !ok {
			old = newStore(*s.Store)
		}
		old.config = *s.Store
		next[s.Store.Address] = old
	}
	k.stores = next
	k.wake()
}

// wake tells Run that there are other stores or engines.
func (k *Keeper) wake() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

const (
	// eventWait is how long one call waits for changes: shorter than freshFor, so
	// that a store without changes stays usable.
	eventWait = 600 * time.Millisecond
	// callMargin is how long an answer may take beyond that.
	callMargin = 300 * time.Millisecond
	// listTimeout bounds a list.
	listTimeout = time.Second
	// storePause follows a failed call.
	storePause = 300 * time.Millisecond
)

// Run follows the stores and engines, one duty each, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var duties sync.WaitGroup
	defer duties.Wait()
	running := map[string]context.CancelFunc{}
	for {
		wanted := k.followers()
		for address, follow := range wanted {
			if running[address] == nil {
				own, cancel := context.WithCancel(ctx)
				running[address] = cancel
				duties.Go(func() { follow(own, address) })
			}
		}
		for address, cancel := range running {
			if wanted[address] == nil {
				cancel()
				delete(running, address)
			}
		}
		select {
		case <-k.changed:
		case <-ctx.Done():
			return
		}
	}
}

// followers is what each address is followed by.
func (k *Keeper) followers() map[string]func(context.Context, string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string]func(context.Context, string){}
	for _, address := range k.followedEngines() {
		out[address] = k.followEngine
	}
	for address := range k.stores {
		out[address] = k.follow
	}
	return out
}

func (k *Keeper) follow(ctx context.Context, address string) {
	for ctx.Err() == nil {
		if err := k.followOnce(ctx, address); err != nil && ctx.Err() == nil {
			k.forget(address, err)
			pause.For(ctx, storePause)
		}
	}
}

// forget stops the use of a store that does not answer: it may be restarting.
func (k *Keeper) forget(address string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.stores[address]; s != nil && s.known {
		s.known = false
		k.Log.Warn("context store is not used", zap.String("store", address), zap.Int64("epoch", s.epoch), zap.Error(err))
	}
}

// followOnce lists a store and follows its events until a call fails.
func (k *Keeper) followOnce(ctx context.Context, address string) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	began := k.Now()
	listing, err := k.Feed.List(call, address)
	cancel()
	if err != nil {
		return err
	}
	next, ok := k.takeListing(address, listing, began)
	p := pace{usual: eventWait}
	for ok && p.rest(ctx) {
		call, cancel := context.WithTimeout(ctx, p.wait()+callMargin)
		began := k.Now()
		events, err := k.Feed.Events(call, address, next, p.wait())
		cancel()
		if errors.Is(err, ErrTooMany) {
			// What is known stays good for as long as it is fresh; a list would cost more.
			p.crowded = true
			continue
		}
		if err != nil {
			return err
		}
		next, ok = k.takeEvents(address, events, began)
	}
	return nil
}

// takeListing records a list as of when it was asked for.
func (k *Keeper) takeListing(address string, l Listing, asked time.Time) (next int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stores[address]
	if s == nil {
		return 0, false
	}
	s.load(l, asked)
	k.Log.Info("context store listed", zap.String("store", address), zap.Int64("epoch", l.Epoch), zap.Int("parts", len(l.Whole)),
		zap.Int("tokens", s.used), zap.Int("partial", len(l.Partial)))
	return s.next, true
}

func (k *Keeper) takeEvents(address string, e Events, asked time.Time) (next int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stores[address]
	if s == nil {
		return 0, false
	}
	now := k.Now()
	if e.ClockMS > 0 {
		k.clock, k.clockKnown = e.ClockMS-now.UnixMilli(), true
	}
	// A call that waited was answered at its end: what it says is as of then, less
	// the way of the answer, which callMargin bounds.
	heard := now.Add(-callMargin / 2)
	if heard.Before(asked) {
		heard = asked
	}
	ok = s.apply(e, heard)
	s.expire(now)
	return s.next, ok
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// importTime is how long an import may take; one that is not complete then is
// thrown away by the engine. A store's parts are freed only later than that.
const importTime = 1500 * time.Millisecond

// Import is a part of a prompt as stores and engines know it.
type Import struct {
	Tokens int
	// Stored tells that a store or an engine holds the part whole: Domain is its own, and
	// Time what the transfer takes within it.
	Stored bool
	Domain string
	Time   time.Duration
}

// Imports tells of each part of a prompt whether it can be brought to an engine, and from
// where Plan would bring it.
func (k *Keeper) Imports(salt string, parts []Part) []Import {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	out := make([]Import, 0, len(parts))
	_, engine := k.holders(salt, parts, "", now)
	for n, p := range parts {
		out = append(out, Import{Tokens: p.Tokens})
		if !k.clockKnown {
			continue
		}
		source := k.engines[engine.Address]
		if n >= engine.Parts {
			source = k.stores[k.holderOf(PartKey{salt, p.ID}, p.Tokens, now)]
		}
		if source != nil {
			out[n].Stored, out[n].Domain, out[n].Time = true, source.config.Domain, source.transfer(p.Tokens, k.tokenBytes)
		}
	}
	return out
}

// Plan says for each part of a prompt where it comes from and goes to.
type Plan struct {
	// From and To hold an address for each part, "" for none.
	From, To []string
	// Stored tokens, from the first part on, are held by stores.
	Stored int
	// Until is the end of imports by the endpoints' clock, 0 if it is not known.
	Until int64
}

// Plan decides where a prompt's parts are imported from and where they are saved.
// target is the address of the engine that the prompt is sent to. Another engine is a
// source before a store is: its link is faster and less asked for.
func (k *Keeper) Plan(salt, context string, parts []Part, target string) Plan {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	p := Plan{From: make([]string, len(parts)), To: make([]string, len(parts))}
	if !k.clockKnown {
		return p
	}
	p.Until = now.UnixMilli() + k.clock + importTime.Milliseconds()
	own, other := k.holders(salt, parts, target, now)
	unbroken := true
	for i, part := range parts {
		key := PartKey{salt, part.ID}
		holder := k.holderOf(key, part.Tokens, now)
		if holder != "" && unbroken {
			p.Stored += part.Tokens
		} else {
			unbroken = false
		}
		switch {
		case i < own:
		case i < other.Parts:
			p.From[i] = other.Address
		default:
			p.From[i] = holder
		}
		if holder == "" {
			p.To[i] = k.keep(key, context, part.Tokens, now)
		}
	}
	return p
}

// holders tells how many of a prompt's first parts the target keeps, and which other
// engine keeps most.
func (k *Keeper) holders(salt string, parts []Part, target string, now time.Time) (own int, other Resident) {
	for _, r := range k.resident(salt, parts, now) {
		switch {
		case r.Address == target:
			own = r.Parts
		case r.Parts > other.Parts:
			other = r
		}
	}
	return own, other
}

// holderOf finds a store that holds a part, one of this failure domain first.
func (k *Keeper) holderOf(key PartKey, tokens int, now time.Time) string {
	best := ""
	for address, s := range k.stores {
		if !s.usable(now) || !s.holds(key, tokens) {
			continue
		}
		if best == "" || s.config.Domain == k.Domain {
			best = address
		}
	}
	return best
}

// keep picks the store that a part is saved in, "" for none: all processes choose the
// same, by a hash of the context, in proportion to the stores' memory. A full one is
// followed by the next in its order.
func (k *Keeper) keep(key PartKey, context string, tokens int, now time.Time) string {
	best, bestRank := "", 0.0
	for address, s := range k.stores {
		if !s.usable(now) || s.holds(key, 1) || !s.hasRoom(key, tokens, now) {
			continue
		}
		rank := rendezvous(address, context, s.config.MemoryTokens)
		if best == "" || rank > bestRank {
			best, bestRank = address, rank
		}
	}
	if best == "" || !k.stores[best].maySave(key, tokens, now) {
		return ""
	}
	return best
}

// rendezvous ranks a store for a context by weighted highest random weight.
func rendezvous(address, context string, weight int) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(xxhash.Sum64String(address+"\x00"+context)>>11) + 0.5) * unit
	return float64(weight) / -math.Log(u)
}

// maxFreed bounds one call; a store answers it within its listing's time.
const maxFreed = 200

// Clean frees the parts that no engine can use any more. An engine that has newer
// weights has ended all runs under older ones, so nothing reads them: it needs no
// word with other processes, but one process is enough.
func (k *Keeper) Clean(ctx context.Context, oldest map[string]int64) {
	for address, job := range k.obsolete(oldest) {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		err := k.Feed.Free(call, address, job.epoch, job.parts)
		cancel()
		k.Log.Info("obsolete context freed", zap.String("store", address), zap.Int("parts", len(job.parts)), zap.Error(err))
	}
}

// freeing is what is to be freed in one store.
type freeing struct {
	epoch int64
	parts []PartKey
}

func (k *Keeper) obsolete(oldest map[string]int64) map[string]freeing {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string]freeing{}
	for address, s := range k.stores {
		if !s.usable(k.Now()) {
			continue
		}
		if parts := s.obsolete(oldest); len(parts) > 0 {
			out[address] = freeing{s.epoch, parts[:min(len(parts), maxFreed)]}
		}
	}
	return out
}
