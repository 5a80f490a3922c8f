package discovery

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/logging"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/sleep"
)

// Kinds names the kinds of objects in the store.
type Kinds struct {
	Config, Instances, Weights string
	// Evacuations is the kind of the objects that are named for evacuated failure domains.
	Evacuations string
	// MainConfig is the name of the one configuration object.
	MainConfig string
}

// Decoder decodes the platform's objects.
type Decoder interface {
	Config(objectapi.Record) (*routes.Table, error)
	Instance(objectapi.Record) (Instance, error)
	Weights(objectapi.Record) (TargetWeights, error)
}

const (
	// callMargin is how long after a watch's own wait its answer may take. A silent
	// connection can be detected only by a timeout.
	callMargin = 700 * time.Millisecond
	// listTimeout bounds one list call.
	listTimeout = 2 * time.Second
	// minWatchInterval is the shortest time between the starts of two watches of a kind, after
	// a burst of watchBurst. Changes come in bursts: without the limit, 55 endpoints that start
	// or load cost every process 55 calls within seconds, and 940 endpoints cost 370 processes
	// together a third of a million calls. The burst lets a few changes be seen at once.
	minWatchInterval = 250 * time.Millisecond
	watchBurst       = 4
	// fleetWatchInterval is the mean time between the starts of watches of a kind over all
	// processes during such a burst; maxWatchInterval bounds the resulting interval of one
	// process. While 180 engines load, their entries change all the time, and a hundred
	// processes that watched every minWatchInterval made 400 calls a second. The most urgent
	// change, that an endpoint leaves, may take seconds to be seen.
	fleetWatchInterval = 10 * time.Millisecond
	maxWatchInterval   = time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. The store charges
	// for refused calls too, but a configuration must be in force within seconds after the
	// store answers again.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// maxInstancesRetryDelay is shorter: an endpoint that left meanwhile is used until reappearWindow
	// after the first answer, and that must be over when rules bind this process again, 3 s after a cut.
	maxInstancesRetryDelay = 400 * time.Millisecond
	// minInstancesRetryDelay follows a call for endpoints that has taken longer than its delay, as one
	// without an answer or a connection does. With a longer delay, a process that was cut off would
	// use endpoints that left meanwhile until reappearWindow after it learns of them, which is longer
	// than it may act on old knowledge.
	minInstancesRetryDelay = 50 * time.Millisecond
	// maxRecentWait bounds the wait of a watch for endpoints and of one for the configuration: what is decided only by recent
	// knowledge needs an answer within 4 s, the time of the call included.
	maxRecentWait = 3 * time.Second
	// maxWeightsWait bounds the wait of a watch for weights: how long a process can rely on a version
	// not being replaced counts from the begin of its last answered call, see State.CurrentAsOf.
	maxWeightsWait = 2 * time.Second
	// probeWait is the wait of a watch after a failed one. The sooner a call to a silent
	// store gives up, the sooner the process finds that the store answers again.
	probeWait = 100 * time.Millisecond
	// reappearWindow is the time after the store answers again within which expired entries of
	// running endpoints come back, as the platform promises.
	reappearWindow = 2 * time.Second
	// expiryInterval is the time between two checks for entries that did not come back.
	expiryInterval = 100 * time.Millisecond
	// reappearMargin is added for the time that an entry which comes back takes to pass
	// through the store.
	reappearMargin = 300 * time.Millisecond
)

// errStoreAnswers ends a call while another kind finds that the store answers again.
const errStoreAnswers = errors.ConstError("the store answers again")

// Watcher follows the kinds of the store, each in its own loop.
type Watcher struct {
	Feed    objectapi.Feed
	Decoder Decoder
	Kinds   Kinds
	State   *State
	Log     *zap.Logger
	// Wait is how long one watch waits for a change. A silent connection is detected after
	// Wait and callMargin.
	Wait time.Duration
	// Reset, if set, is called after a failed call: open connections may never answer
	// again.
	Reset func()
	// Heartbeat is the longest time after which an endpoint that has become cold writes so.
	Heartbeat time.Duration
	// Processes, if set, returns the number of processes that watch.
	Processes func() int
	// OnAway, if set, is called when the store ceases to answer for a kind, and when it answers for all again. It must not block.
	OnAway func(isAway bool)
	// Clock, for ConfigAge, also advances while the host is suspended; nil means time.Now.
	Clock func() time.Time

	mu sync.Mutex
	// recovered is closed when the store answers one kind after a failure.
	recovered chan struct{}
	// failing holds, by kind, whether the last call failed. recoveredAt is when the store
	// last answered after a failure.
	failing     map[string]bool
	recoveredAt time.Time
	// configAnswer and instancesAnswer are when the last answer for the configuration and for endpoints was applied.
	configAnswer, instancesAnswer time.Time
	// instancesRecoveredAt is when the store last answered for endpoints after a failure.
	instancesRecoveredAt time.Time
	// instancesEra is the era of the last list of endpoints, nil before the first.
	instancesEra *uint64
	// applied is, by kind, the revision up to which all changes are applied.
	applied map[string]objectapi.Revision
	// configAsOf and instancesAsOf are when the last answered calls for the configuration and for endpoints began.
	configAsOf, instancesAsOf time.Time
	// isWatchLive is set while the events of a watch are applied that has waited for them without a gap
	// since the answer before. Only the loop of target weights uses it.
	isWatchLive bool
}

