package pushback

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestLimitFollowsAnswers guards against a limit that ends by an answer that was underway before the
// endpoint named it, or that stays when answers no longer name it.
func TestLimitFollowsAnswers(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	r := NewRegistry()
	r.Log = zap.New(core)
	e := r.Endpoint("i-1", 1)
	steps := []struct {
		name           string
		signal         Signal
		sent, answered int
		want           float64
	}{
		{"no limit", Signal{}, 0, 10, 0},
		{"named", Signal{RequestsPerSecond: 2}, 20, 100, 2},
		{"an answer that was underway", Signal{}, 90, 110, 2},
		{"changed", Signal{RequestsPerSecond: 1}, 120, 200, 1},
		{"sent later, without a limit", Signal{}, 210, 220, 0},
	}
	for _, step := range steps {
		e.Observe(step.signal, at(step.sent), at(step.answered))
		if got := e.Limit().RequestsPerSecond; got != step.want {
			t.Errorf("%s: got a limit of %g, want %g", step.name, got, step.want)
		}
	}
	if lines.Len() != 2 {
		t.Errorf("got %d log lines, want one at the beginning and one at the end", lines.Len())
	}
}

// TestRecentSends guards against a count of requests that leaves out some within the window, or keeps
// older ones.
func TestRecentSends(t *testing.T) {
	e := NewRegistry().Endpoint("i-1", 1)
	for ms := 0; ms < 5000; ms += 500 {
		e.RecordSend(at(ms))
	}
	if got := e.RecentSends(at(5000)); got != 7 {
		t.Errorf("got %d requests in the last 4 s, want 7", got)
	}
	for range 2 * maxRecentSends {
		e.RecordSend(at(5000))
	}
	if got := e.RecentSends(at(5000)); got != maxRecentSends {
		t.Errorf("got %d requests, want at most %d", got, maxRecentSends)
	}
}
