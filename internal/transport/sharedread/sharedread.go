package sharedread

import (
	"context"
	"sync"
	"time"
)

// Reader shares reads. Set its exported fields before use. It is safe for concurrent use.
type Reader[T any] struct {
	// Read reads the value.
	Read func(ctx context.Context) (T, error)
	// Timeout bounds one read.
	Timeout time.Duration
	// Interval returns the least time between the begins of two reads.
	Interval func() time.Duration

	mu sync.Mutex
	// next is the read that has not begun, nil if nobody waits for one.
	next *pendingRead[T]
	// isRunning is set while a goroutine reads for those who wait.
	isRunning bool
	begunAt   time.Time
}

type pendingRead[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// Get returns what a read returns that begins after the call. It fails with the error of that read or of ctx.
func (r *Reader[T]) Get(ctx context.Context) (T, error) {
	read := r.join()
	select {
	case <-read.done:
		return read.value, read.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

func (r *Reader[T]) join() *pendingRead[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &pendingRead[T]{done: make(chan struct{})}
	}
	if !r.isRunning {
		r.isRunning = true
		go r.run()
	}
	return r.next
}

// run reads until nobody waits.
func (r *Reader[T]) run() {
	for {
		time.Sleep(time.Until(r.begunAt.Add(r.Interval())))
		r.mu.Lock()
		read := r.next
		r.next, r.begunAt = nil, time.Now()
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
		read.value, read.err = r.Read(ctx)
		cancel()
		close(read.done)
		if r.stop() {
			return
		}
	}
}

// stop ends run if nobody waits, and reports whether it has.
func (r *Reader[T]) stop() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isRunning = r.next != nil
	return !r.isRunning
}
