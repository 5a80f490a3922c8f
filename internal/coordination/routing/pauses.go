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

// RecordPauses records whether a stream of a service paused for longer than its limit, and what its
// endpoint did during its longest pause.
func (d *Directory) RecordPauses(service string, limit time.Duration, isLate bool, during StreamLoad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	risk := d.pauseRisks[service]
	if risk == nil {
		risk = &PauseRisk{}
		d.pauseRisks[service] = risk
	}
	risk.Observe(limit, isLate, during)
}

const (
	// pauseSamples is how many streams determine a PauseRisk. A process that has ten a second follows a
	// change of the load within a minute.
	pauseSamples = 500
	// minPauseSamples is from how many streams on the risk is used. With fewer, one late stream would
	// count as a risk of several in a hundred.
	minPauseSamples = 50
)

// PauseRisk is how often streams are late by a pause, as this process observed it, and what their
// endpoints did meanwhile. Half of the risk is assumed to grow with the runs at an endpoint, half with
// the tokens that are unread there.
type PauseRisk struct {
	samples int
	// The moving means of a stream's lateness (0 or 1), of the runs and unread tokens at its endpoint,
	// and of its limit in seconds.
	late, runs, tokens, limit float64
}

// Observe records one stream that has ended.
func (p *PauseRisk) Observe(limit time.Duration, isLate bool, during StreamLoad) {
	p.samples = min(p.samples+1, pauseSamples)
	update := func(mean *float64, value float64) { *mean += (value - *mean) / float64(p.samples) }
	late := 0.0
	if isLate {
		late = 1
	}
	update(&p.late, late)
	update(&p.runs, float64(during.Running))
	update(&p.tokens, float64(during.UnreadTokens))
	update(&p.limit, limit.Seconds())
}

// chance returns the chance that so many runs and unread tokens make a stream late by a pause.
func (p *PauseRisk) chance(runs, tokens int) float64 {
	load := 0.0
	if p.runs > 0 {
		load += float64(runs) / p.runs / 2
	}
	if p.tokens > 0 {
		load += float64(tokens) / p.tokens / 2
	}
	return min(1, p.late*load)
}

// pauseCost returns what pauses at an endpoint cost, in seconds of waiting: the request's own, by what
// is there already, and those that it causes to the streams there. An answer that is late by a pause
// costs as much as its limit in waiting.
func (r *Request) pauseCost(e *Endpoint, recomputed int) float64 {
	p := r.PauseRisk
	if p == nil || p.samples < minPauseSamples {
		return 0
	}
	runs := e.requestCount(r.Now)
	cost := p.chance(1, recomputed) * p.limit * float64(runs)
	if r.MaxPause > 0 {
		cost += p.chance(runs, e.queuedTokens(UrgencyLevels-1)) * r.MaxPause.Seconds()
	}
	return cost
}
