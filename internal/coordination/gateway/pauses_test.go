package gateway

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/receipt"
	"limpetwall/internal/state/routes"
)

// TestLongestPauseIsRecorded guards against streams that are late by a pause without a trace in logs and
// metrics, also if the endpoint is gone when the pause ends.
func TestLongestPauseIsRecorded(t *testing.T) {
	begin := time.Unix(1000, 0)
	rows := []struct {
		name    string
		limit   time.Duration
		events  []time.Duration
		longest time.Duration
		late    int64
	}{
		{"one event", time.Second, []time.Duration{0}, 0, 0},
		{"pauses within the limit", time.Second, []time.Duration{0, time.Second, 1500 * time.Millisecond}, time.Second, 0},
		{"one pause over the limit", time.Second, []time.Duration{0, 100 * time.Millisecond, 1200 * time.Millisecond, 1300 * time.Millisecond}, 1100 * time.Millisecond, 1},
		{"no limit", 0, []time.Duration{0, time.Minute}, time.Minute, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			core, lines := observer.New(zap.InfoLevel)
			list := singleRoute(routes.Streaming, 1)
			list[0].MaxPause = row.limit
			s := newTestServer(t, list)
			s.gateway.Log = zap.New(core)
			x := &exchange{g: s.gateway, r: s.newRequest("POST", "/r/x", ""), route: &list[0], startedAt: begin}
			for _, at := range row.events {
				x.recordEvent(routing.Choice{}, begin.Add(at))
			}
			x.countPauses()
			x.logRequest(nil, receipt.Answer)
			line := lines.FilterMessage("request").All()[0].ContextMap()
			if got, present := line["longest_pause"]; present != (row.longest > 0) || (present && got != row.longest) {
				t.Errorf("got a longest pause of %v in the log, want %v", got, row.longest)
			}
			if late := metrics.GetOrRegisterCounter("gateway.late_by_pause.streaming", s.gateway.Metrics).Count(); late != row.late {
				t.Errorf("got %d streams late by a pause, want %d", late, row.late)
			}
			if n := metrics.GetOrRegisterTimer("gateway.longest_pause.streaming", s.gateway.Metrics).Count(); n != 1 {
				t.Errorf("got %d streams in the histogram, want 1", n)
			}
		})
	}
}
