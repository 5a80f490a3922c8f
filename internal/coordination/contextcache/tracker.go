package contextcache

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/sleep"
)

// Client calls stores and engines. Engines are only asked for events.
type Client interface {
	List(ctx context.Context, address string) (Listing, error)
	// Events waits for changes from event number since on.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error)
	// Free deletes segments if the store is still in the job's epoch and the job's time has not passed.
	Free(ctx context.Context, address string, job FreeJob) error
}

// Tracker follows the contents of all stores and engines and plans imports and saves.
// It is safe for concurrent use.
type Tracker struct {
	Client Client
	Log    *zap.Logger
	// Domain is the failure domain of this process.
	Domain string
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// Self is the name of this process in its domain.
	Self string
	// Peers, if set, lists the names of the domain's other processes that send reports of what
	// they follow; see DrainReports.
	Peers func() []string
	// Now is a clock that keeps running while the host is suspended.
	Now func() time.Time
	// RestLeft, if set, returns for how much longer the engine at an address accepts no calls of this
	// process.
	RestLeft func(address string) time.Duration
	// OnEngineStart, if set, is called when an engine's answer gives another start time than
	// before.
	OnEngineStart func(address string, startMS int64)

	mu     sync.Mutex
	stores map[string]*store
	// engines holds the cache contents of each engine.
	engines map[string]*store
	// clockOffset is the endpoints' clock minus this process's in ms, by the latest answer that
	// gave a time; valid if clockOffsetKnown.
	clockOffset      int64
	clockOffsetKnown bool
	// tokenBytes is the size of one token's context, the largest of all engines.
	tokenBytes int
	changed    chan struct{}
	// peers is the last result of Peers. reporterCache caches isReporter by address; reporting
	// holds the addresses that this process follows for its domain.
	peers                    []string
	reporterCache, reporting map[string]bool
	endpointClock            endpointClock
	// outOfOrder counts the changes that OutOfOrderChanges returns.
	outOfOrder int64
}

// NewTracker returns a tracker without stores and engines.
func NewTracker(client Client, log *zap.Logger, domain string, now func() time.Time) *Tracker {
	return &Tracker{Client: client, Log: log, Domain: domain, Now: now, stores: map[string]*store{}, engines: map[string]*store{}, changed: make(chan struct{}, 1)}
}

// SetStores sets the stores that the configuration names.
func (t *Tracker) SetStores(services map[string]*routes.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := map[string]*store{}
	for _, s := range services {
		if s.Store == nil {
			continue
		}
		old, ok := t.stores[s.Store.Address]
		if !ok {
			old = newStore(*s.Store)
		}
		old.config = *s.Store
		next[s.Store.Address] = old
	}
	t.stores = next
	t.wake()
}

// wake makes Run look at changed stores or engines at once.
func (t *Tracker) wake() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

const (
	// eventWait is how long one call waits for changes: shorter than storeFreshFor, so
	// that a store without changes stays usable.
	eventWait = 600 * time.Millisecond
	// callMargin is how long an answer may take beyond the call's wait.
	callMargin = 300 * time.Millisecond
	// listTimeout bounds calls that list or free segments.
	listTimeout = time.Second
	// storeRetryDelay follows a failed call.
	storeRetryDelay = 300 * time.Millisecond
	// reviewInterval is how often a process checks whether it gets reports of all that it does
	// not follow itself.
	reviewInterval = 200 * time.Millisecond
)

