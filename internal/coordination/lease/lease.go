// Package lease implements a lease stored as an object in the platform's object API. The
// object's version at acquisition is the fencing token: each holder has a higher one.
//
// No two clocks are compared. A candidate takes the lease over only after it has itself seen
// the object unchanged for the whole term, by its own monotonic clock. The holder stops
// acting, by its own clock, before a term has passed since it *began* its last renewal. A holder
// that was paused notices at its next check of the lease; requests that it sent just before are
// refused because of their old fencing token.
//
// A store that comes back from an older copy has lost the newest holder. Versions order by the
// store's era, so tokens still grow; what the copy says of the lease counts as seen for the first
// time, and is waited out for a whole term.
package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/objectapi"
)

// ErrNotHeld is returned when this process does not hold the lease now.
const ErrNotHeld = errors.ConstError("lease is not held")

// Config configures a lease.
type Config struct {
	// Key is the key of the object, Holder this process's name in it.
	Key, Holder string
	// Term is the time without renewal after which others take over.
	Term time.Duration
	// Act is how long after the start of its last renewal the holder may act; 0 means
	// three quarters of the term. The shorter it is, the longer the time in which nobody may
	// act before another process takes over.
	Act time.Duration
	// Handover is how long after a takeover requests of the previous holder may still matter. For that time the object
	// says so: the process that took the lease over may be restarted, and remember nothing. 0 if they never do.
	Handover time.Duration
	// CallTimeout bounds one platform call.
	CallTimeout time.Duration
	// StepInterval is the least time between two calls of Step in all processes, 0 if unknown. The
	// dates of notes are more precise with it.
	StepInterval time.Duration
	// OnNote, if set, is called with each note of another holder, or of this process before its start, as soon
	// as it is known and before this process writes one of its own. writtenAfter is a time after which the note
	// was written, zero if none is known; isRecent is set if its writer has just announced it.
	OnNote func(note json.RawMessage, writtenAfter time.Time, isRecent bool)
	// Now is the clock; nil means time.Now. If hosts may be suspended, it must advance
	// meanwhile: a holder that resumes would otherwise assume that no time has passed.
	Now func() time.Time
}

// content is the value of the object. Process and Sequence make the value differ at each renewal:
// a store may leave the version unchanged when the same bytes are written again, and the
// other processes would then consider the lease expired.
type content struct {
	Holder string `json:"holder"`
	// Process is drawn by each process of the holder, whose sequence begins anew.
	Process  uint64          `json:"process,omitempty"`
	Sequence uint64          `json:"sequence"`
	Note     json.RawMessage `json:"note,omitempty"`
	// TakenOver is set while Holder has taken the lease over less than Config.Handover ago, PreviousNote is then the last
	// note of the holder before.
	TakenOver    bool            `json:"taken_over,omitempty"`
	PreviousNote json.RawMessage `json:"previous_note,omitempty"`
	// Era is the era of the store in which the writer read the object that it replaces.
	Era uint64 `json:"era,omitempty"`
}

// renewWindow is how long after its last renewal a holder renews without reading the lease.
// After that it first checks whether another process has taken over.
func (c Config) renewWindow() time.Duration { return c.Term - c.Term/marginDivisor }

// marginDivisor sets the margin by which the holder's own term ends earlier than the term
// that others wait for: a quarter of the term. A call in flight when the holder's term ends has
// succeeded or failed by the time the others' term ends.
const marginDivisor = 4

// Lease is one process's view of a lease.
type Lease struct {
	cfg Config
	api objectapi.API

	mu sync.Mutex
	// fence is the fencing token under which this process holds the lease, 0 if it does not;
	// version is the version of the object, which each renewal raises.
	fence     uint64
	version   int64
	renewedAt time.Time
	// seenVersion is the version last seen and seenAt since when. lastRead is the content last
	// read or announced.
	seenVersion int64
	seenAt      time.Time
	lastRead    content
	// readAt is when the last read began, and writtenAfter a time after which the content
	// read was written, zero if unknown.
	readAt, writtenAfter time.Time
	// process, sequence and note are written with this process's own renewals.
	process  uint64
	sequence uint64
	note     json.RawMessage
	// takeoverPending is set once a write that takes the lease over from another holder has
	// been sent. takenOverAt is when such a write is known to have succeeded; it is zero if none
	// has, as when the lease was free. takenOverNote is the last note of the previous holder.
	takeoverPending bool
	takenOverAt     time.Time
	takenOverNote   json.RawMessage
	// lastWritten is the value of this process's last successful write.
	lastWritten []byte
	// observedAt is when the holder last announced a renewal; renewals then receives an
	// item.
	observedAt time.Time
	renewals   chan struct{}
}