// Run follows all kinds until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	followed := []string{w.Kinds.Config, w.Kinds.Instances, w.Kinds.Weights}
	if w.State.FollowsEvacuations {
		followed = append(followed, w.Kinds.Evacuations)
	}
	for _, kind := range followed {
		loops.Go(func() { w.followKind(ctx, kind) })
	}
	loops.Go(func() { w.runExpiry(ctx) })
	loops.Wait()
}

// ConfigAnswerAge is how long ago the store last answered for the configuration; it is large before the first answer. A process
// that was paused may read an answer late: ConfigAge counts from the call.
func (w *Watcher) ConfigAnswerAge(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.configAnswer)
}

// EndpointsAge is how long ago the store last answered for endpoints; it is large before the first answer. Answers for other
// kinds say nothing of endpoints: the connection of their watch may be dead, or their list too long for a slow store.
func (w *Watcher) EndpointsAge(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.instancesAnswer)
}

// EndpointsAnswered reports whether the store has answered the last call for endpoints that has ended.
func (w *Watcher) EndpointsAnswered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failing[w.Kinds.Instances]
}

// EndpointsCallAge is how long ago the call began that the store last answered for endpoints. A process that was paused may read an
// answer late: the list may be as old as the call.
func (w *Watcher) EndpointsCallAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now().Sub(w.instancesAsOf)
}

// ConfigAge is an upper bound on how long ago the configuration in force may have been
// replaced without this process knowing. It counts from the start of the call, because an
// answer may be as old as its call: a process that was paused reads an answer long after
// the store gave it. Without changes it grows to twice the wait of a watch.
func (w *Watcher) ConfigAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now().Sub(w.configAsOf)
}

func (w *Watcher) now() time.Time {
	if w.Clock == nil {
		return time.Now()
	}
	return w.Clock()
}

