package runs

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/state/fleet"
)

// errEndpointGone ends attempts whose member is dead or has restarted.
const errEndpointGone = errors.ConstError("endpoint is gone")

// goneIdleTimeout, in time without an event, ends an attempt at a member that is gone. Membership may be wrong about a
// starved process, and right about one that has stopped but whose answer is still underway.
const goneIdleTimeout = 2 * time.Second

// idleTracker tells since when an attempt has waited for its endpoint's next event.
type idleTracker struct {
	mu sync.Mutex
	// since is zero while an event is handed to the caller: what has arrived behind it is not known.
	since time.Time
}

func (t *idleTracker) begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since = now
}

func (t *idleTracker) end() { t.begin(time.Time{}) }

// duration returns how long an attempt has waited.
func (t *idleTracker) duration(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since.IsZero() {
		return 0
	}
	return now.Sub(t.since)
}

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

// WatchMembership ends attempts whose member is gone. A host that vanishes closes no
// connection; without this its streams would wait for their deadline.
func (r *Runner) WatchMembership(ctx context.Context) {
	for {
		changed := r.Table.Changed()
		var recheck <-chan time.Time
		if wait := r.cancelAtGoneMembers(time.Now()); wait > 0 {
			recheck = time.After(wait)
		}
		select {
		case <-changed:
		case <-recheck:
		case <-ctx.Done():
			return
		}
	}
}

// cancelAtGoneMembers ends quiet attempts whose member is gone. It returns when the next of them may be quiet for
// long enough, 0 if there is none.
func (r *Runner) cancelAtGoneMembers(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var next time.Duration
	for id, set := range r.attemptsByMember {
		m, known := r.Table.Get(id)
		for a := range set {
			if known && m.State != fleet.Dead && m.Incarnation == a.choice.Member.Incarnation {
				continue
			}
			wait := goneIdleTimeout - a.idle.duration(now)
			if wait <= 0 {
				a.cancel(errEndpointGone)
			} else if next == 0 || wait < next {
				next = wait
			}
		}
	}
	return next
}