// New returns a lease that is not held.
func New(cfg Config, api objectapi.API) *Lease {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Act == 0 {
		cfg.Act = cfg.renewWindow()
	}
	return &Lease{cfg: cfg, api: api, process: rand.Uint64(), renewals: make(chan struct{}, 1)}
}

// SetNote sets the note, in JSON, that the next renewal publishes to the other processes.
func (l *Lease) SetNote(note []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note = note
}

// HolderNote is the holder's note as last read; nil while this process holds the lease or
// has read none.
func (l *Lease) HolderNote() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence != 0 {
		return nil
	}
	return l.lastRead.Note
}

// HolderNoteWrittenAfter returns a time after which the holder's note was written, the zero time if that
// is not known: the note that a process reads first may be of a holder that ended long ago.
func (l *Lease) HolderNoteWrittenAfter() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writtenAfter
}

// LastWrite returns this process's last successful write: the version of the object after it,
// and its value.
func (l *Lease) LastWrite() (version int64, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.lastWritten
}

// ObserveRenewal records a write that the holder announced, as if it had been read from the
// store. Versions grow, so a delayed or repeated announcement of a version already seen changes
// nothing. A late one only makes the lease expire later from this process's point of view.
func (l *Lease) ObserveRenewal(version int64, value []byte) {
	c := decodeContent(value)
	if l.recordRenewal(version, c) && l.cfg.OnNote != nil {
		l.cfg.OnNote(c.Note, time.Time{}, true)
	}
}

// recordRenewal records an announced write, and reports whether it was new.
func (l *Lease) recordRenewal(version int64, c content) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.seenVersion || version <= l.version || c.Holder == l.cfg.Holder {
		return false
	}
	now := l.cfg.Now()
	l.fence = 0
	l.lastRead, l.seenVersion, l.seenAt, l.observedAt = c, version, now, now
	select {
	case l.renewals <- struct{}{}:
	default:
	}
	return true
}

// LastObservedRenewal is when the holder last announced a renewal, the zero time if it never did.
func (l *Lease) LastObservedRenewal() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.observedAt
}

// RenewalObserved returns a channel that receives an item when the holder has announced a
// renewal.
func (l *Lease) RenewalObserved() <-chan struct{} { return l.renewals }

// TakenOver returns when this process took the lease over from another holder, and the last
// note of that holder; the zero time if it did not. Requests that the other holder sent
// just before may still be in flight then. If an earlier process of this holder took it over and was
// restarted soon after, that is when this process acquired the lease.
func (l *Lease) TakenOver() (at time.Time, note []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.takenOverAt, l.takenOverNote
}

// nextValue is the value of the next write of the object, which relies on what was read in an era.
func (l *Lease) nextValue(era uint64) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	c := content{Holder: l.cfg.Holder, Process: l.process, Sequence: l.sequence, Note: l.note, Era: era}
	if l.takeoverPending || (!l.takenOverAt.IsZero() && l.cfg.Now().Sub(l.takenOverAt) < l.cfg.Handover) {
		c.TakenOver, c.PreviousNote = true, l.takenOverNote
	}
	data, err := json.Marshal(c)
	return data, errors.Trace(err)
}

// Fence returns the fencing token while the lease is certain to be held, or ErrNotHeld.
func (l *Lease) Fence(now time.Time) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == 0 || now.Sub(l.renewedAt) >= l.cfg.Act {
		return 0, ErrNotHeld
	}
	return l.fence, nil
}

// HeldFor returns how much longer the holder may act without another renewal, 0 if this process may
// not act.
func (l *Lease) HeldFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == 0 {
		return 0
	}
	return max(0, l.cfg.Act-now.Sub(l.renewedAt))
}

// Release gives the lease up, so that another process need not wait for its term to end. If that
// fails, it ends with its term.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held, version := l.fence != 0, l.version
	l.fence = 0
	l.mu.Unlock()
	if !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	return l.api.Delete(ctx, l.cfg.Key, version)
}

// IsHeld reports whether this process is the holder as far as it knows. It may still have
// to renew before it acts.
func (l *Lease) IsHeld(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence != 0 && now.Sub(l.renewedAt) < l.cfg.renewWindow()
}

// Step renews the lease if it is held, and acquires it if it has expired. Call it a few times
// a term.
func (l *Lease) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	began := l.cfg.Now()
	if l.IsHeld(began) {
		return l.renew(ctx, began)
	}
	return l.tryAcquire(ctx, began)
}

// renew writes the object under its version. If the answer is lost, the version is unknown:
// the process gives the lease up and acquires it again by waiting, like any other candidate.
func (l *Lease) renew(ctx context.Context, began time.Time) error {
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	value, err := l.nextValue(objectapi.Revision(version).Era())
	if err != nil {
		return err
	}
	o, err := l.api.Put(ctx, l.cfg.Key, value, version)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrOutcomeUnknown) {
			l.fence = 0
		}
		return err
	}
	l.version, l.renewedAt, l.lastWritten = o.Version, began, value
	return nil
}

