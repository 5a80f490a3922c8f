package contexttransfer

import (
	"sync"
	"time"
)

const (
	// rateWeight is the weight of one transfer in a link's measured rate.
	rateWeight = 0.2
	// failuresToSuspend in a row keep a store out of use for suspendFor.
	failuresToSuspend = 3
	suspendFor        = 5 * time.Second
	// uploadShare of a link may be used by uploads of all agents together;
	// returning prompts have the rest.
	uploadShare = 0.25
	// uploadBurst is the time that uploads may save up.
	uploadBurst = 2 * time.Second
)

// Link is what one agent knows of the way to one store.
type Link struct {
	mu             sync.Mutex
	rate           float64
	nominal        float64
	backlog        int64
	failures       int
	suspendedUntil time.Time
	// uploadCredit of uploads in bytes, as of credited.
	uploadCredit float64
	creditedAt   time.Time
}

// NewLink returns a link of a nominal rate in bytes a second.
func NewLink(nominal float64) *Link { return &Link{rate: nominal, nominal: nominal} }

// Rate is the measured rate in bytes a second, 0 while the store is suspended.
func (l *Link) Rate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.suspendedUntil) {
		return 0
	}
	return l.rate
}

// Backlog is what this agent has underway, in bytes.
func (l *Link) Backlog() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog
}

// Begin counts a transfer as underway.
func (l *Link) Begin(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backlog += bytes
}

// End counts a transfer's end. A slow link shows as a falling rate, and the
// decisions turn to recomputing or to another store by themselves.
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

// AllowUpload spends upload credit. All agents together get uploadShare of the
// link, divided by their number: they need not speak to each other for it.
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

// UploadRate is one agent's part of the link for uploads, in bytes a second.
func (l *Link) UploadRate(agents int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nominal * uploadShare / float64(max(1, agents))
}
