package quarantine

import (
	"cmp"
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/transport/pause"
)

const (
	// crashesToBlame a request must have been at, with no likelier culprit at any of them: fewer coincide by
	// chance while endpoints are killed one after the other.
	crashesToBlame = 3
	// ownCrashes of them must have no other request that was at as many: two that were always together can't
	// be told apart yet.
	ownCrashes = 2
	// crashesEnough is enough also for requests that can't be told apart, or among many crashes of another cause.
	crashesEnough = 5
	// background is how long before a request's first crash others still speak for another cause.
	background = 30 * time.Second
	// settleTime after the last crash a verdict stands: by then what other processes know of the same crash has
	// come. The request is refused meanwhile.
	settleTime = 750 * time.Millisecond
	// heldPause is when a caller comes back that was refused before the verdict stands.
	heldPause = time.Second
	// maxCases bounds the book: 1 MB.
	maxCases = 4096
	// rumourSends is how often this process passes a change on: with a few receivers each time, all of several
	// hundred processes have it though a third of the messages is lost.
	rumourSends = 8
	// rumourLasts is how long evidence is news: in a crowd of suspects what has not been told by then would keep
	// processes talking for half an hour, and helps nobody any more.
	rumourLasts = 5 * time.Second
)

// Standing is how a request stands with the book.
type Standing uint8

// The standings of a request.
const (
	// Clear: it may run.
	Clear Standing = iota
	// Held: it will be in quarantine unless the crashes turn out to be another's.
	Held
	// Quarantined: it may not run.
	Quarantined
	// OnTrial: its quarantine is over; one run will tell.
	OnTrial
)

// Verdict tells whether a request may run.
type Verdict struct {
	Standing Standing
	// After is when its caller may come back.
	After time.Duration
	// Crashes that it is blamed for.
	Crashes int
}

// Book is what a process knows of the requests that were at crashes. Safe for concurrent use.
type Book struct {
	// size is the number of cases, for the many requests that come while there are none.
	size atomic.Int64

	mu    sync.Mutex
	cases map[fingerprint.Key]*Case
	// crashes by the incarnation that crashed.
	crashes map[uint64]*crash
	// rumours counts how often a change is still passed on.
	rumours map[fingerprint.Key]int
	news    chan struct{}
}

// crash is one of an endpoint, as far as requests were at it.
type crash struct {
	// seen is when this process first heard of it.
	seen time.Time
	// present are the requests that were underway there.
	present []fingerprint.Key
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		cases: map[fingerprint.Key]*Case{}, crashes: map[uint64]*crash{}, rumours: map[fingerprint.Key]int{},
		news: make(chan struct{}, 1),
	}
}

// IsEmpty tells that no request is known to the book.
func (b *Book) IsEmpty() bool { return b.size.Load() == 0 }

// News receives when there is something to pass on.
func (b *Book) News() <-chan struct{} { return b.news }

// Crashed records that a request was underway at an endpoint's incarnation when that crashed.
func (b *Book) Crashed(key fingerprint.Key, incarnation uint64, about About, now time.Time) {
	about.Target = about.Target[:min(len(about.Target), maxTarget)]
	b.Merge(Case{Key: key, Round: b.roundOf(key), Crashes: []uint64{incarnation}, About: about}, now)
}

func (b *Book) roundOf(key fingerprint.Key) uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.cases[key]; c != nil {
		return c.Round
	}
	return 0
}

// Survived records that an endpoint ran a request to its end. It is not what crashes endpoints, or no more. True
// if a quarantine is lifted by it.
func (b *Book) Survived(key fingerprint.Key, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cases[key]
	if c == nil || (len(c.Crashes) == 0 && c.Level == 0) {
		return false
	}
	lifted := c.Level > 0
	b.unlink(c)
	c.clear(now)
	b.spread(key)
	return lifted
}

// Lift ends a request's quarantine; false if it is in none.
func (b *Book) Lift(key fingerprint.Key, now time.Time) bool {
	b.mu.Lock()
	c := b.cases[key]
	quarantined := c != nil && c.Level > 0
	b.mu.Unlock()
	return quarantined && b.Survived(key, now)
}

