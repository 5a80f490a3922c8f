package runs

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/fleet"
)

// TestRunsCutByAStoppingAgentGoOn guards against streams that callers lose because an agent that stops has cut more runs at once
// than the retry budget allows, although other agents could go on with each.
func TestRunsCutByAStoppingAgentGoOn(t *testing.T) {
	const runs = 60
	r, _ := newRunner(t, 2, func(_ int, req *wire.RunRequest) []*wire.RunEvent {
		if got := req.GetPrompt().GetResumeTokens(); len(got) > 0 {
			return []*wire.RunEvent{eventFor(req, started()), eventFor(req, tokens(2, "c")), eventFor(req, finished(3))}
		}
		return []*wire.RunEvent{eventFor(req, started()), eventFor(req, tokens(0, "a", "b")), eventFor(req, refused("cut_by_shutdown", wire.Ran_RAN_YES))}
	})
	// As entries have it.
	r.Budget = NewRetryBudget(0.1, 20)
	lost := 0
	for range runs {
		sink := &recordingSink{}
		if _, err := r.Run(t.Context(), promptJob(), sink); err != nil || strings.Join(sink.tokens, "") != "abc" {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("lost %d of %d streams that a stopping agent cut", lost, runs)
	}
}

// TestRunsRefusedByALeavingAgentGoOn guards against requests refused for want of retry budget as long as an entry has not learned
// that an agent leaves.
func TestRunsRefusedByALeavingAgentGoOn(t *testing.T) {
	for _, row := range []struct {
		code     string
		wantLost int
	}{{"endpoint_leaving", 0}, {"endpoint_busy", 60}} {
		t.Run(row.code, func(t *testing.T) {
			r, _ := newRunner(t, 2, func(_ int, req *wire.RunRequest) []*wire.RunEvent {
				if req.GetAttempt() == 1 {
					return []*wire.RunEvent{eventFor(req, refused(row.code, wire.Ran_RAN_NO))}
				}
				return []*wire.RunEvent{eventFor(req, started()), eventFor(req, tokens(0, "a", "b", "c")), eventFor(req, finished(3))}
			})
			r.Budget = NewRetryBudget(0, 0)
			lost := 0
			for range 60 {
				sink := &recordingSink{}
				if _, err := r.Run(t.Context(), promptJob(), sink); err != nil || strings.Join(sink.tokens, "") != "abc" {
					lost++
				}
			}
			if lost != row.wantLost {
				t.Errorf("lost %d of 60 requests, want %d", lost, row.wantLost)
			}
		})
	}
}

// TestRunsAtAGoneAgentGoOn guards against streams that callers lose because an agent that vanished, restarted or was wrongly found
// dead had more runs at once than the retry budget allows, although another agent could go on with each.
func TestRunsAtAGoneAgentGoOn(t *testing.T) {
	const runs = 60
	for name, end := range map[string]func(m *fleet.Member){
		"dead":      func(m *fleet.Member) { m.State = fleet.Dead },
		"restarted": func(m *fleet.Member) { m.Incarnation++ },
	} {
		t.Run(name, func(t *testing.T) {
			r, fake := newRunner(t, 2, func(_ int, q *wire.RunRequest) []*wire.RunEvent {
				if len(q.GetPrompt().GetResumeTokens()) > 0 {
					return []*wire.RunEvent{eventFor(q, started()), eventFor(q, tokens(2, "c")), eventFor(q, finished(3))}
				}
				return []*wire.RunEvent{eventFor(q, started()), eventFor(q, tokens(0, "a", "b"))}
			})
			fake.hangs = func(q *wire.RunRequest) bool { return len(q.GetPrompt().GetResumeTokens()) == 0 }
			r.Budget = NewRetryBudget(0, 0)
			change := func(id string, apply func(m *fleet.Member)) {
				m, _ := r.Table.Get(id)
				apply(&m)
				m.Version++
				r.Table.Merge(m, time.Now())
			}
			// The runs begin at one agent, and the other can go on with them.
			change("agent-1", func(m *fleet.Member) { m.State = fleet.Dead })
			var waiting sync.WaitGroup
			var lost, ended atomic.Int32
			begun := make(chan struct{}, runs)
			for range runs {
				waiting.Go(func() {
					defer ended.Add(1)
					sink := &callbackSink{}
					sink.onToken = func() {
						if len(sink.tokens) == 0 {
							begun <- struct{}{}
						}
					}
					if _, err := r.Run(t.Context(), promptJob(), sink); err != nil || strings.Join(sink.tokens, "") != "abc" {
						lost.Add(1)
					}
				})
			}
			for range runs {
				<-begun
			}
			change("agent-1", func(m *fleet.Member) { m.State = fleet.Alive })
			change("agent-0", end)
			for ended.Load() < runs {
				r.cancelAtGoneMembers(time.Now().Add(goneIdleTimeout))
				time.Sleep(time.Millisecond)
			}
			waiting.Wait()
			if n := lost.Load(); n > 0 {
				t.Errorf("lost %d of %d streams of a gone agent", n, runs)
			}
		})
	}
}
