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

// callbackSink is called with each token; it keeps them.
type callbackSink struct {
	recordingSink
	onToken func()
}

func (s *callbackSink) Tokens(t []string) error {
	s.onToken()
	return s.recordingSink.Tokens(t)
}

// markAgentsDead has the table take all agents for dead.
func markAgentsDead(r *Runner, now time.Time) {
	for _, m := range r.Table.Members() {
		if m.Role == fleet.RoleAgent {
			m.State, m.Version = fleet.Dead, m.Version+1
			r.Table.Merge(m, now)
		}
	}
}

// TestArrivingAnswerSurvivesDeadMember guards against callers losing an answer whose endpoint has stopped, or is wrongly
// taken for dead, while its events still arrive.
func TestArrivingAnswerSurvivesDeadMember(t *testing.T) {
	// Larger than what a connection holds: the agent sends to the end.
	const count = 64
	word := strings.Repeat("a", 32<<10)
	r, _ := newRunner(t, 1, func(_ int, q *wire.RunRequest) []*wire.RunEvent {
		events := []*wire.RunEvent{eventFor(q, started())}
		for i := range count {
			events = append(events, eventFor(q, tokens(i, word)))
		}
		return append(events, eventFor(q, finished(count)))
	})
	sink := &callbackSink{onToken: func() {
		now := time.Now()
		markAgentsDead(r, now)
		r.cancelAtGoneMembers(now)
		r.cancelAtGoneMembers(now.Add(time.Minute))
	}}
	if _, err := r.Run(t.Context(), promptJob(), sink); err != nil || len(sink.tokens) != count {
		t.Errorf("%v after %d of %d tokens", err, len(sink.tokens), count)
	}
}

// TestIdleAttemptAtGoneMemberIsCanceled guards against streams that wait for their deadline when a host vanished.
func TestIdleAttemptAtGoneMemberIsCanceled(t *testing.T) {
	now := time.Now()
	rows := []struct {
		name string
		dead bool
		// restarted: the member has another incarnation than the attempt's.
		restarted bool
		// idle is how long the attempt has waited, 0 if it handles an event.
		idle    time.Duration
		cancel  bool
		recheck time.Duration
	}{
		{"alive and quiet", false, false, time.Hour, false, 0},
		{"dead and quiet", true, false, goneIdleTimeout, true, 0},
		{"restarted and quiet", false, true, goneIdleTimeout, true, 0},
		{"dead, an event just now", true, false, goneIdleTimeout / 4, false, goneIdleTimeout * 3 / 4},
		{"restarted, an event just now", false, true, goneIdleTimeout / 4, false, goneIdleTimeout * 3 / 4},
		{"dead, an event in hand", true, false, 0, false, goneIdleTimeout},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r, _ := newRunner(t, 1, nil)
			member, _ := r.Table.Get("agent-0")
			if row.restarted {
				member.Incarnation++
			}
			ctx, cancel := context.WithCancelCause(t.Context())
			a := &attempt{choice: routing.Choice{Member: member}, cancel: cancel}
			r.register(a)
			a.idle.begin(now.Add(-row.idle))
			if row.idle == 0 {
				a.idle.end()
			}
			if row.dead {
				markAgentsDead(r, now)
			}
			if recheck := r.cancelAtGoneMembers(now); recheck != row.recheck {
				t.Errorf("looks again after %v, want %v", recheck, row.recheck)
			}
			if canceled := errors.Is(context.Cause(ctx), errEndpointGone); canceled != row.cancel {
				t.Errorf("canceled %v, want %v", canceled, row.cancel)
			}
		})
	}
}

// TestWatchMembershipCancelsIdleAttempt guards against an attempt that nobody looks at again after it was spared.
func TestWatchMembershipCancelsIdleAttempt(t *testing.T) {
	r, fake := newRunner(t, 1, nil)
	fake.silentAttempt, fake.arrived, fake.ended = 1, make(chan struct{}), make(chan uint32, 1)
	go r.WatchMembership(t.Context())
	go func() {
		<-fake.arrived
		markAgentsDead(r, time.Now())
	}()
	_, err := r.Run(t.Context(), promptJob(), &recordingSink{})
	if err == nil || !strings.Contains(err.Error(), string(errEndpointGone)) {
		t.Errorf("ended with %v", err)
	}
}
