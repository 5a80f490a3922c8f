package quarantine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/sleep"
)

const (
	// evaluationInterval is how often the evidence is evaluated.
	evaluationInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 700 * time.Millisecond
	// syncRetryDelay is the wait after a failed call to the store.
	syncRetryDelay = time.Second
	// idleSyncInterval is how often the stored list is read while no request is quarantined. It is also the
	// longest time between two reads.
	idleSyncInterval = time.Minute
	// activeSyncInterval is how often a small fleet reads it otherwise: operators lift quarantines there.
	activeSyncInterval = 4 * time.Second
	// processesPerSync is how many processes are enough to learn of that soon by reading at activeSyncInterval. In
	// a larger fleet each reads less often, and those that have read inform the others.
	processesPerSync = 8
	// returnSyncDelay is the longest wait before the list is synced after the store came back older. The first
	// to write restores the list for all.
	returnSyncDelay = time.Second
	// maxWriteAttempts bounds the attempts at one change of the stored list.
	maxWriteAttempts = 5
)

// Guard keeps quarantined requests from running, and syncs the quarantines with the store. Its fields are set
// before use; a nil Guard lets every request run.
type Guard struct {
	Quarantines *Tracker
	// Store holds the list of quarantines.
	Store   objectapi.API
	Log     *zap.Logger
	Metrics metrics.Registry
	// Now is a clock that keeps running while the host is suspended.
	Now func() time.Time
	// Processes returns how many processes share the stored list.
	Processes func() int
	// loggedDigest and loggedLevels are the digest and the levels of the quarantines that were logged last. Only
	// Run's goroutine uses them.
	loggedDigest uint64
	loggedLevels map[fingerprint.Key]uint32
	// probes limits the requests that are run to distinguish parts.
	probes struct {
		mu      sync.Mutex
		drawnAt time.Time
		allowed bool
	}
}

// NewGuard returns a guard for the quarantines of a tracker.
func NewGuard(quarantines *Tracker, store objectapi.API, log *zap.Logger, registry metrics.Registry, now func() time.Time) *Guard {
	if now != nil {
		quarantines.startLearning(now())
	}
	return &Guard{
		Quarantines: quarantines, Store: store, Log: log, Metrics: registry, Now: now,
		Processes: func() int { return 1 },
	}
}

// IsIdle reports whether no request is known to have been in flight at a crash, so that no request needs a
// fingerprint.
func (g *Guard) IsIdle() bool { return g == nil || g.Quarantines.IsEmpty() }

// Admit returns nil if a request may run, else the answer to its caller. A request whose quarantine is over gets
// one trial, which only one process at a time can claim in the store.
func (g *Guard) Admit(ctx context.Context, key fingerprint.Key, parts ...Part) *apierror.Error {
	if g.IsIdle() {
		return nil
	}
	status := g.Quarantines.Check(key, g.Now(), parts...)
	if status.Part != (Part{}) {
		key = status.Part.Key
	}
	switch {
	case status.Standing == OnTrial && g.claimTrial(ctx, key):
		return nil
	case status.Standing == OnProbe && g.claimProbe():
		return nil
	case status.Standing == Clear && !g.Quarantines.AdmitOtherKind(key, g.Now()):
		status = Status{Standing: Pending, After: otherKindInterval}
	}
	return g.refusal(status)
}

// IsBlocked reports whether a request must not be run again after an attempt of it broke off.
func (g *Guard) IsBlocked(key fingerprint.Key, parts ...Part) bool {
	return !g.IsIdle() && g.Quarantines.Check(key, g.Now(), parts...).Standing != Clear
}

// HeldPart returns the part for which a request is held, if it is one.
func (g *Guard) HeldPart(key fingerprint.Key, parts ...Part) (part Part, held bool) {
	if g.IsIdle() {
		return Part{}, false
	}
	status := g.Quarantines.Check(key, g.Now(), parts...)
	return status.Part, status.Part != Part{}
}

