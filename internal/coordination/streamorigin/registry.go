package streamorigin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long origins, and versions without an endpoint, are remembered at least: longer than a stream and
	// the caller's return take.
	Retention = time.Minute
	// recordedFor is how long after a version was last listed here the stored record is known to hold it still: less than the time,
	// at least Retention, after which other processes remove it.
	recordedFor = Retention / 2
	// maxOrigins bounds the origins of one generation; two are kept. Beyond it they are evicted sooner.
	maxOrigins = 16_384
	// MaxOpen bounds the streams that may still be taken up.
	MaxOpen = 16_384
	// takeUpTime is how long after a stream broke off its caller may take it up.
	takeUpTime = 30 * time.Second
	// maxPending bounds the records that wait to be sent; the oldest are dropped.
	maxPending = 4_096
	// maxVersions bounds the remembered versions of all services.
	maxVersions = 1_024
)

// Key identifies a stream by its customer and the attempt that brought its first event.
type Key uint64

// KeyOf returns the key of a stream. The customer is part of it, so that no customer's attempt can be named by another.
func KeyOf(customer, attempt string) Key {
	var h xxhash.Digest
	h.Reset()
	h.WriteString(customer)
	h.Write([]byte{0})
	h.WriteString(attempt)
	return Key(h.Sum64())
}

// Origin is the service and the software version that began a stream.
type Origin struct {
	Service, Version string
}

// Record is the origin of one stream.
type Record struct {
	Stream Key
	Origin Origin
}

// VersionAge is a software version and how long ago an endpoint last had it.
type VersionAge struct {
	Origin Origin
	Age    time.Duration
}

// Registry holds the origins of recent streams, of this process and of those that send it theirs. It is safe for
// concurrent use.
type Registry struct {
	mu sync.Mutex
	// current and previous are two generations of origins; current replaces previous after Retention.
	current, previous map[Key]Origin
	currentSince      time.Time
	// pending are this process's records that no other process has been sent, and ready says that some may be sent.
	pending []pendingRecord
	ready   chan struct{}
	// open are the streams that callers may still take up.
	open          map[Key]openStream
	openExpiredAt time.Time
	// versions holds when each version was last seen at an endpoint.
	versions map[Origin]time.Time
	// followedSince is since when all endpoints that came and went are known, zero before the first list. generation counts the
	// lists with which that began anew.
	followedSince time.Time
	generation    uint64
	// followed is closed when all changes of endpoints until then have been seen.
	followed chan struct{}
	// isConfirmed is set if the versions from before followedSince are known too; wasConfirmed if they were before the last list.
	isConfirmed, wasConfirmed bool
	// overflowedAt is when a version was last dropped for want of space.
	overflowedAt time.Time
	// versionsChanged is closed when a version is added, or when following begins anew.
	versionsChanged chan struct{}
	// recorded holds, by service, the versions that the stored record is known to hold; recordedChanged is closed when some are added.
	recorded        map[string][]string
	recordedChanged chan struct{}
	// listedAt holds when each version was last listed here, and followedAt is when the list was last up to date.
	listedAt   map[Origin]time.Time
	followedAt time.Time
	// waiting are closed when an origin arrives.
	waiting map[Key][]chan struct{}
	// isStoreAway is set while the store does not answer for endpoints.
	isStoreAway bool
	// streamTargets is the fingerprint of where the routes lead streams, settledTargets that of where streams have been led according
	// to the stored record.
	streamTargets, settledTargets uint64
}

// openStream is a stream that is not whole. brokenAt is when it broke off, zero while it runs.
type openStream struct {
	origin   Origin
	brokenAt time.Time
}

type pendingRecord struct {
	Record
	since time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		open: map[Key]openStream{}, current: map[Key]Origin{}, previous: map[Key]Origin{}, versions: map[Origin]time.Time{},
		waiting: map[Key][]chan struct{}{}, ready: make(chan struct{}, 1), versionsChanged: make(chan struct{}),
		followed: make(chan struct{}), recordedChanged: make(chan struct{}),
		listedAt: map[Origin]time.Time{},
	}
}

// Record records the origin of a stream that this process has begun to forward. End ends it.
func (r *Registry) Record(stream Key, o Origin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeVersion(o, now)
	if first, known := r.find(stream); known {
		r.setOpen(stream, openStream{origin: first}, now)
		return
	}
	r.setOpen(stream, openStream{origin: o}, now)
	r.add(stream, o, now)
	if len(r.pending) == maxPending {
		r.pending = slices.Delete(r.pending, 0, maxPending/2)
	}
	r.pending = append(r.pending, pendingRecord{Record{stream, o}, now})
	if r.mustShare(o.Service) {
		r.signalReady()
	}
}

