package runs

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/state/fleet"
)

// errEndpointGone is the cancellation cause of attempts whose member is dead or has restarted.
const errEndpointGone = errors.ConstError("endpoint is gone")

// goneIdleTimeout is the time without an event after which an attempt at a gone member is canceled.
// Membership may be wrong about a process that gets no CPU time, and it may be right about one that
// has stopped but whose answer is still arriving.
const goneIdleTimeout = 2 * time.Second

// Attempts are checked every goneCheckInterval. After a longer time than pausedAfter between two checks this process was
// paused itself: what arrived meanwhile has not been read, so the idle time begins anew.
const (
	goneCheckInterval = goneIdleTimeout / 8
	pausedAfter       = goneIdleTimeout / 2
)

// idleTracker records since when an attempt has waited for its endpoint's next event.
type idleTracker struct {
	mu sync.Mutex
	// since is zero while an event is being delivered to the caller: whether others have arrived
	// after it is not known.
	since time.Time
	// arrived is when the last event arrived, zero before the first.
	arrived time.Time
}

func (t *idleTracker) begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since = now
}

// end records that an event has arrived.
func (t *idleTracker) end(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since, t.arrived = time.Time{}, now
}

func (t *idleTracker) lastArrival() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.arrived
}

// duration returns how long the attempt has waited.
func (t *idleTracker) duration(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since.IsZero() {
		return 0
	}
	return now.Sub(t.since)
}

// register makes an attempt known to WatchMembership.
func (r *Runner) register(a *attempt) {
	a.idle.begin(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attemptsByMember == nil {
		r.attemptsByMember = map[string]map[*attempt]struct{}{}
	}
	set := r.attemptsByMember[a.choice.Member.ID]
	if set == nil {
		set = map[*attempt]struct{}{}
		r.attemptsByMember[a.choice.Member.ID] = set
	}
	set[a] = struct{}{}
}

func (r *Runner) unregister(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.attemptsByMember[a.choice.Member.ID]
	delete(set, a)
	if len(set) == 0 {
		delete(r.attemptsByMember, a.choice.Member.ID)
	}
}

// WatchMembership cancels attempts whose member is gone, until ctx ends. A host that vanishes
// closes no connections; without this its streams would wait for their deadlines.
func (r *Runner) WatchMembership(ctx context.Context) {
	for {
		changed := r.Table.Changed()
		wait := goneCheckInterval
		if left := r.cancelAtGoneMembers(time.Now()); left > 0 {
			wait = min(wait, left)
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// cancelAtGoneMembers cancels the attempts at gone members that have been idle for goneIdleTimeout, and whose members have
// sent nothing to others either.
// It returns the time until that can be so for the next of them, 0 if none is left.
func (r *Runner) cancelAtGoneMembers(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastCheck.IsZero() && now.Sub(r.lastCheck) > pausedAfter {
		r.resumedAt = now
	}
	r.lastCheck = now
	var next time.Duration
	for id, set := range r.attemptsByMember {
		m, known := r.Table.Get(id)
		arrivals := lastArrivals(set)
		for a := range set {
			if known && m.State != fleet.Dead && m.Incarnation == a.choice.Member.Incarnation {
				continue
			}
			idle := min(a.idle.duration(now), now.Sub(arrivals[a.choice.Member.Incarnation]), now.Sub(r.resumedAt))
			wait := goneIdleTimeout - idle
			if wait <= 0 {
				a.cancel(errEndpointGone)
			} else if next == 0 || wait < next {
				next = wait
			}
		}
	}
	return next
}

// lastArrivals returns when the last event has arrived from each incarnation of a member. Its attempts share a
// connection: while one of them gets events, those of the others may be behind them.
func lastArrivals(set map[*attempt]struct{}) map[uint64]time.Time {
	arrivals := map[uint64]time.Time{}
	for a := range set {
		incarnation, at := a.choice.Member.Incarnation, a.idle.lastArrival()
		if at.After(arrivals[incarnation]) {
			arrivals[incarnation] = at
		}
	}
	return arrivals
}
