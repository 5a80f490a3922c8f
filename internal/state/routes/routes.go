// Package routes holds the routing table of one configuration: which service a
// request's host and path lead to, on what terms, and whose key it carries. A
// Table is immutable.
package routes

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent
	// Streaming answers are event streams.
	Streaming
)

// String gives the kind's name for logs and metrics.
func (k Kind) String() string {
	return [...]string{"idempotent", "non_idempotent", "streaming"}[k]
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route is one entry of the table.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest time to an answer's end, Objective the time within
	// which an answer (a stream's first event) is on time.
	Timeout, Objective time.Duration
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Priority 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint after the last event.
	Resumable bool
}

// IsRepeatable tells whether a request that may have run may be sent again from
// its beginning.
func (r *Route) IsRepeatable() bool { return r.Kind == Idempotent }

// Pick chooses the target for a uniform number.
func (r *Route) Pick(random uint64) string {
	total := uint64(0)
	for _, t := range r.Targets {
		total += uint64(max(0, t.Weight))
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	random %= total
	for _, t := range r.Targets {
		weight := uint64(max(0, t.Weight))
		if random < weight {
			return t.Service
		}
		random -= weight
	}
	return r.Targets[0].Service
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots        int
	MemoryTokens int
	TokenBytes   int
	// LinkBytesPerSecond is the rate at which one server imports or exports context.
	LinkBytesPerSecond int64
	Models             []string
}

// Store describes a store of kept context.
type Store struct {
	Address            string
	Domain             string
	MemoryTokens       int
	LinkBytesPerSecond int64
	// TransferLatency is the fixed wait of each transfer.
	TransferLatency time.Duration
	// Managed stores drop nothing by themselves.
	Managed bool
}

// Service is what routes lead to. Exactly one of Engine and Store may be set.
type Service struct {
	Name           string
	MaxConnections int
	Engine         *Engine
	Store          *Store
}

// Customer owns keys.
type Customer struct {
	Name string
	Keys []string
	// Priority, if HasPriority, goes before the route's.
	Priority    int
	HasPriority bool
	// Isolated customers share no context with others.
	Isolated bool
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Table is one configuration.
type Table struct {
	// Version is the operators' number, Revision the store's.
	Version  uint64
	Revision uint64
	Services map[string]*Service
	Limits   Limits
	// KeysRequired tells that requests carry keys.
	KeysRequired bool

	routesByHost   map[string][]*Route
	customersByKey map[string]*Customer
	// priorityRanges are the least and the greatest of each service's routes.
	priorityRanges map[string][2]int
}

// New builds a table.
func New(version, revision uint64, list []Route, services []Service, customers []Customer, limits Limits) *Table {
	t := &Table{
		Version: version, Revision: revision, Limits: limits, KeysRequired: len(customers) > 0,
		Services: map[string]*Service{}, routesByHost: map[string][]*Route{}, customersByKey: map[string]*Customer{}, priorityRanges: map[string][2]int{},
	}
	for i := range list {
		r := &list[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
		t.recordPriority(r)
	}
	for _, byLength := range t.routesByHost {
		sort.SliceStable(byLength, func(a, b int) bool { return len(byLength[a].Prefix) > len(byLength[b].Prefix) })
	}
	for i := range services {
		t.Services[services[i].Name] = &services[i]
	}
	for i := range customers {
		for _, key := range customers[i].Keys {
			t.customersByKey[key] = &customers[i]
		}
	}
	return t
}

func (t *Table) recordPriority(r *Route) {
	for _, target := range r.Targets {
		known, ok := t.priorityRanges[target.Service]
		if !ok {
			known = [2]int{r.Priority, r.Priority}
		}
		t.priorityRanges[target.Service] = [2]int{min(known[0], r.Priority), max(known[1], r.Priority)}
	}
}

// PriorityRank is a priority's place among those of a service's routes: 0 for the most urgent and
// all beyond, 1 for the least and all beyond. A customer's own priority may lie outside.
func (t *Table) PriorityRank(priority int, service string) float64 {
	known := t.priorityRanges[service]
	switch {
	case priority <= known[0]:
		return 0
	case priority >= known[1]:
		return 1
	}
	return float64(priority-known[0]) / float64(known[1]-known[0])
}

// Match finds the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// CustomerOf finds the customer that holds a key.
func (t *Table) CustomerOf(key string) (*Customer, bool) {
	c, ok := t.customersByKey[key]
	return c, ok
}
