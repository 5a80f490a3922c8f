package quarantine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/pause"
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
	Quarantines *Tracker
	// Store holds the record of quarantines.
	Store   objectapi.API
	Log     *zap.Logger
	Metrics metrics.Registry
	// Now is a clock that goes on while the host is suspended.
	Now func() time.Time
	// Processes counts those that share the record.
	Processes func() int
	// noted is the digest of the quarantines that were logged, levels theirs; of the duty.
	noted  uint64
	levels map[fingerprint.Key]uint32
}

// NewGuard returns a guard over a book.
func NewGuard(book *Tracker, store objectapi.API, log *zap.Logger, registry metrics.Registry, now func() time.Time) *Guard {
	return &Guard{
		Quarantines: book, Store: store, Log: log, Metrics: registry, Now: now,
		Processes: func() int { return 1 },
	}
}

// IsIdle tells that no request is known to have been at a crash: nothing needs a fingerprint.
func (g *Guard) IsIdle() bool { return g == nil || g.Quarantines.IsEmpty() }

// Admit tells whether a request may run; a refusal is its caller's answer. A request whose quarantine is over
// gets one trial, which one process at a time takes from the store.
func (g *Guard) Admit(ctx context.Context, key fingerprint.Key) *apierror.Error {
	if g.IsIdle() {
		return nil
	}
	v := g.Quarantines.Check(key, g.Now())
	if v.Standing == OnTrial && g.takeTrial(ctx, key) {
		return nil
	}
	return g.refusal(v)
}

// IsBlocked tells whether a request must not be run again after a run of it broke.
func (g *Guard) IsBlocked(key fingerprint.Key) bool {
	return !g.IsIdle() && g.Quarantines.Check(key, g.Now()).Standing != Clear
}

func (g *Guard) refusal(v Status) *apierror.Error {
	if v.Standing == Clear {
		return nil
	}
	g.count("refused")
	message := "this request has crashed the endpoints that ran it"
	if v.Crashes > 0 {
		message = "this request was underway at " + strconv.Itoa(v.Crashes) + " endpoints when they crashed"
	}
	switch v.Standing {
	case Pending:
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

// blameWithin is how long after its first output a run may still be what crashed its endpoint: a longer one has
// shown that it can be run.
const blameWithin = 500 * time.Millisecond

// Attempt is one attempt of a request at one endpoint.
type Attempt struct {
	Key   fingerprint.Key
	About RequestInfo
	Sent  time.Time
	// Output is when its answer began; zero if it did not.
	Output time.Time
}

// RecordCrash holds an endpoint's crash against a run that was underway, unless it was sent to an endpoint that had
// crashed already or had run well for long.
func (g *Guard) RecordCrash(run Attempt, incarnation uint64, crashed time.Time) {
	ranWell := !run.Output.IsZero() && crashed.Sub(run.Output) > blameWithin
	if g != nil && !ranWell && run.Sent.Before(crashed) {
		g.Quarantines.RecordCrash(run.Key, incarnation, run.About, g.Now())
	}
}

// RecordCompletion records that an endpoint ran a request to its end.
func (g *Guard) RecordCompletion(key fingerprint.Key) {
	if g.Quarantines.RecordCompletion(key, g.Now()) {
		g.Log.Info("request in quarantine ran to its end", zap.Stringer("fingerprint", key))
	}
}

// IsSuspect tells whether a request was at a crash: it should not be run twice at once.
func (g *Guard) IsSuspect(key fingerprint.Key) bool {
	return !g.IsIdle() && g.Quarantines.IsSuspect(key)
}

// List returns the quarantines in force, as the record has them: it names requests that this process has not seen.
func (g *Guard) List(ctx context.Context) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return ReadEntries(ctx, g.Store)
}

// Lift ends a quarantine on an operator's word; false if there is none.
func (g *Guard) Lift(key fingerprint.Key, operator string) bool {
	if !g.Quarantines.Lift(key, g.Now()) {
		return false
	}
	g.Log.Info("operator lifts a quarantine", zap.Stringer("fingerprint", key), zap.String("operator", operator))
	return true
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
			g.Quarantines.Evaluate(g.Now())
			if wait, changed := g.noteChanges(); changed {
				sync.Reset(wait)
			}
		case <-sync.C:
			sync.Reset(g.syncOnce(ctx))
		case <-ctx.Done():
			return
		}
	}
}

