package contexttransfer

import (
	"sync"
	"time"
)

const (
	// rateWeight is the weight of one transfer in the moving average of a link's rate.
	rateWeight = 0.2
	// After failuresToSuspend failures in a row a store is not used for suspendFor.
	failuresToSuspend = 3
	suspendFor        = 5 * time.Second
	// uploadShare is the share of a link that the uploads of all agents together may use;
	// imports have the rest.
	uploadShare = 0.25
	// uploadBurst bounds the upload credit: an agent saves up at most this much time's worth.
	uploadBurst = 2 * time.Second
)

// Link tracks one agent's link to one store: the measured rate, the transfers in flight,
// failures and the upload credit.
type Link struct {
	mu             sync.Mutex
	rate           float64
	nominal        float64
	backlog        int64
	failures       int
	suspendedUntil time.Time
	// uploadCredit is in bytes, as of creditedAt.
	uploadCredit float64
	creditedAt   time.Time
}

// NewLink returns a link of a nominal rate in bytes a second.
func NewLink(nominal float64) *Link { return &Link{rate: nominal, nominal: nominal} }

// Rate returns the measured rate in bytes a second, 0 while the store is suspended.
func (l *Link) Rate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.suspendedUntil) {
		return 0
	}
	return l.rate
}

// Backlog returns the number of bytes that this agent has in flight.
func (l *Link) Backlog() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog
}

// Begin records the start of a transfer.
func (l *Link) Begin(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backlog += bytes
}

// End records the end of a transfer. The measured rate of a slow link falls, so that later
// decisions recompute more or use another store.
func (l *Link) End(bytes int64, took time.Duration, ok bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backlog -= bytes
	if !ok {
		l.failures++
		if l.failures >= failuresToSuspend {
			l.failures = 0
			l.suspendedUntil = now.Add(suspendFor)
		}
		return
	}
	l.failures = 0
	if took > 0 {
		measured := min(float64(bytes)/took.Seconds(), 4*l.nominal)
		l.rate += rateWeight * (measured - l.rate)
	}
}

// AllowUpload reports whether an upload may start, and spends its upload credit if so. Each agent
// gets an equal part of uploadShare of the link, so that the agents need not coordinate.
func (l *Link) AllowUpload(bytes int64, agents int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond := l.nominal * uploadShare / float64(max(1, agents))
	maxCredit := max(perSecond*uploadBurst.Seconds(), float64(bytes))
	if l.creditedAt.IsZero() {
		l.uploadCredit = maxCredit
	} else {
		l.uploadCredit = min(maxCredit, l.uploadCredit+perSecond*now.Sub(l.creditedAt).Seconds())
	}
	l.creditedAt = now
	if now.Before(l.suspendedUntil) || l.uploadCredit < float64(bytes) {
		return false
	}
	l.uploadCredit -= float64(bytes)
	return true
}
