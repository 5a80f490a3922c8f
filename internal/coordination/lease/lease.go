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
	// CallTimeout bounds one platform call.
	CallTimeout time.Duration
}

// margin is how much earlier than the others' a holder's own term ends: a call
// that is on its way when it ends has landed or failed by then.
const margin = 4

// Lease is one process's view of a lease.
type Lease struct {
	cfg Config
	api objectapi.API

	mu sync.Mutex
	// fence is the number this process holds the lease under, 0 if it does not;
	// version is the object's, which renewals raise.
	fence   uint64
	version int64
	renewed time.Time
	// seen is the version last seen and since when.
	seen   int64
	seenAt time.Time
}

// New returns a lease that is not held.
func New(cfg Config, api objectapi.API) *Lease {
	return &Lease{cfg: cfg, api: api}
}

// Fence returns the fencing number while the lease is surely held, or ErrNotHeld.
func (l *Lease) Fence(now time.Time) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == 0 || now.Sub(l.renewed) >= l.cfg.Term-l.cfg.Term/margin {
		return 0, ErrNotHeld
	}
	return l.fence, nil
}

// Step looks at the lease once: it renews it if held, and takes it if it has
// lapsed. Call it a few times a term.
func (l *Lease) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	began := time.Now()
	if _, err := l.Fence(began); err == nil {
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
	o, err := l.api.Put(ctx, l.cfg.Key, []byte(l.cfg.Holder), version)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrOutcomeUnknown) {
			l.fence = 0
		}
		return err
	}
	l.version, l.renewed = o.Version, began
	return nil
}

func (l *Lease) tryAcquire(ctx context.Context, began time.Time) error {
	o, err := l.api.Get(ctx, l.cfg.Key)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return err
	}
	if !l.lapsed(o.Version, began) {
		return ErrNotHeld
	}
	o, err = l.api.Put(ctx, l.cfg.Key, []byte(l.cfg.Holder), o.Version)
	if err != nil {
		// Lost or refused: whoever holds it now, the object has changed or will
		// have, and the wait begins anew.
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.version, l.renewed = uint64(o.Version), o.Version, began
	l.seen, l.seenAt = o.Version, began
	return nil
}

// lapsed tells whether the object has stayed at a version for a whole term before
// this process's eyes. A lease that never existed has lapsed.
func (l *Lease) lapsed(version int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version == 0 {
		return true
	}
	if l.seenAt.IsZero() || version != l.seen {
		l.seen, l.seenAt = version, now
		return false
	}
	return now.Sub(l.seenAt) >= l.cfg.Term
}
