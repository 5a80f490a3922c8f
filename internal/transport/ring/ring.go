// Package ring joins two goroutines, each with its own duty, by a bounded
// queue. A full ring refuses instead of growing: the duty behind it has fallen
// behind, and the producer must know.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue, safe for many producers and
// consumers. A buffered channel carries it.
type Ring[T any] struct {
	items   chan T
	refused atomic.Int64
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// TryPush adds an item, or reports false when the ring is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Push adds an item, waiting for room until ctx ends.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Pop takes the oldest item, waiting for one until ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, context.Cause(ctx)
	}
}

// TryPop takes the oldest item if there is one.
func (r *Ring[T]) TryPop() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Refused counts the items that a full ring refused.
func (r *Ring[T]) Refused() int64 { return r.refused.Load() }
