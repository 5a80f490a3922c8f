// Package pause waits for a time or the end of a context, and draws times to wait.
package sleep

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits; false means that ctx has ended.
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

// Jitter draws a time between half of d and one and a half: processes that started together would else go on
// calling together. d is more than 0.
func Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
