package admission

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Errors of Queue.Acquire; the request did not run in either case.
const (
	ErrQueueFull = errors.ConstError("queue is full")
	// ErrTooLate is returned when the request could not be done within its time left.
	ErrTooLate = errors.ConstError("would wait too long")
)

const (
	// reserveFraction is the fraction of the slots that customers beyond their fair
	// share cannot use, so that the others find one free when their requests arrive.
	reserveFraction = 0.1
	// minCapacityForReserve is the number of slots from which there is a reserve;
	// below, it would cost too much.
	minCapacityForReserve = 4
	// reserveDuration is how long the reserve is kept after the last request of a
	// customer within its fair share arrived: without such customers it would only idle.
	reserveDuration = 10 * time.Second
)

// waiter is one queued request.
type waiter struct {
	// virtualStart and virtualFinish are in virtual time; the request with the smallest
	// virtualFinish starts first.
	virtualStart, virtualFinish float64
	// deadline is when the request must be done.
	deadline time.Time
	// decided is closed when the request may run or, if err is set, is refused.
	decided chan struct{}
	err     error
}

// customerQueue holds the state of one customer with requests running or waiting.
type customerQueue struct {
	share   float64
	running int
	// lastFinish is the virtual finish time of the last request that was queued.
	lastFinish float64
	waiting    []*waiter
}

// Queue lets a bounded number of a service's requests run and makes the rest
// wait in weighted fair order: each customer's requests get virtual finish
// times spaced by its share, so a burst of one customer waits behind its own
// requests rather than ahead of others'.
type Queue struct {
	mu          sync.Mutex
	capacity    func() int
	maxWaiting  int
	running     int
	waiting     int
	virtualTime float64
	// lastFairArrival is when a request of a customer within its fair share last arrived.
	lastFairArrival time.Time
	customers       map[string]*customerQueue
	// serviceTime is a moving average of how long a request holds its slot.
	serviceTime time.Duration
}

// NewQueue returns a queue of at most maxWaiting waiting requests. capacity returns
// how many may run now (0: no limit).
func NewQueue(maxWaiting int, capacity func() int) *Queue {
	return &Queue{capacity: capacity, maxWaiting: maxWaiting, customers: map[string]*customerQueue{}}
}

// Request describes a request that needs a slot.
type Request struct {
	Customer string
	Share    float64
	// Cost is in units of work, such as prompt tokens; less than 1 counts as 1.
	Cost float64
	// TimeLeft is the time until the request must be done.
	TimeLeft time.Duration
}

// Acquire waits for a slot. On success the caller must call release at the request's
// end.
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

// removeIfIdle removes a customer with nothing running or waiting. Its virtual finish
// time goes too, so that past use does not delay its next requests.
func (q *Queue) removeIfIdle(customer string, c *customerQueue) {
	if c.running == 0 && len(c.waiting) == 0 {
		delete(q.customers, customer)
	}
}

// canRun reports whether a customer's next request may start. The last slots are
// reserved for customers within their fair share: a customer that floods the queue
// takes all others, but another customer's request still finds a free slot at once,
// instead of waiting until a request of the flood ends.
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

// isHeavy reports whether a customer has used up its fair share and has at least half
// as many requests running as the heaviest customer, relative to their shares. A
// customer below that may use what others leave free without being treated as a flood.
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

// fairSlots returns a customer's fair share of the slots, among the customers present
// and one more that may arrive.
func (q *Queue) fairSlots(c *customerQueue, limit int) int {
	total := 1.0
	for _, other := range q.customers {
		total += other.share
	}
	return max(1, int(float64(limit)*c.share/total))
}

// admitToWait refuses at once a request that would wait in vain: the caller can go
// elsewhere, and no capacity is spent on an answer that comes too late. A full queue
// refuses the newest request of the customer with the most waiting, not one of a
// customer with few.
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

// expectedWait estimates how long a customer's next request would wait, from what the
// customer has waiting and its fair share of the slots: the waiting requests of other
// customers are not ahead of it.
func (q *Queue) expectedWait(c *customerQueue) time.Duration {
	slots := q.fairSlots(c, max(1, q.capacity()))
	return q.serviceTime * time.Duration(len(c.waiting)+1) / time.Duration(slots)
}

// RetryAfter estimates the time until the queue has capacity for a customer.
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

// abandon removes a waiter whose caller is gone.
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
		// The request got its slot at the same moment: pass it on.
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

// startWaiting starts waiting requests while there is free capacity.
func (q *Queue) startWaiting() {
	for q.waiting > 0 {
		c := q.nextToStart()
		if c == nil {
			return
		}
		w := c.waiting[0]
		c.waiting = c.waiting[1:]
		if time.Until(w.deadline) < q.serviceTime {
			// It would be done too late. Running it would waste a slot, and under
			// overload the slots would go to nothing but such requests.
			q.refuse(w, ErrTooLate)
			continue
		}
		q.waiting--
		q.virtualTime = max(q.virtualTime, w.virtualStart)
		q.start(c)
		close(w.decided)
	}
}

// nextToStart returns the customer whose next request has the smallest virtual finish
// time of those that may start, or nil if none may.
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

// Dispatch starts waiting requests after the capacity has grown.
func (q *Queue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startWaiting()
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}