func (g *Guard) refusal(status Status) *apierror.Error {
	if status.Standing == Clear {
		return nil
	}
	g.count("refused")
	message := "this request has crashed the endpoints that ran it"
	switch {
	case status.Part != (Part{}):
		message = "part " + status.Part.ID + " of the prompt was underway at " + strconv.Itoa(status.Crashes) + " endpoints when they crashed"
	case status.Crashes > 0:
		message = "this request was underway at " + strconv.Itoa(status.Crashes) + " endpoints when they crashed"
	case status.Standing == Pending:
		message = "another request for the same resource has crashed the endpoints that ran it"
	}
	switch status.Standing {
	case Pending:
		message += "; whether it is the cause is being settled"
	case OnProbe:
		message += "; whether it is the cause is being tried"
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

// blameWindow is how long after its first output an attempt may still have crashed its endpoint: one that lasts
// longer has shown that the request can be run.
const blameWindow = 500 * time.Millisecond

// Attempt is one attempt of a request at one endpoint.
type Attempt struct {
	Key fingerprint.Key
	// Parts are the parts of its prompt that other requests may contain.
	Parts []Part
	About RequestInfo
	Sent  time.Time
	// Output is when its answer began; zero if it has not begun.
	Output time.Time
}

// RecordCrash counts an endpoint's crash against an attempt that was in flight there, unless the attempt was sent
// after the crash or had produced output for longer than blameWindow, which speaks for its parts.
func (g *Guard) RecordCrash(attempt Attempt, incarnation uint64, crashed time.Time) {
	if g == nil {
		return
	}
	age := crashed.Sub(attempt.Output)
	switch {
	case !attempt.Output.IsZero() && age > blameWindow:
		g.RecordRanWell(attempt.Parts, age)
	case attempt.Sent.Before(crashed):
		g.Quarantines.RecordCrash(attempt.Key, incarnation, attempt.About, g.Now(), attempt.Parts...)
	}
}

// HasRunWell reports whether an answer that began some time ago has shown that its request does not crash endpoints.
func HasRunWell(age time.Duration) bool { return age > blameWindow }

// RecordRanWell records that an answer with these parts, which began some time ago, ended or went on for longer than
// blameWindow.
func (g *Guard) RecordRanWell(parts []Part, age time.Duration) {
	if g == nil || len(parts) == 0 {
		return
	}
	now := g.Now()
	for _, p := range g.Quarantines.RecordRanWell(parts, now.Add(-age), now) {
		g.Log.Info("a request with a part in quarantine ran well", zap.Stringer("fingerprint", p.Key), zap.String("part", p.ID))
	}
}

// RecordCompletion records that an endpoint ran a request to its end.
func (g *Guard) RecordCompletion(key fingerprint.Key) {
	if g.Quarantines.RecordCompletion(key, g.Now()) {
		g.Log.Info("request in quarantine ran to its end", zap.Stringer("fingerprint", key))
	}
}

// IsSuspect reports whether a request was in flight at a crash or is quarantined: it should not run twice at the
// same time.
func (g *Guard) IsSuspect(key fingerprint.Key, parts ...Part) bool {
	return !g.IsIdle() && g.Quarantines.IsSuspect(key, parts...)
}

// claimProbe reports whether this process may run a request that contains some of several parts which were always in
// flight together. In each probeInterval about probesPerInterval processes may run one: if it crashes its endpoint,
// the others learn of it before they try.
func (g *Guard) claimProbe() bool {
	g.probes.mu.Lock()
	defer g.probes.mu.Unlock()
	if now := g.Now(); now.Sub(g.probes.drawnAt) >= probeInterval {
		g.probes.drawnAt = now
		g.probes.allowed = rand.IntN(max(1, g.Processes())) < probesPerInterval
	}
	allowed := g.probes.allowed
	g.probes.allowed = false
	if allowed {
		g.count("probes")
	}
	return allowed
}

// List returns the quarantines in force from the stored list, which also describes requests that this process has
// not seen.
func (g *Guard) List(ctx context.Context) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return ReadEntries(ctx, g.Store)
}

// Lift ends a quarantine for an operator. It reports whether there was one.
func (g *Guard) Lift(key fingerprint.Key, operator string) bool {
	if !g.Quarantines.Lift(key, g.Now()) {
		return false
	}
	g.Log.Info("operator lifts a quarantine", zap.Stringer("fingerprint", key), zap.String("operator", operator))
	return true
}

// Run evaluates the evidence and syncs quarantines with the store until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	evaluate := time.NewTicker(evaluationInterval)
	defer evaluate.Stop()
	syncedEra := g.Store.Eras().Current()
	sync := time.NewTimer(0)
	defer sync.Stop()
	for {
		select {
		case <-evaluate.C:
			g.Quarantines.Evaluate(g.Now())
			// A store that came back from an older copy lacks the newest quarantines, and nobody else
			// writes them again.
			if era := g.Store.Eras().Current(); era > syncedEra {
				syncedEra = era
				sync.Reset(sleep.Jitter(returnSyncDelay))
			}
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

// logChanges logs how the quarantines differ from the last call, and returns whether the stored list must be
// brought up to date and after what wait. A process that has seen a changed request does so at once. The others
// leave it to those that have, and check a little later: all of a large fleet would write at once.
func (g *Guard) logChanges() (wait time.Duration, changed bool) {
	digest := g.Quarantines.Digest()
	if digest == g.loggedDigest {
		return 0, false
	}
	g.loggedDigest = digest
	wait = sleep.Jitter(activeSyncInterval)
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
		zap.String("customer", r.About.Customer), zap.String("method", r.About.Method), zap.String("target", r.About.Target), zap.String("part", r.About.Part),
		zap.Int("crashes", len(r.Crashes)), zap.Uint32("level", r.Level), zap.Duration("left", r.Until.Sub(g.Now())))
}

// syncOnce syncs with the store and returns the time until the next sync.
func (g *Guard) syncOnce(ctx context.Context) time.Duration {
	if err := g.sync(ctx); err != nil {
		g.Log.Info("failed to sync quarantines with the store", zap.Error(err))
		return sleep.Jitter(syncRetryDelay)
	}
	if len(g.Quarantines.DurableRecords()) == 0 {
		return sleep.Jitter(idleSyncInterval)
	}
	return sleep.Jitter(min(idleSyncInterval, activeSyncInterval*time.Duration(max(1, g.Processes()/processesPerSync))))
}

// sync merges the stored list into the tracker, and writes what the list lacks.
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

// read merges the stored list into the tracker. A list that can't be decoded counts as empty and is written from
// scratch: it would keep every quarantine from the processes that start later.
func (g *Guard) read(ctx context.Context) ([]Entry, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, version, err := loadEntries(ctx, g.Store)
	if errors.Is(err, errMalformedList) {
		g.Log.Error("stored list of quarantines can't be decoded", zap.Error(err))
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

// claimTrial claims in the store the only attempt that a request gets after its quarantine. The entry that it
// writes already holds the next quarantine: if this process ends, or the attempt crashes its endpoint, nothing
// more has to be done.
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