// SetStoreAway records whether the store answers for endpoints. While it does not, streams go on elsewhere only if their origin is
// known there, so that the records of a single version are sent too.
func (r *Registry) SetStoreAway(isAway bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isStoreAway = isAway; isAway && len(r.pending) > 0 {
		r.signalReady()
	}
}

// SetStreamTargets records the fingerprint of where the routes lead streams now. Until the stored record holds it too, streams that
// began may have been led to other services, and go on elsewhere only if their origin is known there.
func (r *Registry) SetStreamTargets(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streamTargets == fingerprint {
		return
	}
	r.streamTargets = fingerprint
	r.notifyVersionsChanged()
	if len(r.pending) > 0 && !r.isSettled() {
		r.signalReady()
	}
}

// SetSettledTargets records the fingerprint that the stored record holds.
func (r *Registry) SetSettledTargets(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settledTargets = fingerprint
}

func (r *Registry) isSettled() bool { return r.streamTargets == r.settledTargets }

// mustShare reports whether other processes need the origins of a service's streams.
func (r *Registry) mustShare(service string) bool {
	return r.isStoreAway || !r.isSettled() || r.versionCount(service) > 1
}

// End records that a stream has ended here. Unless it is whole, its caller may take it up.
func (r *Registry) End(stream Key, isWhole bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.open[stream]
	if !ok {
		return
	}
	if isWhole {
		delete(r.open, stream)
		return
	}
	s.brokenAt = now
	r.open[stream] = s
}

// MergeStored records origins that processes have stored. It is not known when an endpoint last had their versions.
func (r *Registry) MergeStored(records []Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		r.mergeOrigin(record.Stream, record.Origin, now)
	}
}

// Restore records origins that an earlier process of this host has stored. Their streams have broken off since.
func (r *Registry) Restore(records []Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		r.merge(record.Stream, record.Origin, now)
		if _, ok := r.open[record.Stream]; !ok {
			r.setOpen(record.Stream, openStream{record.Origin, now}, now)
		}
	}
}

func (r *Registry) isOpen(stream Key) bool {
	_, ok := r.open[stream]
	return ok
}

func (r *Registry) setOpen(stream Key, s openStream, now time.Time) {
	if len(r.open) >= MaxOpen && now.Sub(r.openExpiredAt) >= time.Second {
		r.expireOpen(now)
	}
	if _, ok := r.open[stream]; ok || len(r.open) < MaxOpen {
		r.open[stream] = s
	}
}

func (r *Registry) expireOpen(now time.Time) {
	r.openExpiredAt = now
	for stream, s := range r.open {
		if !s.brokenAt.IsZero() && now.Sub(s.brokenAt) > takeUpTime {
			delete(r.open, stream)
		}
	}
}

// NeedsStoredOrigins reports whether streams go on elsewhere only if their origin is known there: a service has had several versions
// within Retention, or routes have led elsewhere.
func (r *Registry) NeedsStoredOrigins(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isSettled() {
		return true
	}
	r.expireVersions(now)
	services := make(map[string]bool, len(r.versions))
	for o := range r.versions {
		if services[o.Service] {
			return true
		}
		services[o.Service] = true
	}
	return false
}

// OpenRecords returns, in order, the streams that callers may still take up, of services that have several versions, or of all if
// routes have led elsewhere.
func (r *Registry) OpenRecords(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireVersions(now)
	counts := map[string]int{}
	for o := range r.versions {
		counts[o.Service]++
	}
	r.expireOpen(now)
	var out []Record
	for stream, s := range r.open {
		if counts[s.origin.Service] > 1 || !r.isSettled() {
			out = append(out, Record{stream, s.origin})
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Stream, b.Stream) })
	return out
}

func (r *Registry) signalReady() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

func (r *Registry) versionCount(service string) int {
	count := 0
	for o := range r.versions {
		if o.Service == service {
			count++
		}
	}
	return count
}

// Ready returns a channel that yields when TakePending may return records.
func (r *Registry) Ready() <-chan struct{} { return r.ready }

// Merge records an origin that another process has sent.
func (r *Registry) Merge(stream Key, o Origin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merge(stream, o, now)
}

