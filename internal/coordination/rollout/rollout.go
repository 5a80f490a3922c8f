// Package rollout decides which engines to order to load what their intents name.
// It keeps no state: what is underway, done or failed stands in the members' own
// rows, so a new lease holder goes on where the last one stopped.
package rollout

import (
	"fmt"
	"sort"

	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
)

// Order is one engine to be given its intent's model and version.
type Order struct {
	Member   fleet.Member
	Intent   *config.Intent
	Revision uint64
}

// Blocked tells why an intent's rollout does not go on.
type Blocked struct {
	Intent string `json:"intent"`
	Reason string `json:"reason"`
}

// Decide returns the orders to give now, and which rollouts are blocked. A
// rollout stops at its first failure: an operator has to change the intent, which
// gives it a new revision, and rolling back is a plan like any other.
func Decide(v *config.View, members []fleet.Member) (orders []Order, blocked []Blocked) {
	taken := map[string]string{}
	for _, intent := range ordering(v) {
		revision := v.Revisions[config.Ref{Kind: config.KindIntent, ID: intent.ID}]
		state := survey(intent, revision, members)
		if reason := state.conflict(taken); reason != "" {
			blocked = append(blocked, Blocked{intent.ID, reason})
			continue
		}
		if state.failure != "" {
			blocked = append(blocked, Blocked{intent.ID, state.failure})
			continue
		}
		given, reason := state.next(intent)
		for _, m := range given {
			orders = append(orders, Order{Member: m, Intent: intent, Revision: revision})
		}
		if reason != "" {
			blocked = append(blocked, Blocked{intent.ID, reason})
		}
	}
	return orders, blocked
}

// ordering lists the intents that let the system order engines, by id.
func ordering(v *config.View) []*config.Intent {
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

// survey is what one intent's endpoints are doing.
type state struct {
	intent *config.Intent
	// all matching endpoints that take orders; wrong ones do not serve what the
	// intent names, and usable ones serve it or a version accepted meanwhile.
	all     []fleet.Member
	wrong   []fleet.Member
	loading int
	usable  int
	failure string
}

func survey(intent *config.Intent, revision uint64, members []fleet.Member) state {
	s := state{intent: intent}
	for _, m := range members {
		if m.Endpoint.Kind != fleet.KindEngine || !plan.MatchesLabels(intent, m.Endpoint) || m.State != fleet.Alive {
			continue
		}
		s.all = append(s.all, m)
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
		if !serves(intent, m.Endpoint) {
			s.wrong = append(s.wrong, m)
		}
	}
	return s
}

func serves(i *config.Intent, e fleet.Endpoint) bool {
	return e.Model == i.Model && e.WeightVersion == i.WeightVersion && e.Adapter == i.Adapter && (i.Role == "" || e.Role == i.Role)
}

// conflict finds an endpoint that two intents order to different things: they
// would take turns loading it for ever.
func (s state) conflict(taken map[string]string) string {
	for _, m := range s.all {
		if other, ok := taken[m.ID]; ok {
			return fmt.Sprintf("endpoint %s is already ordered by intent %s", m.Endpoint.ID, other)
		}
	}
	for _, m := range s.all {
		taken[m.ID] = s.intent.ID
	}
	return ""
}

// next picks the endpoints to order now. One that is of no use to the intent
// goes first: loading it costs no capacity.
func (s state) next(intent *config.Intent) (given []fleet.Member, reason string) {
	sort.SliceStable(s.wrong, func(a, b int) bool {
		return !plan.IsUsable(intent, s.wrong[a]) && plan.IsUsable(intent, s.wrong[b])
	})
	room := intent.Loading() - s.loading
	for _, m := range s.wrong {
		if len(given) >= room {
			break
		}
		if plan.IsUsable(intent, m) {
			if s.usable-1 < max(1, intent.MinEndpoints) {
				return given, fmt.Sprintf("waiting: %d usable endpoints, %d must stay", s.usable, max(1, intent.MinEndpoints))
			}
			s.usable--
		}
		given = append(given, m)
	}
	return given, ""
}
