package quarantine

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/transport/pause"
)

// maxRecords bounds the book to about 1 MB.
const maxRecords = 4096

// Tracker is what a process knows of the requests that were at crashes. Safe for concurrent use.
type Tracker struct {
	// size is the number of cases, for the many requests that come while there are none.
	size atomic.Int64

	mu      sync.Mutex
	records map[fingerprint.Key]*Record
	// crashes by the incarnation that crashed.
	crashes map[uint64]*endpointCrash
	// sendsLeft counts how often a change is still passed on.
	sendsLeft map[fingerprint.Key]int
	// onBlame is told of requests that are to blame.
	onBlame func(fingerprint.Key)
	urgent  chan struct{}
}

// endpointCrash is one of an endpoint, as far as requests were at it.
type endpointCrash struct {
	// firstSeen is when the first process saw it.
	firstSeen time.Time
	// inFlight are the requests that were underway there.
	inFlight []fingerprint.Key
}

// NewTracker returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{
		records: map[fingerprint.Key]*Record{}, crashes: map[uint64]*endpointCrash{}, sendsLeft: map[fingerprint.Key]int{},
		onBlame: func(fingerprint.Key) {}, urgent: make(chan struct{}, 1),
	}
}

// IsEmpty tells that no request is known to the book.
func (t *Tracker) IsEmpty() bool { return t.size.Load() == 0 }

// UrgentPending receives when there is something to pass on.
func (t *Tracker) UrgentPending() <-chan struct{} { return t.urgent }

// RecordCrash records that a request was underway at an endpoint's incarnation when that crashed.
func (t *Tracker) RecordCrash(key fingerprint.Key, incarnation uint64, about RequestInfo, now time.Time) {
	about.Target = about.Target[:min(len(about.Target), maxTarget)]
	observed := Record{Key: key, Crashes: []Crash{{incarnation, now}}, About: about}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil {
		observed.Round = r.Round
	}
	t.merge(observed, now)
}

// RecordCompletion records that an endpoint ran a request to its end. It is not what crashes endpoints, or no more. True
// if a quarantine is lifted by it.
func (t *Tracker) RecordCompletion(key fingerprint.Key, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	if r == nil || (len(r.Crashes) == 0 && r.Level == 0) {
		return false
	}
	lifted := r.Level > 0
	t.clear(r, now)
	return lifted
}

// Lift ends a request's quarantine; false if it is in none.
func (t *Tracker) Lift(key fingerprint.Key, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	if r == nil || r.Level == 0 {
		return false
	}
	t.clear(r, now)
	return true
}

// clear voids a case and has that passed on; b.mu is held.
func (t *Tracker) clear(c *Record, now time.Time) {
	t.unindex(c)
	c.clear(now)
	t.enqueueUpdate(c.Key)
}

// BeginTrial records the only run that a request gets when its quarantine is over.
func (t *Tracker) BeginTrial(key fingerprint.Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil {
		r.startQuarantine(now)
		t.enqueueUpdate(key)
	}
}

// Merge takes in what another process or the store knows of a request; false if it is nothing new.
func (t *Tracker) Merge(other Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(other, now)
}

// merge is Merge while b.mu is held.
func (t *Tracker) merge(other Record, now time.Time) bool {
	if isUninformative(other, now) {
		return false
	}
	other.Until = clampUntil(other, now)
	r := t.records[other.Key]
	if r == nil {
		r = &Record{Key: other.Key, changed: now}
		t.evictIfFull()
		t.records[other.Key] = r
		t.size.Store(int64(len(t.records)))
	}
	t.unindex(r)
	changed := r.merge(other, now)
	t.index(r)
	if changed {
		t.enqueueUpdate(other.Key)
		t.reportIfBlamed(r)
	}
	return changed
}

// OnBlame has a function called with each request that is found to be to blame, as often as its case changes then. The book
// is locked meanwhile: the function must neither block nor use it.
func (t *Tracker) OnBlame(blamed func(fingerprint.Key)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onBlame = blamed
}

