package pushback

import "time"

const (
	// burstTime is how much of its rate a bucket saves up, beside the one request that it always
	// holds: callers do not come evenly.
	burstTime = 500 * time.Millisecond
	// maxDebt is how long a bucket takes at most to pay back what was sent before. Older requests
	// have left the window in which an endpoint counts.
	maxDebt = Window
)

// bucket is a token bucket. The zero bucket is empty and stays so.
type bucket struct {
	// perSecond is the rate at which tokens arrive, tokens their number at the time at.
	perSecond float64
	tokens    float64
	at        time.Time
}

// advance adds the tokens that have arrived.
func (b *bucket) advance(now time.Time) {
	if now.After(b.at) {
		b.tokens += b.perSecond * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, 1+b.perSecond*burstTime.Seconds())
}

// setRate changes the rate from now on.
func (b *bucket) setRate(perSecond float64, now time.Time) {
	b.advance(now)
	b.perSecond = perSecond
	b.advance(now)
}

// hasToken reports whether a request may be sent now.
func (b *bucket) hasToken(now time.Time) bool {
	b.advance(now)
	return b.tokens >= 1
}

// spend removes n tokens; their number becomes negative if they were not there.
func (b *bucket) spend(n int, now time.Time) {
	b.advance(now)
	b.tokens = max(b.tokens-float64(n), min(b.tokens, -b.perSecond*maxDebt.Seconds()))
}

// untilToken returns how long it takes until the next request may be sent. The rate must not be 0.
func (b *bucket) untilToken(now time.Time) time.Duration {
	b.advance(now)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.perSecond * float64(time.Second))
}
