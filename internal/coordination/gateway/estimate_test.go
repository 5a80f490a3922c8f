package gateway

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"limpetwall/internal/state/routes"
)

// TestEstimateErrorIsMeasured checks what operators see of estimates that miss.
//
// It guards against estimates that are off, early or late, and look right on average.
func TestEstimateErrorIsMeasured(t *testing.T) {
	x := &exchange{g: &Gateway{Metrics: metrics.NewRegistry()}, route: &routes.Route{Kind: routes.Idempotent, Objective: 150 * time.Millisecond}}
	x.observeEstimate(30*time.Millisecond, 40*time.Millisecond)
	x.observeEstimate(200*time.Millisecond, 40*time.Millisecond)
	x.observeEstimate(30*time.Millisecond, 140*time.Millisecond)
	for name, want := range map[string]int64{"answered_later": 2, "answered_earlier": 1} {
		timer, ok := x.g.Metrics.Get("gateway.estimates.idempotent." + name).(metrics.Timer)
		if !ok || timer.Count() != want {
			t.Errorf("%s: got %v, want %d samples", name, timer, want)
		}
	}
	off, ok := x.g.Metrics.Get("gateway.estimates.idempotent.off").(metrics.Counter)
	if !ok || off.Snapshot().Count() != 2 {
		t.Errorf("estimates off: got %v, want 2", off)
	}
}
