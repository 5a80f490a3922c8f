package objectapi

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Eras tracks the era of a store: a number that rises each time the store comes back from an
// older copy of itself. What was written after the copy was made is lost then, and the store's
// numbers are given out again. The zero value is ready for use; a store that never names an era is
// in era 0 from the beginning.
type Eras struct {
	mu      sync.Mutex
	seen    bool
	current uint64
	// since is when the current era was first observed, returned when one was that followed another.
	since, returned time.Time
	changed         chan struct{}
}

// Observe records the era in an answer of the store. It returns the era known before, and
// whether the answer shows that the store has come back since.
func (e *Eras) Observe(era uint64) (before uint64, advanced bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, advanced = e.current, e.seen && era > e.current
	if !e.seen || era > e.current {
		e.seen, e.current, e.since = true, era, time.Now()
	}
	if advanced {
		e.returned = e.since
		if e.changed != nil {
			close(e.changed)
			e.changed = nil
		}
	}
	return before, advanced
}

// ObserveHeader records the era in the header of an answer, as Observe does. It returns the era of
// the answer, which is the current one if it names none, and fails if the answer is late: of an
// earlier era than one already known.
func (e *Eras) ObserveHeader(text string) (era, before uint64, advanced bool, err error) {
	current := e.Current()
	if text == "" {
		e.Observe(current)
		return current, current, false, nil
	}
	if era, err = strconv.ParseUint(text, 10, 64); err != nil {
		return 0, current, false, errors.Annotate(err, "era of the store")
	}
	if era < current {
		return 0, current, false, errors.Errorf("answer is of era %d of the store, which is in era %d", era, current)
	}
	before, advanced = e.Observe(era)
	return era, before, advanced, nil
}

// CheckCondition returns ErrConflict if a write is conditional on a version of an earlier era. The
// store compares the number only, which may be another change's by now.
func (e *Eras) CheckCondition(version int64) error {
	if version != 0 && Revision(version).Era() < e.Current() {
		return ErrConflict
	}
	return nil
}

// CheckWritten returns ErrOutcomeUnknown if a conditional write succeeded in another era than that of
// its version: such a success is no proof that nobody else wrote.
func CheckWritten(version int64, era uint64) error {
	if version != 0 && Revision(version).Era() != era {
		return errors.Annotatef(ErrOutcomeUnknown, "store is in era %d, not %d", era, Revision(version).Era())
	}
	return nil
}

// Current returns the highest era observed, 0 if none was.
func (e *Eras) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Age returns for how long this process has known the current era. A store in era 0 has never come
// back.
func (e *Eras) Age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == 0 {
		return math.MaxInt64
	}
	return time.Since(e.since)
}

// HasReturnedWithin reports whether this process has learned within d that the store came back
// from an older copy. What others write again may still be missing then.
func (e *Eras) HasReturnedWithin(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.returned.IsZero() && time.Since(e.returned) < d
}

// Changed returns a channel that is closed when a higher era is observed.
func (e *Eras) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}
