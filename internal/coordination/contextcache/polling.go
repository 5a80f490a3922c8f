package contextcache

import (
	"context"
	"time"

	"limpetwall/internal/transport/sleep"
)

const (
	// saturatedWait and saturatedPause apply to a store or engine that has refused a call for
	// its limit of waiting calls: with them it serves about twice as many processes as that
	// limit. A shorter wait would make the call as expensive as a report. The longest cycle,
	// with 1.5 times the mean pause, stays below storeFreshFor.
	saturatedWait  = 200 * time.Millisecond
	saturatedPause = 400 * time.Millisecond
	// periodicPause follows every callsPerPause calls and lets a process in whose calls were
	// refused. The others are then refused in turn and learn that the limit is reached.
	// The other calls follow each other without a pause, since later events make decisions
	// worse.
	periodicPause = 100 * time.Millisecond
	callsPerPause = 4
)

// pollPace sets the wait and the pauses of the calls for one store's or engine's events.
type pollPace struct {
	maxWait time.Duration
	// saturated is set once a call was refused for the limit of waiting calls.
	saturated bool
	// reporting is set if this process reports the answers to other processes.
	reporting bool
	calls     int
}

// callWait returns how long the next call waits for events.
func (p *pollPace) callWait() time.Duration {
	switch {
	case p.saturated:
		return saturatedWait
	case p.reporting:
		return min(p.maxWait, reporterWait)
	}
	return p.maxWait
}

// pauseBeforeCall pauses before a call so that other processes get theirs in, with jitter to
// stay out of step with them. It returns false if ctx has ended.
func (p *pollPace) pauseBeforeCall(ctx context.Context) bool {
	p.calls++
	mean := periodicPause
	switch {
	case p.saturated:
		mean = saturatedPause
	case p.calls%callsPerPause != 0:
		return ctx.Err() == nil
	}
	return sleep.For(ctx, sleep.Jitter(mean))
}
