package contexttransfer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/kvstore"
)

func isMissing(err error) bool { return errors.Is(err, kvstore.ErrNotFound) }
func isFull(err error) bool    { return errors.Is(err, kvstore.ErrFull) }

// FollowEvents polls the engine's cache events until ctx ends.
func (m *Mover) FollowEvents(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	after := uint64(0)
	for {
		events, err := m.engine.Events(ctx, after)
		if err == nil {
			for _, e := range events {
				m.markResident(e.Block, e.Stored)
				after = max(after, e.Sequence)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Mover) markResident(key contextkey.Key, stored bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stored {
		m.residency.MarkStored(key, time.Now())
		return
	}
	m.residency.MarkEvicted(key)
}

func (m *Mover) markUsed(keys ...contextkey.Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range keys {
		m.residency.MarkUsed(key, time.Now())
	}
}

// ClearResidency is called when the engine has swapped its weights: the chunks that were resident
// can't be used any more.
func (m *Mover) ClearResidency() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.residency.Clear()
}

func (m *Mover) residentChunks(keys []contextkey.Key) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.residency.ResidentPrefix(keys)
}

// returnTracker estimates how often contexts are used again. It keeps two generations of
// contexts, which bounds its memory.
type returnTracker struct {
	mu                sync.Mutex
	size              int
	current, previous map[contextkey.Key]struct{}
	share             float64
}

func newReturnTracker(size int) *returnTracker {
	return &returnTracker{size: size, current: map[contextkey.Key]struct{}{}, share: 0.5}
}

func (r *returnTracker) observe(root contextkey.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, now := r.current[root]
	_, before := r.previous[root]
	const weight = 0.02
	if now || before {
		r.share += weight * (1 - r.share)
	} else {
		r.share -= weight * r.share
	}
	r.current[root] = struct{}{}
	if len(r.current) >= r.size {
		r.previous, r.current = r.current, map[contextkey.Key]struct{}{}
	}
}

func (r *returnTracker) rate() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.share
}