func (r *Registry) merge(stream Key, o Origin, now time.Time) {
	r.observeVersion(o, now)
	r.mergeOrigin(stream, o, now)
}

func (r *Registry) mergeOrigin(stream Key, o Origin, now time.Time) {
	r.add(stream, o, now)
	for _, arrived := range r.waiting[stream] {
		close(arrived)
	}
	delete(r.waiting, stream)
}

// add adds an origin, and reports whether it was not known; r.mu is held. The first origin of a stream stays.
func (r *Registry) add(stream Key, o Origin, now time.Time) bool {
	if now.Sub(r.currentSince) >= Retention || len(r.current) >= maxOrigins {
		r.previous, r.current, r.currentSince = r.current, map[Key]Origin{}, now
	}
	if _, known := r.find(stream); known {
		return false
	}
	r.current[stream] = o
	return true
}

func (r *Registry) find(stream Key) (Origin, bool) {
	if o, ok := r.current[stream]; ok {
		return o, true
	}
	o, ok := r.previous[stream]
	return o, ok
}

// Find returns the origin of a stream, if it is known.
func (r *Registry) Find(stream Key) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.find(stream)
}

// Arrival returns a channel that is closed when another process sends the origin of a stream. The caller cancels the wait.
func (r *Registry) Arrival(stream Key) (arrived <-chan struct{}, cancel func()) {
	c := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.find(stream); known {
		close(c)
		return c, func() {}
	}
	r.waiting[stream] = append(r.waiting[stream], c)
	return c, func() { r.stopWaiting(stream, c) }
}

func (r *Registry) stopWaiting(stream Key, c chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(r.waiting[stream], func(other chan struct{}) bool { return other == c })
	if r.waiting[stream] = list; len(list) == 0 {
		delete(r.waiting, stream)
	}
}

// BeginFollowing records that the endpoints are listed now and followed from now on. What came and went before is not known.
func (r *Registry) BeginFollowing(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wasConfirmed = r.knowsAllVersions(now)
	r.followedSince, r.isConfirmed = now, false
	if time.Since(r.followedAt) > recordedFor {
		// Other processes may have removed versions that have come back since.
		r.recorded = nil
	}
	r.generation++
	r.notifyVersionsChanged()
}

// RecordFollowed records that all changes of endpoints until now have been seen.
func (r *Registry) RecordFollowed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followedAt = time.Now()
	close(r.followed)
	r.followed = make(chan struct{})
}

// Followed returns a channel that is closed when all changes of endpoints until then have been seen.
func (r *Registry) Followed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.followed
}

// Generation counts the lists of endpoints with which following began anew, 0 before the first.
func (r *Registry) Generation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation
}

// ConfirmVersions records versions that a process has stored, read since following began with a generation. isComplete is set
// if the stored versions are all that there were. If they are not, a process that knew all before still does: what others have
// seen meanwhile is in the list or stored.
func (r *Registry) ConfirmVersions(list []Origin, generation uint64, isComplete bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.knowsAllVersions(now) {
		for _, o := range list {
			r.observeVersion(o, now)
		}
	}
	r.isConfirmed = r.isConfirmed || generation == r.generation && (isComplete || r.wasConfirmed)
}

// ForgetEarlierVersions records that the versions from before the newest list are not known though they were before it: the
// store may have lost what others have seen meanwhile.
func (r *Registry) ForgetEarlierVersions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wasConfirmed = false
}

// KnowsAllVersions reports whether all versions that endpoints have had within Retention are known. A process that has just
// started has seen one list, and does not know which versions left before it.
func (r *Registry) KnowsAllVersions(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knowsAllVersions(now)
}

func (r *Registry) knowsAllVersions(now time.Time) bool {
	if r.hasOverflowed(now) {
		return false
	}
	return r.isConfirmed || r.generation > 0 && now.Sub(r.followedSince) > Retention
}

func (r *Registry) hasOverflowed(now time.Time) bool {
	return !r.overflowedAt.IsZero() && now.Sub(r.overflowedAt) <= Retention
}

// VersionsChanged returns a channel that is closed when a version is added, when one must be read anew from the stored record, or
// when following begins anew.
func (r *Registry) VersionsChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versionsChanged
}

func (r *Registry) notifyVersionsChanged() {
	close(r.versionsChanged)
	r.versionsChanged = make(chan struct{})
}

