// Package admission limits what customers and services may have in flight at one
// entry: request rates, concurrency, and a fair queue in front of endpoints at
// capacity. One customer's burst does not take from the shares of the others.
package admission

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"limpetwall/internal/state/config"
)

// Refusal describes why a request was not admitted and when to retry.
type Refusal struct {
	// Scope is whose limit was reached: "customer" or "service".
	Scope string
	// RetryAfter is the time until the limit admits another request; for a
	// concurrency limit, an estimate.
	RetryAfter time.Duration
}

// limitState is what one customer or service uses of its limits.
type limitState struct {
	limits      config.Limits
	rateLimiter *rate.Limiter
	inFlight    int
}

// Limiter enforces the limits of all customers and services; safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	states map[string]*limitState
}

// NewLimiter returns a limiter without history.
func NewLimiter() *Limiter { return &Limiter{states: map[string]*limitState{}} }

// concurrencyRetryAfter is the retry delay advised when a concurrency limit is reached:
// about the time of one short answer.
const concurrencyRetryAfter = time.Second

// Acquire admits a request of a customer to a service. On success the caller
// must call release at the request's end.
func (l *Limiter) Acquire(c *config.Customer, s *config.Service, now time.Time) (release func(), refusal *Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	customer := l.state("customer/"+c.ID, c.Limits)
	service := l.state("service/"+s.ID, s.Limits)
	if retryAfter, ok := customer.acquire(now); !ok {
		return nil, &Refusal{Scope: "customer", RetryAfter: retryAfter}
	}
	if retryAfter, ok := service.acquire(now); !ok {
		customer.inFlight--
		return nil, &Refusal{Scope: "service", RetryAfter: retryAfter}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		customer.inFlight--
		service.inFlight--
	}, nil
}

// state returns the state of a customer's or service's limits. Limits that have changed in
// the configuration take effect at once, with a new rate limiter.
func (l *Limiter) state(name string, limits config.Limits) *limitState {
	s, ok := l.states[name]
	if !ok {
		s = &limitState{}
		l.states[name] = s
	}
	if !ok || s.limits != limits {
		s.limits = limits
		s.rateLimiter = nil
		if limits.RequestsPerSecond > 0 {
			burst := max(limits.Burst, int(math.Ceil(limits.RequestsPerSecond)))
			s.rateLimiter = rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), burst)
		}
	}
	return s
}

func (s *limitState) acquire(now time.Time) (retryAfter time.Duration, ok bool) {
	if s.limits.Concurrent > 0 && s.inFlight >= s.limits.Concurrent {
		return concurrencyRetryAfter, false
	}
	if s.rateLimiter != nil && !s.rateLimiter.AllowN(now, 1) {
		missingTokens := 1 - s.rateLimiter.TokensAt(now)
		return time.Duration(missingTokens / s.limits.RequestsPerSecond * float64(time.Second)), false
	}
	s.inFlight++
	return 0, true
}
