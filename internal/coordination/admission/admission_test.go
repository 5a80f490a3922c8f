package admission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"limpetwall/internal/coordination/admission"
	"limpetwall/internal/state/config"
)

func TestLimiter(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limiter := admission.NewLimiter()
	slow := &config.Customer{ID: "slow", Limits: config.Limits{RequestsPerSecond: 1, Burst: 2}}
	narrow := &config.Customer{ID: "narrow", Limits: config.Limits{Concurrent: 1}}
	free := &config.Customer{ID: "free"}
	s := &config.Service{ID: "s"}
	for range 2 {
		if _, refusal := limiter.Acquire(slow, s, now); refusal != nil {
			t.Fatalf("within the burst: got refusal %+v", refusal)
		}
	}
	_, refusal := limiter.Acquire(slow, s, now)
	if refusal == nil || refusal.Scope != "customer" || refusal.RetryAfter < 900*time.Millisecond || refusal.RetryAfter > time.Second {
		t.Errorf("beyond the rate: got %+v, want a refusal for the customer with RetryAfter of 0.9s to 1s", refusal)
	}
	if _, refusal := limiter.Acquire(slow, s, now.Add(refusal.RetryAfter+time.Millisecond)); refusal != nil {
		t.Errorf("after RetryAfter: got refusal %+v", refusal)
	}
	release, _ := limiter.Acquire(narrow, s, now)
	if _, refusal := limiter.Acquire(narrow, s, now); refusal == nil {
		t.Error("beyond the concurrency limit: got no refusal")
	}
	release()
	if _, refusal := limiter.Acquire(narrow, s, now); refusal != nil {
		t.Errorf("after release: got refusal %+v", refusal)
	}
	bounded := &config.Service{ID: "bounded", Limits: config.Limits{Concurrent: 1}}
	limiter.Acquire(free, bounded, now)
	if _, refusal := limiter.Acquire(free, bounded, now); refusal == nil || refusal.Scope != "service" {
		t.Errorf("beyond the service's concurrency limit: got %+v, want a refusal for the service", refusal)
	}
}

// meanWaits runs requests of some customers through a queue and returns the mean
// wait of each customer's.
func meanWaits(t *testing.T, loads map[string]int, shares map[string]float64) map[string]time.Duration {
	waits := map[string]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		q := admission.NewQueue(100_000, func() int { return 4 })
		var mu sync.Mutex
		var wg sync.WaitGroup
		for customer, requests := range loads {
			for range requests {
				wg.Go(func() {
					started := time.Now()
					release, err := q.Acquire(context.Background(), admission.Request{Customer: customer, Share: shares[customer], Cost: 1, TimeLeft: time.Hour})
					if err != nil {
						t.Error(err)
						return
					}
					mu.Lock()
					waits[customer] += time.Since(started)
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
					release()
				})
			}
		}
		wg.Wait()
	})
	for customer := range waits {
		waits[customer] /= time.Duration(loads[customer])
	}
	return waits
}

// TestBurstDoesNotDelayOtherCustomers lets one customer send twenty times as much as
// another at the same moment.
//
// The small customer's requests take turns with the burst: its mean wait must stay a
// small multiple of what it is alone, not become that of the burst.
func TestBurstDoesNotDelayOtherCustomers(t *testing.T) {
	alone := meanWaits(t, map[string]int{"small": 20}, nil)["small"]
	together := meanWaits(t, map[string]int{"small": 20, "large": 400}, nil)
	t.Logf("alone %s, beside a burst %s (the burst itself %s)", alone, together["small"], together["large"])
	if together["small"] > 3*alone+200*time.Millisecond || together["large"] < 4*together["small"] {
		t.Errorf("mean wait alone %s, beside a burst %s: too long, or not far below that of the burst", alone, together["small"])
	}
	weighted := meanWaits(t, map[string]int{"a": 100, "b": 100}, map[string]float64{"a": 3, "b": 1})
	if weighted["a"] >= weighted["b"] {
		t.Errorf("mean wait %s with share 3, %s with share 1; want it shorter with share 3", weighted["a"], weighted["b"])
	}
}

// outcomes are the latencies of one customer's served requests, and the number of those
// that were refused or too late.
type outcomes struct {
	mu        sync.Mutex
	latencies []time.Duration
	refused   int
}

func (o *outcomes) p95() time.Duration {
	sort.Slice(o.latencies, func(i, j int) bool { return o.latencies[i] < o.latencies[j] })
	return o.latencies[len(o.latencies)*95/100]
}

// generateLoad sends requests at a mean rate of perSecond during length. Each holds its
// slot for hold, or for a time that varies around it, and is given up on after deadline.
func generateLoad(q *admission.Queue, wg *sync.WaitGroup, customer string, perSecond float64, length, hold, deadline time.Duration, varyHold bool) *outcomes {
	out := &outcomes{}
	wg.Go(func() {
		random := rand.New(rand.NewPCG(1, xxhash.Sum64String(customer)))
		for end := time.Now().Add(length); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			hold := hold
			if varyHold {
				hold = time.Duration(float64(hold) * (0.25 + 1.5*random.Float64()))
			}
			wg.Go(func() {
				started := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), deadline)
				defer cancel()
				release, err := q.Acquire(ctx, admission.Request{Customer: customer, Cost: 1, TimeLeft: deadline})
				if err == nil {
					time.Sleep(hold)
					release()
				}
				out.mu.Lock()
				defer out.mu.Unlock()
				if err != nil || time.Since(started) > deadline {
					out.refused++
					return
				}
				out.latencies = append(out.latencies, time.Since(started))
			})
		}
	})
	return out
}

