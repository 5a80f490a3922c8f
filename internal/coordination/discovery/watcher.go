package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/pause"
)

// Kinds names the store's kinds that hold each sort of object.
type Kinds struct {
	Config, Instances, Weights string
	// MainConfig is the name of the one configuration object.
	MainConfig string
}

// Decoder turns the platform's objects into the product's types.
type Decoder interface {
	Config(objectapi.Record) (*routes.Table, error)
	Instance(objectapi.Record) (Instance, error)
	Weights(objectapi.Record) (TargetWeights, error)
}

const (
	// callMargin is how long after a watch's own wait its answer may take. A silent
	// connection shows no other sign.
	callMargin = 700 * time.Millisecond
	// listTimeout bounds one list.
	listTimeout = 2 * time.Second
	// watchEvery is the shortest time between the beginnings of two watches of a kind,
	// but for quickWatches of them. Changes come in crowds: 55 starting or loading
	// endpoints otherwise cost every process 55 calls within seconds, 940 before 370
	// processes a third of a million. A few changes are still known at once.
	watchEvery   = 250 * time.Millisecond
	quickWatches = 4
	// fleetWatch is the mean time between the beginnings of all processes' watches of a kind
	// in such a crowd, and slowestWatch bounds a process's own pause for it. While 180 engines
	// load, their entries change all the time, and a hundred processes that watched every
	// watchEvery made 400 calls a second. What must be known soonest, that an endpoint
	// leaves, has seconds.
	fleetWatch   = 10 * time.Millisecond
	slowestWatch = time.Second
	// retryFirst and retryMost bound the pause after a failed call. The store prices
	// refused calls too, but a configuration must be in force within seconds of its
	// return.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// silentPause follows a call for endpoints that got no answer at all: the call has waited itself. With a longer one
	// a process that was cut off uses endpoints which left meanwhile, until
	// lapsedFor after it hears of them, longer than it may act on old knowledge.
	silentPause = 50 * time.Millisecond
	// probeWait is how long a watch waits after a failed one. The sooner a call that
	// found the store silent gives up, the sooner one finds it back.
	probeWait = 100 * time.Millisecond
	// lapsedFor is the time after the store's return in which lapsed entries of
	// living endpoints come back, as the platform promises.
	lapsedFor = 2 * time.Second
	// lapseMargin is added for the way of the entry's return through the store.
	lapseMargin = 300 * time.Millisecond
)

// Watcher follows the store's kinds, one duty each.
type Watcher struct {
	Feed    objectapi.Feed
	Decoder Decoder
	Kinds   Kinds
	State   *State
	Log     *zap.Logger
	// Wait is how long one watch waits for a change. A silent connection is found
	// when it and callMargin have passed.
	Wait time.Duration
	// Reset, if set, is called after a failed call: connections that were open may be
	// silent for good.
	Reset func()
	// Processes, if set, counts those that watch.
	Processes func() int
	// Clock goes on while the host is suspended, for ConfigAge; nil means time.Now.
	Clock func() time.Time

	mu sync.Mutex
	// back is closed when the store answers one kind after a failure.
	back chan struct{}
	// failing counts the duties whose last call failed; returned is when the store
	// last answered after a failure, heard when it last answered at all.
	failing  map[string]bool
	returned time.Time
	heard    time.Time
	// entriesReturned is when the store last answered for endpoints after a failure.
	entriesReturned time.Time
	// configAsked is when the last answered call for the configuration began.
	configAsked time.Time
}

// Run follows all kinds until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for _, kind := range []string{w.Kinds.Config, w.Kinds.Instances, w.Kinds.Weights} {
		duties.Go(func() { w.follow(ctx, kind) })
	}
	duties.Go(func() { w.expire(ctx) })
	duties.Wait()
}

// AnswerAge is how long ago the store last answered; it is large before the first answer.
func (w *Watcher) AnswerAge(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.heard)
}

