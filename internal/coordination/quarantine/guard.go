package quarantine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/transport/objectapi"
)

const (
	// settleEvery is how often verdicts are looked at.
	settleEvery = 250 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 700 * time.Millisecond
	// syncPause follows a failed call to the store.
	syncPause = time.Second
	// syncIdle is how often the record is read while no request is in quarantine, and at most.
	syncIdle = time.Minute
	// syncActive is how often a small fleet reads it else: operators lift quarantines there.
	syncActive = 4 * time.Second
	// syncShared is the number of processes whose reads suffice for that; in a larger fleet each reads less often,
	// and who has read tells the others.
	syncShared = 8
	// maxConflicts bounds the tries of one change of the record.
	maxConflicts = 5
)

// Guard keeps requests in quarantine from being run. Its fields are set before use; nil guards nothing.
type Guard struct {
	Book *Book
	// Store holds the record of quarantines.
	Store   objectapi.API
	Log     *zap.Logger
	Metrics metrics.Registry
	// Now is a clock that goes on while the host is suspended.
	Now func() time.Time
	// Processes counts those that share the record.
	Processes func() int
	// wake asks for the record to be written at once.
	wake chan struct{}
}

// NewGuard returns a guard over an empty book.
func NewGuard(store objectapi.API, log *zap.Logger, registry metrics.Registry, now func() time.Time) *Guard {
	return &Guard{
		Book: NewBook(), Store: store, Log: log, Metrics: registry, Now: now,
		Processes: func() int { return 1 }, wake: make(chan struct{}, 1),
	}
}

// IsIdle tells that no request is known to have been at a crash: nothing needs a fingerprint.
func (g *Guard) IsIdle() bool { return g == nil || g.Book.IsEmpty() }

// Admit tells whether a request may run; a refusal is its caller's answer. A request whose quarantine is over
// gets one trial, which one process at a time takes from the store.
func (g *Guard) Admit(ctx context.Context, key fingerprint.Key) *apierror.Error {
	if g.IsIdle() {
		return nil
	}
	v := g.Book.Check(key, g.Now())
	if v.Standing == OnTrial && g.takeTrial(ctx, key) {
		return nil
	}
	return g.refusal(v)
}

// Blocks is Admit for a request that has run already: it gets no trial.
func (g *Guard) Blocks(key fingerprint.Key) bool {
	return !g.IsIdle() && g.Book.Check(key, g.Now()).Standing != Clear
}

func (g *Guard) refusal(v Verdict) *apierror.Error {
	if v.Standing == Clear {
		return nil
	}
	g.count("refused")
	message := "this request was underway at " + strconv.Itoa(v.Crashes) + " endpoints when they crashed"
	switch v.Standing {
	case Held:
		message += "; whether it is the cause is being settled"
	case OnTrial:
		message += "; it is not run until one trial of it has ended well"
	default:
		message += ", and is not run until its quarantine ends"
	}
	return apierror.Later(http.StatusServiceUnavailable, apierror.CodeQuarantined, message, v.After)
}

func (g *Guard) count(name string) {
	metrics.GetOrRegisterCounter("quarantine."+name, g.Metrics).Inc(1)
}

// Crashed records that a request was underway at an endpoint's incarnation when that crashed.
func (g *Guard) Crashed(key fingerprint.Key, incarnation uint64, about About) {
	g.Book.Crashed(key, incarnation, about, g.Now())
}

// Survived records that an endpoint ran a request to its end.
func (g *Guard) Survived(key fingerprint.Key) {
	if g.Book.Survived(key, g.Now()) {
		g.Log.Info("quarantine lifted", zap.Stringer("fingerprint", key), zap.String("by", "a run that ended well"))
		g.count("lifted")
		g.syncSoon()
	}
}

// Lift ends a quarantine on an operator's word; false if there is none.
func (g *Guard) Lift(key fingerprint.Key, operator string) bool {
	if !g.Book.Lift(key, g.Now()) {
		return false
	}
	g.Log.Info("quarantine lifted", zap.Stringer("fingerprint", key), zap.String("by", "operator "+operator))
	g.count("lifted")
	g.syncSoon()
	return true
}