// confirm records an answer whose content is applied: when the call for the configuration or for weights began, with the store's
// revision in the answer, and that there was an answer for endpoints or the configuration.
func (w *Watcher) confirm(kind string, began time.Time, revision objectapi.Revision) {
	w.recordApplied(kind, revision)
	switch kind {
	case w.Kinds.Weights:
		w.State.ConfirmWeights(began, revision.Era())
	case w.Kinds.Instances:
		if w.State.OnFollowed != nil {
			w.State.OnFollowed()
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.instancesAsOf, w.instancesAnswer = began, time.Now()
	case w.Kinds.Config:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.configAsOf, w.configAnswer = began, time.Now()
	}
}

func (w *Watcher) recordApplied(kind string, revision objectapi.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.applied == nil {
		w.applied = map[string]objectapi.Revision{}
	}
	w.applied[kind] = revision
}

// ErrOutdated is returned when changes of a kind have not been applied.
const ErrOutdated = errors.ConstError("changes have not been applied yet")

// Confirm asks the store for changes of a kind that have not been applied. It returns nil if there was none when the store
// answered, ErrOutdated if there was one or before the first list, and the store's error. Of endpoints, only those count that join
// or are no longer leaving. It applies nothing.
func (w *Watcher) Confirm(ctx context.Context, kind string) error {
	w.mu.Lock()
	revision, isListed := w.applied[kind]
	w.mu.Unlock()
	if !isListed {
		return ErrOutdated
	}
	events, _, err := w.Feed.WatchKind(ctx, kind, revision, 0)
	if errors.Is(err, objectapi.ErrCompacted) || err == nil && slices.ContainsFunc(events, func(e objectapi.Event) bool { return w.isNews(kind, e) }) {
		return ErrOutdated
	}
	return errors.Trace(err)
}

// isNews reports whether a change matters to Confirm. Endpoints rewrite their entries without joining or leaving.
func (w *Watcher) isNews(kind string, e objectapi.Event) bool {
	if kind != w.Kinds.Instances {
		return true
	}
	if e.Removed {
		return false
	}
	i, err := w.Decoder.Instance(e.Record)
	if err != nil || i.Leaving {
		return false
	}
	known, ok := w.State.Instance(i.ID)
	return !ok || known.Leaving || known.Service != i.Service || known.SoftwareVersion != i.SoftwareVersion
}

// RecordAnswer records that the store has answered for the configuration and for endpoints.
func (w *Watcher) RecordAnswer(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configAnswer, w.instancesAnswer = now, now
}

// followKind lists a kind and then watches it. After a gap in the history only a list shows
// what was removed meanwhile.
func (w *Watcher) followKind(ctx context.Context, kind string) {
	delay := minRetryDelay
	relists := rate.NewLimiter(rate.Every(w.watchInterval()), watchBurst)
	for ctx.Err() == nil {
		revision, err := w.list(ctx, kind)
		if err == nil {
			delay = minRetryDelay
			err = w.watch(ctx, kind, revision)
		}
		if ctx.Err() != nil {
			return
		}
		w.recordOutcome(kind, err)
		if errors.Is(err, objectapi.ErrCompacted) {
			// A store that keeps no history answers so each time.
			relists.SetLimit(rate.Every(w.watchInterval()))
			if relists.Wait(ctx) != nil {
				return
			}
			continue
		}
		if !w.waitToRetry(ctx, delay) {
			return
		}
		delay = min(2*delay, w.maxRetryDelay(kind))
	}
}

func (w *Watcher) maxRetryDelay(kind string) time.Duration {
	if kind == w.Kinds.Instances {
		return maxInstancesRetryDelay
	}
	return maxRetryDelay
}

// watchContext returns the wait and the context of the next watch of a kind. The context ends at
// once when any call finds that the store came back from an older copy. After a failure the wait
// is short, and the context also ends when another kind finds that the store answers again: the
// connection of the call may be dead.
func (w *Watcher) watchContext(ctx context.Context, kind string) (time.Duration, context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wait := w.Wait
	switch kind {
	case w.Kinds.Weights:
		wait = min(wait, maxWeightsWait)
	case w.Kinds.Instances, w.Kinds.Config:
		wait = min(wait, maxRecentWait)
	}
	var recovered <-chan struct{}
	if w.failing[kind] {
		wait, recovered = probeWait, w.recoveredChannel()
	}
	ctx, cancelCause := context.WithCancelCause(ctx)
	call, cancel := context.WithTimeout(ctx, wait+callMargin)
	returned := w.Feed.Eras().Changed()
	go func() {
		select {
		case <-recovered:
			cancelCause(errStoreAnswers)
		case <-returned:
		case <-call.Done():
		}
		cancel()
		cancelCause(nil)
	}()
	return wait, call, cancel
}

// recoveredChannel returns the channel that is closed when the store answers again; w.mu is
// held.
func (w *Watcher) recoveredChannel() chan struct{} {
	if w.recovered == nil {
		w.recovered = make(chan struct{})
	}
	return w.recovered
}

// waitToRetry waits after a failed call, until d has passed or another kind finds that the
// store answers again. It returns false if ctx has ended.
func (w *Watcher) waitToRetry(ctx context.Context, d time.Duration) bool {
	if w.Reset != nil {
		w.Reset()
	}
	w.mu.Lock()
	recovered := w.recoveredChannel()
	w.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-recovered:
	case <-ctx.Done():
		return false
	}
	return true
}

func (w *Watcher) list(ctx context.Context, kind string) (objectapi.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := w.now()
	records, revision, err := w.Feed.ListKind(ctx, kind)
	if errors.Is(err, objectapi.ErrNotFound) && kind == w.Kinds.Weights {
		// A store that does not know the kind names no weights.
		w.State.ConfirmWeights(began, w.Feed.Eras().Current())
	}
	if err != nil {
		return 0, err
	}
	w.recordOutcome(kind, nil)
	if kind == w.Kinds.Weights {
		w.isWatchLive = false
	}
	w.applyList(kind, records, revision)
	w.confirm(kind, began, revision)
	return revision, nil
}

