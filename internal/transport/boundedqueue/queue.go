// Package ring joins two goroutines, each with its own duty, by a bounded
// queue. A full ring refuses instead of growing: the duty behind it has fallen
// behind, and the producer must know.
package boundedqueue

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded first-in first-out queue, safe for many producers and
// consumers. A buffered channel carries it.
type Queue[T any] struct {
	items    chan T
	rejected atomic.Int64
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// TryPush adds an item, or reports false when the ring is full.
func (q *Queue[T]) TryPush(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.rejected.Add(1)
		return false
	}
}

// Push adds an item, waiting for room until ctx ends.
func (q *Queue[T]) Push(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Pop takes the oldest item, waiting for one until ctx ends.
func (q *Queue[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-q.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, context.Cause(ctx)
	}
}

// TryPop takes the oldest item if there is one.
func (q *Queue[T]) TryPop() (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Rejected counts the items that a full ring refused.
func (q *Queue[T]) Rejected() int64 { return q.rejected.Load() }
