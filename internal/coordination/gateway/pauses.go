package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/routing"
)

// pauseRecord holds the longest pause between two events of a stream, and what its endpoint did at
// the pause's end.
type pauseRecord struct {
	lastEventAt time.Time
	// events counts the events forwarded.
	events   int
	longest  time.Duration
	endpoint string
	during   routing.StreamLoad
}

// recordEvent records that an event is forwarded.
func (x *exchange) recordEvent(c routing.Choice, now time.Time) {
	p := &x.pauses
	if !p.lastEventAt.IsZero() {
		if pause := now.Sub(p.lastEventAt); pause > p.longest {
			p.longest, p.endpoint = pause, c.Member.ID
			p.during = x.g.Directory.StreamLoad(c, now)
		}
	}
	p.lastEventAt = now
	p.events++
}

// countPauses counts the longest pause of an exchange that has streamed, and whether it made the
// stream late.
func (x *exchange) countPauses() {
	if x.pauses.lastEventAt.IsZero() {
		return
	}
	metrics.GetOrRegisterTimer("gateway.longest_pause."+x.kind(), x.g.Metrics).Update(x.pauses.longest)
	if limit := x.route.MaxPause; limit > 0 && x.pauses.longest > limit {
		x.g.count("late_by_pause." + x.kind())
	}
}

// logFields describes the events forwarded and the longest pause between them; nil if there was no event.
func (p *pauseRecord) logFields(now time.Time) []zap.Field {
	if p.events == 0 {
		return nil
	}
	fields := []zap.Field{zap.Int("events", p.events), zap.Duration("last_event_ago", now.Sub(p.lastEventAt))}
	if p.longest == 0 {
		return fields
	}
	return append(fields,
		zap.Duration("longest_pause", p.longest), zap.String("pause_endpoint", p.endpoint), zap.Int("pause_running", p.during.Running),
		zap.Int("pause_unread", p.during.UnreadTokens), zap.Float64("pause_slowdown", p.during.Slowdown),
	)
}
