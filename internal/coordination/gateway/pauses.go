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
	longest     time.Duration
	endpoint    string
	during      routing.StreamLoad
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

// logFields describes the longest pause in the log line of a request; nil if there was none.
func (p *pauseRecord) logFields() []zap.Field {
	if p.longest == 0 {
		return nil
	}
	return []zap.Field{
		zap.Duration("longest_pause", p.longest), zap.String("pause_endpoint", p.endpoint), zap.Int("pause_running", p.during.Running),
		zap.Int("pause_unread", p.during.UnreadTokens), zap.Float64("pause_slowdown", p.during.Slowdown),
	}
}
