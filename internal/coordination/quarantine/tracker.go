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
	"limpetwall/internal/transport/sleep"
)

// maxDropped bounds the parts listed at a crash that their records no longer list: few parts are at so many crashes.
const maxDropped = 16

// maxRecords bounds the tracker's memory to about 1 MB.
const maxRecords = 4096

// Tracker records which requests were in flight at which endpoint crashes, and which of them are quarantined. It
// is safe for concurrent use.
type Tracker struct {
	// size is the number of records, readable without the lock: most requests arrive while there are none.
	size atomic.Int64

	mu      sync.Mutex
	records map[fingerprint.Key]*Record
	// bySubject holds what is known of the requests for one resource.
	bySubject map[fingerprint.Subject]*subject
	// crashes is keyed by the incarnation that crashed.
	crashes map[uint64]*endpointCrash
	// sendsLeft counts how often each changed record is still to be sent to other processes.
	sendsLeft map[fingerprint.Key]int
	// onBlame is called with each request that is found to cause crashes.
	onBlame func(fingerprint.Key)
	urgent  chan struct{}
	// soundParts are the parts with which answers ran well.
	soundParts soundParts
	outcomes   outcomes
	// attributionStale is set if the shares of parts don't reflect all records; attributedAt is when they were computed.
	attributionStale bool
	attributedAt     time.Time
	// startedAt is when the process began to learn which parts run well; zero if it has long known.
	startedAt time.Time
}

// endpointCrash is the crash of one incarnation of an endpoint at which requests were in flight.
type endpointCrash struct {
	// firstSeen is when the first process observed the crash.
	firstSeen time.Time
	// inFlight are the requests whose records list this crash.
	inFlight []fingerprint.Key
	// dropped are parts that were in flight too, whose records have too many crashes to list this one.
	dropped []fingerprint.Key
}

// subject is what is known of the requests for one resource.
type subject struct {
	records []*Record
	// survived is set once a request for the resource has run to its end, as seen by this process.
	survived bool
	// otherKindAt is when this process last ran a request for the resource while another kind was blamed.
	otherKindAt time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		records: map[fingerprint.Key]*Record{}, bySubject: map[fingerprint.Subject]*subject{}, crashes: map[uint64]*endpointCrash{}, sendsLeft: map[fingerprint.Key]int{},
		onBlame: func(fingerprint.Key) {}, urgent: make(chan struct{}, 1),
	}
}

// IsEmpty reports whether the tracker has no records.
func (t *Tracker) IsEmpty() bool { return t.size.Load() == 0 }

// UrgentPending returns a channel that receives a value when there are urgent updates to send.
func (t *Tracker) UrgentPending() <-chan struct{} { return t.urgent }

// RecordCrash records that a request, which contained these parts, was in flight at an endpoint's incarnation when
// that crashed.
func (t *Tracker) RecordCrash(key fingerprint.Key, incarnation uint64, about RequestInfo, now time.Time, parts ...Part) {
	about.Target = cutTarget(about.Target)
	observed := Record{Key: key, Crashes: []Crash{{incarnation, now}}, About: about}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil {
		observed.Round = r.Round
	}
	t.merge(observed, now)
	if len(parts) > 0 {
		t.outcomes.add(0, 1, now)
	}
	for _, p := range parts {
		t.recordPartCrash(p, key, Crash{incarnation, now}, about, now)
	}
}

// RecordCompletion records that an endpoint ran a request to its end: the request does not crash endpoints, or no
// longer does. It reports whether this lifted a quarantine.
func (t *Tracker) RecordCompletion(key fingerprint.Key, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.bySubject[key.Subject()]; s != nil {
		s.survived = true
	}
	r := t.records[key]
	if r == nil || (len(r.Crashes) == 0 && r.Level == 0) {
		return false
	}
	lifted := r.Level > 0
	t.clear(r, now)
	return lifted
}

// Lift ends a request's quarantine. It reports whether there was one.
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

// clear voids a record and sends the change to other processes; t.mu is held.
func (t *Tracker) clear(r *Record, now time.Time) {
	t.attributionStale = true
	t.unindex(r)
	r.clear(now)
	t.enqueueUpdate(r.Key)
}

// BeginTrial records the start of the only attempt that a request gets when its quarantine is over. The next
// quarantine begins with it.
func (t *Tracker) BeginTrial(key fingerprint.Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil {
		r.startQuarantine(now)
		t.enqueueUpdate(key)
	}
}

// Merge merges what another process or the store knows of a request. It reports whether anything was new.
func (t *Tracker) Merge(other Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(other, now)
}

// merge is Merge with t.mu held.
func (t *Tracker) merge(other Record, now time.Time) bool {
	if isUninformative(other, now) {
		return false
	}
	other.Until = clampUntil(other, now)
	r := t.records[other.Key]
	if other.Key.IsPart() {
		t.soundParts.add(other.Key, other.RanWellAt, now)
		other.RanWellAt = t.soundParts.last(other.Key)
	}
	if r == nil && len(other.Crashes) == 0 && other.Level == 0 && other.Round == 0 {
		return false
	}
	if r == nil {
		r = &Record{Key: other.Key, changed: now}
		t.evictIfFull()
		t.records[other.Key] = r
		t.addToSubject(r)
		t.size.Store(int64(len(t.records)))
	}
	before := recordState{r.Round, r.Level}
	t.attributionStale = true
	t.unindex(r)
	listed := slices.Concat(r.Crashes, other.Crashes)
	changed := r.merge(other, now)
	if r.Level > 0 && r.isRefuted() {
		r.clear(now)
		changed = true
	}
	t.index(r)
	t.indexDropped(r, listed)
	if changed && !r.isPartCrashOnly(before) {
		t.enqueueUpdate(other.Key)
		t.reportIfBlamed(r, now)
	}
	return changed
}