// reportIfBlamed tells of a request if it is to blame.
func (t *Tracker) reportIfBlamed(r *Record) {
	if r.Level > 0 || t.isBlamed(r) {
		t.onBlame(r.Key)
	}
}

// isUninformative tells of a case that needs no place in a book.
func isUninformative(other Record, now time.Time) bool {
	if other.Level > 0 {
		return !now.Before(other.expiresAt())
	}
	return other.Round == 0 && len(other.Crashes) == 0
}

// clampUntil keeps another's clock from making a quarantine longer than any is.
func clampUntil(other Record, now time.Time) time.Time {
	if other.Level == 0 {
		return time.Time{}
	}
	if latest := now.Add(quarantineDuration(other.Level)); other.Until.After(latest) {
		return latest
	}
	return other.Until
}

func (t *Tracker) index(r *Record) {
	for _, crash := range r.Crashes {
		event := t.crashes[crash.Incarnation]
		if event == nil {
			event = &endpointCrash{firstSeen: crash.Seen}
			t.crashes[crash.Incarnation] = event
		}
		event.firstSeen = earlier(event.firstSeen, crash.Seen)
		if !slices.Contains(event.inFlight, r.Key) {
			event.inFlight = append(event.inFlight, r.Key)
		}
	}
}

func (t *Tracker) unindex(r *Record) {
	for _, crash := range r.Crashes {
		event := t.crashes[crash.Incarnation]
		event.inFlight = slices.DeleteFunc(event.inFlight, func(k fingerprint.Key) bool { return k == r.Key })
	}
}

func (t *Tracker) remove(r *Record) {
	t.unindex(r)
	delete(t.records, r.Key)
	delete(t.sendsLeft, r.Key)
	t.size.Store(int64(len(t.records)))
}

// evictIfFull forgets an eighth of a full book: what was at fewest crashes and is known longest, quarantines last.
func (t *Tracker) evictIfFull() {
	if len(t.records) < maxRecords {
		return
	}
	all := slices.SortedFunc(maps.Values(t.records), compareEvictionOrder)
	for _, r := range all[:maxRecords/8] {
		t.remove(r)
	}
}

// compareEvictionOrder orders cases by how much is lost with them.
func compareEvictionOrder(a, b *Record) int {
	return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(len(a.Crashes), len(b.Crashes)), a.changed.Compare(b.changed))
}

// Evaluate puts requests into quarantine whose verdicts stand, and forgets what has expired.
func (t *Tracker) Evaluate(now time.Time) {
	if t.IsEmpty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	var blamed []*Record
	for _, r := range t.records {
		if r.Level == 0 && now.Sub(r.changed) >= verdictDelay && t.isBlamed(r) {
			blamed = append(blamed, r)
		}
	}
	// Only now: the first to be in quarantine would explain the crashes of others like it.
	for _, r := range blamed {
		r.startQuarantine(now)
		t.enqueueUpdate(r.Key)
		t.reportIfBlamed(r)
	}
}

// RunExpiry forgets what has expired until ctx ends, for a process that only passes cases on.
func (t *Tracker) RunExpiry(ctx context.Context, now func() time.Time) {
	for pause.For(ctx, evaluationInterval) {
		t.mu.Lock()
		t.removeExpired(now())
		t.mu.Unlock()
	}
}

// removeExpired also drops crashes that no request was at any more. Until then they speak for who was not there.
func (t *Tracker) removeExpired(now time.Time) {
	for _, r := range t.records {
		if !now.Before(r.expiresAt()) {
			t.remove(r)
		}
	}
	for incarnation, event := range t.crashes {
		if len(event.inFlight) == 0 && (now.Sub(event.firstSeen) >= evidenceLifetime || len(t.crashes) > maxRecords) {
			delete(t.crashes, incarnation)
		}
	}
}

func (r *Record) clone() Record {
	out := *r
	out.Crashes = slices.Clone(r.Crashes)
	return out
}
