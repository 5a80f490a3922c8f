package routing

import "time"

// StreamLoad is what an endpoint does beside a stream that runs there.
type StreamLoad struct {
	// Running counts the runs at the endpoint, as far as this process knows.
	Running int
	// UnreadTokens is the prompt tokens that are not read yet.
	UnreadTokens int
	// Slowdown is how many times as long as usual work took when the endpoint last reported, 0 if
	// it does not say.
	Slowdown float64
}

// StreamLoad returns what a choice's endpoint does now, the zero value if it is gone or has restarted.
func (d *Directory) StreamLoad(c Choice, now time.Time) StreamLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.trackedFor(c)
	if t == nil {
		return StreamLoad{}
	}
	e := Endpoint{RuntimeState: &t.RuntimeState}
	return StreamLoad{Running: e.requestCount(now), UnreadTokens: e.queuedTokens(UrgencyLevels - 1), Slowdown: t.Load.Slowdown}
}
