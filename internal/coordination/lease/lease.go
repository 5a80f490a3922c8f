// Package lease holds a lease in the platform's object API. The object's version
// at acquisition is the fencing number: each holder has a higher one.
//
// No two clocks are compared. A candidate takes the lease over only after it has
// itself seen the object unchanged for the whole term, by its own monotonic clock;
// the holder stops acting when a term has passed since it *began* its last renewal,
// by its own. A holder that was paused notices on its next look; what it sent just
// before is refused by its old fencing number.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/objectapi"
)

// ErrNotHeld tells that this process does not hold the lease now.
const ErrNotHeld = errors.ConstError("lease is not held")

// Config tunes a lease.
type Config struct {
	// Key of the object, and the holder's name in it.
	Key, Holder string
	// Term without renewal after which others take over.
	Term time.Duration
	// Act is how long after the begin of its last renewal the holder may act; 0 means
	// three quarters of the term. The shorter it is, the longer nobody acts before
	// another takes over.
	Act time.Duration
	// CallTimeout bounds one platform call.
	CallTimeout time.Duration
	// Now is the clock; nil means time.Now. Where hosts may be suspended it must go
	// on meanwhile: a holder that wakes would else believe that no time has passed.
	Now func() time.Time
}

// content is what the object holds. Sequence makes each renewal a change: a store
// may leave the version alone when the same bytes are written again, and the
// others would take the lease for lapsed.
type content struct {
	Holder   string          `json:"holder"`
	Sequence uint64          `json:"sequence"`
	Note     json.RawMessage `json:"note,omitempty"`
}

// renewWindow is how long after its last renewal a holder renews; later it asks first
// whether another has taken over.
func (c Config) renewWindow() time.Duration { return c.Term - c.Term/marginDivisor }

// marginDivisor is how much earlier than the others' a holder's own term ends: a call
// that is on its way when it ends has landed or failed by then.
const marginDivisor = 4

// Lease is one process's view of a lease.
type Lease struct {
	cfg Config
	api objectapi.API

	mu sync.Mutex
	// fence is the number this process holds the lease under, 0 if it does not;
	// version is the object's, which renewals raise.
	fence     uint64
	version   int64
	renewedAt time.Time
	// seenVersion is the version last seenVersion and since when, other what it held.
	seenVersion int64
	seenAt      time.Time
	lastRead    content
	// sequence and note of this process's own writes.
	sequence uint64
	note     json.RawMessage
	// takeoverPending tells that a write which takes the lease from another was sent;
	// takenAt is when one is known to have won, zero if the lease was free.
	takeoverPending bool
	takenOverAt     time.Time
	takenOverNote   json.RawMessage
	// lastWritten is the value of this process's last write that won.
	lastWritten []byte
	// observedAt is when the holder itself last told of a renewal, news has an item then.
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
	return &Lease{cfg: cfg, api: api, renewals: make(chan struct{}, 1)}
}

// SetNote leaves a note for the others, JSON, with the next renewal.
func (l *Lease) SetNote(note []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note = note
}

// HolderNote is the holder's note as last read, nil while this process holds the
// lease or has read none.
func (l *Lease) HolderNote() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence != 0 {
		return nil
	}
	return l.lastRead.Note
}

// LastNote is the note last read, of whichever holder.
func (l *Lease) LastNote() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRead.Note
}

// LastWrite is this process's last write that won: the object's version after it, and its
// value.
func (l *Lease) LastWrite() (version int64, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.lastWritten
}

// ObserveRenewal takes in what the holder says that it has written, as if it had been read from the
// store. Versions grow, so a word that was delayed or repeated changes nothing; a late one
// only lets the lease lapse later before this process's eyes.
func (l *Lease) ObserveRenewal(version int64, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.seenVersion || version <= l.version {
		return
	}
	c := decodeContent(value)
	if c.Holder == l.cfg.Holder {
		return
	}
	now := l.cfg.Now()
	l.fence = 0
	l.lastRead, l.seenVersion, l.seenAt, l.observedAt = c, version, now, now
	select {
	case l.renewals <- struct{}{}:
	default:
	}
}