// SetRecorded records which versions the stored record holds. One that is listed again after it was not for a while must be read
// anew, as others may have removed it: VersionsChanged tells.
func (r *Registry) SetRecorded(list []Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recorded := map[string][]string{}
	for _, o := range list {
		recorded[o.Service] = append(recorded[o.Service], o.Version)
	}
	r.recorded = recorded
	close(r.recordedChanged)
	r.recordedChanged = make(chan struct{})
}

// IsRecorded reports whether the stored record is known to hold a version.
func (r *Registry) IsRecorded(o Origin) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.recorded[o.Service], o.Version)
}

// RecordedVersions returns the versions of a service that the stored record is known to hold, and a channel that is closed when
// there may be others. The caller must not modify them. ok is false if a version was dropped for want of space within Retention:
// it can't be recorded.
func (r *Registry) RecordedVersions(service string, now time.Time) (versions []string, changed <-chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorded[service], r.recordedChanged, !r.hasOverflowed(now)
}

// FollowedFor returns for how long all changes of endpoints have been seen, 0 before the first list.
func (r *Registry) FollowedFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followedSince.IsZero() {
		return 0
	}
	return now.Sub(r.followedSince)
}

// VersionsOf returns the versions that endpoints of a service have had within Retention, in order.
func (r *Registry) VersionsOf(service string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireVersions(now)
	var out []string
	for o := range r.versions {
		if o.Service == service {
			out = append(out, o.Version)
		}
	}
	slices.Sort(out)
	return out
}

// ObserveVersions records the versions that endpoints have now.
func (r *Registry) ObserveVersions(list []Origin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range list {
		if now.Sub(r.listedAt[o]) > recordedFor {
			r.forgetRecorded(o)
		}
		r.listedAt[o] = now
		r.observeVersion(o, now)
	}
}

func (r *Registry) forgetRecorded(o Origin) {
	if !slices.Contains(r.recorded[o.Service], o.Version) {
		return
	}
	r.recorded[o.Service] = slices.DeleteFunc(slices.Clone(r.recorded[o.Service]), func(v string) bool { return v == o.Version })
	r.notifyVersionsChanged()
}

// MergeVersions records versions that another process has seen.
func (r *Registry) MergeVersions(list []VersionAge, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range list {
		r.observeVersion(v.Origin, now.Add(-v.Age))
	}
}

func (r *Registry) observeVersion(o Origin, at time.Time) {
	if last, known := r.versions[o]; known {
		if at.After(last) {
			r.versions[o] = at
		}
		return
	}
	if len(r.versions) == maxVersions {
		r.overflowedAt = at
		return
	}
	r.notifyVersionsChanged()
	if r.versions[o] = at; len(r.pending) > 0 && r.versionCount(o.Service) > 1 {
		r.signalReady()
	}
}

// Versions returns the versions that endpoints have had within Retention, and removes the others.
func (r *Registry) Versions(now time.Time) []VersionAge {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireVersions(now)
	out := make([]VersionAge, 0, len(r.versions))
	for o, at := range r.versions {
		out = append(out, VersionAge{o, max(0, now.Sub(at))})
	}
	return out
}

func (r *Registry) expireVersions(now time.Time) {
	for o, at := range r.versions {
		if now.Sub(at) > Retention {
			delete(r.versions, o)
		}
	}
	for o, at := range r.listedAt {
		if now.Sub(at) > Retention {
			delete(r.listedAt, o)
		}
	}
}

// SoleVersion returns the version of a service if its endpoints are known to have had no other within Retention.
func (r *Registry) SoleVersion(service string, now time.Time) (version string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireVersions(now)
	for o := range r.versions {
		if o.Service == service {
			version = o.Version
		}
	}
	return version, r.versionCount(service) == 1 && r.knowsAllVersions(now)
}

// TakePending returns up to limit records of this process to send to others. While a service has one version only and the store
// answers, its streams can go on anywhere, and their records wait: they are sent if another version appears. If the store ceases to
// answer, those of streams that are not whole are sent.
func (r *Registry) TakePending(limit int, now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireVersions(now)
	var out []Record
	kept := r.pending[:0]
	for _, p := range r.pending {
		switch {
		case now.Sub(p.since) > Retention:
		case len(out) < limit && (r.versionCount(p.Origin.Service) > 1 || r.mustShare(p.Origin.Service) && r.isOpen(p.Stream)):
			out = append(out, p.Record)
		default:
			kept = append(kept, p)
		}
	}
	r.pending = kept
	return out
}
