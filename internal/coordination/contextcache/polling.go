package contextcache

import (
	"context"
	"time"

	"limpetwall/internal/transport/pause"
)

const (
	// saturatedWait and crowdedPause are used towards a store or engine that has refused
	// a call for holding too many: with them it serves about twice as many processes
	// as it holds calls. A call that waits less would cost as much as a report; the
	// longest round, with its pause and a half, stays below freshFor.
	saturatedWait  = 200 * time.Millisecond
	saturatedPause = 400 * time.Millisecond
	// periodicPause, after every usualRounds calls, lets a process in that found no place:
	// it is how those that have one learn that they are too many. Between the other
	// calls there is none, since events that come later make decisions worse.
	periodicPause = 100 * time.Millisecond
	callsPerPause = 4
)

// pollPace is how one store or engine is asked for events.
type pollPace struct {
	maxWait   time.Duration
	saturated bool
	// reporting tells that other processes are told what is heard.
	reporting bool
	calls     int
}

// callWait is how long the next call waits for events.
func (p *pollPace) callWait() time.Duration {
	switch {
	case p.saturated:
		return saturatedWait
	case p.reporting:
		return min(p.maxWait, reporterWait)
	}
	return p.maxWait
}

// pauseBeforeCall leaves room for others between two calls, out of step with them; false means
// that ctx has ended.
func (p *pollPace) pauseBeforeCall(ctx context.Context) bool {
	p.calls++
	mean := periodicPause
	switch {
	case p.saturated:
		mean = saturatedPause
	case p.calls%callsPerPause != 0:
		return ctx.Err() == nil
	}
	return pause.For(ctx, pause.Jitter(mean))
}
