package pushback

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBucket guards against more requests within Window than the rate and the burst allow, whenever
// they come and however the rate changes.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := bucket{at: start}, start
		highest := 0.0
		var sent []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				rate := rapid.Float64Range(0, 20).Draw(t, "rate")
				highest = max(highest, rate)
				b.setRate(rate, now)
			}
			if b.hasToken(now) {
				b.spend(1, now)
				sent = append(sent, now)
			}
			inWindow := 0
			for _, at := range sent {
				if now.Sub(at) < Window {
					inWindow++
				}
			}
			if limit := 1 + highest*(Window+burstTime).Seconds(); float64(inWindow) > limit+1e-9 {
				t.Fatalf("%d requests within the window, want at most %g", inWindow, limit)
			}
		}
	})
}

// TestBucketDebt guards against a process that goes on sending although others sent more than the
// limit before they knew of it, and against one that pays for longer than the endpoint remembers.
func TestBucketDebt(t *testing.T) {
	b := bucket{at: start}
	b.setRate(2, start)
	b.spend(3, start)
	if got := b.untilToken(start); got != 2*time.Second {
		t.Errorf("got %v until the next request, want 2 s", got)
	}
	b.spend(1000, start)
	if got, most := b.untilToken(start), maxDebt+time.Second; got > most {
		t.Errorf("got %v until the next request, want at most %v", got, most)
	}
}
