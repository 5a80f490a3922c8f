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
	// reserveShare of the places is kept from customers that have more than their
	// fair part, so that the others find one free when they come.
	reserveShare = 0.1
	// reserveFrom places there is a reserve; below, it would cost too much.
	reserveFrom = 4
	// reserveFor is how long the reserve is kept after a customer within its fair
	// part has come: without such customers it would only idle.
	reserveFor = 10 * time.Second
)

// waiter is one queued request.
type waiter struct {
	// start and finish are virtual times: the smaller finish goes first.
	start, finish float64
	// until is when it must be done.
	until time.Time
	// decided is closed when it may run or, with err set, will not.
	decided chan struct{}
	err     error
}

// line is what a queue knows of one customer with requests in it.
type line struct {
	share   float64
	running int
	// finish is the virtual finish time of its last request.
	finish  float64
	waiting []*waiter
}

// Queue lets a bounded number of a service's requests run and makes the rest
// wait in weighted fair order: each customer's requests get virtual finish
// times spaced by its share, so a burst queues behind itself.
type Queue struct {
	mu       sync.Mutex
	capacity func() int
	maxWait  int
	running  int
	waiting  int
	virtual  float64
	// quietAt is when a customer within its fair part last came.
	quietAt time.Time
	lines   map[string]*line
	// serviceTime is a moving average of how long a run holds its place.
	serviceTime time.Duration
}

// NewQueue returns a queue of at most maxWait waiting requests. capacity tells
// how many may run now (0: no bound).
func NewQueue(maxWait int, capacity func() int) *Queue {
	return &Queue{capacity: capacity, maxWait: maxWait, lines: map[string]*line{}}
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
	l := q.line(r)
	if l.running+len(l.waiting) < q.fairPart(l, q.capacity()) {
		q.quietAt = time.Now()
	}
	if len(l.waiting) == 0 && q.mayRun(l) {
		q.start(l)
		q.mu.Unlock()
		return q.releaser(r.Customer, l), nil
	}
	if err := q.refusal(l, r); err != nil {
		q.drop(r.Customer, l)
		q.mu.Unlock()
		return nil, err
	}
	w := q.enqueue(l, r)
	q.mu.Unlock()
	select {
	case <-w.decided:
		if w.err != nil {
			return nil, w.err
		}
		return q.releaser(r.Customer, l), nil
	case <-ctx.Done():
		q.leave(r.Customer, l, w)
		return nil, context.Cause(ctx)
	}
}

func (q *Queue) line(r Request) *line {
	l, ok := q.lines[r.Customer]
	if !ok {
		l = &line{}
		q.lines[r.Customer] = l
	}
	l.share = r.Share
	if l.share <= 0 {
		l.share = 1
	}
	return l
}

// drop forgets a customer with nothing in the queue. With its line goes its
// virtual finish time: nobody has a debt from the past.
func (q *Queue) drop(customer string, l *line) {
	if l.running == 0 && len(l.waiting) == 0 {
		delete(q.lines, customer)
	}
}

// mayRun tells whether a customer's next request may start. The last places are
// for customers within their fair part: one that floods the queue takes all
// others, but a quiet customer's request still finds a place at once, instead of
// waiting for a run of the flood to end.
func (q *Queue) mayRun(l *line) bool {
	limit := q.capacity()
	if limit == 0 {
		return true
	}
	if limit < reserveFrom || time.Since(q.quietAt) > reserveFor || !q.isHeavy(l, limit) {
		return q.running < limit
	}
	reserve := max(1, int(reserveShare*float64(limit)))
	return q.running < limit-reserve
}

// isHeavy tells whether a customer has more than its fair part and at least half
// of what the heaviest has, both by share. What the quiet leave free, a customer
// in between may use without being held for a flood.
func (q *Queue) isHeavy(l *line, limit int) bool {
	if l.running < q.fairPart(l, limit) {
		return false
	}
	most := 0.0
	for _, other := range q.lines {
		most = max(most, float64(other.running)/other.share)
	}
	return float64(l.running)/l.share >= most/2
}

// fairPart is a customer's part of the places among those present and one more
// that may come.
func (q *Queue) fairPart(l *line, limit int) int {
	total := 1.0
	for _, other := range q.lines {
		total += other.share
	}
	return max(1, int(float64(limit)*l.share/total))
}

// refusal turns away at once what would wait in vain: the caller can go
// elsewhere, and no capacity is spent on an answer that comes too late. A full
// queue turns away the newest of its longest line, not who has little in it.
func (q *Queue) refusal(l *line, r Request) error {
	if q.expectedWait(l)+q.serviceTime > r.TimeLeft {
		return ErrTooLate
	}
	if q.waiting < q.maxWait {
		return nil
	}
	longest := l
	for _, other := range q.lines {
		if len(other.waiting) > len(longest.waiting) {
			longest = other
		}
	}
	if longest == l {
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
func (q *Queue) expectedWait(l *line) time.Duration {
	part := q.fairPart(l, max(1, q.capacity()))
	return q.serviceTime * time.Duration(len(l.waiting)+1) / time.Duration(part)
}

// RetryAfter tells a customer when the queue will probably have room for it.
func (q *Queue) RetryAfter(customer string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.lines[customer]
	if !ok {
		l = &line{share: 1}
	}
	return max(100*time.Millisecond, q.expectedWait(l))
}

func (q *Queue) start(l *line) {
	q.running++
	l.running++
}

func (q *Queue) enqueue(l *line, r Request) *waiter {
	start := max(q.virtual, l.finish)
	w := &waiter{start: start, finish: start + max(1, r.Cost)/l.share, until: time.Now().Add(r.TimeLeft), decided: make(chan struct{})}
	l.finish = w.finish
	l.waiting = append(l.waiting, w)
	q.waiting++
	return w
}

// leave takes out a waiter whose caller is gone.
func (q *Queue) leave(customer string, l *line, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			q.waiting--
			q.drop(customer, l)
			return
		}
	}
	if w.err == nil {
		// Granted at the same moment: hand the place on.
		q.finish(customer, l)
	}
}

func (q *Queue) finish(customer string, l *line) {
	q.running--
	l.running--
	q.drop(customer, l)
	q.grant()
}

func (q *Queue) releaser(customer string, l *line) func() {
	started := time.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			const weight = 16
			q.serviceTime += (time.Since(started) - q.serviceTime) / weight
			q.finish(customer, l)
		})
	}
}

// grant lets waiting requests in while there is room.
func (q *Queue) grant() {
	for q.waiting > 0 {
		next := q.next()
		if next == nil {
			return
		}
		w := next.waiting[0]
		next.waiting = next.waiting[1:]
		if time.Until(w.until) < q.serviceTime {
			// It would be done too late. Running it would spend a place on nothing,
			// and under overload on nothing but such runs.
			q.refuse(w, ErrTooLate)
			continue
		}
		q.waiting--
		q.virtual = max(q.virtual, w.start)
		q.start(next)
		close(w.decided)
	}
}

// next is the line with the smallest virtual finish time that may run.
func (q *Queue) next() *line {
	var best *line
	for _, l := range q.lines {
		if len(l.waiting) == 0 || !q.mayRun(l) {
			continue
		}
		if best == nil || l.waiting[0].finish < best.waiting[0].finish {
			best = l
		}
	}
	return best
}

// Dispatch lets waiting requests in after the capacity has grown.
func (q *Queue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grant()
}

// Waiting is the number of requests in the queue.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}
