package agent

import (
	"context"
	"time"

	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/pushbackheader"
	"limpetwall/internal/transport/sleep"
)

const (
	// limitUnconfirmed is how long the agent goes on by a limit while the endpoint answers nothing.
	limitUnconfirmed = time.Minute
	// endCheckInterval is how often the agent looks whether an endpoint that shuts down has ended, and
	// leavingTimeout how long it takes it to shut down at most: a plain service that has started again
	// unseen would not be used otherwise.
	endCheckInterval = 250 * time.Millisecond
	leavingTimeout   = time.Minute
	// leavingRest is the rest that is reported while the endpoint leaves: an entry that has not learned of
	// it by gossip would otherwise spend its retries on refusals.
	leavingRest = time.Second
)

// ObserveAnswer applies what the endpoint's answer to a call that was sent at a time asks for.
func (a *Agent) ObserveAnswer(asks pushbackheader.Asks, sent time.Time) {
	now := time.Now()
	e := a.asks.Load()
	if heard := now.Add(-e.LeavingFor(now)); e.IsLeaving() && !asks.Leaving && sent.After(heard) {
		// A process that shuts down says so in all its answers, so another one answers.
		e = a.resetPushback()
	}
	e.Observe(pushback.Signal{RequestsPerSecond: asks.RequestsPerSecond, Leaving: asks.Leaving, RetryAfter: asks.RetryAfter}, sent, now)
	if asks.RequestsPerSecond > 0 {
		e.SetShare(pushback.Share{RequestsPerSecond: asks.RequestsPerSecond, Until: now.Add(limitUnconfirmed)}, now)
	}
	a.announceLeaving(e.IsLeaving())
}

// resetPushback drops what the endpoint asked for: its process has ended.
func (a *Agent) resetPushback() *pushback.Endpoint {
	id := a.node.Table().Self().ID
	a.pushback.Remove(id, 0)
	e := a.pushback.Endpoint(id, 0, "")
	a.asks.Store(e)
	return e
}

// announceLeaving publishes whether the endpoint's answers say that it shuts down.
func (a *Agent) announceLeaving(leaving bool) {
	table := a.node.Table()
	if table.Self().Endpoint.Leaving == leaving {
		return
	}
	table.Update(time.Now(), func(m *fleet.Member) { m.Endpoint.Leaving = leaving })
	a.node.Announce()
}

// restLeft returns for how long entries should send nothing, as far as is known.
func (a *Agent) restLeft() time.Duration {
	left := a.asks.Load().RestLeft(time.Now())
	if a.leaving() {
		left = max(left, leavingRest)
	}
	return left
}

// watchLeaving looks whether an endpoint that shuts down has ended, until ctx ends.
func (a *Agent) watchLeaving(ctx context.Context) {
	for sleep.For(ctx, endCheckInterval) {
		e := a.asks.Load()
		if !e.IsLeaving() {
			continue
		}
		if e.LeavingFor(time.Now()) > leavingTimeout || (a.HasEnded != nil && a.HasEnded(ctx)) {
			a.resetPushback()
			a.announceLeaving(false)
		}
	}
}
