package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// shareWindow is the time over which shares are measured: longer than a burst of a few requests, shorter than most overloads.
	shareWindow = 10 * time.Second
	// maxShareCustomers bounds the customers counted in a window; requests of further ones count as those of others.
	maxShareCustomers = 256
	// ListedCustomerShares is the number of customers, those with most answers, that metrics and the log show.
	ListedCustomerShares = 5
)

// customerCount counts the requests of one customer in a window.
type customerCount struct {
	Customer   string `json:"customer"`
	Answered   int    `json:"answered"`
	Overloaded int    `json:"refused_for_load"`
}

// customerShares measures which part of the answers each customer gets, in windows of shareWindow. It is safe for concurrent
// use, and its zero value is ready for use.
type customerShares struct {
	mu      sync.Mutex
	started time.Time
	counts  map[string]*customerCount
	// answered and overloaded count the requests of all customers.
	answered, overloaded int
	// last is the window before the present one.
	last shareWindowResult
}

// shareWindowResult is what one window showed.
type shareWindowResult struct {
	// largest are the customers with most answers, the first ListedCustomerShares of them.
	largest              []customerCount
	answered, overloaded int
}

// observe counts a request that was answered, or else refused for load. It returns the last window if the request began a new one.
func (s *customerShares) observe(customer string, isAnswered bool, now time.Time) (ended shareWindowResult, hasEnded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hasEnded = s.advance(now)
	c := s.counts[customer]
	if c == nil && len(s.counts) < maxShareCustomers {
		c = &customerCount{Customer: customer}
		s.counts[customer] = c
	}
	if c == nil {
		c = &customerCount{}
	}
	if isAnswered {
		c.Answered++
		s.answered++
	} else {
		c.Overloaded++
		s.overloaded++
	}
	return s.last, hasEnded
}

// advance begins a new window if the present one is over. The caller must hold s.mu.
func (s *customerShares) advance(now time.Time) bool {
	age := now.Sub(s.started)
	if s.counts != nil && age >= 0 && age < shareWindow {
		return false
	}
	hasEnded := s.counts != nil
	largest := slices.SortedFunc(maps.Values(s.counts), func(a, b *customerCount) int {
		return cmp.Or(cmp.Compare(b.Answered, a.Answered), cmp.Compare(b.Overloaded, a.Overloaded), cmp.Compare(a.Customer, b.Customer))
	})
	s.last = shareWindowResult{answered: s.answered, overloaded: s.overloaded}
	for _, c := range largest[:min(len(largest), ListedCustomerShares)] {
		s.last.largest = append(s.last.largest, *c)
	}
	if age >= 2*shareWindow {
		// Nobody asked for anything in the window before this one.
		s.last = shareWindowResult{}
	}
	s.started, s.counts, s.answered, s.overloaded = now, map[string]*customerCount{}, 0, 0
	return hasEnded
}

// percent returns the share of all answers that the customer with the rank-th most answers, from 0, got in the last window.
func (s *customerShares) percent(rank int, now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.started) >= shareWindow {
		s.advance(now)
	}
	if rank >= len(s.last.largest) || s.last.answered == 0 {
		return 0
	}
	return int64(100 * s.last.largest[rank].Answered / s.last.answered)
}

// CustomerSharePercent returns the share of the answers that the customer with the rank-th most of them, from 0, got in the last
// full window, in percent.
func (g *Gateway) CustomerSharePercent(rank int) int64 {
	return g.customerShares.percent(rank, time.Now())
}

// observeShare counts a customer's request. After a window in which requests were refused for load, a log line names the
// customers that got most.
func (g *Gateway) observeShare(customer string, isAnswered bool) {
	ended, hasEnded := g.customerShares.observe(customer, isAnswered, time.Now())
	if hasEnded && ended.overloaded > 0 {
		g.Log.Info("shares of customers under overload", zap.Int("answered", ended.answered), zap.Int("refused_for_load", ended.overloaded), zap.Any("largest", ended.largest))
	}
}
