package warmup

import "time"

// Window limits how many requests are sent to an endpoint in any second. The zero Window allows
// none. It is not safe for concurrent use.
type Window struct {
	// sent holds the times of the last requests, as many as are allowed in a second; next is the
	// index of the oldest.
	sent []time.Time
	next int
}

// period is the length of the window.
const period = time.Second

// maxPerSecond bounds the requests per second of a window, whose memory grows with them: 100 KB. No cold endpoint withstands more.
const maxPerSecond = 4096

// NewWindow returns a window that allows so many requests per second, at least one and at most maxPerSecond.
func NewWindow(perSecond float64) *Window {
	requests := 1
	if perSecond > 1 {
		requests = int(min(perSecond, maxPerSecond))
	}
	return &Window{sent: make([]time.Time, requests)}
}

// HasRoom reports whether a request may be sent now.
func (w *Window) HasRoom(now time.Time) bool {
	if w == nil || len(w.sent) == 0 {
		return false
	}
	oldest := w.sent[w.next]
	return oldest.IsZero() || now.Sub(oldest) >= period
}

// Record records that a request is sent now.
func (w *Window) Record(now time.Time) {
	w.sent[w.next] = now
	w.next = (w.next + 1) % len(w.sent)
}