// watch follows a kind until ctx ends or the history after the revision is compacted. A
// failed call loses no history: the next watch continues from the same revision.
func (w *Watcher) watch(ctx context.Context, kind string, revision objectapi.Revision) error {
	retryDelay := minRetryDelay
	limiter := rate.NewLimiter(rate.Every(w.watchInterval()), watchBurst)
	lastAnswer, hasFailed := w.now(), false
	for limiter.Wait(ctx) == nil {
		limiter.SetLimit(rate.Every(w.watchInterval()))
		wait, call, cancel := w.watchContext(ctx, kind)
		if w.Feed.Eras().Current() > revision.Era() {
			cancel()
			return objectapi.ErrCompacted
		}
		began := w.now()
		events, next, err := w.Feed.WatchKind(call, kind, revision, wait)
		cancel()
		if err != nil && w.Feed.Eras().Current() > revision.Era() {
			return objectapi.ErrCompacted
		}
		if errors.Is(err, objectapi.ErrCompacted) {
			return err
		}
		if err != nil && errors.Is(context.Cause(call), errStoreAnswers) {
			hasFailed = true
			continue
		}
		if ctx.Err() != nil {
			break
		}
		w.recordOutcome(kind, err)
		if err != nil {
			hasFailed = true
			delay := retryDelay
			if kind == w.Kinds.Instances {
				delay = max(minInstancesRetryDelay, retryDelay-w.now().Sub(began))
			}
			retryDelay = min(2*retryDelay, w.maxRetryDelay(kind))
			if !w.waitToRetry(ctx, delay) {
				return ctx.Err()
			}
			continue
		}
		retryDelay = minRetryDelay
		now := w.now()
		if kind == w.Kinds.Weights {
			// A process that was paused reads events long after they were sent.
			w.isWatchLive = !hasFailed && now.Sub(lastAnswer) <= w.watchInterval()+wait+callMargin
		}
		lastAnswer, hasFailed = now, false
		for _, e := range events {
			w.applyEvent(kind, e)
		}
		revision = next
		w.confirm(kind, began, revision)
	}
	return ctx.Err()
}

// watchInterval is the shortest time between the starts of two watches of a kind after the
// first burst.
func (w *Watcher) watchInterval() time.Duration {
	if w.Processes == nil {
		return minWatchInterval
	}
	return min(max(minWatchInterval, time.Duration(w.Processes())*fleetWatchInterval), maxWatchInterval)
}

// recordOutcome records whether the store answered a call, and logs when a kind begins to
// fail and when it recovers.
func (w *Watcher) recordOutcome(kind string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing == nil {
		w.failing = map[string]bool{}
	}
	answered := err == nil || errors.Is(err, objectapi.ErrCompacted) || errors.Is(err, objectapi.ErrNotFound)
	now := time.Now()
	switch {
	case answered && w.failing[kind]:
		w.recoveredAt = now
		if kind == w.Kinds.Instances {
			w.instancesRecoveredAt = now
		}
		close(w.recoveredChannel())
		w.recovered = nil
		w.Log.Info("store answers again", zap.String("kind", kind))
	case !answered && !w.failing[kind]:
		w.Log.Warn("store does not answer", zap.String("kind", kind), zap.Error(err))
	}
	hasChanged := answered == w.failing[kind]
	w.failing[kind] = !answered
	if w.OnAway != nil && hasChanged {
		w.OnAway(slices.Contains(slices.Collect(maps.Values(w.failing)), true))
	}
}

