package gateway

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/config"
	"limpetwall/internal/transport/pause"
	"limpetwall/internal/transport/upstream"
)

// Errors of a call to copy a run.
const (
	// ErrRunNotFound: the source runs no such request; it has ended.
	ErrRunNotFound = errors.ConstError("the run is not there")
	// ErrNoCapacity: the destination has no room or can't be reached.
	ErrNoCapacity = errors.ConstError("no room for the run")

	// errRunStopped: the run was stopped for a move that failed.
	errRunStopped = errors.ConstError("the run was stopped, and not moved")

	// errRunEnded: the attempt ended before its run was stopped.
	errRunEnded = errors.ConstError("the run has ended")
)

// RunCopier copies a running request's memory from one engine to another. With last the
// run stops first, and its stream closes without its end; without it the run goes on
// meanwhile. The handle names the copy; with ErrNoCapacity, what the source of a stopped run keeps.
type RunCopier interface {
	Copy(ctx context.Context, source discovery.Instance, requestID, destination string, final bool) (handle string, err error)
	// Drop frees a copy that is not used.
	Drop(ctx context.Context, source discovery.Instance, handle string) error
}

const (
	// relocationDelay is how long a run may end by itself once its engine is to be emptied:
	// most short ones do. Loading weights takes an engine about twice as long.
	relocationDelay = 250 * time.Millisecond
	// copyTimeout bounds one copy. A run of 1,000 tokens of 160 KB takes 5 ms over links of
	// 280 Gbit/s, and waits behind others.
	copyTimeout = time.Second
	// streamCloseTimeout is how long after its stop a run's stream may take to close; it is cut
	// then. What was still on the way comes again where the run goes on.
	streamCloseTimeout = 200 * time.Millisecond
	// dropTimeout bounds the release of a copy.
	dropTimeout = 500 * time.Millisecond
	// minStartWindow of the time in which replaced weights may begin is needed at the
	// destination: one whose own turn to load comes sooner gains nothing.
	minStartWindow = time.Second
	// maxDestinationWait for a slot and memory at the destination: where runs already wait for them,
	// one more would push another out. Prompts that wait there to be read are no hindrance,
	// a copied run goes before them: counted in, they left most runs of busy engines where
	// they were, and an engine waits for its last.
	maxDestinationWait = 50 * time.Millisecond
)

// continuation is where a stopped run goes on.
type continuation struct {
	choice routing.Choice
	// source and handle name the copy.
	source discovery.Instance
	handle string
}

// copyName is the copy's name in a send.
func (c *continuation) copyName() string { return c.source.Address + "/" + c.handle }

// relocation watches over one attempt: when its engine is to be emptied, to load weights
// or to leave, the run is copied to another engine and goes on there. Otherwise the engine
// waits for its longest run, several seconds, in which it takes no new work; and one that
// leaves cuts what runs longer than it stays.
type relocation struct {
	hasOutput atomic.Bool
	stop      context.CancelFunc
	// settled is set once, by whoever is first: the run's stop, or the attempt's end. An
	// answer that is complete does not wait for a copy that is still underway.
	settled atomic.Bool
	done    chan struct{}
	// next is set before done is closed if the run has been stopped and copied.
	next *continuation
	// maybeStopped is set before done is closed if the run's stop was ordered, and it was not copied.
	maybeStopped bool
}

// watchRelocation starts a relocation for an attempt; ctx is the attempt's, and cut ends it.
func (x *exchange) watchRelocation(ctx context.Context, cut func(), c routing.Choice, attempt Attempt) *relocation {
	r := &relocation{done: make(chan struct{})}
	ctx, r.stop = context.WithCancel(ctx)
	draining := x.g.State.Draining(c.Member.ID)
	if x.g.Copier == nil || draining == nil || attempt.Weights == 0 {
		close(r.done)
		return r
	}
	go func() {
		defer close(r.done)
		select {
		case <-draining:
		case <-ctx.Done():
			return
		}
		if !pause.For(ctx, relocationDelay) || !r.hasOutput.Load() {
			return
		}
		if r.next = x.relocate(ctx, r, c); r.next != nil && pause.For(ctx, streamCloseTimeout) {
			cut()
		}
	}()
	return r
}