// ConfigAge is how long the configuration in force may have been replaced without this
// process's knowing. What an answer says may be as old as its call: a process that was
// paused reads an answer long after the store gave it. Without a change it grows to two
// waits of a watch.
func (w *Watcher) ConfigAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now().Sub(w.configAsked)
}

func (w *Watcher) now() time.Time {
	if w.Clock == nil {
		return time.Now()
	}
	return w.Clock()
}

// confirm records an answered call for a kind that began then.
func (w *Watcher) confirm(kind string, began time.Time) {
	if kind != w.Kinds.Config {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configAsked = began
}

// RecordAnswer records that the store has answered.
func (w *Watcher) RecordAnswer(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard = now
}

// follow lists a kind and then watches it. Only a list after a gap in history can
// tell what was removed meanwhile.
func (w *Watcher) follow(ctx context.Context, kind string) {
	pause := retryFirst
	for ctx.Err() == nil {
		revision, err := w.list(ctx, kind)
		if err == nil {
			pause = retryFirst
			err = w.watch(ctx, kind, revision)
		}
		w.note(kind, err)
		if errors.Is(err, objectapi.ErrCompacted) {
			continue
		}
		if !w.pause(ctx, pause) {
			return
		}
		pause = min(2*pause, retryMost)
	}
}

// watchCall bounds the next watch of a kind. After a failure it is short, and ends
// at once when another kind finds the store back: what it was sent on may be dead.
func (w *Watcher) watchCall(ctx context.Context, kind string) (time.Duration, context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.failing[kind] {
		call, cancel := context.WithTimeout(ctx, w.Wait+callMargin)
		return w.Wait, call, cancel
	}
	call, cancel := context.WithTimeout(ctx, probeWait+callMargin)
	back := w.backChannel()
	go func() {
		select {
		case <-back:
			cancel()
		case <-call.Done():
		}
	}()
	return probeWait, call, cancel
}

// backChannel is closed when the store is found back; w.mu is held.
func (w *Watcher) backChannel() chan struct{} {
	if w.back == nil {
		w.back = make(chan struct{})
	}
	return w.back
}

// pause waits after a failed call, or until another kind finds the store back;
// false means that ctx has ended.
func (w *Watcher) pause(ctx context.Context, d time.Duration) bool {
	if w.Reset != nil {
		w.Reset()
	}
	w.mu.Lock()
	back := w.backChannel()
	w.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-back:
	case <-ctx.Done():
		return false
	}
	return true
}

func (w *Watcher) list(ctx context.Context, kind string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := w.now()
	records, revision, err := w.Feed.ListKind(ctx, kind)
	if err != nil {
		return 0, err
	}
	w.note(kind, nil)
	w.takeList(kind, records)
	w.confirm(kind, began)
	return revision, nil
}

// watch follows a kind until a call fails twice in a row: one lost answer loses
// no history, and the next watch goes on from the same revision.
func (w *Watcher) watch(ctx context.Context, kind string, revision uint64) error {
	failed := retryFirst
	quick := rate.NewLimiter(rate.Every(w.pace()), quickWatches)
	for quick.Wait(ctx) == nil {
		quick.SetLimit(rate.Every(w.pace()))
		wait, call, cancel := w.watchCall(ctx, kind)
		began := w.now()
		events, next, err := w.Feed.WatchKind(call, kind, revision, wait)
		cancel()
		if errors.Is(err, objectapi.ErrCompacted) {
			return err
		}
		w.note(kind, err)
		if err != nil {
			rest := failed
			if kind == w.Kinds.Instances && w.now().Sub(began) >= probeWait+callMargin {
				rest = silentPause
			} else {
				failed = min(2*failed, retryMost)
			}
			if !w.pause(ctx, rest) {
				return ctx.Err()
			}
			continue
		}
		failed = retryFirst
		for _, e := range events {
			w.takeEvent(kind, e)
		}
		revision = next
		w.confirm(kind, began)
	}
	return ctx.Err()
}