// LastObservedRenewal is when the holder last told of a renewal, the zero time if it never did.
func (l *Lease) LastObservedRenewal() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.observedAt
}

// RenewalObserved has an item when the holder has told of a renewal.
func (l *Lease) RenewalObserved() <-chan struct{} { return l.renewals }

// TakenOver tells when this process took the lease over from another holder, and the
// note that the other had left last; the zero time if it did not. What the other
// sent just before may still be on its way then.
func (l *Lease) TakenOver() (at time.Time, note []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.takenOverAt, l.takenOverNote
}

// nextValue is what the next write puts into the object.
func (l *Lease) nextValue() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	data, err := json.Marshal(content{Holder: l.cfg.Holder, Sequence: l.sequence, Note: l.note})
	return data, errors.Trace(err)
}

// Fence returns the fencing number while the lease is surely held, or ErrNotHeld.
func (l *Lease) Fence(now time.Time) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == 0 || now.Sub(l.renewedAt) >= l.cfg.Act {
		return 0, ErrNotHeld
	}
	return l.fence, nil
}

// IsHeld tells whether this process is the holder as far as it knows, though it may
// have to renew before it acts.
func (l *Lease) IsHeld(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence != 0 && now.Sub(l.renewedAt) < l.cfg.renewWindow()
}

// Step looks at the lease once: it renews it if held, and takes it if it has
// lapsed. Call it a few times a term.
func (l *Lease) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	began := l.cfg.Now()
	if l.IsHeld(began) {
		return l.renew(ctx, began)
	}
	return l.tryAcquire(ctx, began)
}

// renew writes the object under its version. After a lost answer the version is
// unknown: the lease is given up and won again by waiting, as by anybody.
func (l *Lease) renew(ctx context.Context, began time.Time) error {
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	value, err := l.nextValue()
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
	before := l.applyRead(o)
	own := before.Holder == l.cfg.Holder
	if !l.hasExpired(o.Version, began) && !own {
		return ErrNotHeld
	}
	value, err := l.nextValue()
	if err != nil {
		return err
	}
	if before.Holder != "" && !own {
		l.recordTakeover(before.Note)
	}
	o, err = l.api.Put(ctx, l.cfg.Key, value, o.Version)
	if err != nil {
		// Lost or refused: whoever holds it now, the object has changed or will
		// have, and the wait begins anew.
		return err
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

// recordTakeover remembers a takeover until one has won: its answer may be lost, and
// the next look then finds this process as holder.
func (l *Lease) recordTakeover(note json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takeoverPending, l.takenOverNote = true, note
}

// applyRead takes in what the object holds. A lease that names this process as holder
// is from its earlier life, or from a write whose answer was lost: nobody else can
// act under it, so it is taken again at once, under a higher number.
func (l *Lease) applyRead(o objectapi.Object) content {
	c := decodeContent(o.Value)
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Holder != l.cfg.Holder {
		// Another holds it now: its note is the one to follow.
		l.fence = 0
	}
	l.lastRead = c
	return c
}

// decodeContent reads an object's value. One that does not decode is from an older
// release; its holder counts as another.
func decodeContent(value []byte) content {
	var c content
	if err := json.Unmarshal(value, &c); err != nil {
		return content{Holder: string(value)}
	}
	return c
}

// hasExpired tells whether the object has stayed at a version for a whole term before
// this process's eyes. A lease that never existed has hasExpired.
func (l *Lease) hasExpired(version int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version == 0 {
		return true
	}
	if l.seenAt.IsZero() || version != l.seenVersion {
		l.seenVersion, l.seenAt = version, now
		return false
	}
	return now.Sub(l.seenAt) >= l.cfg.Term
}
