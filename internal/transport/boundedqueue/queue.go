// Package boundedqueue provides a queue of limited size between goroutines. A
// full queue rejects items instead of growing, so that the producer learns that
// the consumer has fallen behind.
package boundedqueue

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded first-in first-out queue, safe for many producers and
// consumers. It is implemented by a buffered channel.
type Queue[T any] struct {
	items    chan T
	rejected atomic.Int64
}

// New returns a queue that holds up to size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// TryPush adds an item unless the queue is full, and reports whether it was added.
func (q *Queue[T]) TryPush(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.rejected.Add(1)
		return false
	}
}

// Push adds an item. While the queue is full it waits, until ctx ends.
func (q *Queue[T]) Push(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Pop removes and returns the oldest item. While the queue is empty it waits, until ctx ends.
func (q *Queue[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-q.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, context.Cause(ctx)
	}
}

// TryPop removes and returns the oldest item, if there is one.
func (q *Queue[T]) TryPop() (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Rejected returns the number of items that TryPush rejected because the queue was full.
func (q *Queue[T]) Rejected() int64 { return q.rejected.Load() }
