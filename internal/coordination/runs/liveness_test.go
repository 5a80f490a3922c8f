package runs

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/fleet"
)

// sinkFunc is called with each token; it keeps them.
type sinkFunc struct {
	collect
	onToken func()
}

func (s *sinkFunc) Tokens(t []string) error {
	s.onToken()
	return s.collect.Tokens(t)
}

// declareDead has the table take all agents for dead.
func declareDead(r *Runner, now time.Time) {
	for _, m := range r.Table.Members() {
		if m.Role == fleet.RoleAgent {
			m.State, m.Version = fleet.Dead, m.Version+1
			r.Table.Merge(m, now)
		}
	}
}

// TestAnswersUnderwayOutliveTheirMember guards against callers losing an answer whose endpoint has stopped, or is wrongly
// taken for dead, while its events still arrive.
func TestAnswersUnderwayOutliveTheirMember(t *testing.T) {
	// Larger than what a connection holds: the agent sends to the end.
	const count = 64
	word := strings.Repeat("a", 32<<10)
	r, _ := runner(t, 1, func(_ int, q *wire.RunRequest) []*wire.RunEvent {
		events := []*wire.RunEvent{event(q, started())}
		for i := range count {
			events = append(events, event(q, tokens(i, word)))
		}
		return append(events, event(q, finished(count)))
	})
	sink := &sinkFunc{onToken: func() {
		now := time.Now()
		declareDead(r, now)
		r.cancelGone(now)
		r.cancelGone(now.Add(time.Minute))
	}}
	if _, err := r.Run(t.Context(), promptJob(), sink); err != nil || len(sink.tokens) != count {
		t.Errorf("%v after %d of %d tokens", err, len(sink.tokens), count)
	}
}

// TestQuietAttemptsEndWithTheirMember guards against streams that wait for their deadline when a host vanished.
func TestQuietAttemptsEndWithTheirMember(t *testing.T) {
	now := time.Now()
	rows := []struct {
		name string
		dead bool
		// restarted: the member has another incarnation than the attempt's.
		restarted bool
		// quiet is how long the attempt has waited, 0 if it handles an event.
		quiet  time.Duration
		cancel bool
		again  time.Duration
	}{
		{"alive and quiet", false, false, time.Hour, false, 0},
		{"dead and quiet", true, false, quietBeforeGone, true, 0},
		{"restarted and quiet", false, true, quietBeforeGone, true, 0},
		{"dead, an event just now", true, false, quietBeforeGone / 4, false, quietBeforeGone * 3 / 4},
		{"restarted, an event just now", false, true, quietBeforeGone / 4, false, quietBeforeGone * 3 / 4},
		{"dead, an event in hand", true, false, 0, false, quietBeforeGone},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r, _ := runner(t, 1, nil)
			member, _ := r.Table.Get("agent-0")
			if row.restarted {
				member.Incarnation++
			}
			ctx, cancel := context.WithCancelCause(t.Context())
			a := &attempt{choice: routing.Choice{Member: member}, cancel: cancel}
			r.register(a)
			a.listening.begin(now.Add(-row.quiet))
			if row.quiet == 0 {
				a.listening.end()
			}
			if row.dead {
				declareDead(r, now)
			}
			if again := r.cancelGone(now); again != row.again {
				t.Errorf("looks again after %v, want %v", again, row.again)
			}
			if canceled := errors.Is(context.Cause(ctx), errEndpointGone); canceled != row.cancel {
				t.Errorf("canceled %v, want %v", canceled, row.cancel)
			}
		})
	}
}

// TestVanishedMemberEndsItsAttempts guards against an attempt that nobody looks at again after it was spared.
func TestVanishedMemberEndsItsAttempts(t *testing.T) {
	r, fake := runner(t, 1, nil)
	fake.silent, fake.arrived, fake.ended = 1, make(chan struct{}), make(chan uint32, 1)
	go r.WatchMembership(t.Context())
	go func() {
		<-fake.arrived
		declareDead(r, time.Now())
	}()
	_, err := r.Run(t.Context(), promptJob(), &collect{})
	if err == nil || !strings.Contains(err.Error(), string(errEndpointGone)) {
		t.Errorf("ended with %v", err)
	}
}
