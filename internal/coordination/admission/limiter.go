// Package admission bounds what customers and services may have running on one
// entry: request rates, concurrency, and a fair queue in front of full
// endpoints. Everyone else's share is safe from one customer's burst.
package admission

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"limpetwall/internal/state/config"
)

// Refusal tells why a request was not admitted and when to come back.
type Refusal struct {
	// Scope is "customer" or "service".
	Scope string
	// RetryAfter is the time until the bound has room again.
	RetryAfter time.Duration
}

type gate struct {
	limits     config.Limits
	limiter    *rate.Limiter
	concurrent int
}

// Limiter hold the bounds of all customers and services; safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	gates map[string]*gate
}

// NewLimiter returns gates without history.
func NewLimiter() *Limiter { return &Limiter{gates: map[string]*gate{}} }

// busyRetry is the advice for a full concurrency bound: about one short answer.
const busyRetry = time.Second

// Acquire admits a request of a customer to a service. On success the caller
// calls leave at the request's end.
func (g *Limiter) Acquire(c *config.Customer, s *config.Service, now time.Time) (leave func(), refusal *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	customer := g.gate("customer/"+c.ID, c.Limits)
	service := g.gate("service/"+s.ID, s.Limits)
	if after, ok := customer.take(now); !ok {
		return nil, &Refusal{Scope: "customer", RetryAfter: after}
	}
	if after, ok := service.take(now); !ok {
		customer.concurrent--
		return nil, &Refusal{Scope: "service", RetryAfter: after}
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		customer.concurrent--
		service.concurrent--
	}, nil
}

// gate returns a bound's state, with new limits if the configuration changed.
func (g *Limiter) gate(name string, limits config.Limits) *gate {
	x, ok := g.gates[name]
	if !ok {
		x = &gate{}
		g.gates[name] = x
	}
	if !ok || x.limits != limits {
		x.limits = limits
		x.limiter = nil
		if limits.RequestsPerSecond > 0 {
			burst := max(limits.Burst, int(math.Ceil(limits.RequestsPerSecond)))
			x.limiter = rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), burst)
		}
	}
	return x
}

func (x *gate) take(now time.Time) (after time.Duration, ok bool) {
	if x.limits.Concurrent > 0 && x.concurrent >= x.limits.Concurrent {
		return busyRetry, false
	}
	if x.limiter != nil && !x.limiter.AllowN(now, 1) {
		missing := 1 - x.limiter.TokensAt(now)
		return time.Duration(missing / x.limits.RequestsPerSecond * float64(time.Second)), false
	}
	x.concurrent++
	return 0, true
}