// finish ends the watch. What it returns is true if the run goes on elsewhere: its stream
// has then closed without its end, however that looked.
func (r *relocation) finish() (*continuation, bool) {
	r.stop()
	if r.settled.CompareAndSwap(false, true) {
		return nil, false
	}
	<-r.done
	return r.next, r.next != nil
}

// relocate copies a run and stops it; nil if it goes on where it is. The first copy, made
// while the run goes on, finds out whether there is room: a run that is stopped and finds
// none could only go on at its source, which may already refuse it.
func (x *exchange) relocate(ctx context.Context, r *relocation, c routing.Choice) *continuation {
	source, known := x.g.State.Instance(c.Member.ID)
	if !known {
		return nil
	}
	target := x.chooseDestination(c)
	if target.Member.ID == "" {
		x.g.count("runs_moved.no_destination")
		return nil
	}
	// The copyCtx must not be cut when the stream ends, which its own effect brings about.
	copyCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*copyTimeout)
	defer cancel()
	startedAt := time.Now()
	stopOrdered := false
	handle, err := x.g.Copier.Copy(copyCtx, source, x.call.ID, target.Member.Address, false)
	if err == nil && !r.settled.CompareAndSwap(false, true) {
		err = errRunEnded
	}
	if err == nil {
		var finalHandle string
		stopOrdered = true
		finalHandle, err = x.g.Copier.Copy(copyCtx, source, x.call.ID, target.Member.Address, true)
		handle = cmp.Or(finalHandle, handle)
	}
	moved := err == nil
	x.g.Log.Info("run moved", zap.String("request_id", x.call.ID), zap.String("from", c.Member.ID), zap.String("to", target.Member.ID),
		zap.Bool("done", moved), zap.Duration("took", time.Since(startedAt)), zap.Error(err))
	if !moved {
		if stopOrdered && !errors.Is(err, ErrRunNotFound) {
			r.maybeStopped = true
		}
		x.g.count("runs_moved.failed")
		x.g.Directory.Release(target)
		x.dropCopy(source, handle)
		return nil
	}
	x.g.count("runs_moved.done")
	return &continuation{choice: target, source: source, handle: handle}
}

// chooseDestination finds an engine with the same weights that has room at once.
func (x *exchange) chooseDestination(c routing.Choice) routing.Choice {
	heldTokens := x.call.PromptTokens + x.call.OutputTokens
	target := x.g.Directory.Choose(x.service.Name, nil, &routing.Request{
		// The run's memory comes with it: no prompt is read there.
		HeldTokens: heldTokens, MeanHeldTokens: heldTokens, HoldingsKnown: true, SegmentsKnown: true, PlacementHashKnown: true,
		Domain: x.g.Domain, CrossDomainPenalty: crossDomainPenalty, Urgency: x.urgency(), Objective: config.Objective{WeightTTFT: 1},
		WeightVersion: c.Member.Endpoint.WeightVersion, Now: time.Now(),
		// One whose turn to load comes soon would have to pass the run on, or refuse it.
		Exclude: append(x.g.State.NextToLoad(c.Member.ID), c.Member.ID),
	})
	if target.Member.ID == "" {
		return target
	}
	window, limited := x.g.State.TimeLeftToBegin(target.Member.ID)
	if target.CapacityWait > maxDestinationWait || (limited && window < minStartWindow) {
		x.g.Directory.Release(target)
		return routing.Choice{}
	}
	return target
}

// correctOutcome tells how an attempt ended whose run was not moved. Where only the connection ends the answer, a stopped run
// looks whole.
func (r *relocation) correctOutcome(out outcome, resp *upstream.Response) outcome {
	if !r.maybeStopped {
		return out
	}
	if out.kind == delivered && resp.EndsWithConnection {
		out = outcome{kind: broken, err: errRunStopped}
	}
	out.stopOrdered = out.kind == broken
	return out
}

// abandon gives up a continuation whose caller has left, or whose time is up.
func (x *exchange) abandon(next *continuation) {
	x.g.Directory.Release(next.choice)
	x.dropCopy(next.source, next.handle)
}

// dropCopy frees a copy that nobody will use.
func (x *exchange) dropCopy(source discovery.Instance, handle string) {
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	if err := x.g.Copier.Drop(ctx, source, handle); err != nil {
		x.g.Log.Info("copy of a run is not freed", zap.String("request_id", x.call.ID), zap.String("endpoint", source.ID), zap.Error(err))
	}
}
