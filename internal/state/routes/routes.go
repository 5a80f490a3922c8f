// Package routes implements the routing table of one configuration: which service
// serves a request's host and path, with which limits, and which customer owns the
// request's key. A Table is immutable.
package routes

import (
	"net"
	"reflect"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route's requests; it decides what may be repeated.
type Kind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent
	// Streaming requests are answered by event streams.
	Streaming
)

// String returns the kind's name for logs and metrics.
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
	// Timeout is the longest time until an answer is complete, Objective the time
	// within which an answer (for a stream, its first event) is on time.
	Timeout, Objective time.Duration
	// MaxPause is the longest pause between the events of a stream that is on time, 0 for any.
	MaxPause time.Duration
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Priority 0 is the most urgent.
	Priority int
	// Public routes require no key.
	Public bool
	// Resumable streams may continue at another endpoint after their last event.
	Resumable bool
	// Regions are those whose endpoints may serve the route; empty allows all.
	Regions []string
	// Unreadable is set if the configuration's entry can't be read. Only Name, Host and Prefix count then: no service serves the
	// route, and no other route its requests.
	Unreadable bool
}

// IsRepeatable reports whether a request that may have run may be sent again from
// its beginning.
func (r *Route) IsRepeatable() bool { return r.Kind == Idempotent }

// Pick returns the service for a uniform random number, by the targets' weights, or the
// first target's service if no weight is positive.
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

// Store describes a context store.
type Store struct {
	Address            string
	Domain             string
	MemoryTokens       int
	LinkBytesPerSecond int64
	// TransferLatency is the fixed delay of each transfer.
	TransferLatency time.Duration
	// Managed stores evict nothing by themselves.
	Managed bool
}

// Service is a target of routes. At most one of Engine and Store may be set.
type Service struct {
	Name           string
	MaxConnections int
	// ColdStart is how long a server is cold after its start. ColdRate is the number of
	// requests per second that a cold server withstands, 0 if there is no limit.
	ColdStart time.Duration
	ColdRate  float64
	Engine    *Engine
	Store     *Store
	// Unreadable is set if the configuration's entry of that name can't be read. The table has no such service then.
	Unreadable bool
}

// Customer is the owner of keys.
type Customer struct {
	Name string
	Keys []string
	// Priority goes before the route's if HasPriority.
	Priority    int
	HasPriority bool
	// Isolated customers share no context with others; see Table.SharingGroup.
	Isolated bool
	// Regions are those whose endpoints may serve the customer; empty allows all.
	Regions []string
	// Unreadable is set if the configuration's entry of that name can't be read. No key is the customer's then.
	Unreadable bool
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Table is one configuration.
type Table struct {
	// Version is the operators' version number, Revision that of the record in the
	// platform's object API, which orders records across returns of the store, too.
	Version  uint64
	Revision uint64
	Services map[string]*Service
	Limits   Limits
	// KeysRequired is set if requests to routes that are not Public must carry a key.
	KeysRequired bool

	routesByHost   map[string][]*Route
	customersByKey map[string]*Customer
	// urgencyScales order the requests of each service.
	urgencyScales map[string]*urgencyScale
	sharing       sharing
	// streamTargets is the fingerprint of where resumable streams are led.
	streamTargets uint64
	// list, services and customers are the entries that the table was built from.
	list      []Route
	services  []Service
	customers []Customer
}

// New builds a table.
func New(version, revision uint64, list []Route, services []Service, customers []Customer, limits Limits) *Table {
	t := &Table{
		Version: version, Revision: revision, Limits: limits, KeysRequired: len(customers) > 0,
		Services: map[string]*Service{}, routesByHost: map[string][]*Route{}, customersByKey: map[string]*Customer{},
		list: list, services: services, customers: customers, sharing: newSharing(version, customers),
	}
	t.urgencyScales = newUrgencyScales(list, slices.DeleteFunc(slices.Clone(customers), func(c Customer) bool { return c.Unreadable }))
	for i := range list {
		r := &list[i]
		if r.Unreadable {
			r.Targets = []Target{{}}
		}
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	t.streamTargets = fingerprintOf(list)
	for _, byLength := range t.routesByHost {
		sort.SliceStable(byLength, func(a, b int) bool { return len(byLength[a].Prefix) > len(byLength[b].Prefix) })
	}
	for i := range services {
		if !services[i].Unreadable {
			t.Services[services[i].Name] = &services[i]
		}
	}
	for i := range customers {
		if customers[i].Unreadable {
			continue
		}
		for _, key := range customers[i].Keys {
			t.customersByKey[key] = &customers[i]
		}
	}
	return t
}

// Unreadable returns the names of the entries that can't be read, with what they are.
func (t *Table) Unreadable() (names []string) {
	for _, r := range t.list {
		if r.Unreadable {
			names = append(names, "route "+r.Name)
		}
	}
	for _, s := range t.services {
		if s.Unreadable {
			names = append(names, "service "+s.Name)
		}
	}
	for _, c := range t.customers {
		if c.Unreadable {
			names = append(names, "customer "+c.Name)
		}
	}
	return names
}

// Completed returns the table with an earlier one's entries in place of those of the same names that can't be read: one odd entry
// neither keeps the others of its configuration from being in force, nor ends what it stood for.
func (t *Table) Completed(earlier *Table) *Table {
	if earlier == nil || len(t.Unreadable()) == 0 {
		return t
	}
	list, services, customers := slices.Clone(t.list), slices.Clone(t.services), slices.Clone(t.customers)
	for i, r := range list {
		if before := slices.IndexFunc(earlier.list, func(e Route) bool { return e.Name == r.Name }); r.Unreadable && before >= 0 {
			list[i] = earlier.list[before]
		}
	}
	for i, s := range services {
		if before := slices.IndexFunc(earlier.services, func(e Service) bool { return e.Name == s.Name }); s.Unreadable && before >= 0 {
			services[i] = earlier.services[before]
		}
	}
	for i, c := range customers {
		if before := slices.IndexFunc(earlier.customers, func(e Customer) bool { return e.Name == c.Name }); c.Unreadable && before >= 0 {
			customers[i] = earlier.customers[before]
		}
	}
	return New(t.Version, t.Revision, list, services, customers, t.Limits)
}

// Match returns the route of a host with the longest prefix of the path.
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

// HasSameRoutes reports whether another table leads all requests to the same services.
func (t *Table) HasSameRoutes(other *Table) bool {
	return reflect.DeepEqual(t.routesByHost, other.routesByHost)
}

// CustomerOf returns the customer that owns a key.
func (t *Table) CustomerOf(key string) (*Customer, bool) {
	c, ok := t.customersByKey[key]
	return c, ok
}
