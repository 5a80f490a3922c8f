// Package rollout decides which engines to order to load the model and version that
// their intents name, and sends these orders while this process holds the lease.
//
// Decide keeps no state: which orders are in progress, done or failed is in the members'
// own rows, so a new lease holder continues where the last one stopped.
package rollout

import (
	"fmt"
	"sort"

	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
)

// Order asks for one engine to be ordered to load its intent's model and version.
type Order struct {
	Member   fleet.Member
	Intent   *config.Intent
	Revision uint64
}

// Blocked is the reason why an intent's rollout does not proceed.
type Blocked struct {
	Intent string `json:"intent"`
	Reason string `json:"reason"`
}

// Decide returns the orders to send now, and the rollouts that are blocked. A
// rollout stops at its first failure: an operator has to change the intent, which
// gives it a new revision. A rollback is a plan like any other.
func Decide(v *config.View, members []fleet.Member) (orders []Order, blocked []Blocked) {
	claimed := map[string]string{}
	for _, intent := range orderingIntents(v) {
		revision := v.Revisions[config.Ref{Kind: config.KindIntent, ID: intent.ID}]
		status := statusOf(intent, revision, members)
		if reason := status.claim(claimed); reason != "" {
			blocked = append(blocked, Blocked{intent.ID, reason})
			continue
		}
		if status.failure != "" {
			blocked = append(blocked, Blocked{intent.ID, status.failure})
			continue
		}
		selected, reason := status.nextMembers(intent)
		for _, m := range selected {
			orders = append(orders, Order{Member: m, Intent: intent, Revision: revision})
		}
		if reason != "" {
			blocked = append(blocked, Blocked{intent.ID, reason})
		}
	}
	return orders, blocked
}

// orderingIntents returns the intents that let the system order engines, sorted by id.
func orderingIntents(v *config.View) []*config.Intent {
	var out []*config.Intent
	for _, intents := range v.Intents {
		for _, i := range intents {
			if i.Orders {
				out = append(out, i)
			}
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// intentStatus is what the endpoints of one intent are doing.
type intentStatus struct {
	intent *config.Intent
	// endpoints are the alive engines that match the intent's labels. Of those that are
	// not loading, outdated ones do not serve what the intent names, and usable counts
	// those that serve it or a version accepted in the meantime.
	endpoints []fleet.Member
	outdated  []fleet.Member
	loading   int
	usable    int
	failure   string
}

func statusOf(intent *config.Intent, revision uint64, members []fleet.Member) intentStatus {
	s := intentStatus{intent: intent}
	for _, m := range members {
		if m.Endpoint.Kind != fleet.KindEngine || !plan.MatchesLabels(intent, m.Endpoint) || m.State != fleet.Alive {
			continue
		}
		s.endpoints = append(s.endpoints, m)
		if m.Endpoint.Loading {
			s.loading++
			continue
		}
		if m.Endpoint.OrderError != "" && m.Endpoint.OrderRevision == revision {
			s.failure = fmt.Sprintf("stopped: %s: %s", m.Endpoint.ID, m.Endpoint.OrderError)
		}
		if plan.IsUsable(intent, m) {
			s.usable++
		}
		if !servesIntent(intent, m.Endpoint) {
			s.outdated = append(s.outdated, m)
		}
	}
	return s
}

func servesIntent(i *config.Intent, e fleet.Endpoint) bool {
	return e.Model == i.Model && e.WeightVersion == i.WeightVersion && e.Adapter == i.Adapter && (i.Role == "" || e.Role == i.Role)
}

// claim records the intent's endpoints in claimed, or returns a reason if another intent
// has claimed one of them: two intents would order it to load in turns for ever.
func (s intentStatus) claim(claimed map[string]string) string {
	for _, m := range s.endpoints {
		if other, ok := claimed[m.ID]; ok {
			return fmt.Sprintf("endpoint %s is already ordered by intent %s", m.Endpoint.ID, other)
		}
	}
	for _, m := range s.endpoints {
		claimed[m.ID] = s.intent.ID
	}
	return ""
}

// nextMembers picks the endpoints to order now, and returns a reason if capacity that must
// stay usable holds back others. Endpoints that the intent can't use come first: loading
// them costs no capacity.
func (s intentStatus) nextMembers(intent *config.Intent) (selected []fleet.Member, reason string) {
	sort.SliceStable(s.outdated, func(a, b int) bool {
		return !plan.IsUsable(intent, s.outdated[a]) && plan.IsUsable(intent, s.outdated[b])
	})
	freeSlots := intent.Loading() - s.loading
	for _, m := range s.outdated {
		if len(selected) >= freeSlots {
			break
		}
		if plan.IsUsable(intent, m) {
			if s.usable-1 < max(1, intent.MinEndpoints) {
				return selected, fmt.Sprintf("waiting: %d usable endpoints, %d must stay", s.usable, max(1, intent.MinEndpoints))
			}
			s.usable--
		}
		selected = append(selected, m)
	}
	return selected, ""
}