// noteChanges logs how the quarantines differ from the last time, and tells when the record is to be brought up to
// them. A process that has not seen the request leaves that to those that have, and makes sure a little later: all of
// a large fleet would write at once.
func (g *Guard) noteChanges() (wait time.Duration, changed bool) {
	digest := g.Quarantines.Digest()
	if digest == g.noted {
		return 0, false
	}
	g.noted = digest
	wait = pause.Jitter(syncActive)
	levels := map[fingerprint.Key]uint32{}
	inForce := int64(0)
	for _, c := range g.Quarantines.DurableRecords() {
		levels[c.Key] = c.Level
		if c.Level > 0 {
			inForce++
		}
		switch before := g.levels[c.Key]; {
		case c.Level > before:
			g.logQuarantine(c)
		case c.Level == 0 && before > 0:
			g.count("lifted")
			g.Log.Info("quarantine lifted", zap.Stringer("fingerprint", c.Key))
		default:
			continue
		}
		if c.About != (RequestInfo{}) {
			wait = 0
		}
	}
	g.levels = levels
	metrics.GetOrRegisterGauge("quarantine.in_force", g.Metrics).Update(inForce)
	return wait, true
}

func (g *Guard) logQuarantine(c Record) {
	g.count("begun")
	g.Log.Warn("request in quarantine", zap.Stringer("fingerprint", c.Key), zap.String("service", c.About.Service),
		zap.String("customer", c.About.Customer), zap.String("method", c.About.Method), zap.String("target", c.About.Target),
		zap.Int("crashes", len(c.Crashes)), zap.Uint32("level", c.Level), zap.Duration("left", c.Until.Sub(g.Now())))
}

// syncOnce returns the time until the next.
func (g *Guard) syncOnce(ctx context.Context) time.Duration {
	if err := g.sync(ctx); err != nil {
		g.Log.Info("record of quarantines can't be kept", zap.Error(err))
		return pause.Jitter(syncPause)
	}
	if len(g.Quarantines.DurableRecords()) == 0 {
		return pause.Jitter(syncIdle)
	}
	return pause.Jitter(min(syncIdle, syncActive*time.Duration(max(1, g.Processes()/syncShared))))
}

// sync takes in the record, and writes what it lacks.
func (g *Guard) sync(ctx context.Context) error {
	for range maxConflicts {
		entries, version, err := g.read(ctx)
		if err != nil {
			return err
		}
		now, timeOfDay := g.Now(), time.Now()
		next, changed := update(entries, g.Quarantines.DurableRecords(), now, timeOfDay)
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
		g.Quarantines.Merge(e.toCase(now, timeOfDay), now)
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
	if err != nil || g.Quarantines.Check(key, g.Now()).Standing != OnTrial {
		return false
	}
	now, timeOfDay := g.Now(), time.Now()
	cases := g.Quarantines.DurableRecords()
	for i := range cases {
		if cases[i].Key == key {
			cases[i].quarantine(now)
		}
	}
	next, _ := update(entries, cases, now, timeOfDay)
	if err := g.write(ctx, next, version); err != nil {
		g.Log.Info("request on trial is not run", zap.Stringer("fingerprint", key), zap.Error(err))
		return false
	}
	g.Quarantines.BeginTrial(key, now)
	g.count("trials")
	g.Log.Warn("request on trial", zap.Stringer("fingerprint", key))
	return true
}
