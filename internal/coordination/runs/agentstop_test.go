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
