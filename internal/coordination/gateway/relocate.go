package gateway

import (
	"cmp"
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/config"
	"limpetwall/internal/transport/sleep"
	"limpetwall/internal/transport/upstream"
)

// Errors of relocating a run; RunCopier returns the exported ones.
const (
	// ErrRunNotFound is returned when the source has no such run any more.
	ErrRunNotFound = errors.ConstError("the source engine has no such run")
	// ErrNoCapacity is returned when the destination has no free capacity or can't be reached.
	ErrNoCapacity = errors.ConstError("the destination has no capacity for the run")

	// errRunStopped ends an attempt whose run was stopped for a relocation that failed.
	errRunStopped = errors.ConstError("the run was stopped for a relocation that failed")

	// errRunEnded ends a relocation whose attempt ended before the run was stopped.
	errRunEnded = errors.ConstError("the run ended before it was stopped")

	// errTooLateToStop ends a relocation whose first copy left too little time for the final one.
	errTooLateToStop = errors.ConstError("too late to stop the run")
)

// RunCopier copies the memory of a run from one engine to another.
type RunCopier interface {
	// Copy returns a handle of the copy. If final is true the run is stopped first, and its stream
	// closes without its end; otherwise the run continues meanwhile. With ErrNoCapacity, the handle
	// is that of the memory that the source of a stopped run retains.
	Copy(ctx context.Context, source discovery.Instance, requestID, destination string, final bool) (handle string, err error)
	// Drop releases a copy that is not used.
	Drop(ctx context.Context, source discovery.Instance, handle string) error
}

const (
	// relocationDelay is how long a run is left to end on its own once its engine is draining:
	// most short runs do. Loading weights takes an engine about twice as long.
	relocationDelay = 250 * time.Millisecond
	// copyTimeout bounds one copy. A run of 1,000 tokens of 160 KB takes 5 ms over links of
	// 280 Gbit/s, and waits behind others.
	copyTimeout = time.Second
	// streamCloseTimeout is how long the stream of a stopped run may take to close before it is cut.
	// Events still in transit are sent again by the engine where the run continues.
	streamCloseTimeout = 200 * time.Millisecond
	// relocationTime is the longest time in which a run that is moved may be at no engine: for the copies, the end of its stream, and
	// a connection to the destination.
	relocationTime = 2*copyTimeout + streamCloseTimeout + copyTimeout
	// returnMargin is subtracted from the time for which a leaving endpoint serves: a request that is sent to it arrives later.
	returnMargin = 500 * time.Millisecond
	// returnTime is kept for the return of a stopped run to a leaving source after its copies.
	returnTime = 250 * time.Millisecond
	// minFinalCopyTime is the time below which no final copy begins: it would likely fail after the run was stopped.
	minFinalCopyTime = 200 * time.Millisecond
	// minConnectTime is enough for a connection to an endpoint that can be reached.
	minConnectTime = 100 * time.Millisecond
	// dropTimeout bounds the release of a copy.
	dropTimeout = 500 * time.Millisecond
	// minStartWindow is how long a destination with replaced weights must still be allowed to begin
	// runs: nothing is gained at one whose own turn to load comes sooner.
	minStartWindow = time.Second
	// maxDestinationWait bounds the expected wait for a slot and memory at the destination: where
	// runs already wait for these, one more would displace another. Prompts that wait there for
	// prefill are not counted, as a copied run goes before them: when they were, most runs of busy
	// engines could not be moved, and an engine is empty only after its last run.
	maxDestinationWait = 50 * time.Millisecond
)

// continuation is the engine at which a stopped run continues, and the copy to continue from.
type continuation struct {
	choice routing.Choice
	// source and handle identify the copy.
	source discovery.Instance
	handle string
	// sourceChoice is the choice of the source, which began to drain at drainedAt. returned is set once the run goes on there.
	sourceChoice routing.Choice
	drainedAt    time.Time
	returned     bool
}

// copyName identifies the copy in an attempt's header.
func (c *continuation) copyName() string { return c.source.Address + "/" + c.handle }

// relocation watches one attempt: when its engine is drained, to load weights or to leave,
// the run is copied to another engine and continues there. Without it, the engine would accept no
// new work for the several seconds until its longest run ends, and a leaving engine would cut the
// runs that take longer than its remaining time.
type relocation struct {
	// hasOutput is set with the first event of the stream; a run without output is not moved.
	hasOutput atomic.Bool
	stop      context.CancelFunc
	// settled is set once, by the run's stop or by the attempt's end, whichever is first. So a
	// complete response does not wait for a copy in flight.
	settled atomic.Bool
	done    chan struct{}
	// next is set before done is closed if the run has been stopped and copied.
	next *continuation
	// maybeStopped is set before done is closed if the run was ordered to stop but was not copied. retained is then
	// what its source keeps of it, nil if that is not known.
	maybeStopped bool
	retained     *continuation
}

