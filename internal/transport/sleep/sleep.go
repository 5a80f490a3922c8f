// Package sleep provides a sleep that the end of a context interrupts, and random durations to sleep.
package sleep

import (
	"context"
	"math/rand/v2"
	"time"
)

// For sleeps for d or until ctx ends, and reports whether it slept for all of d.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a random duration between 0.5 and 1.5 times d, which must be positive. Without it, processes
// that started at the same time would keep making their calls at the same time.
func Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
