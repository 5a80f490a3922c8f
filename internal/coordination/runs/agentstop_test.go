package runs

import (
	"strings"
	"testing"

	"limpetwall/internal/protocol/wire"
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
