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

// callbackSink calls onToken before it records a token.
type callbackSink struct {
	recordingSink
	onToken func()
}

func (s *callbackSink) Tokens(t []string) error {
	s.onToken()
	return s.recordingSink.Tokens(t)
}

// markAgentsDead marks all agents of the table as dead.
func markAgentsDead(r *Runner, now time.Time) {
	for _, m := range r.Table.Members() {
		if m.Role == fleet.RoleAgent {
			m.State, m.Version = fleet.Dead, m.Version+1
			r.Table.Merge(m, now)
		}
	}
}

// TestArrivingAnswerSurvivesDeadMember guards against the loss of an answer whose events still arrive,
// after its endpoint has stopped or was wrongly found dead.
func TestArrivingAnswerSurvivesDeadMember(t *testing.T) {
	// The answer is larger than a connection's buffers, so that the agent is sending until the end.
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
		t.Errorf("got error %v after %d of %d tokens", err, len(sink.tokens), count)
	}
}

// TestIdleAttemptAtGoneMemberIsCanceled guards against streams that wait for their deadline after a host
// has vanished, and against canceling those that have just received an event.
func TestIdleAttemptAtGoneMemberIsCanceled(t *testing.T) {
	now := time.Now()
	rows := []struct {
		name string
		dead bool
		// restarted: the member has another incarnation than the attempt's.
		restarted bool
		// idle is how long the attempt has waited, 0 while it delivers an event.
		idle    time.Duration
		cancel  bool
		recheck time.Duration
	}{
		{"alive and idle", false, false, time.Hour, false, 0},
		{"dead and idle", true, false, goneIdleTimeout, true, 0},
		{"restarted and idle", false, true, goneIdleTimeout, true, 0},
		{"dead, a recent event", true, false, goneIdleTimeout / 4, false, goneIdleTimeout * 3 / 4},
		{"restarted, a recent event", false, true, goneIdleTimeout / 4, false, goneIdleTimeout * 3 / 4},
		{"dead, an event is being delivered", true, false, 0, false, goneIdleTimeout},
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
				a.idle.end(now)
			}
			if row.dead {
				markAgentsDead(r, now)
			}
			if recheck := r.cancelAtGoneMembers(now); recheck != row.recheck {
				t.Errorf("got a recheck after %v, want %v", recheck, row.recheck)
			}
			if canceled := errors.Is(context.Cause(ctx), errEndpointGone); canceled != row.cancel {
				t.Errorf("got canceled %v, want %v", canceled, row.cancel)
			}
		})
	}
}

// TestIdleAttemptBesideArrivingAnswer guards against streams that are given up at a member that has stopped, or was wrongly found
// dead, while its connection still delivers what they wait for.
func TestIdleAttemptBesideArrivingAnswer(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		name string
		// restarted: the other attempt is at the member's next life, over another connection.
		restarted bool
		// arrived is how long ago the other attempt's last event arrived.
		arrived time.Duration
		// delivering: the other attempt's caller has not taken that event yet.
		delivering bool
		cancel     bool
		recheck    time.Duration
	}{
		{"the other got an event", false, goneIdleTimeout / 4, false, false, goneIdleTimeout * 3 / 4},
		{"the other is as idle", false, goneIdleTimeout, false, true, 0},
		{"the other's caller does not read", false, time.Minute, true, true, goneIdleTimeout},
		{"the other's is another connection", true, goneIdleTimeout / 4, false, true, goneIdleTimeout * 3 / 4},
	} {
		t.Run(row.name, func(t *testing.T) {
			r, _ := newRunner(t, 1, nil)
			member, _ := r.Table.Get("agent-0")
			attemptAt := func(m fleet.Member, arrived time.Time) (context.Context, *attempt) {
				ctx, cancel := context.WithCancelCause(t.Context())
				a := &attempt{choice: routing.Choice{Member: m}, cancel: cancel}
				r.register(a)
				a.idle.end(arrived)
				a.idle.begin(arrived)
				return ctx, a
			}
			ctx, _ := attemptAt(member, now.Add(-goneIdleTimeout))
			if row.restarted {
				member.Incarnation++
			}
			_, other := attemptAt(member, now.Add(-row.arrived))
			if row.delivering {
				other.idle.end(now.Add(-row.arrived))
			}
			markAgentsDead(r, now)
			if recheck := r.cancelAtGoneMembers(now); recheck != row.recheck {
				t.Errorf("got a recheck after %v, want %v", recheck, row.recheck)
			}
			if canceled := errors.Is(context.Cause(ctx), errEndpointGone); canceled != row.cancel {
				t.Errorf("got canceled %v, want %v", canceled, row.cancel)
			}
		})
	}
}

// TestPauseIsNotIdleTime guards against streams that are given up at once by an entry that was paused itself, before it has read
// what arrived meanwhile.
func TestPauseIsNotIdleTime(t *testing.T) {
	for _, row := range []struct {
		name string
		// sinceCheck is the time between the last check and the one that finds the member dead.
		sinceCheck time.Duration
		cancel     bool
		recheck    time.Duration
	}{
		{"not paused", goneCheckInterval, true, 0},
		{"paused", time.Minute, false, goneIdleTimeout},
	} {
		t.Run(row.name, func(t *testing.T) {
			r, _ := newRunner(t, 1, nil)
			member, _ := r.Table.Get("agent-0")
			ctx, cancel := context.WithCancelCause(t.Context())
			a := &attempt{choice: routing.Choice{Member: member}, cancel: cancel}
			r.register(a)
			now := time.Now()
			a.idle.begin(now.Add(-time.Minute))
			r.cancelAtGoneMembers(now.Add(-row.sinceCheck))
			markAgentsDead(r, now)
			if recheck := r.cancelAtGoneMembers(now); recheck != row.recheck {
				t.Errorf("got a recheck after %v, want %v", recheck, row.recheck)
			}
			if canceled := errors.Is(context.Cause(ctx), errEndpointGone); canceled != row.cancel {
				t.Errorf("got canceled %v, want %v", canceled, row.cancel)
			}
			for at := now; at.Before(now.Add(goneIdleTimeout)); {
				at = at.Add(goneCheckInterval)
				r.cancelAtGoneMembers(at)
			}
			if !errors.Is(context.Cause(ctx), errEndpointGone) {
				t.Error("the attempt is not canceled when nothing has arrived after the pause either")
			}
		})
	}
}

// TestWatchMembershipCancelsIdleAttempt guards against an attempt that is not checked again after the
// check at which it had not been idle for long enough.
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
		t.Errorf("got error %v, want that the endpoint is gone", err)
	}
}