// wasStoreAway reports whether the store is, or recently was, unreachable, or recently came back from
// an older copy, so that entries of running endpoints may be missing.
func (w *Watcher) wasStoreAway(now time.Time) bool {
	if w.Feed.Eras().HasReturnedWithin(reappearWindow) {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, failing := range w.failing {
		if failing {
			return true
		}
	}
	return !w.recoveredAt.IsZero() && now.Sub(w.recoveredAt) < reappearWindow
}

func (w *Watcher) applyList(kind string, records []objectapi.Record, revision objectapi.Revision) {
	if kind == w.Kinds.Evacuations {
		w.State.ReplaceEvacuations(names(records), w.evacuationsEndAt(time.Now()))
		return
	}
	if kind != w.Kinds.Instances {
		for _, r := range records {
			w.applyEvent(kind, objectapi.Event{Record: r})
		}
		return
	}
	list := make([]Instance, 0, len(records))
	for _, r := range records {
		if i, err := w.Decoder.Instance(r); err != nil {
			w.Log.Error("cannot decode instance", zap.String("endpoint", r.Name), logging.Error(err))
		} else {
			list = append(list, i)
		}
	}
	now := time.Now()
	w.recordListed(revision, now)
	w.State.ReplaceInstances(list, revision, w.wasStoreAway(now), now)
}

// recordListed counts a list of instances in a new era as the store's recovery: entries of running
// endpoints may be missing from it, as after an outage that this process has noticed.
func (w *Watcher) recordListed(revision objectapi.Revision, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instancesEra != nil && revision.Era() > *w.instancesEra {
		w.instancesRecoveredAt = now
	}
	era := revision.Era()
	w.instancesEra = &era
}

// evacuationsEndAt returns when evacuations that are missing from a list end. A store that came back
// from an older copy may have lost them, and operators need time to ask for them again.
func (w *Watcher) evacuationsEndAt(now time.Time) time.Time {
	if w.Feed.Eras().HasReturnedWithin(reappearWindow) {
		return now.Add(reappearWindow)
	}
	return now
}

// names returns the names of records.
func names(records []objectapi.Record) []string {
	out := make([]string, 0, len(records))
	for _, r := range records {
		out = append(out, r.Name)
	}
	return out
}

func (w *Watcher) applyEvent(kind string, e objectapi.Event) {
	var err error
	switch kind {
	case w.Kinds.Config:
		err = w.applyConfig(e)
	case w.Kinds.Instances:
		err = w.applyInstance(e)
	case w.Kinds.Weights:
		err = w.applyWeights(e)
	case w.Kinds.Evacuations:
		w.applyEvacuation(e)
	}
	if err != nil {
		w.Log.Error("cannot decode object", zap.String("kind", kind), zap.String("name", e.Name),
			revisionField("revision", e.Revision), logging.Error(err))
	}
}

func (w *Watcher) applyConfig(e objectapi.Event) error {
	if e.Removed || e.Name != w.Kinds.MainConfig {
		return nil
	}
	t, err := w.Decoder.Config(e.Record)
	if err != nil {
		return err
	}
	w.State.SetRoutes(t)
	return nil
}

func (w *Watcher) applyInstance(e objectapi.Event) error {
	if e.Removed {
		now := time.Now()
		w.State.Remove(e.Name, w.wasStoreAway(now), now)
		return nil
	}
	i, err := w.Decoder.Instance(e.Record)
	if err != nil {
		// The entry was overwritten by another writer and describes no endpoint. The
		// endpoint with this id comes back with its own next entry.
		w.State.Remove(e.Name, false, time.Now())
		return err
	}
	w.State.SetInstance(i)
	return nil
}

func (w *Watcher) applyWeights(e objectapi.Event) error {
	if e.Removed {
		return nil
	}
	target, err := w.Decoder.Weights(e.Record)
	if err != nil {
		return err
	}
	target.MayBeOlder = !w.isWatchLive
	w.State.SetTarget(target)
	return nil
}

// applyEvacuation applies a change of an evacuation. Only the record's name counts: a record
// whose content can't be read still asks for an evacuation.
func (w *Watcher) applyEvacuation(e objectapi.Event) {
	if e.Removed {
		w.State.EndEvacuation(e.Name, time.Now())
		return
	}
	w.State.Evacuate(e.Name)
}

// instancesReachableSince returns when the store last began to answer for endpoints again;
// false means that it does not answer now.
//
// Other kinds do not count: their calls may find seconds later that the store answers again.
// Expired entries that stayed in use until then would get requests after their endpoints
// have drained.
func (w *Watcher) instancesReachableSince() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instancesRecoveredAt, !w.failing[w.Kinds.Instances]
}

// settledAt returns when entries of running endpoints that the last outage made expire are back, zero
// while the store does not answer for some kind.
func (w *Watcher) settledAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, failing := range w.failing {
		if failing {
			return time.Time{}
		}
	}
	return w.recoveredAt.Add(reappearWindow)
}

// runExpiry regularly drops the instances whose expired entries did not come back in time, and
// resumes the use of domains whose evacuation was taken back. Neither happens while the store
// does not answer for endpoints: their entries may have changed since.
func (w *Watcher) runExpiry(ctx context.Context) {
	for sleep.For(ctx, expiryInterval) {
		if recovered, reachable := w.instancesReachableSince(); reachable {
			now := time.Now()
			w.State.Expire(now, recovered, w.settledAt())
			w.State.ReturnDomains(now, w.Heartbeat+maxWatchInterval)
		}
	}
}