func (l *Lease) tryAcquire(ctx context.Context, began time.Time) error {
	o, err := l.api.Get(ctx, l.cfg.Key)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return err
	}
	era := l.api.Eras().Current()
	previous, writtenAfter := l.applyRead(o, began)
	if l.cfg.OnNote != nil {
		l.cfg.OnNote(previous.Note, writtenAfter, false)
	}
	isOwn := l.isOwn(previous, began)
	if !l.hasExpired(o.Version, began) && !isOwn {
		return ErrNotHeld
	}
	switch {
	case previous.Holder != "" && !isOwn:
		l.recordTakeover(previous.Note)
	case isOwn && previous.TakenOver && previous.Process != l.process:
		l.recordTakeover(previous.PreviousNote)
	}
	value, err := l.nextValue(era)
	if err != nil {
		return err
	}
	o, err = l.api.Put(ctx, l.cfg.Key, value, o.Version)
	if err != nil {
		// The answer was lost or the write refused. Whoever holds the lease now, the
		// object has changed or will have changed, and the wait starts again.
		return err
	}
	if objectapi.Revision(o.Version).Era() != era {
		// The store came back since the read, which found no object: the copy may lack a newer one.
		return errors.Annotate(ErrNotHeld, "store came back from an older copy")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.version, l.renewedAt, l.lastWritten = uint64(o.Version), o.Version, began, value
	l.seenVersion, l.seenAt = o.Version, began
	if l.takeoverPending {
		l.takenOverAt, l.takeoverPending = began, false
	}
	return nil
}

// isOwn reports whether the content read shows that nobody else can act under the lease. Content of an
// earlier era does not: another holder may have followed and be lost, unless this process's own
// last renewal is too recent for that.
func (l *Lease) isOwn(c content, now time.Time) bool {
	if c.Holder != l.cfg.Holder {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.Era == l.api.Eras().Current() || (!l.renewedAt.IsZero() && now.Sub(l.renewedAt) < l.cfg.renewWindow())
}

// recordTakeover remembers a takeover until one has succeeded: its answer may be lost, and
// the next read then finds this process as holder.
func (l *Lease) recordTakeover(note json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takeoverPending, l.takenOverNote = true, note
}

// applyRead records the value read from the object. A lease that names this process as
// holder is from before its restart, or from a write whose answer was lost. Nobody else can
// act under it, so it is acquired again at once, with a higher fencing token.
func (l *Lease) applyRead(o objectapi.Object, began time.Time) (c content, writtenAfter time.Time) {
	c = decodeContent(o.Value)
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Holder != l.cfg.Holder {
		// Another process holds the lease now, and its note is the valid one.
		l.fence = 0
	}
	l.dateContent(c, began)
	l.lastRead = c
	return c, l.writtenAfter
}

// dateContent records when the content read was written, as far as is known; l.mu is held. It has been
// written since the last read if it differs. Each write of the same holder began at least StepInterval
// after the one before.
func (l *Lease) dateContent(c content, began time.Time) {
	isSameProcess := c.Holder == l.lastRead.Holder && c.Process == l.lastRead.Process
	switch isNew := !isSameProcess || c.Sequence != l.lastRead.Sequence; {
	case l.readAt.IsZero():
	case c.Era != l.api.Eras().Current():
		// An older copy of the store may have brought it back.
		l.writtenAfter = time.Time{}
	case isSameProcess && c.Sequence > l.lastRead.Sequence:
		earlier := time.Duration(c.Sequence-l.lastRead.Sequence-1) * l.cfg.StepInterval
		l.writtenAfter = l.readAt.Add(min(earlier, began.Sub(l.readAt)) - l.cfg.CallTimeout)
	case isNew:
		l.writtenAfter = l.readAt.Add(-l.cfg.CallTimeout)
	}
	l.readAt = began
}

// decodeContent decodes an object's value. A value that does not decode is from an older
// release; its holder counts as another process.
func decodeContent(value []byte) content {
	var c content
	if err := json.Unmarshal(value, &c); err != nil {
		return content{Holder: string(value)}
	}
	return c
}

// hasExpired reports whether this process has seen the object stay at one version for a whole
// term. A lease that does not exist has expired once the store has been in one era for a term:
// before that, an older copy may lack it while its holder still acts.
func (l *Lease) hasExpired(version int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version == 0 {
		return l.api.Eras().Age() >= l.cfg.Term
	}
	if l.seenAt.IsZero() || version != l.seenVersion {
		l.seenVersion, l.seenAt = version, now
		return false
	}
	return now.Sub(l.seenAt) >= l.cfg.Term
}
