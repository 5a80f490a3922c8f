package sharedread

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestReadBeginsAfterQuestion guards against an answer from a read that began before the question.
func TestReadBeginsAfterQuestion(t *testing.T) {
	for _, interval := range []time.Duration{0, 20 * time.Millisecond, 370 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			reads := 0
			r := &Reader[time.Time]{Timeout: time.Second, Interval: func() time.Duration { return interval }, Read: func(context.Context) (time.Time, error) {
				reads++
				began := time.Now()
				time.Sleep(7 * time.Millisecond)
				return began, nil
			}}
			started := time.Now()
			var asking sync.WaitGroup
			for i := range 1000 {
				asking.Go(func() {
					time.Sleep(time.Duration(i) * 3 * time.Millisecond)
					asked := time.Now()
					began, err := r.Get(t.Context())
					if err != nil || began.Before(asked) || time.Since(asked) > interval+15*time.Millisecond {
						t.Errorf("asked at %v: got a read that began at %v after %v, error %v", asked, began, time.Since(asked), err)
					}
				})
			}
			asking.Wait()
			if most := int(time.Since(started)/max(interval, 7*time.Millisecond)) + 2; reads > most {
				t.Errorf("got %d reads, want %d or fewer", reads, most)
			}
		})
	}
}

// TestSilentReadEndsWithTheQuestion guards against a question that waits for a read without an answer beyond its own time, and against
// one that is answered by the read before.
func TestSilentReadEndsWithTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isSilent := true
		r := &Reader[int]{Timeout: 700 * time.Millisecond, Interval: func() time.Duration { return 0 }, Read: func(ctx context.Context) (int, error) {
			if isSilent {
				<-ctx.Done()
				return 0, ctx.Err()
			}
			return 1, nil
		}}
		asked := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := r.Get(ctx); !errors.Is(err, context.DeadlineExceeded) || time.Since(asked) != 100*time.Millisecond {
			t.Errorf("got %v after %v, want the question's own deadline", err, time.Since(asked))
		}
		isSilent = false
		if value, err := r.Get(t.Context()); err != nil || value != 1 || time.Since(asked) != 700*time.Millisecond {
			t.Errorf("got %d, %v after %v, want the answer of the next read", value, err, time.Since(asked))
		}
	})
}
