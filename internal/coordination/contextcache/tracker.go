package contextcache

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/pause"
)

// Client reads a store's contents.
type Client interface {
	List(ctx context.Context, address string) (Listing, error)
	// Events waits for changes after since.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error)
	// Free drops parts if the store is still in the given epoch.
	Free(ctx context.Context, address string, epoch int64, parts []SegmentKey) error
}

// Tracker follows all stores and plans imports and saves. Safe for concurrent use.
type Tracker struct {
	Client Client
	Log    *zap.Logger
	// Domain of this process.
	Domain string
	// Self names this process among those of its domain.
	Self string
	// Peers, if set, lists the others of its domain that tell what they follow, by the names
	// that they have there; see DrainReports.
	Peers func() []string
	// Now is a clock that goes on while the host is suspended.
	Now func() time.Time
	// OnEngineStart, if set, is called when an engine's events tell of a start that they had not
	// told of before.
	OnEngineStart func(address string, born int64)

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
	// peers as last told; chosen remembers for each address whether they leave it to this
	// process, telling holds those that it follows for them.
	peers           []string
	chosen, telling map[string]bool
	endpointClock   endpointClock
}

// NewTracker returns a keeper that knows no store.
func NewTracker(feed Client, log *zap.Logger, domain string, now func() time.Time) *Tracker {
	return &Tracker{Client: feed, Log: log, Domain: domain, Now: now, stores: map[string]*store{}, engines: map[string]*store{}, changed: make(chan struct{}, 1)}
}

// SetStores tells which stores the configuration names.
func (k *Tracker) SetStores(services map[string]*routes.Service) {
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
func (k *Tracker) wake() {
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
	// reviewEvery is how often a process looks whether it is told of all that it does not
	// follow.
	reviewEvery = 200 * time.Millisecond
)

// Run follows the stores and engines, one duty each, until ctx ends.
func (k *Tracker) Run(ctx context.Context) {
	var duties sync.WaitGroup
	defer duties.Wait()
	running := map[string]context.CancelFunc{}
	ticker := time.NewTicker(reviewEvery)
	defer ticker.Stop()
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
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// followers is what each address is followed by.
func (k *Tracker) followers() map[string]func(context.Context, string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	k.setPeers()
	out := map[string]func(context.Context, string){}
	for _, address := range k.followedEngines(now) {
		out[address] = k.followEngine
	}
	for address, s := range k.stores {
		if k.follows(address, s, storeUntold, now) {
			out[address] = k.follow
		}
	}
	return out
}

func (k *Tracker) follow(ctx context.Context, address string) {
	for ctx.Err() == nil {
		if err := k.followOnce(ctx, address); err != nil && ctx.Err() == nil {
			k.forget(address, err)
			pause.For(ctx, storePause)
		}
	}
}

// forget stops the use of a store that does not answer: it may be restarting.
func (k *Tracker) forget(address string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.stores[address]; s != nil && s.known {
		s.known = false
		k.Log.Warn("context store is not used", zap.String("store", address), zap.Int64("epoch", s.epoch), zap.Error(err))
	}
}

// followOnce follows a store's events until a call fails, from a list on if what it holds is
// not known.
func (k *Tracker) followOnce(ctx context.Context, address string) error {
	next, ok := k.goOn(address)
	if !ok {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		began := k.Now()
		listing, err := k.Client.List(call, address)
		cancel()
		if err != nil {
			return err
		}
		next, ok = k.takeListing(address, listing, began)
	}
	p := pace{usual: eventWait}
	for ok && p.rest(ctx) {
		p.telling = k.tellsOf(address)
		call, cancel := context.WithTimeout(ctx, p.wait()+callMargin)
		began := k.Now()
		events, err := k.Client.Events(call, address, next, p.wait())
		cancel()
		if errors.Is(err, ErrTooManyCalls) {
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

// goOn is the number from which a store's events are to be followed, if what it held before
// is known.
func (k *Tracker) goOn(address string) (next int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stores[address]
	if s == nil || !s.usable(k.Now()) {
		return 0, false
	}
	return s.next, true
}

// tellsOf tells whether this process follows an address for its domain.
func (k *Tracker) tellsOf(address string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.telling[address]
}

// takeListing records a list as of when it was asked for.
func (k *Tracker) takeListing(address string, l Listing, asked time.Time) (next int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stores[address]
	if s == nil {
		return 0, false
	}
	s.load(l, asked)
	k.Log.Info("context store listed", zap.String("store", address), zap.Int64("epoch", l.Epoch), zap.Int("parts", len(l.Complete)),
		zap.Int("tokens", s.used), zap.Int("partial", len(l.Partial)))
	return s.next, true
}

func (k *Tracker) takeEvents(address string, e Events, asked time.Time) (next int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stores[address]
	if s == nil {
		return 0, false
	}
	now := k.Now()
	if e.ClockMS > 0 {
		k.takeClock(e.ClockMS, now)
	}
	// A call that waited was answered at its end: what it says is as of then, less
	// the way of the answer, which callMargin bounds.
	heard := now.Add(-callMargin / 2)
	if heard.Before(asked) {
		heard = asked
	}
	ok = s.apply(e, heard)
	k.keepUntold(address, s, e.Changes)
	s.expire(now)
	return s.next, ok
}

// takeClock takes in a reading of the endpoints' clock; k.mu is held.
func (k *Tracker) takeClock(told int64, now time.Time) {
	k.clock, k.clockKnown = told-now.UnixMilli(), true
	k.endpointClock.observe(told, now)
}

// maxFreed bounds one call; a store answers it within its listing's time.
const maxFreed = 200

// FreeObsolete frees the parts that no engine can use any more. An engine that has newer
// weights has ended all runs under older ones, so nothing reads them: it needs no
// word with other processes, but one process is enough.
func (k *Tracker) FreeObsolete(ctx context.Context, oldest map[string]int64) {
	for address, job := range k.obsolete(oldest) {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		err := k.Client.Free(call, address, job.epoch, job.parts)
		cancel()
		k.Log.Info("obsolete context freed", zap.String("store", address), zap.Int("parts", len(job.parts)), zap.Error(err))
	}
}

// freeing is what is to be freed in one store.
type freeing struct {
	epoch int64
	parts []SegmentKey
}

func (k *Tracker) obsolete(oldest map[string]int64) map[string]freeing {
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