// Run follows the stores and engines, with one goroutine each, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	running := map[string]context.CancelFunc{}
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		wanted := t.followers()
		for address, follow := range wanted {
			if running[address] == nil {
				workerCtx, cancel := context.WithCancel(ctx)
				running[address] = cancel
				workers.Go(func() { follow(workerCtx, address) })
			}
		}
		for address, cancel := range running {
			if wanted[address] == nil {
				cancel()
				delete(running, address)
			}
		}
		select {
		case <-t.changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// followers returns, by address, the functions that follow the stores and engines which this
// process is to follow now.
func (t *Tracker) followers() map[string]func(context.Context, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	t.updatePeers()
	out := map[string]func(context.Context, string){}
	for _, address := range t.followedEngines(now) {
		out[address] = t.followEngine
	}
	for address, s := range t.stores {
		if t.shouldFollow(address, s, storeReportTimeout, now) {
			out[address] = t.followStore
		}
	}
	return out
}

func (t *Tracker) followStore(ctx context.Context, address string) {
	for ctx.Err() == nil {
		if err := t.followOnce(ctx, address); err != nil && ctx.Err() == nil {
			t.markUnreachable(address, err)
			sleep.For(ctx, storeRetryDelay)
		}
	}
}

// markUnreachable marks a store that does not answer as unusable: it may be restarting.
func (t *Tracker) markUnreachable(address string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.stores[address]; s != nil && s.known {
		s.known = false
		t.Log.Warn("context store is not used", zap.String("store", address), zap.Int64("epoch", s.epoch), zap.Error(err))
	}
}

// followOnce follows a store's events until a call fails. It lists the store first if its
// contents are not known.
func (t *Tracker) followOnce(ctx context.Context, address string) error {
	next, ok := t.nextEvent(address)
	if !ok {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		requestedAt := t.Now()
		listing, err := t.Client.List(callCtx, address)
		cancel()
		if err != nil {
			return err
		}
		next, ok = t.applyListing(address, listing, requestedAt)
	}
	p := pollPace{maxWait: eventWait}
	for ok && p.pauseBeforeCall(ctx) {
		p.reporting = t.isReporting(address)
		callCtx, cancel := context.WithTimeout(ctx, p.callWait()+callMargin)
		requestedAt := t.Now()
		events, err := t.Client.Events(callCtx, address, next, p.callWait())
		cancel()
		if errors.Is(err, ErrTooManyCalls) {
			// The known contents stay valid while they are fresh; a list would cost more.
			p.saturated = true
			continue
		}
		if err != nil {
			return err
		}
		next, ok = t.applyEvents(address, events, requestedAt)
	}
	return nil
}

// nextEvent returns the event number from which to follow a store, if the store's contents
// before it are known.
func (t *Tracker) nextEvent(address string) (next int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stores[address]
	if s == nil || !s.usable(t.Now()) {
		return 0, false
	}
	return s.next, true
}

// isReporting reports whether this process follows an address for its domain.
func (t *Tracker) isReporting(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reporting[address]
}

// applyListing records a store's contents as of the time of the request.
func (t *Tracker) applyListing(address string, l Listing, requestedAt time.Time) (next int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stores[address]
	if s == nil {
		return 0, false
	}
	s.loadListing(l, requestedAt)
	t.Log.Info("context store listed", zap.String("store", address), zap.Int64("epoch", l.Epoch), zap.Int("parts", len(l.Complete)),
		zap.Int("tokens", s.used), zap.Int("partial", len(l.Partial)))
	return s.next, true
}

func (t *Tracker) applyEvents(address string, e Events, requestedAt time.Time) (next int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stores[address]
	if s == nil {
		return 0, false
	}
	now := t.Now()
	if e.ClockMS > 0 {
		t.observeClock(e.ClockMS, now)
	}
	// A call that waited was answered at its end: the answer is as of now minus the time of its
	// transfer, which callMargin bounds.
	asOf := now.Add(-callMargin / 2)
	if asOf.Before(requestedAt) {
		asOf = requestedAt
	}
	ok = s.applyEvents(e, asOf)
	t.queueUnsent(address, s, e.Changes)
	s.expirePending(now)
	return s.next, ok
}

// observeClock records a reading of the endpoints' clock; t.mu is held.
func (t *Tracker) observeClock(clockMS int64, now time.Time) {
	t.clockOffset, t.clockOffsetKnown = clockMS-now.UnixMilli(), true
	t.endpointClock.observe(clockMS, now)
}

// maxFreedPerCall bounds the segments that one call frees, so that a store answers it within
// listTimeout.
const maxFreedPerCall = 200

// ReplacedUse is how long context is imported from stores after its weights were replaced: a process
// that can't tell whether they were stops that long after it last could. It covers an import and the age
// of what a process knows between two answers of the platform's store.
const ReplacedUse = 10 * time.Second

// freeMargin is how much later than ReplacedUse segments are freed: processes measure it by clocks of
// their own, and give the end of an import on the endpoints' clock.
const freeMargin = 500 * time.Millisecond

// FreeAfter is how long after their replacement weights are safe to name in FreeObsolete.
const FreeAfter = ReplacedUse + freeMargin

// FreeObsolete frees the segments of weights below the given versions of their models, which were
// replaced at least FreeAfter ago. A call that a store has not begun by validUntil frees nothing.
//
// A store does not know who reads from it, and which processes still send prompts to engines with such
// weights is not known either: engines that left and processes that were paused or hear nothing may do so
// for any time. But no process starts an import that ends later than ReplacedUse after the replacement.
func (t *Tracker) FreeObsolete(ctx context.Context, below map[string]int64, validUntil time.Time) {
	for address, job := range t.freeJobs(below, validUntil) {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		err := t.Client.Free(callCtx, address, job)
		cancel()
		t.Log.Info("obsolete context freed", zap.String("store", address), zap.Int("parts", len(job.Segments)), zap.Any("weights_below", below), zap.Error(err))
	}
}

// FreeJob lists segments to free in one store.
type FreeJob struct {
	// Epoch is the epoch in which the store held the segments.
	Epoch int64
	// Until is when the store must have begun, on the endpoints' clock in Unix ms.
	Until    int64
	Segments []SegmentKey
}

func (t *Tracker) freeJobs(below map[string]int64, validUntil time.Time) map[string]FreeJob {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]FreeJob{}
	if !t.clockOffsetKnown {
		return out
	}
	for address, s := range t.stores {
		if !s.usable(t.Now()) {
			continue
		}
		if segments := s.obsoleteSegments(below); len(segments) > 0 {
			out[address] = FreeJob{s.epoch, validUntil.UnixMilli() + t.clockOffset, segments[:min(len(segments), maxFreedPerCall)]}
		}
	}
	return out
}
