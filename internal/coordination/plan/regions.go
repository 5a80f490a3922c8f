package plan

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/finding"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/residency"
)

// CheckEndpoints adds a finding for each service and named customer that a request changes and that would be left
// without an endpoint in a region that both allow, although the service has endpoints.
func CheckEndpoints(v *config.View, r Request, members []fleet.Member, l *finding.List) {
	next := v.With(requestedChange(r))
	for _, p := range changedPairs(v, next, r) {
		if p.isNamed() && !p.hasEndpoint(next, members) {
			l.Add(p.place(), "no endpoint of service %q is in a region that it and customer %q allow", p.service.ID, p.customer.ID)
		}
	}
}

// checkRegions adds a finding for each service and named customer that a request changes and that have no allowed
// region in common.
func checkRegions(v *config.View, r Request, l *finding.List) {
	for _, p := range changedPairs(v, v.With(requestedChange(r)), r) {
		if p.isNamed() && p.rule().AllowsNone() {
			l.Add(p.place(), "service %q allows %q and customer %q allows %q, none of them in both", p.service.ID, p.service.Regions, p.customer.ID, p.customer.Regions)
		}
	}
}

// regionWarnings names the customers that a service for all customers can't serve, of the pairs that a request
// changes.
func regionWarnings(v, next *config.View, r Request, members []fleet.Member) []string {
	var out []string
	for _, p := range changedPairs(v, next, r) {
		if !p.isNamed() && !p.hasEndpoint(next, members) {
			out = append(out, fmt.Sprintf("service %s can't serve customer %s: no endpoint is in a region that both allow", p.service.ID, p.customer.ID))
		}
	}
	return out
}

// pair is a service and a customer that may call it.
type pair struct {
	service  *config.Service
	customer *config.Customer
	// isByCustomer is set if the request changes the customer and not the service.
	isByCustomer bool
}

// isNamed reports whether the service names the customer; otherwise it serves all customers.
func (p pair) isNamed() bool { return slices.Contains(p.service.Customers, p.customer.ID) }

// hasEndpoint reports whether an endpoint of the service is in an allowed region, or it has none at all.
func (p pair) hasEndpoint(v *config.View, members []fleet.Member) bool {
	rule, hasAny := p.rule(), false
	for _, m := range members {
		if !slices.ContainsFunc(v.Intents[p.service.ID], func(i *config.Intent) bool { return Matches(i, m.Endpoint) }) {
			continue
		}
		if hasAny = true; rule.Allows(m.Region) {
			return true
		}
	}
	return !hasAny
}

func (p pair) rule() residency.Rule {
	return residency.Intersect(p.service.Regions, p.customer.Regions)
}

// place returns where the request sets the regions.
func (p pair) place() string {
	ref := config.Ref{Kind: config.KindService, ID: p.service.ID}
	if p.isByCustomer {
		ref = config.Ref{Kind: config.KindCustomer, ID: p.customer.ID}
	}
	return "$." + ref.String() + ".allowed_regions"
}

// changedPairs lists the services with customers of which a request changes one, in order.
func changedPairs(v, next *config.View, r Request) []pair {
	services, customers := changedNames(v, r)
	var out []pair
	for _, id := range slices.Sorted(maps.Keys(next.Services)) {
		s := next.Services[id]
		for _, name := range slices.Sorted(maps.Keys(next.Customers)) {
			if c := next.Customers[name]; (services[id] || customers[name]) && s.Allows(name) {
				out = append(out, pair{s, c, !services[id]})
			}
		}
	}
	return out
}

// changedNames returns the services whose document or intents a request changes, and the customers.
func changedNames(v *config.View, r Request) (services, customers map[string]bool) {
	services, customers = map[string]bool{}, map[string]bool{}
	for _, d := range r.Put {
		switch d.Kind {
		case config.KindService:
			services[d.ID] = true
		case config.KindCustomer:
			customers[d.ID] = true
		case config.KindIntent:
			var i config.Intent
			if json.Unmarshal(d.Spec, &i) == nil {
				services[i.Service] = true
			}
		}
	}
	for service, intents := range v.Intents {
		for _, i := range intents {
			ref := config.Ref{Kind: config.KindIntent, ID: i.ID}
			isChanged := slices.Contains(r.Delete, ref) || slices.ContainsFunc(r.Put, func(d config.Document) bool { return d.Ref == ref })
			services[service] = services[service] || isChanged
		}
	}
	return services, customers
}
