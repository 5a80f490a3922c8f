package admission

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Errors of the queue; the request did not run in either case.
const (
	ErrQueueFull = errors.ConstError("queue is full")
	// ErrTooLate: the wait would outlast the request's time.
	ErrTooLate = errors.ConstError("would wait too long")
)

// waiter is one queued request.
type waiter struct {
	priority int
	// finish is the virtual finish time: smaller goes first.
	finish   float64
	order    uint64
	customer string
	granted  chan struct{}
	index    int
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	if w[i].finish != w[j].finish {
		return w[i].finish < w[j].finish
	}
	return w[i].order < w[j].order
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}
func (w *waiters) Push(x any) {
	e := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}
func (w *waiters) Pop() any {
	old := *w
	e := old[len(old)-1]
	*w = old[:len(old)-1]
	e.index = -1
	return e
}

// Queue lets a bounded number of a service's requests run and makes the rest
// wait in weighted fair order: each customer's requests get virtual finish
// times spaced by its share, so a burst queues behind itself.
type Queue struct {
	mu       sync.Mutex
	capacity func() int
	maxWait  int
	running  int
	waiting  waiters
	virtual  float64
	finishes map[string]float64
	order    uint64
	// serviceTime is a moving average of how long a run holds its place.
	serviceTime time.Duration
}

// NewQueue returns a queue of at most maxWait waiting requests. capacity tells
// how many may run now (0: no bound).
func NewQueue(maxWait int, capacity func() int) *Queue {
	return &Queue{capacity: capacity, maxWait: maxWait, finishes: map[string]float64{}}
}

// Request describes one entrant.
type Request struct {
	Customer string
	Share    float64
	Priority int
	// Cost in units of work, such as prompt tokens; at least 1.
	Cost float64
	// Time left until the request must have its first token.
	Time time.Duration
}

// Enter waits for a place. On success the caller calls release at the end.
func (q *Queue) Enter(ctx context.Context, r Request) (release func(), err error) {
	q.mu.Lock()
	limit := q.capacity()
	if limit == 0 || (q.running < limit && len(q.waiting) == 0) {
		q.running++
		q.mu.Unlock()
		return q.releaser(), nil
	}
	if len(q.waiting) >= q.maxWait {
		q.mu.Unlock()
		return nil, ErrQueueFull
	}
	if q.expectedWait(limit) > r.Time {
		// Refusing now is kinder than after the wait: the caller can go
		// elsewhere, and no capacity is spent on an answer that comes too late.
		q.mu.Unlock()
		return nil, ErrTooLate
	}
	w := q.enqueue(r)
	q.mu.Unlock()
	select {
	case <-w.granted:
		return q.releaser(), nil
	case <-ctx.Done():
		q.mu.Lock()
		defer q.mu.Unlock()
		if w.index < 0 {
			// Granted at the same moment: hand the place on.
			q.running--
			q.grant()
		} else {
			heap.Remove(&q.waiting, w.index)
		}
		return nil, context.Cause(ctx)
	}
}

// expectedWait is by how many runs precede a new entrant and how long each takes.
func (q *Queue) expectedWait(limit int) time.Duration {
	return q.serviceTime * time.Duration(len(q.waiting)+1) / time.Duration(max(1, limit))
}

// RetryAfter tells when the queue will probably have room.
func (q *Queue) RetryAfter() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(100*time.Millisecond, q.expectedWait(q.capacity()))
}

func (q *Queue) enqueue(r Request) *waiter {
	share := r.Share
	if share <= 0 {
		share = 1
	}
	start := max(q.virtual, q.finishes[r.Customer])
	w := &waiter{
		priority: r.Priority, finish: start + max(1, r.Cost)/share, order: q.order,
		customer: r.Customer, granted: make(chan struct{}),
	}
	q.finishes[r.Customer] = w.finish
	q.order++
	heap.Push(&q.waiting, w)
	return w
}

func (q *Queue) releaser() func() {
	started := time.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.running--
			const weight = 16
			q.serviceTime += (time.Since(started) - q.serviceTime) / weight
			q.grant()
		})
	}
}

// grant lets waiting requests in while there is room.
func (q *Queue) grant() {
	limit := q.capacity()
	for len(q.waiting) > 0 && (limit == 0 || q.running < limit) {
		w := heap.Pop(&q.waiting).(*waiter)
		q.virtual = max(q.virtual, w.finish)
		q.running++
		close(w.granted)
	}
	if len(q.waiting) == 0 {
		// With nobody waiting no customer has a claim from the past.
		clear(q.finishes)
	}
}

// Kick lets waiting requests in after the capacity has grown.
func (q *Queue) Kick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grant()
}

// Waiting is the number of requests in the queue.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}
