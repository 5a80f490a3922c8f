package runs

import (
	"context"
	"strings"
	"testing"
	"time"

	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/wire"
)

// TestOwnerFailsAfterItsClaim guards against an answer lost with the attempt that ended the other of its round.
func TestOwnerFailsAfterItsClaim(t *testing.T) {
	rows := map[string]func(r *wire.RunRequest) []*wire.RunEvent{
		"before its first token": func(r *wire.RunRequest) []*wire.RunEvent { return []*wire.RunEvent{event(r, started())} },
		"after some tokens": func(r *wire.RunRequest) []*wire.RunEvent {
			return []*wire.RunEvent{event(r, started()), event(r, tokens(0, "a", "b"))}
		},
		"its own word": func(r *wire.RunRequest) []*wire.RunEvent {
			return []*wire.RunEvent{event(r, started()), event(r, refused("cut_by_shutdown", wire.Ran_RAN_YES))}
		},
	}
	for name, owner := range rows {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			r, fake := runner(t, 3, func(_ int, q *wire.RunRequest) []*wire.RunEvent {
				if q.GetAttempt() == 2 {
					<-arrived
					return owner(q)
				}
				have := len(q.GetPrompt().GetResumeTokens())
				rest := []string{"a", "b", "c"}[have:]
				return []*wire.RunEvent{event(q, started()), event(q, tokens(have, rest...)), event(q, finished(3))}
			})
			r.HedgeAfter = time.Millisecond
			fake.silent, fake.arrived, fake.ended = 1, arrived, make(chan uint32, 1)
			sink := &collect{}
			_, err := r.Run(t.Context(), promptJob(), sink)
			if err != nil || strings.Join(sink.tokens, "") != "abc" {
				t.Errorf("%q %v", sink.tokens, err)
			}
			if work := r.Directory.OwnWork(); len(work) != 0 {
				t.Errorf("counted as underway: %+v", work)
			}
		})
	}
}

// TestStopDuringAHedge guards against a caller that is taken for gone as its entry is forced to stop while two attempts run.
func TestStopDuringAHedge(t *testing.T) {
	both := make(chan struct{}, 2)
	blocked := make(chan struct{})
	r, fake := runner(t, 2, func(_ int, q *wire.RunRequest) []*wire.RunEvent {
		both <- struct{}{}
		<-blocked
		return nil
	})
	r.HedgeAfter = time.Millisecond
	defer close(blocked)
	ctx, cut := context.WithCancelCause(t.Context())
	go func() {
		<-both
		<-both
		cut(ErrStopping)
	}()
	_, err := r.Run(ctx, promptJob(), &collect{})
	if err == nil || err.Code != apierror.CodeStopping || err.Ran != apierror.RanUnknown || fake.count() != 2 {
		t.Errorf("%d calls, %+v", fake.count(), err)
	}
	if work := r.Directory.OwnWork(); len(work) != 0 {
		t.Errorf("counted as underway: %+v", work)
	}
}
