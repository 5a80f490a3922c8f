package runs

import (
	"context"
	"strings"
	"testing"
	"time"

	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/wire"
)

// TestOwnerFailsAfterClaim guards against an answer that is lost when the owner of a round fails after
// it has canceled the other attempt.
func TestOwnerFailsAfterClaim(t *testing.T) {
	rows := map[string]func(r *wire.RunRequest) []*wire.RunEvent{
		"before its first token": func(r *wire.RunRequest) []*wire.RunEvent { return []*wire.RunEvent{eventFor(r, started())} },
		"after some tokens": func(r *wire.RunRequest) []*wire.RunEvent {
			return []*wire.RunEvent{eventFor(r, started()), eventFor(r, tokens(0, "a", "b"))}
		},
		"refused by its agent": func(r *wire.RunRequest) []*wire.RunEvent {
			return []*wire.RunEvent{eventFor(r, started()), eventFor(r, refused("cut_by_shutdown", wire.Ran_RAN_YES))}
		},
	}
	for name, owner := range rows {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			r, fake := newRunner(t, 3, func(_ int, q *wire.RunRequest) []*wire.RunEvent {
				if q.GetAttempt() == 2 {
					<-arrived
					return owner(q)
				}
				have := len(q.GetPrompt().GetResumeTokens())
				rest := []string{"a", "b", "c"}[have:]
				return []*wire.RunEvent{eventFor(q, started()), eventFor(q, tokens(have, rest...)), eventFor(q, finished(3))}
			})
			r.HedgeAfter = time.Millisecond
			fake.silentAttempt, fake.arrived, fake.ended = 1, arrived, make(chan uint32, 1)
			sink := &recordingSink{}
			_, err := r.Run(t.Context(), promptJob(), sink)
			if err != nil || strings.Join(sink.tokens, "") != "abc" {
				t.Errorf("got %q, error %v; want abc", sink.tokens, err)
			}
			if work := r.Directory.OwnWork(); len(work) != 0 {
				t.Errorf("still counted as in flight: %+v", work)
			}
		})
	}
}

// TestShutdownDuringHedge guards against a request whose caller is treated as gone when its entry is
// forced to stop while two attempts run.
func TestShutdownDuringHedge(t *testing.T) {
	both := make(chan struct{}, 2)
	blocked := make(chan struct{})
	r, fake := newRunner(t, 2, func(_ int, q *wire.RunRequest) []*wire.RunEvent {
		both <- struct{}{}
		<-blocked
		return nil
	})
	r.HedgeAfter = time.Millisecond
	defer close(blocked)
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		<-both
		<-both
		cancel(ErrStopping)
	}()
	_, err := r.Run(ctx, promptJob(), &recordingSink{})
	if err == nil || err.Code != apierror.CodeStopping || err.Ran != apierror.RanUnknown || fake.callCount() != 2 {
		t.Errorf("got %d calls, error %+v", fake.callCount(), err)
	}
	if work := r.Directory.OwnWork(); len(work) != 0 {
		t.Errorf("still counted as in flight: %+v", work)
	}
}
