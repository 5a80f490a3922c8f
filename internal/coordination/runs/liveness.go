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

// quietBeforeGone, in time without an event, ends an attempt at a member that is gone. Membership may be wrong about a
// starved process, and right about one that has stopped but whose answer is still underway.
const quietBeforeGone = 2 * time.Second

// listening tells since when an attempt has waited for its endpoint's next event.
type listening struct {
	mu sync.Mutex
	// since is zero while an event is handed to the caller: what has arrived behind it is not known.
	since time.Time
}

func (l *listening) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since = now
}

func (l *listening) end() { l.begin(time.Time{}) }

// quietFor returns how long an attempt has waited.
func (l *listening) quietFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		return 0
	}
	return now.Sub(l.since)
}

func (r *Runner) register(a *attempt) {
	a.listening.begin(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts = map[string]map[*attempt]struct{}{}
	}
	set := r.attempts[a.choice.Member.ID]
	if set == nil {
		set = map[*attempt]struct{}{}
		r.attempts[a.choice.Member.ID] = set
	}
	set[a] = struct{}{}
}

func (r *Runner) unregister(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.attempts[a.choice.Member.ID]
	delete(set, a)
	if len(set) == 0 {
		delete(r.attempts, a.choice.Member.ID)
	}
}

// WatchMembership ends attempts whose member is gone. A host that vanishes closes no
// connection; without this its streams would wait for their deadline.
func (r *Runner) WatchMembership(ctx context.Context) {
	for {
		changed := r.Table.Changed()
		var again <-chan time.Time
		if wait := r.cancelGone(time.Now()); wait > 0 {
			again = time.After(wait)
		}
		select {
		case <-changed:
		case <-again:
		case <-ctx.Done():
			return
		}
	}
}

// cancelGone ends quiet attempts whose member is gone. It returns when the next of them may be quiet for
// long enough, 0 if there is none.
func (r *Runner) cancelGone(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var next time.Duration
	for id, set := range r.attempts {
		m, known := r.Table.Get(id)
		for a := range set {
			if known && m.State != fleet.Dead && m.Incarnation == a.choice.Member.Incarnation {
				continue
			}
			wait := quietBeforeGone - a.listening.quietFor(now)
			if wait <= 0 {
				a.cancel(errEndpointGone)
			} else if next == 0 || wait < next {
				next = wait
			}
		}
	}
	return next
}
