package routes

import (
	"slices"
	"time"
)

// MaxUrgencyLevel is the least urgent level of requests on the endpoints' scale.
const MaxUrgencyLevel = 9

// Urgency is a request's place among those for the same service.
type Urgency struct {
	// Level is 0 for the most urgent requests and at most MaxUrgencyLevel.
	Level int
	// Rank is Level as a fraction: 0 for the most urgent requests of the service, 1 for the least.
	Rank float64
	// StrictestObjective is the shortest objective of the service's requests that are as urgent or
	// more, 0 if none of them has one.
	StrictestObjective time.Duration
}

// urgencyScale orders the requests of one service.
type urgencyScale struct {
	// customers holds the priorities of customers, routes those of the service's routes, both sorted
	// and without duplicates.
	customers, routes []int
	// objectives holds the shortest objective of the routes with each priority in routes.
	objectives []time.Duration
}

// newUrgencyScales returns the scale of each service.
func newUrgencyScales(list []Route, customers []Customer) map[string]*urgencyScale {
	var customerPriorities []int
	for _, c := range customers {
		if c.HasPriority {
			customerPriorities = append(customerPriorities, c.Priority)
		}
	}
	allHavePriority := len(customers) > 0 && len(customerPriorities) == len(customers)
	scales := map[string]*urgencyScale{}
	for _, r := range list {
		for _, target := range r.Targets {
			s := scales[target.Service]
			if s == nil {
				s = &urgencyScale{}
				scales[target.Service] = s
			}
			s.routes = append(s.routes, r.Priority)
			if !allHavePriority || r.Public {
				// Requests without a customer's priority rank among customers by the route's.
				s.customers = append(s.customers, r.Priority)
			}
		}
	}
	for _, s := range scales {
		s.customers = sortedSet(append(s.customers, customerPriorities...))
		s.routes = sortedSet(s.routes)
		s.objectives = make([]time.Duration, len(s.routes))
	}
	for _, r := range list {
		for _, target := range r.Targets {
			s := scales[target.Service]
			i := position(s.routes, r.Priority)
			s.objectives[i] = shorterObjective(s.objectives[i], r.Objective)
		}
	}
	return scales
}

// sortedSet sorts a list and removes its duplicates.
func sortedSet(list []int) []int {
	slices.Sort(list)
	return slices.Compact(list)
}

// shorterObjective returns the shorter of two objectives; 0 means none.
func shorterObjective(a, b time.Duration) time.Duration {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// Urgency returns the urgency of a customer's request on a route to a service. A customer's
// priority comes first, and the route's orders the requests of customers with the same priority:
// where all customers have one, requests would otherwise be served in the order in which they
// arrive, however urgent their routes are. customer is nil on public routes.
func (t *Table) Urgency(customer *Customer, r *Route, service string) Urgency {
	s := t.urgencyScales[service]
	if s == nil {
		return Urgency{StrictestObjective: r.Objective}
	}
	first := r.Priority
	if customer != nil && customer.HasPriority {
		first = customer.Priority
	}
	routePlace := position(s.routes, r.Priority)
	place, places := position(s.customers, first)*len(s.routes)+routePlace, len(s.customers)*len(s.routes)
	u := Urgency{Level: place, StrictestObjective: r.Objective}
	if places > 1 {
		u.Rank = float64(place) / float64(places-1)
	}
	if places > MaxUrgencyLevel+1 {
		u.Level = place * (MaxUrgencyLevel + 1) / places
	}
	for _, objective := range s.objectives[:routePlace+1] {
		u.StrictestObjective = shorterObjective(u.StrictestObjective, objective)
	}
	return u
}

// position returns the index of a priority in a sorted list, that of the nearest if it is beyond
// the list's ends.
func position(sorted []int, priority int) int {
	i, _ := slices.BinarySearch(sorted, priority)
	return min(i, max(0, len(sorted)-1))
}