// OnBlame sets the function that is called with each request found to cause crashes, and again whenever the record
// of such a request changes. The tracker is locked during the call: the function must neither block nor use the
// tracker.
func (t *Tracker) OnBlame(blamed func(fingerprint.Key)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onBlame = blamed
}

// reportIfBlamed calls onBlame if a request is quarantined or to blame; t.mu is held.
func (t *Tracker) reportIfBlamed(r *Record, now time.Time) {
	if r.Key.IsPart() {
		if t.isHeldPart(r.Key, now) {
			t.onBlame(r.Key)
		}
		return
	}
	if r.Level > 0 || t.isBlamed(r, t.related(r)) {
		t.onBlame(r.Key)
	}
}

// isUninformative reports whether a record needs no place in a tracker: its quarantine has expired, or it is not
// quarantined, lists no crashes and was never cleared.
func isUninformative(r Record, now time.Time) bool {
	if r.Level > 0 {
		return !now.Before(r.expiresAt())
	}
	return r.Round == 0 && len(r.Crashes) == 0 && r.RanWellAt.IsZero()
}

// clampUntil limits a quarantine to the length for its level: another process's clock must not make it longer.
func clampUntil(r Record, now time.Time) time.Time {
	if r.Level == 0 {
		return time.Time{}
	}
	if latest := now.Add(quarantineDuration(r.Key, r.Level)); r.Until.After(latest) {
		return latest
	}
	return r.Until
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

// indexDropped keeps a part listed at crashes that no longer fit into its record, so that it still explains them.
func (t *Tracker) indexDropped(r *Record, listed []Crash) {
	if len(r.Crashes) < maxPartCrashes {
		return
	}
	for _, crash := range listed {
		event := t.crashes[crash.Incarnation]
		if _, kept := r.findCrash(crash.Incarnation); kept || event == nil || slices.Contains(event.dropped, r.Key) {
			continue
		}
		if len(event.dropped) >= maxDropped {
			continue
		}
		event.dropped = append(event.dropped, r.Key)
	}
}

func (t *Tracker) addToSubject(r *Record) {
	if r.Key.IsPart() {
		return
	}
	s := t.bySubject[r.Key.Subject()]
	if s == nil {
		s = &subject{}
		t.bySubject[r.Key.Subject()] = s
	}
	s.records = append(s.records, r)
}

func (t *Tracker) removeFromSubject(r *Record) {
	if r.Key.IsPart() {
		return
	}
	s := t.bySubject[r.Key.Subject()]
	s.records = slices.DeleteFunc(s.records, func(other *Record) bool { return other == r })
	if len(s.records) == 0 {
		delete(t.bySubject, r.Key.Subject())
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
	t.removeFromSubject(r)
	delete(t.sendsLeft, r.Key)
	t.size.Store(int64(len(t.records)))
}

// evictIfFull removes an eighth of the records of a full tracker: first those with the fewest crashes and, of
// these, those unchanged for longest. Quarantines are removed last.
func (t *Tracker) evictIfFull() {
	if len(t.records) < maxRecords {
		return
	}
	all := slices.SortedFunc(maps.Values(t.records), compareEvictionOrder)
	for _, r := range all[:maxRecords/8] {
		t.remove(r)
	}
}

// compareEvictionOrder orders records by how much is lost with them, the least first.
func compareEvictionOrder(a, b *Record) int {
	return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(len(a.Crashes), len(b.Crashes)), a.changed.Compare(b.changed))
}

// Evaluate quarantines the requests that are to blame and whose records have not changed for verdictDelay. It also
// removes what has expired.
func (t *Tracker) Evaluate(now time.Time) {
	if t.IsEmpty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	var blamed []*Record
	for _, r := range t.records {
		if r.Key.IsPart() && r.Level == 0 {
			// Time alone may have decided against a part.
			t.reportIfBlamed(r, now)
		}
		if r.Level == 0 && t.isToBlame(r, now) {
			blamed = append(blamed, r)
		}
	}
	// Quarantine them only now: the first one in quarantine would explain the crashes of the others like it.
	for _, r := range blamed {
		t.attributionStale = true
		r.startQuarantine(now)
		t.enqueueUpdate(r.Key)
		t.reportIfBlamed(r, now)
	}
}

// isToBlame reports whether a request's own crashes are enough for its quarantine, or those of a part are.
func (t *Tracker) isToBlame(r *Record, now time.Time) bool {
	if r.Key.IsPart() {
		return t.isVerdictFinal(r, now)
	}
	return now.Sub(r.changed) >= verdictDelay && t.isBlamed(r, []*Record{r})
}

// RunExpiry removes what has expired until ctx ends, in a process that only passes records on.
func (t *Tracker) RunExpiry(ctx context.Context, now func() time.Time) {
	for sleep.For(ctx, evaluationInterval) {
		t.mu.Lock()
		t.removeExpired(now())
		t.mu.Unlock()
	}
}

// removeExpired removes expired records. It also removes crashes that no record lists any more, once they are
// older than evidenceLifetime or there are more than maxRecords: until then they are evidence in favor of the
// requests that were not in flight there. t.mu is held.
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
	out.Crashes, out.Requests = slices.Clone(r.Crashes), slices.Clone(r.Requests)
	return out
}