// watchRelocation starts to watch an attempt, and relocates its run when its engine is drained. ctx is the attempt's
// context, and cut ends the attempt.
func (x *exchange) watchRelocation(ctx context.Context, cut func(), c routing.Choice, attempt Attempt) *relocation {
	r := &relocation{done: make(chan struct{})}
	ctx, r.stop = context.WithCancel(ctx)
	draining := x.g.State.Draining(c.Member.ID)
	if x.g.Copier == nil || draining == nil || attempt.Weights == 0 || x.hasReturned {
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
		// An answer may begin long after its engine's notice.
		drainedAt := cmp.Or(x.g.State.LeavingSince(c.Member.ID), time.Now())
		if !sleep.For(ctx, relocationDelay) || !r.hasOutput.Load() || x.g.isEndingWithin(relocationTime) {
			return
		}
		if r.next = x.relocate(ctx, r, c, drainedAt); r.next != nil && sleep.For(ctx, streamCloseTimeout) {
			cut()
		}
	}()
	return r
}

// finish ends the watch. It returns true if the run continues elsewhere; the attempt's stream was
// then incomplete, whatever it looked like.
func (r *relocation) finish() (*continuation, bool) {
	r.stop()
	if r.settled.CompareAndSwap(false, true) {
		return nil, false
	}
	<-r.done
	return r.next, r.next != nil
}

// relocate stops a run and copies it to another engine; it returns nil if the run was not moved.
// The first copy, made while the run continues, finds out whether the destination has capacity: a
// run that is stopped without any could only continue at its source, which may already refuse it.
func (x *exchange) relocate(ctx context.Context, r *relocation, c routing.Choice, drainedAt time.Time) *continuation {
	source, known := x.g.State.Instance(c.Member.ID)
	if !known {
		return nil
	}
	limit := 2 * copyTimeout
	if until := x.g.acceptsUntil(source, drainedAt); !until.IsZero() {
		limit = min(limit, time.Until(until)-returnTime)
	}
	if limit < minFinalCopyTime {
		return nil
	}
	target := x.chooseDestination(c)
	if target.Member.ID == "" {
		x.g.count("runs_moved.no_destination")
		return nil
	}
	// The calls must not be canceled by the end of the stream, which the final copy brings about.
	startedAt := time.Now()
	copyCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), startedAt.Add(limit))
	defer cancel()
	defer context.AfterFunc(x.r.Context(), func() {
		if x.isForceStopped() {
			cancel()
		}
	})()
	stopOrdered := false
	handle, err := x.g.Copier.Copy(copyCtx, source, x.call.ID, target.Member.Address, false)
	if err == nil && limit-time.Since(startedAt) < minFinalCopyTime {
		err = errTooLateToStop
	}
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
	x.g.Log.Info("run relocation finished", zap.String("request_id", x.call.ID), zap.String("from", c.Member.ID), zap.String("to", target.Member.ID),
		zap.String("from_software_version", c.Member.Endpoint.SoftwareVersion), zap.String("to_software_version", target.Member.Endpoint.SoftwareVersion),
		zap.Bool("stop_ordered", stopOrdered), zap.Bool("done", moved), zap.Duration("took", time.Since(startedAt)), zap.Error(err))
	if !moved {
		x.g.count("runs_moved.failed")
		x.g.Directory.Release(target)
		if stopOrdered && !errors.Is(err, ErrRunNotFound) {
			r.maybeStopped = true
			if handle != "" {
				r.retained = &continuation{source: source, handle: handle, sourceChoice: c, drainedAt: drainedAt}
				return nil
			}
		}
		x.dropCopy(source, handle)
		return nil
	}
	x.g.count("runs_moved.done")
	return &continuation{choice: target, source: source, handle: handle, sourceChoice: c, drainedAt: drainedAt}
}

// endStoppedRun returns the outcome of an attempt whose run was ordered to stop and was not copied: it goes on at its source,
// unless the answer is complete or the request has ended.
func (x *exchange) endStoppedRun(ctx context.Context, out outcome, retained *continuation) outcome {
	if out.kind != broken || ctx.Err() != nil {
		x.dropCopy(retained.source, retained.handle)
		return out
	}
	return x.returnToSource(retained, out)
}

// canReturn reports whether a run that was stopped to continue elsewhere may go on at its source, after its attempt at the
// destination: the destination has rejected it, or has brought no event of it. If it has used the copy, the source rejects it,
// as a copy can be used once.
func (x *exchange) canReturn(ctx context.Context, c *continuation, o outcome, probe *crashProbe) bool {
	if c.returned || ctx.Err() != nil {
		return false
	}
	switch o.kind {
	case rejected, notReached:
		return true
	case broken:
		// A run that has shown that it spares its engine may return unless its destination has crashed.
		return x.firstEventAt.IsZero() && (!x.isRetryBlocked(ctx, probe) || x.ranWell && !probe.hasCrashed())
	}
	return false
}

