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
	// evaluationInterval is how often verdicts are looked at.
	evaluationInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 700 * time.Millisecond
	// syncRetryDelay follows a failed call to the store.
	syncRetryDelay = time.Second
	// idleSyncInterval is how often the record is read while no request is in quarantine, and at most.
	idleSyncInterval = time.Minute
	// activeSyncInterval is how often a small fleet reads it else: operators lift quarantines there.
	activeSyncInterval = 4 * time.Second
	// processesPerSync is the number of processes whose reads suffice for that; in a larger fleet each reads less often,
	// and who has read tells the others.
	processesPerSync = 8
	// maxWriteAttempts bounds the tries of one change of the record.
	maxWriteAttempts = 5
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
	// loggedDigest is the digest of the quarantines that were logged, levels theirs; of the duty.
	loggedDigest uint64
	loggedLevels map[fingerprint.Key]uint32
}

// NewGuard returns a guard over a book.
func NewGuard(quarantines *Tracker, store objectapi.API, log *zap.Logger, registry metrics.Registry, now func() time.Time) *Guard {
	return &Guard{
		Quarantines: quarantines, Store: store, Log: log, Metrics: registry, Now: now,
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
	status := g.Quarantines.Check(key, g.Now())
	if status.Standing == OnTrial && g.claimTrial(ctx, key) {
		return nil
	}
	return g.refusal(status)
}

// IsBlocked tells whether a request must not be run again after a run of it broke.
func (g *Guard) IsBlocked(key fingerprint.Key) bool {
	return !g.IsIdle() && g.Quarantines.Check(key, g.Now()).Standing != Clear
}

func (g *Guard) refusal(status Status) *apierror.Error {
	if status.Standing == Clear {
		return nil
	}
	g.count("refused")
	message := "this request has crashed the endpoints that ran it"
	if status.Crashes > 0 {
		message = "this request was underway at " + strconv.Itoa(status.Crashes) + " endpoints when they crashed"
	}
	switch status.Standing {
	case Pending:
		message += "; whether it is the cause is being settled"
	case OnTrial:
		message += "; it is not run until one trial of it has ended well"
	default:
		message += ", and is not run until its quarantine ends"
	}
	return apierror.Later(http.StatusServiceUnavailable, apierror.CodeQuarantined, message, status.After)
}

func (g *Guard) count(name string) {
	metrics.GetOrRegisterCounter("quarantine."+name, g.Metrics).Inc(1)
}

// blameWindow is how long after its first output a run may still be what crashed its endpoint: a longer one has
// shown that it can be run.
const blameWindow = 500 * time.Millisecond

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
func (g *Guard) RecordCrash(attempt Attempt, incarnation uint64, crashed time.Time) {
	ranWell := !attempt.Output.IsZero() && crashed.Sub(attempt.Output) > blameWindow
	if g != nil && !ranWell && attempt.Sent.Before(crashed) {
		g.Quarantines.RecordCrash(attempt.Key, incarnation, attempt.About, g.Now())
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
	settle := time.NewTicker(evaluationInterval)
	defer settle.Stop()
	sync := time.NewTimer(0)
	defer sync.Stop()
	for {
		select {
		case <-settle.C:
			g.Quarantines.Evaluate(g.Now())
			if wait, changed := g.logChanges(); changed {
				sync.Reset(wait)
			}
		case <-sync.C:
			sync.Reset(g.syncOnce(ctx))
		case <-ctx.Done():
			return
		}
	}
}

// logChanges logs how the quarantines differ from the last time, and tells when the record is to be brought up to
// them. A process that has not seen the request leaves that to those that have, and makes sure a little later: all of
// a large fleet would write at once.
func (g *Guard) logChanges() (wait time.Duration, changed bool) {
	digest := g.Quarantines.Digest()
	if digest == g.loggedDigest {
		return 0, false
	}
	g.loggedDigest = digest
	wait = pause.Jitter(activeSyncInterval)
	levels := map[fingerprint.Key]uint32{}
	inForce := int64(0)
	for _, r := range g.Quarantines.DurableRecords() {
		levels[r.Key] = r.Level
		if r.Level > 0 {
			inForce++
		}
		switch before := g.loggedLevels[r.Key]; {
		case r.Level > before:
			g.logQuarantine(r)
		case r.Level == 0 && before > 0:
			g.count("lifted")
			g.Log.Info("quarantine lifted", zap.Stringer("fingerprint", r.Key))
		default:
			continue
		}
		if r.About != (RequestInfo{}) {
			wait = 0
		}
	}
	g.loggedLevels = levels
	metrics.GetOrRegisterGauge("quarantine.in_force", g.Metrics).Update(inForce)
	return wait, true
}

func (g *Guard) logQuarantine(r Record) {
	g.count("begun")
	g.Log.Warn("request in quarantine", zap.Stringer("fingerprint", r.Key), zap.String("service", r.About.Service),
		zap.String("customer", r.About.Customer), zap.String("method", r.About.Method), zap.String("target", r.About.Target),
		zap.Int("crashes", len(r.Crashes)), zap.Uint32("level", r.Level), zap.Duration("left", r.Until.Sub(g.Now())))
}

// syncOnce returns the time until the next.
func (g *Guard) syncOnce(ctx context.Context) time.Duration {
	if err := g.sync(ctx); err != nil {
		g.Log.Info("record of quarantines can't be kept", zap.Error(err))
		return pause.Jitter(syncRetryDelay)
	}
	if len(g.Quarantines.DurableRecords()) == 0 {
		return pause.Jitter(idleSyncInterval)
	}
	return pause.Jitter(min(idleSyncInterval, activeSyncInterval*time.Duration(max(1, g.Processes()/processesPerSync))))
}

// sync takes in the record, and writes what it lacks.
func (g *Guard) sync(ctx context.Context) error {
	for range maxWriteAttempts {
		entries, version, err := g.read(ctx)
		if err != nil {
			return err
		}
		now, wallTime := g.Now(), time.Now()
		next, changed := updateEntries(entries, g.Quarantines.DurableRecords(), now, wallTime)
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
	entries, version, err := loadEntries(ctx, g.Store)
	if errors.Is(err, errMalformedList) {
		g.Log.Error("record of quarantines can't be read", zap.Error(err))
		return nil, version, nil
	}
	if err != nil {
		return nil, 0, err
	}
	now, wallTime := g.Now(), time.Now()
	for _, e := range entries {
		g.Quarantines.Merge(e.toRecord(now, wallTime), now)
	}
	return entries, version, nil
}

func (g *Guard) write(ctx context.Context, entries []Entry, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return saveEntries(ctx, g.Store, entries, version)
}

// claimTrial asks the store for the only run that a request gets after its quarantine. The entry that is written
// already holds the next quarantine: if this process ends, or the run crashes its endpoint, nothing more has to be done.
func (g *Guard) claimTrial(ctx context.Context, key fingerprint.Key) bool {
	entries, version, err := g.read(ctx)
	if err != nil || g.Quarantines.Check(key, g.Now()).Standing != OnTrial {
		return false
	}
	now, wallTime := g.Now(), time.Now()
	records := g.Quarantines.DurableRecords()
	for i := range records {
		if records[i].Key == key {
			records[i].startQuarantine(now)
		}
	}
	next, _ := updateEntries(entries, records, now, wallTime)
	if err := g.write(ctx, next, version); err != nil {
		g.Log.Info("request on trial is not run", zap.Stringer("fingerprint", key), zap.Error(err))
		return false
	}
	g.Quarantines.BeginTrial(key, now)
	g.count("trials")
	g.Log.Warn("request on trial", zap.Stringer("fingerprint", key))
	return true
}