// pace is the shortest time between the beginnings of two watches of a kind, but for the
// first few.
func (w *Watcher) pace() time.Duration {
	if w.Processes == nil {
		return watchEvery
	}
	return min(max(watchEvery, time.Duration(w.Processes())*fleetWatch), slowestWatch)
}

// note records whether the store answers, and logs each loss and return once.
func (w *Watcher) note(kind string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing == nil {
		w.failing = map[string]bool{}
	}
	answered := err == nil || errors.Is(err, objectapi.ErrCompacted) || errors.Is(err, objectapi.ErrNotFound)
	now := time.Now()
	switch {
	case answered && w.failing[kind]:
		w.returned = now
		if kind == w.Kinds.Instances {
			w.entriesReturned = now
		}
		close(w.backChannel())
		w.back = nil
		w.Log.Info("store answers again", zap.String("kind", kind))
	case !answered && !w.failing[kind]:
		w.Log.Warn("store does not answer", zap.String("kind", kind), zap.Error(err))
	}
	w.failing[kind] = !answered
	if answered {
		w.heard = now
	}
}

// storeWasAway tells whether entries may have lapsed though their endpoints live.
func (w *Watcher) storeWasAway(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, failing := range w.failing {
		if failing {
			return true
		}
	}
	return !w.returned.IsZero() && now.Sub(w.returned) < lapsedFor
}

func (w *Watcher) takeList(kind string, records []objectapi.Record) {
	if kind != w.Kinds.Instances {
		for _, r := range records {
			w.takeEvent(kind, objectapi.Event{Record: r})
		}
		return
	}
	list := make([]Instance, 0, len(records))
	for _, r := range records {
		if i, err := w.Decoder.Instance(r); err != nil {
			w.Log.Error("instance does not decode", zap.String("endpoint", r.Name), zap.Error(err))
		} else {
			list = append(list, i)
		}
	}
	now := time.Now()
	w.State.ReplaceInstances(list, w.storeWasAway(now), now)
}

func (w *Watcher) takeEvent(kind string, e objectapi.Event) {
	var err error
	switch kind {
	case w.Kinds.Config:
		err = w.takeConfig(e)
	case w.Kinds.Instances:
		err = w.takeInstance(e)
	case w.Kinds.Weights:
		err = w.takeWeights(e)
	}
	if err != nil {
		w.Log.Error("object does not decode", zap.String("kind", kind), zap.String("name", e.Name),
			zap.Uint64("revision", e.Revision), zap.Error(err))
	}
}

func (w *Watcher) takeConfig(e objectapi.Event) error {
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

func (w *Watcher) takeInstance(e objectapi.Event) error {
	if e.Removed {
		now := time.Now()
		w.State.Remove(e.Name, w.storeWasAway(now), now)
		return nil
	}
	i, err := w.Decoder.Instance(e.Record)
	if err != nil {
		// Another writer's entry names no endpoint; the endpoint whose id it has is back
		// with its own next entry.
		w.State.Remove(e.Name, false, time.Now())
		return err
	}
	w.State.SetInstance(i)
	return nil
}

func (w *Watcher) takeWeights(e objectapi.Event) error {
	if e.Removed {
		return nil
	}
	n, err := w.Decoder.Weights(e.Record)
	if err != nil {
		return err
	}
	w.State.SetTarget(n)
	return nil
}

// entriesReturnedAt is when the store could last be heard of endpoints again; false if it can't be.
//
// Other kinds don't count: their calls may find the store back seconds later, and lapsed entries
// that stayed in use for as long would get requests after their endpoints have drained.
func (w *Watcher) entriesReturnedAt() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entriesReturned, !w.failing[w.Kinds.Instances]
}

// expire takes lapsed entries for gone once they have stayed missing.
func (w *Watcher) expire(ctx context.Context) {
	const every = 100 * time.Millisecond
	for pause.For(ctx, every) {
		if returned, back := w.entriesReturnedAt(); back {
			w.State.Expire(time.Now(), returned)
		}
	}
}
