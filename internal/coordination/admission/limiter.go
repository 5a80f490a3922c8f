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

type limitState struct {
	limits      config.Limits
	rateLimiter *rate.Limiter
	inFlight    int
}

// Limiter hold the bounds of all customers and services; safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	states map[string]*limitState
}

// NewLimiter returns gates without history.
func NewLimiter() *Limiter { return &Limiter{states: map[string]*limitState{}} }

// concurrencyRetryAfter is the advice for a full concurrency bound: about one short answer.
const concurrencyRetryAfter = time.Second

// Acquire admits a request of a customer to a service. On success the caller
// calls leave at the request's end.
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

// state returns a bound's state, with new limits if the configuration changed.
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
