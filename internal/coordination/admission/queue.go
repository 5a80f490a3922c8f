package admission

import (
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

const (
	// reserveFraction of the places is kept from customers that have more than their
	// fair part, so that the others find one free when they come.
	reserveFraction = 0.1
	// minCapacityForReserve places there is a reserve; below, it would cost too much.
	minCapacityForReserve = 4
	// reserveDuration is how long the reserve is kept after a customer within its fair
	// part has come: without such customers it would only idle.
	reserveDuration = 10 * time.Second
)

// waiter is one queued request.
type waiter struct {
	// virtualStart and virtualFinish are virtual times: the smaller virtualFinish goes first.
	virtualStart, virtualFinish float64
	// deadline is when it must be done.
	deadline time.Time
	// decided is closed when it may run or, with err set, will not.
	decided chan struct{}
	err     error
}

// customerQueue is what a queue knows of one customer with requests in it.
type customerQueue struct {
	share   float64
	running int
	// lastFinish is the virtual lastFinish time of its last request.
	lastFinish float64
	waiting    []*waiter
}

// Queue lets a bounded number of a service's requests run and makes the rest
// wait in weighted fair order: each customer's requests get virtual finish
// times spaced by its share, so a burst queues behind itself.
type Queue struct {
	mu          sync.Mutex
	capacity    func() int
	maxWaiting  int
	running     int
	waiting     int
	virtualTime float64
	// lastFairArrival is when a customer within its fair part last came.
	lastFairArrival time.Time
	customers       map[string]*customerQueue
	// serviceTime is a moving average of how long a run holds its place.
	serviceTime time.Duration
}

// NewQueue returns a queue of at most maxWait waiting requests. capacity tells
// how many may run now (0: no bound).
func NewQueue(maxWaiting int, capacity func() int) *Queue {
	return &Queue{capacity: capacity, maxWaiting: maxWaiting, customers: map[string]*customerQueue{}}
}

// Request describes one entrant.
type Request struct {
	Customer string
	Share    float64
	// Cost in units of work, such as prompt tokens; at least 1.
	Cost float64
	// TimeLeft left until the request must be done.
	TimeLeft time.Duration
}

// Acquire waits for a place. On success the caller calls release at the end.
func (q *Queue) Acquire(ctx context.Context, r Request) (release func(), err error) {
	q.mu.Lock()
	c := q.queueOf(r)
	if c.running+len(c.waiting) < q.fairSlots(c, q.capacity()) {
		q.lastFairArrival = time.Now()
	}
	if len(c.waiting) == 0 && q.canRun(c) {
		q.start(c)
		q.mu.Unlock()
		return q.releaseFunc(r.Customer, c), nil
	}
	if err := q.admitToWait(c, r); err != nil {
		q.removeIfIdle(r.Customer, c)
		q.mu.Unlock()
		return nil, err
	}
	w := q.enqueue(c, r)
	q.mu.Unlock()
	select {
	case <-w.decided:
		if w.err != nil {
			return nil, w.err
		}
		return q.releaseFunc(r.Customer, c), nil
	case <-ctx.Done():
		q.abandon(r.Customer, c, w)
		return nil, context.Cause(ctx)
	}
}

func (q *Queue) queueOf(r Request) *customerQueue {
	c, ok := q.customers[r.Customer]
	if !ok {
		c = &customerQueue{}
		q.customers[r.Customer] = c
	}
	c.share = r.Share
	if c.share <= 0 {
		c.share = 1
	}
	return c
}

// removeIfIdle forgets a customer with nothing in the queue. With its line goes its
// virtual finish time: nobody has a debt from the past.
func (q *Queue) removeIfIdle(customer string, c *customerQueue) {
	if c.running == 0 && len(c.waiting) == 0 {
		delete(q.customers, customer)
	}
}

// canRun tells whether a customer's next request may start. The last places are
// for customers within their fair part: one that floods the queue takes all
// others, but a quiet customer's request still finds a place at once, instead of
// waiting for a run of the flood to end.
func (q *Queue) canRun(c *customerQueue) bool {
	limit := q.capacity()
	if limit == 0 {
		return true
	}
	if limit < minCapacityForReserve || time.Since(q.lastFairArrival) > reserveDuration || !q.isHeavy(c, limit) {
		return q.running < limit
	}
	reserve := max(1, int(reserveFraction*float64(limit)))
	return q.running < limit-reserve
}

// isHeavy tells whether a customer has more than its fair part and at least half
// of what the heaviest has, both by share. What the quiet leave free, a customer
// in between may use without being held for a flood.
func (q *Queue) isHeavy(c *customerQueue, limit int) bool {
	if c.running < q.fairSlots(c, limit) {
		return false
	}
	maxLoad := 0.0
	for _, other := range q.customers {
		maxLoad = max(maxLoad, float64(other.running)/other.share)
	}
	return float64(c.running)/c.share >= maxLoad/2
}

// fairSlots is a customer's part of the places among those present and one more
// that may come.
func (q *Queue) fairSlots(c *customerQueue, limit int) int {
	total := 1.0
	for _, other := range q.customers {
		total += other.share
	}
	return max(1, int(float64(limit)*c.share/total))
}

// admitToWait turns away at once what would wait in vain: the caller can go
// elsewhere, and no capacity is spent on an answer that comes too late. A full
// queue turns away the newest of its longest line, not who has little in it.
func (q *Queue) admitToWait(c *customerQueue, r Request) error {
	if q.expectedWait(c)+q.serviceTime > r.TimeLeft {
		return ErrTooLate
	}
	if q.waiting < q.maxWaiting {
		return nil
	}
	longest := c
	for _, other := range q.customers {
		if len(other.waiting) > len(longest.waiting) {
			longest = other
		}
	}
	if longest == c {
		return ErrQueueFull
	}
	last := len(longest.waiting) - 1
	q.refuse(longest.waiting[last], ErrQueueFull)
	longest.waiting = longest.waiting[:last]
	return nil
}

func (q *Queue) refuse(w *waiter, err error) {
	w.err = err
	q.waiting--
	close(w.decided)
}

// expectedWait of a customer's next request is by what it has waiting itself and
// its part of the places: others' lines do not stand before it.
func (q *Queue) expectedWait(c *customerQueue) time.Duration {
	slots := q.fairSlots(c, max(1, q.capacity()))
	return q.serviceTime * time.Duration(len(c.waiting)+1) / time.Duration(slots)
}

// RetryAfter tells a customer when the queue will probably have room for it.
func (q *Queue) RetryAfter(customer string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	c, ok := q.customers[customer]
	if !ok {
		c = &customerQueue{share: 1}
	}
	return max(100*time.Millisecond, q.expectedWait(c))
}

func (q *Queue) start(c *customerQueue) {
	q.running++
	c.running++
}

func (q *Queue) enqueue(c *customerQueue, r Request) *waiter {
	virtualStart := max(q.virtualTime, c.lastFinish)
	w := &waiter{virtualStart: virtualStart, virtualFinish: virtualStart + max(1, r.Cost)/c.share, deadline: time.Now().Add(r.TimeLeft), decided: make(chan struct{})}
	c.lastFinish = w.virtualFinish
	c.waiting = append(c.waiting, w)
	q.waiting++
	return w
}

// abandon takes out a waiter whose caller is gone.
func (q *Queue) abandon(customer string, c *customerQueue, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range c.waiting {
		if other == w {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			q.waiting--
			q.removeIfIdle(customer, c)
			return
		}
	}
	if w.err == nil {
		// Granted at the same moment: hand the place on.
		q.releaseSlot(customer, c)
	}
}

func (q *Queue) releaseSlot(customer string, c *customerQueue) {
	q.running--
	c.running--
	q.removeIfIdle(customer, c)
	q.startWaiting()
}

func (q *Queue) releaseFunc(customer string, c *customerQueue) func() {
	started := time.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			const weight = 16
			q.serviceTime += (time.Since(started) - q.serviceTime) / weight
			q.releaseSlot(customer, c)
		})
	}
}

// startWaiting lets waiting requests in while there is room.
func (q *Queue) startWaiting() {
	for q.waiting > 0 {
		c := q.nextToStart()
		if c == nil {
			return
		}
		w := c.waiting[0]
		c.waiting = c.waiting[1:]
		if time.Until(w.deadline) < q.serviceTime {
			// It would be done too late. Running it would spend a place on nothing,
			// and under overload on nothing but such runs.
			q.refuse(w, ErrTooLate)
			continue
		}
		q.waiting--
		q.virtualTime = max(q.virtualTime, w.virtualStart)
		q.start(c)
		close(w.decided)
	}
}

// nextToStart is the line with the smallest virtual finish time that may run.
func (q *Queue) nextToStart() *customerQueue {
	var best *customerQueue
	for _, c := range q.customers {
		if len(c.waiting) == 0 || !q.canRun(c) {
			continue
		}
		if best == nil || c.waiting[0].virtualFinish < best.waiting[0].virtualFinish {
			best = c
		}
	}
	return best
}

// Dispatch lets waiting requests in after the capacity has grown.
func (q *Queue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startWaiting()
}

// Waiting is the number of requests in the queue.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}
