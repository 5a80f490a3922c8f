package rollout_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"limpetwall/internal/coordination/rollout"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
)

// newView returns a configuration with the given intents at revision 5.
func newView(specs ...string) *config.View {
	c := config.Change{Revision: 5}
	for i, spec := range specs {
		c.Puts = append(c.Puts, config.Document{Ref: config.Ref{Kind: config.KindIntent, ID: fmt.Sprint("i", i)}, Spec: json.RawMessage(spec)})
	}
	return config.Empty().With(c)
}

// parseEngines returns members described as "version", "version+" (loading), "version!" (failed at
// revision 5), "version?" (failed earlier), "version-" (leaving).
func parseEngines(list string) []fleet.Member {
	var out []fleet.Member
	for i, word := range strings.Fields(list) {
		m := fleet.Member{
			ID: fmt.Sprint("e", i), Role: fleet.RoleAgent,
			Endpoint: fleet.Endpoint{
				ID: fmt.Sprint("e", i), Kind: fleet.KindEngine, Labels: map[string]string{"pool": "x"}, Model: "m",
				WeightVersion: strings.TrimRight(word, "+!?-"),
			},
		}
		switch word[len(word)-1] {
		case '+':
			m.Endpoint.Loading = true
		case '!':
			m.Endpoint.OrderError, m.Endpoint.OrderRevision = "no such weights", 5
		case '?':
			m.Endpoint.OrderError, m.Endpoint.OrderRevision = "no such weights", 4
		case '-':
			m.State = fleet.Leaving
		}
		out = append(out, m)
	}
	return out
}

func TestDecide(t *testing.T) {
	const rolling = `{"service":"s","labels":{"pool":"x"},"model":"m","weight_version":"v2","also_versions":["v1"],"orders":true,"min_endpoints":%d}`
	rows := []struct {
		name    string
		spec    string
		engines string
		orders  string
		blocked string
	}{
		{"two at once, no more", fmt.Sprintf(rolling, 1), "v1 v1 v1 v1", "e0 e1", ""},
		{"one is loading already", fmt.Sprintf(rolling, 1), "v1+ v1 v1 v1", "e1", ""},
		{"two are loading already", fmt.Sprintf(rolling, 1), "v1+ v1+ v1 v1", "", ""},
		{"min_endpoints must stay usable", fmt.Sprintf(rolling, 3), "v1 v1 v1 v1", "e0", "waiting: 3 usable"},
		{"none can be spared", fmt.Sprintf(rolling, 4), "v1 v1 v1 v1", "", "waiting: 4 usable"},
		{"the last one is never ordered", fmt.Sprintf(rolling, 0), "v1", "", "waiting: 1 usable"},
		{"what serves neither version goes first", fmt.Sprintf(rolling, 4), "v1 v1 v1 v1 v0", "e4", "waiting: 4 usable"},
		{"all done", fmt.Sprintf(rolling, 1), "v2 v2", "", ""},
		{"a failure stops it", fmt.Sprintf(rolling, 1), "v1! v1 v1 v1", "", "stopped: e0: no such weights"},
		{"an earlier intent's failure does not", fmt.Sprintf(rolling, 1), "v1? v1 v1 v1", "e0 e1", ""},
		{"a leaving endpoint is not ordered", fmt.Sprintf(rolling, 1), "v1- v1 v1", "e1", "waiting: 1 usable"},
		{"without orders set nothing is ordered", `{"service":"s","labels":{"pool":"x"},"model":"m","weight_version":"v2"}`, "v1 v1", "", ""},
		{"three at once where the intent says so", `{"service":"s","labels":{"pool":"x"},"model":"m","weight_version":"v2","also_versions":["v1"],"orders":true,"max_loading":3}`, "v1 v1 v1 v1 v1", "e0 e1 e2", ""},
	}
	for _, row := range rows {
		orders, blocked := rollout.Decide(newView(row.spec), parseEngines(row.engines))
		var got []string
		for _, o := range orders {
			got = append(got, o.Member.ID)
		}
		reasons := fmt.Sprint(blocked)
		if strings.Join(got, " ") != row.orders || (row.blocked == "") != (len(blocked) == 0) || !strings.Contains(reasons, row.blocked) {
			t.Errorf("%s: got orders %v, blocked %v, want %q and %q", row.name, got, blocked, row.orders, row.blocked)
		}
	}
}

// TestConflictingIntents gives two intents the same endpoints.
//
// The second must be blocked with a reason: otherwise the two would load the engines in
// turns for ever.
func TestConflictingIntents(t *testing.T) {
	spec := `{"service":"s%d","labels":{"pool":"x"},"model":"m","weight_version":"v%d","also_versions":["v1"],"orders":true}`
	orders, blocked := rollout.Decide(newView(fmt.Sprintf(spec, 1, 2), fmt.Sprintf(spec, 2, 3)), parseEngines("v1 v1 v1"))
	for _, o := range orders {
		if o.Intent.ID != "i0" {
			t.Errorf("got an order of intent %s for %s, want orders of i0 only", o.Intent.ID, o.Member.ID)
		}
	}
	if len(blocked) != 1 || blocked[0].Intent != "i1" || !strings.Contains(blocked[0].Reason, "already ordered by intent i0") {
		t.Errorf("%+v", blocked)
	}
}
