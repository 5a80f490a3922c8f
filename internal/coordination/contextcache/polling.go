package contextcache

import (
	"context"
	"time"

	"limpetwall/internal/transport/pause"
)

const (
	// crowdedWait and crowdedPause are used towards a store or engine that has refused
	// a call for holding too many: with them it serves about twice as many processes
	// as it holds calls. A call that waits less would cost as much as a report; the
	// longest round, with its pause and a half, stays below freshFor.
	crowdedWait  = 200 * time.Millisecond
	crowdedPause = 400 * time.Millisecond
	// usualPause, after every usualRounds calls, lets a process in that found no place:
	// it is how those that have one learn that they are too many. Between the other
	// calls there is none, since events that come later make decisions worse.
	usualPause  = 100 * time.Millisecond
	usualRounds = 4
)

// pace is how one store or engine is asked for events.
type pace struct {
	usual   time.Duration
	crowded bool
	// telling tells that other processes are told what is heard.
	telling bool
	rounds  int
}

// wait is how long the next call waits for events.
func (p *pace) wait() time.Duration {
	switch {
	case p.crowded:
		return crowdedWait
	case p.telling:
		return min(p.usual, tellerWait)
	}
	return p.usual
}

// rest leaves room for others between two calls, out of step with them; false means
// that ctx has ended.
func (p *pace) rest(ctx context.Context) bool {
	p.rounds++
	mean := usualPause
	switch {
	case p.crowded:
		mean = crowdedPause
	case p.rounds%usualRounds != 0:
		return ctx.Err() == nil
	}
	return pause.For(ctx, pause.Jitter(mean))
}