// TestFloodDoesNotDelayOtherCustomers lets one customer send twenty times its share.
//
// Ten customers share forty slots; nine use half of theirs, the tenth floods the queue.
// The p95 of the nine must stay within 10% of that without the flood.
func TestFloodDoesNotDelayOtherCustomers(t *testing.T) {
	const slots, customers = 40, 10
	const hold = 100 * time.Millisecond
	fairRate := slots / hold.Seconds() / customers
	p95 := func(flood float64) (worst time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			q := admission.NewQueue(1000, func() int { return slots })
			var wg sync.WaitGroup
			var quiet []*outcomes
			for i := range customers - 1 {
				quiet = append(quiet, generateLoad(q, &wg, fmt.Sprint("quiet", i), fairRate/2, time.Minute, hold, 5*time.Second, false))
			}
			if flood > 0 {
				generateLoad(q, &wg, "flood", fairRate*flood, time.Minute, hold, 5*time.Second, false)
			}
			wg.Wait()
			for _, s := range quiet {
				if s.refused > 0 {
					t.Errorf("%d requests of a customer within its share were refused, want 0", s.refused)
				}
				worst = max(worst, s.p95())
			}
		})
		return worst
	}
	alone, flooded := p95(0), p95(20)
	t.Logf("p95 of the others: %s alone, %s beside the flood", alone, flooded)
	if flooded > alone*110/100 {
		t.Errorf("p95 of the others: %s alone, %s beside the flood, want at most a tenth more", alone, flooded)
	}
}

// TestGoodputUnderOverload sends twice as many requests as can be served, then half as
// many.
//
// The requests served within their time must stay at 95% or more of the capacity; the
// rest is refused. After the overload, no backlog may be left: the next requests are
// served at once.
func TestGoodputUnderOverload(t *testing.T) {
	const slots = 20
	const hold, deadline, length = 100 * time.Millisecond, time.Second, time.Minute
	capacity := slots / hold.Seconds()
	synctest.Test(t, func(t *testing.T) {
		q := admission.NewQueue(1000, func() int { return slots })
		var wg sync.WaitGroup
		a := generateLoad(q, &wg, "a", capacity, length, hold, deadline, true)
		b := generateLoad(q, &wg, "bb", capacity, length, hold, deadline, true)
		wg.Wait()
		goodput := float64(len(a.latencies)+len(b.latencies)) / length.Seconds() / capacity
		t.Logf("goodput %.3f of capacity at twice the capacity, %d refused", goodput, a.refused+b.refused)
		if goodput < 0.95 {
			t.Errorf("goodput %.3f of the capacity, want at least 0.95", goodput)
		}
		after := generateLoad(q, &wg, "ccc", capacity/2, 10*time.Second, hold, deadline, false)
		wg.Wait()
		if after.refused > 0 || after.p95() > hold*110/100 {
			t.Errorf("after the overload: %d refused, p95 %s; want none refused and p95 at most a tenth above the service time", after.refused, after.p95())
		}
	})
}

// TestQueuedRequestIsRefusedWhenTooLateToStart lets a request run for longer than the
// queue's mean service time.
//
// A second request waits behind it; when it arrived, it had enough time left. When the
// slot is free, its time left is less than the mean service time: it must be refused at
// once, and the slot must stay free for others.
func TestQueuedRequestIsRefusedWhenTooLateToStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := admission.NewQueue(10, func() int { return 1 })
		acquire := func(timeLeft time.Duration) (func(), error) {
			return q.Acquire(t.Context(), admission.Request{Customer: "c", TimeLeft: timeLeft})
		}
		release, _ := acquire(time.Hour)
		time.Sleep(9600 * time.Millisecond) // the mean service time becomes 600 ms
		release()
		release, _ = acquire(time.Hour)
		result := make(chan error)
		go func() {
			_, err := acquire(2 * time.Second)
			result <- err
		}()
		time.Sleep(1500 * time.Millisecond)
		release()
		if err := <-result; !errors.Is(err, admission.ErrTooLate) {
			t.Errorf("%v", err)
		}
		if _, err := acquire(time.Hour); err != nil {
			t.Errorf("the slot is not free: %v", err)
		}
	})
}

func TestQueueRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := admission.NewQueue(1, func() int { return 1 })
		release, err := q.Acquire(t.Context(), admission.Request{TimeLeft: time.Hour})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		waited := make(chan error)
		go func() {
			_, err := q.Acquire(ctx, admission.Request{TimeLeft: time.Hour})
			waited <- err
		}()
		synctest.Wait()
		if _, err := q.Acquire(t.Context(), admission.Request{TimeLeft: time.Hour}); !errors.Is(err, admission.ErrQueueFull) {
			t.Errorf("full queue: got error %v, want ErrQueueFull", err)
		}
		cancel()
		if err := <-waited; !errors.Is(err, context.Canceled) || q.Waiting() != 0 {
			t.Errorf("caller gone: got error %v and %d waiting, want context.Canceled and 0", err, q.Waiting())
		}
		time.Sleep(time.Minute)
		release()
		release() // a second release changes nothing
		releaseNext, err := q.Acquire(t.Context(), admission.Request{TimeLeft: time.Hour})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := q.Acquire(t.Context(), admission.Request{TimeLeft: time.Millisecond}); !errors.Is(err, admission.ErrTooLate) {
			t.Errorf("time left below the service time: got error %v, want ErrTooLate", err)
		}
		releaseNext()
	})
}
