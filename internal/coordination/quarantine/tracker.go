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

// maxCases bounds the book to about 1 MB.
const maxCases = 4096

// Tracker is what a process knows of the requests that were at crashes. Safe for concurrent use.
type Tracker struct {
	// size is the number of cases, for the many requests that come while there are none.
	size atomic.Int64

	mu    sync.Mutex
	cases map[fingerprint.Key]*Record
	// crashes by the incarnation that crashed.
	crashes map[uint64]*crash
	// rumours counts how often a change is still passed on.
	rumours map[fingerprint.Key]int
	// onBlame is told of requests that are to blame.
	onBlame func(fingerprint.Key)
	news    chan struct{}
}

// crash is one of an endpoint, as far as requests were at it.
type crash struct {
	// seen is when the first process saw it.
	seen time.Time
	// present are the requests that were underway there.
	present []fingerprint.Key
}

// NewTracker returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{
		cases: map[fingerprint.Key]*Record{}, crashes: map[uint64]*crash{}, rumours: map[fingerprint.Key]int{},
		onBlame: func(fingerprint.Key) {}, news: make(chan struct{}, 1),
	}
}

// IsEmpty tells that no request is known to the book.
func (b *Tracker) IsEmpty() bool { return b.size.Load() == 0 }

// UrgentPending receives when there is something to pass on.
func (b *Tracker) UrgentPending() <-chan struct{} { return b.news }

// RecordCrash records that a request was underway at an endpoint's incarnation when that crashed.
func (b *Tracker) RecordCrash(key fingerprint.Key, incarnation uint64, about RequestInfo, now time.Time) {
	about.Target = about.Target[:min(len(about.Target), maxTarget)]
	crashed := Record{Key: key, Crashes: []Crash{{incarnation, now}}, About: about}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.cases[key]; c != nil {
		crashed.Round = c.Round
	}
	b.merge(crashed, now)
}

// RecordCompletion records that an endpoint ran a request to its end. It is not what crashes endpoints, or no more. True
// if a quarantine is lifted by it.
func (b *Tracker) RecordCompletion(key fingerprint.Key, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cases[key]
	if c == nil || (len(c.Crashes) == 0 && c.Level == 0) {
		return false
	}
	lifted := c.Level > 0
	b.clear(c, now)
	return lifted
}

// Lift ends a request's quarantine; false if it is in none.
func (b *Tracker) Lift(key fingerprint.Key, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cases[key]
	if c == nil || c.Level == 0 {
		return false
	}
	b.clear(c, now)
	return true
}

// clear voids a case and has that passed on; b.mu is held.
func (b *Tracker) clear(c *Record, now time.Time) {
	b.unlink(c)
	c.clear(now)
	b.spread(c.Key)
}

// BeginTrial records the only run that a request gets when its quarantine is over.
func (b *Tracker) BeginTrial(key fingerprint.Key, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.cases[key]; c != nil {
		c.quarantine(now)
		b.spread(key)
	}
}

// Merge takes in what another process or the store knows of a request; false if it is nothing new.
func (b *Tracker) Merge(o Record, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.merge(o, now)
}

// merge is Merge while b.mu is held.
func (b *Tracker) merge(o Record, now time.Time) bool {
	if saysNothing(o, now) {
		return false
	}
	o.Until = clampUntil(o, now)
	c := b.cases[o.Key]
	if c == nil {
		c = &Record{Key: o.Key, changed: now}
		b.makeRoom()
		b.cases[o.Key] = c
		b.size.Store(int64(len(b.cases)))
	}
	b.unlink(c)
	changed := c.merge(o, now)
	b.link(c)
	if changed {
		b.spread(o.Key)
		b.alert(c)
	}
	return changed
}

// OnBlame has a function called with each request that is found to be to blame, as often as its case changes then. The book
// is locked meanwhile: the function must neither block nor use it.
func (b *Tracker) OnBlame(blamed func(fingerprint.Key)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onBlame = blamed
}

// alert tells of a request if it is to blame.
func (b *Tracker) alert(c *Record) {
	if c.Level > 0 || b.isBlamed(c) {
		b.onBlame(c.Key)
	}
}

// saysNothing tells of a case that needs no place in a book.
func saysNothing(o Record, now time.Time) bool {
	if o.Level > 0 {
		return !now.Before(o.expires())
	}
	return o.Round == 0 && len(o.Crashes) == 0
}

// clampUntil keeps another's clock from making a quarantine longer than any is.
func clampUntil(o Record, now time.Time) time.Time {
	if o.Level == 0 {
		return time.Time{}
	}
	if most := now.Add(length(o.Level)); o.Until.After(most) {
		return most
	}
	return o.Until
}

func (b *Tracker) link(c *Record) {
	for _, one := range c.Crashes {
		at := b.crashes[one.Incarnation]
		if at == nil {
			at = &crash{seen: one.Seen}
			b.crashes[one.Incarnation] = at
		}
		at.seen = earlier(at.seen, one.Seen)
		if !slices.Contains(at.present, c.Key) {
			at.present = append(at.present, c.Key)
		}
	}
}

func (b *Tracker) unlink(c *Record) {
	for _, one := range c.Crashes {
		at := b.crashes[one.Incarnation]
		at.present = slices.DeleteFunc(at.present, func(k fingerprint.Key) bool { return k == c.Key })
	}
}

func (b *Tracker) forget(c *Record) {
	b.unlink(c)
	delete(b.cases, c.Key)
	delete(b.rumours, c.Key)
	b.size.Store(int64(len(b.cases)))
}

// makeRoom forgets an eighth of a full book: what was at fewest crashes and is known longest, quarantines last.
func (b *Tracker) makeRoom() {
	if len(b.cases) < maxCases {
		return
	}
	all := slices.SortedFunc(maps.Values(b.cases), compareWeight)
	for _, c := range all[:maxCases/8] {
		b.forget(c)
	}
}

// compareWeight orders cases by how much is lost with them.
func compareWeight(a, b *Record) int {
	return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(len(a.Crashes), len(b.Crashes)), a.changed.Compare(b.changed))
}

// Evaluate puts requests into quarantine whose verdicts stand, and forgets what has expired.
func (b *Tracker) Evaluate(now time.Time) {
	if b.IsEmpty() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetExpired(now)
	var found []*Record
	for _, c := range b.cases {
		if c.Level == 0 && now.Sub(c.changed) >= settleTime && b.isBlamed(c) {
			found = append(found, c)
		}
	}
	// Only now: the first to be in quarantine would explain the crashes of others like it.
	for _, c := range found {
		c.quarantine(now)
		b.spread(c.Key)
		b.alert(c)
	}
}

// RunExpiry forgets what has expired until ctx ends, for a process that only passes cases on.
func (b *Tracker) RunExpiry(ctx context.Context, now func() time.Time) {
	for pause.For(ctx, settleEvery) {
		b.mu.Lock()
		b.forgetExpired(now())
		b.mu.Unlock()
	}
}

// forgetExpired also drops crashes that no request was at any more. Until then they speak for who was not there.
func (b *Tracker) forgetExpired(now time.Time) {
	for _, c := range b.cases {
		if !now.Before(c.expires()) {
			b.forget(c)
		}
	}
	for incarnation, at := range b.crashes {
		if len(at.present) == 0 && (now.Sub(at.seen) >= evidenceLasts || len(b.crashes) > maxCases) {
			delete(b.crashes, incarnation)
		}
	}
}

func (c *Record) copy() Record {
	out := *c
	out.Crashes = slices.Clone(c.Crashes)
	return out
}