func (g *Guard) syncSoon() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run settles verdicts and keeps the record until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	settle := time.NewTicker(settleEvery)
	defer settle.Stop()
	sync := time.NewTimer(0)
	defer sync.Stop()
	for {
		select {
		case <-settle.C:
			if g.settle() {
				sync.Reset(0)
			}
		case <-g.wake:
			sync.Reset(0)
		case <-sync.C:
			sync.Reset(g.syncOnce(ctx))
		case <-ctx.Done():
			return
		}
	}
}

// settle tells whether there is a new quarantine to be written. Processes that have not seen the request leave
// that to those that have: all of a large fleet would write at once.
func (g *Guard) settle() bool {
	seen := false
	for _, c := range g.Book.Settle(g.Now()) {
		seen = seen || c.About != (About{})
		g.count("begun")
		g.Log.Warn("request in quarantine", zap.Stringer("fingerprint", c.Key), zap.String("service", c.About.Service),
			zap.String("customer", c.About.Customer), zap.String("method", c.About.Method), zap.String("target", c.About.Target),
			zap.Int("crashes", len(c.Crashes)), zap.Duration("for", length(c.Level)))
	}
	return seen
}

// syncOnce returns the time until the next.
func (g *Guard) syncOnce(ctx context.Context) time.Duration {
	if err := g.sync(ctx); err != nil {
		g.Log.Info("record of quarantines can't be kept", zap.Error(err))
		return jitter(syncPause)
	}
	if len(g.Book.Durable()) == 0 {
		return jitter(syncIdle)
	}
	return jitter(min(syncIdle, syncActive*time.Duration(max(1, g.Processes()/syncShared))))
}

// jitter keeps processes that started together from calling together.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// sync takes in the record, and writes what it lacks.
func (g *Guard) sync(ctx context.Context) error {
	for range maxConflicts {
		entries, version, err := g.read(ctx)
		if err != nil {
			return err
		}
		now, timeOfDay := g.Now(), time.Now()
		next, changed := update(entries, g.Book.Durable(), now, timeOfDay)
		if !changed {
			return nil
		}
		err = g.write(ctx, next, version)
		if !errors.Is(err, objectapi.ErrConflict) {
			return err
		}
	}
	return objectapi.ErrConflict
}

// read takes the record into the book. One that can't be decoded counts as empty, and is written anew: it would keep
// every quarantine from the processes that start later.
func (g *Guard) read(ctx context.Context) ([]Entry, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, version, err := readRecord(ctx, g.Store)
	if errors.Is(err, errRecord) {
		g.Log.Error("record of quarantines can't be read", zap.Error(err))
		return nil, version, nil
	}
	if err != nil {
		return nil, 0, err
	}
	now, timeOfDay := g.Now(), time.Now()
	for _, e := range entries {
		if g.Book.Merge(e.toCase(now, timeOfDay), now) {
			g.Log.Info("quarantine heard of", zap.Stringer("fingerprint", e.Fingerprint), zap.Uint32("level", e.Level), zap.String("from", "store"))
		}
	}
	return entries, version, nil
}

func (g *Guard) write(ctx context.Context, entries []Entry, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return writeRecord(ctx, g.Store, entries, version)
}

// takeTrial asks the store for the only run that a request gets after its quarantine. The entry that is written
// already holds the next quarantine: if this process ends, or the run crashes its endpoint, nothing more has to be done.
func (g *Guard) takeTrial(ctx context.Context, key fingerprint.Key) bool {
	entries, version, err := g.read(ctx)
	if err != nil || g.Book.Check(key, g.Now()).Standing != OnTrial {
		return false
	}
	now, timeOfDay := g.Now(), time.Now()
	cases := g.Book.Durable()
	for i := range cases {
		if cases[i].Key == key {
			cases[i].Level++
			cases[i].Until = now.Add(length(cases[i].Level))
		}
	}
	next, _ := update(entries, cases, now, timeOfDay)
	if err := g.write(ctx, next, version); err != nil {
		g.Log.Info("request on trial is not run", zap.Stringer("fingerprint", key), zap.Error(err))
		return false
	}
	g.Book.BeginTrial(key, now)
	g.count("trials")
	g.Log.Warn("request on trial", zap.Stringer("fingerprint", key))
	return true
}