// acceptsUntil returns until when a draining endpoint may be sent requests, zero if that has no limit: it loads weights.
func (g *Gateway) acceptsUntil(i discovery.Instance, drainedAt time.Time) time.Time {
	listed, ok := g.State.Instance(i.ID)
	if g.EndpointDrain <= 0 || (ok && !listed.Leaving) {
		return time.Time{}
	}
	return drainedAt.Add(g.EndpointDrain - returnMargin)
}

// connectBy returns until when a moved run waits for a connection to its destination, zero if only the dialer bounds that:
// a run whose source leaves could not return there afterwards.
func (g *Gateway) connectBy(c *continuation) time.Time {
	until := g.acceptsUntil(c.source, c.drainedAt)
	if by := until.Add(-minConnectTime); !c.returned && !until.IsZero() && time.Until(by) >= minConnectTime {
		return by
	}
	return time.Time{}
}

// hasLeft reports whether an endpoint has been leaving for too long to be sent a run that was copied to it meanwhile.
func (g *Gateway) hasLeft(c routing.Choice) bool {
	until := g.acceptsUntil(discovery.Instance{ID: c.Member.ID}, g.State.LeavingSince(c.Member.ID))
	return !until.IsZero() && time.Now().After(until)
}

// returnToSource returns the outcome by which a stopped run goes on at its source, or the outcome given if the source is gone or
// has been leaving for too long.
func (x *exchange) returnToSource(c *continuation, o outcome) outcome {
	var choice routing.Choice
	if until := x.g.acceptsUntil(c.source, c.drainedAt); until.IsZero() || time.Now().Before(until) {
		choice = x.g.Directory.Resume(c.sourceChoice)
	}
	if choice.Member.ID == "" {
		x.dropCopy(c.source, c.handle)
		return o
	}
	x.hasReturned = true
	x.g.count("runs_moved.returned")
	return outcome{kind: relocated, next: &continuation{choice: choice, source: c.source, handle: c.handle, sourceChoice: c.sourceChoice, returned: true}}
}

// chooseDestination picks an engine with the same weights and software version and with free capacity; the choice is
// empty if there is none.
func (x *exchange) chooseDestination(c routing.Choice) routing.Choice {
	heldTokens := x.call.PromptTokens + x.call.OutputTokens
	target := x.g.Directory.Choose(x.service.Name, nil, &routing.Request{
		// The run's memory is copied with it: the destination needs no prefill.
		HeldTokens: heldTokens, MeanHeldTokens: heldTokens, HoldingsKnown: true, SegmentsKnown: true, PlacementHashKnown: true,
		Domain: x.g.Domain, CrossDomainPenalty: crossDomainPenalty, Urgency: x.urgency.Level, Objective: config.Objective{WeightTTFT: 1},
		WeightVersion: c.Member.Endpoint.WeightVersion, SoftwarePinned: true, SoftwareVersion: c.Member.Endpoint.SoftwareVersion, Residency: x.residency, Now: time.Now(),
		// An engine that is to load soon would have to move the run again, or refuse it.
		Exclude: append(x.g.State.NextToLoad(c.Member.ID), c.Member.ID),
	})
	if target.Member.ID == "" {
		return target
	}
	version, _ := strconv.ParseInt(target.Member.Endpoint.WeightVersion, 10, 64)
	window, limited := x.g.State.TimeLeftToBegin(target.Member.Endpoint.Model, version)
	if target.CapacityWait > maxDestinationWait || (limited && window < minStartWindow) {
		x.g.Directory.Release(target)
		return routing.Choice{}
	}
	return target
}

// correctOutcome returns the true outcome of an attempt whose run was not moved. If the run may have been stopped, and
// only the end of the connection delimits the response, a response that looks complete is treated as broken.
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

// abandon releases a continuation that is not used, as its caller has left or its deadline has passed.
func (x *exchange) abandon(next *continuation) {
	x.g.Directory.Release(next.choice)
	x.dropCopy(next.source, next.handle)
}

// dropCopy releases a copy that will not be used.
func (x *exchange) dropCopy(source discovery.Instance, handle string) {
	if handle == "" {
		return
	}
	if x.isForceStopped() {
		// The process exits: its caller must not wait for this, and the engine releases the copy by itself.
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	defer context.AfterFunc(x.r.Context(), func() {
		if x.isForceStopped() {
			cancel()
		}
	})()
	if err := x.g.Copier.Drop(ctx, source, handle); err != nil {
		x.g.Log.Info("failed to release the copy of a run", zap.String("request_id", x.call.ID), zap.String("endpoint", source.ID), zap.Error(err))
	}
}