// Check tells whether a request may run.
func (b *Book) Check(key fingerprint.Key, now time.Time) Verdict {
	if b.IsEmpty() {
		return Verdict{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cases[key]
	switch {
	case c == nil || !now.Before(c.expires()):
		return Verdict{}
	case c.Level > 0 && now.Before(c.Until):
		return Verdict{Standing: Quarantined, After: c.Until.Sub(now), Crashes: len(c.Crashes)}
	case c.Level > 0:
		return Verdict{Standing: OnTrial, After: heldPause, Crashes: len(c.Crashes)}
	case b.isBlamed(c):
		return Verdict{Standing: Held, After: heldPause, Crashes: len(c.Crashes)}
	}
	return Verdict{}
}

// IsSuspect tells whether a request was at a crash: it should not be run twice at once.
func (b *Book) IsSuspect(key fingerprint.Key) bool {
	if b.IsEmpty() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cases[key]
	return c != nil && (len(c.Crashes) > 0 || c.Level > 0)
}

// isBlamed tells whether the crashes that a request was at are its doing.
//
// A crash is that of the request that was at most crashes: one that only ran beside a culprit is at some of the
// culprit's, and hardly at all. And a culprit is at most of the crashes since shortly before it came: while endpoints are
// killed, a request that is tried again may be at several, but endpoints without it are killed as well.
func (b *Book) isBlamed(c *Case) bool {
	if len(c.Crashes) < crashesToBlame {
		return false
	}
	blamed, own := 0, 0
	var first time.Time
	for _, incarnation := range c.Crashes {
		at := b.crashes[incarnation]
		if first.IsZero() || at.seen.Before(first) {
			first = at.seen
		}
		switch b.likeliest(at, c) {
		case likelierOther:
		case alike:
			blamed++
		case likeliestSelf:
			blamed++
			own++
		}
	}
	if blamed >= crashesEnough {
		return true
	}
	return blamed >= crashesToBlame && own >= ownCrashes && blamed > b.crashesWithout(c, first.Add(-background))
}

// likelihood compares a request with the others that were at a crash.
type likelihood uint8

const (
	likeliestSelf likelihood = iota
	alike
	likelierOther
)

func (b *Book) likeliest(at *crash, c *Case) likelihood {
	found := likeliestSelf
	for _, key := range at.present {
		other := b.cases[key]
		switch {
		case other == c:
		case other.Level > 0 || len(other.Crashes) > len(c.Crashes):
			return likelierOther
		case len(other.Crashes) == len(c.Crashes):
			found = alike
		}
	}
	return found
}

// crashesWithout counts the crashes since a time at which neither the request nor one in quarantine was present.
func (b *Book) crashesWithout(c *Case, since time.Time) int {
	n := 0
	for incarnation, at := range b.crashes {
		_, present := slices.BinarySearch(c.Crashes, incarnation)
		if !present && !at.seen.Before(since) && !slices.ContainsFunc(at.present, b.isQuarantined) {
			n++
		}
	}
	return n
}

func (b *Book) isQuarantined(key fingerprint.Key) bool { return b.cases[key].Level > 0 }

// BeginTrial records the only run that a request gets when its quarantine is over. The next quarantine counts
// from now: nobody else may try meanwhile, also if this process ends.
func (b *Book) BeginTrial(key fingerprint.Key, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.cases[key]; c != nil {
		c.Level++
		c.Until, c.changed = now.Add(length(c.Level)), now
		b.spread(key)
	}
}

// Merge takes in what another process or the store knows of a request; false if it is nothing new.
func (b *Book) Merge(o Case, now time.Time) bool {
	if saysNothing(o, now) {
		return false
	}
	o.Until = clampUntil(o, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cases[o.Key]
	if c == nil {
		c = &Case{Key: o.Key, changed: now}
		b.makeRoom()
		b.cases[o.Key] = c
		b.size.Store(int64(len(b.cases)))
	}
	b.unlink(c)
	changed := c.merge(o, now)
	b.link(c, now)
	if changed {
		b.spread(o.Key)
	}
	return changed
}

// saysNothing tells of a case that needs no place in a book.
func saysNothing(o Case, now time.Time) bool {
	if o.Level > 0 {
		return !now.Before(o.expires())
	}
	return o.Round == 0 && len(o.Crashes) == 0
}

// clampUntil keeps another's clock from making a quarantine longer than any is.
func clampUntil(o Case, now time.Time) time.Time {
	if o.Level == 0 {
		return time.Time{}
	}
	if most := now.Add(length(o.Level)); o.Until.After(most) {
		return most
	}
	return o.Until
}

// spread has a change passed on; b.mu is held.
func (b *Book) spread(key fingerprint.Key) {
	b.rumours[key] = rumourSends
	select {
	case b.news <- struct{}{}:
	default:
	}
}

func (b *Book) link(c *Case, now time.Time) {
	for _, incarnation := range c.Crashes {
		at := b.crashes[incarnation]
		if at == nil {
			at = &crash{seen: now}
			b.crashes[incarnation] = at
		}
		if !slices.Contains(at.present, c.Key) {
			at.present = append(at.present, c.Key)
		}
	}
}

func (b *Book) unlink(c *Case) {
	for _, incarnation := range c.Crashes {
		at := b.crashes[incarnation]
		at.present = slices.DeleteFunc(at.present, func(k fingerprint.Key) bool { return k == c.Key })
	}
}

func (b *Book) forget(c *Case) {
	b.unlink(c)
	delete(b.cases, c.Key)
	delete(b.rumours, c.Key)
	b.size.Store(int64(len(b.cases)))
}

// makeRoom forgets an eighth of a full book: what was at fewest crashes and is known longest, quarantines last.
func (b *Book) makeRoom() {
	if len(b.cases) < maxCases {
		return
	}
	all := slices.SortedFunc(maps.Values(b.cases), compareWeight)
	for _, c := range all[:maxCases/8] {
		b.forget(c)
	}
}

// compareWeight orders cases by how much is lost with them.
func compareWeight(a, b *Case) int {
	return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(len(a.Crashes), len(b.Crashes)), a.changed.Compare(b.changed))
}

// Settle puts requests into quarantine whose verdicts stand, and forgets what has expired.
func (b *Book) Settle(now time.Time) {
	if b.IsEmpty() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetExpired(now)
	var found []*Case
	for _, c := range b.cases {
		if c.Level == 0 && now.Sub(c.changed) >= settleTime && b.isBlamed(c) {
			found = append(found, c)
		}
	}
	// Only now: the first to be in quarantine would explain the crashes of others like it.
	for _, c := range found {
		c.Level, c.Until, c.changed = 1, now.Add(length(1)), now
		b.spread(c.Key)
	}
}

// Keep forgets what has expired until ctx ends, for a process that only passes cases on.
func (b *Book) Keep(ctx context.Context, now func() time.Time) {
	for pause.For(ctx, settleEvery) {
		b.mu.Lock()
		b.forgetExpired(now())
		b.mu.Unlock()
	}
}

// forgetExpired also drops crashes that no request was at any more. Until then they speak for who was not there.
func (b *Book) forgetExpired(now time.Time) {
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

func (c *Case) copy() Case {
	out := *c
	out.Crashes = slices.Clone(c.Crashes)
	return out
}

// compareUrgency orders cases by who is to hear of them first. Of quarantines it is the one that began last, whenever
// this process heard of it: while there are more than can be told, a new one would else wait behind hundreds that most
// processes know.
func compareUrgency(a, b *Case) int {
	if a.isDurable() != b.isDurable() {
		if a.isDurable() {
			return -1
		}
		return 1
	}
	return cmp.Or(b.began().Compare(a.began()), cmp.Compare(len(b.Crashes), len(a.Crashes)), b.changed.Compare(a.changed))
}

// TakeRumours returns changes that are to be passed on in a message of about so many bytes, at least one if there
// are any; those that must be known first come first.
func (b *Book) TakeRumours(bytes int, now time.Time) []Case {
	b.mu.Lock()
	defer b.mu.Unlock()
	var hot []*Case
	for key := range b.rumours {
		c := b.cases[key]
		if !c.isDurable() && now.Sub(c.changed) > rumourLasts {
			delete(b.rumours, key)
			continue
		}
		hot = append(hot, c)
	}
	slices.SortFunc(hot, compareUrgency)
	var out []Case
	for _, c := range hot {
		if bytes -= c.wireBytes(); bytes < 0 && len(out) > 0 {
			break
		}
		if b.rumours[c.Key]--; b.rumours[c.Key] <= 0 {
			delete(b.rumours, c.Key)
		}
		out = append(out, c.copy())
	}
	return out
}

// Durable returns the quarantines, and those lifted of late, by key.
func (b *Book) Durable() []Case {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Case
	for _, c := range b.cases {
		if c.isDurable() {
			out = append(out, c.copy())
		}
	}
	slices.SortFunc(out, func(x, y Case) int { return slices.Compare(x.Key[:], y.Key[:]) })
	return out
}

// Digests are the same, part by part, for two books with the same quarantines. A part holds the fingerprints that
// begin alike: two books that differ little find where.
type Digests [16]uint32

// PartOf is the part of a digest that a fingerprint belongs to.
func PartOf(key fingerprint.Key) int { return int(key[0] >> 4) }

// Digests returns the book's.
func (b *Book) Digests() Digests {
	var out Digests
	if b.IsEmpty() {
		return out
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.cases {
		if c.isDurable() {
			text := binary.BigEndian.AppendUint32(c.Key[:], c.Round)
			out[PartOf(c.Key)] ^= uint32(xxhash.Sum64(binary.BigEndian.AppendUint32(text, c.Level)))
		}
	}
	return out
}

// Digest is the same for two books with the same quarantines.
func (b *Book) Digest() uint64 {
	var text []byte
	digests := b.Digests()
	if digests == (Digests{}) {
		return 0
	}
	for _, part := range digests {
		text = binary.BigEndian.AppendUint32(text, part)
	}
	return xxhash.Sum64(text)
}
