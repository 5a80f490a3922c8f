package routing

import (
	"testing"
	"time"

	"limpetwall/internal/state/fleet"
)

// TestStreamLoadOfLostEndpoint guards against a pause that is blamed on the work of an endpoint's next
// start, or a process that fails on an endpoint that is gone.
func TestStreamLoadOfLostEndpoint(t *testing.T) {
	d, table := newDirectory(t, 1)
	now := epoch.Add(time.Minute)
	c := d.Choose("s", nil, &Request{PromptTokens: 500, Now: now})
	d.ObserveLoad(c, fleet.Load{Running: 3, QueuedTokens: 700, Slowdown: 2.5, AtMS: now.UnixMilli()}, now)
	if got, want := d.StreamLoad(c, now), (StreamLoad{Running: 3, UnreadTokens: 700, Slowdown: 2.5}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	restarted := c.Member
	restarted.Incarnation, restarted.Version = 9, 2
	table.Merge(restarted, now)
	d.Choose("s", nil, &Request{PromptTokens: 500, Now: now})
	if got := d.StreamLoad(c, now); got != (StreamLoad{}) {
		t.Errorf("after a restart: got %+v, want nothing", got)
	}
	if got := d.StreamLoad(Choice{Member: fleet.Member{ID: "unknown"}}, now); got != (StreamLoad{}) {
		t.Errorf("of an unknown endpoint: got %+v, want nothing", got)
	}
}
