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
	risk.Observe(limit, isLate, during.UnreadTokens)
}

const (
	// pauseSampleWeight is the weight of one stream in a PauseRisk: the last 500 determine it. A process
	// that has ten such streams a second follows a change of the load within a minute.
	pauseSampleWeight = 1.0 / 500
	// minPauseSamples is from how many streams on the risk is used. With fewer, one late stream would
	// count as a risk of several in a hundred.
	minPauseSamples = 50
)

// PauseRisk is the chance, as this process observed it, that a pause of a stream passes its limit, for
// each prompt token that its endpoint has to read beside it.
type PauseRisk struct {
	samples int
	// late, tokens and limit are moving means of a stream's lateness (0 or 1), of the tokens unread
	// beside it and of its limit in seconds.
	late, tokens, limit float64
}

// Observe records one stream that has ended.
func (p *PauseRisk) Observe(limit time.Duration, isLate bool, unread int) {
	p.samples = min(p.samples+1, int(1/pauseSampleWeight))
	weight := 1 / float64(p.samples)
	late := 0.0
	if isLate {
		late = 1
	}
	p.late += weight * (late - p.late)
	p.tokens += weight * (float64(unread) - p.tokens)
	p.limit += weight * (limit.Seconds() - p.limit)
}

// chance returns the chance that a stream is late by a pause beside so many unread tokens.
func (p *PauseRisk) chance(tokens int) float64 {
	if p == nil || p.samples < minPauseSamples || p.tokens <= 0 {
		return 0
	}
	return min(1, p.late*float64(tokens)/p.tokens)
}

// pauseCost returns what pauses at an endpoint cost, in seconds of waiting: the request's own, by what
// is unread there, and those that reading its prompt causes to the streams that run there. An answer
// that is late by a pause costs as much as its limit in waiting.
func (r *Request) pauseCost(e *Endpoint, recomputed int) float64 {
	if r.PauseRisk == nil {
		return 0
	}
	own := r.PauseRisk.chance(e.queuedTokens(UrgencyLevels-1)) * r.MaxPause.Seconds()
	others := r.PauseRisk.chance(recomputed) * r.PauseRisk.limit * float64(e.requestCount(r.Now))
	return PW * (own + others)
}

const PW = 1.0
