package plan_test

import (
	"encoding/json"
	"strings"
	"testing"

	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
)

// TestPlanRefusesRegionsWithoutEndpoint guards against a configuration that leaves a customer without any endpoint
// that it may use, unseen until its requests are refused.
func TestPlanRefusesRegionsWithoutEndpoint(t *testing.T) {
	members := []fleet.Member{
		{ID: "a", Region: "east", Endpoint: fleet.Endpoint{ID: "a", Labels: map[string]string{"pool": "x"}}},
		{ID: "b", Region: "west", Endpoint: fleet.Endpoint{ID: "b", Labels: map[string]string{"pool": "y"}}},
	}
	document := func(kind config.Kind, id, spec string) config.Document {
		return config.Document{Ref: config.Ref{Kind: kind, ID: id}, Spec: json.RawMessage(spec)}
	}
	hashes := `"key_hashes":["` + strings.Repeat("0", 64) + `"]`
	service := func(customers, regions string) config.Document {
		return document(config.KindService, "s", `{"kind":"plain","customers":[`+customers+`],"allowed_regions":[`+regions+`]}`)
	}
	customer := func(regions string) config.Document {
		return document(config.KindCustomer, "c", `{`+hashes+`,"allowed_regions":[`+regions+`]}`)
	}
	intent := func(pool string) config.Document {
		return document(config.KindIntent, "i", `{"service":"s","labels":{"pool":"`+pool+`"}}`)
	}
	base := config.Empty().With(config.Change{Revision: 1, Puts: []config.Document{service(`"c"`, ``), customer(`"east"`), intent("x")}})
	rows := []struct {
		name     string
		put      []config.Document
		place    string
		warnings int
	}{
		{"the customer's region has an endpoint", []config.Document{customer(`"east"`)}, "", 0},
		{"the customer's has none", []config.Document{customer(`"west"`)}, "$.customer/c.allowed_regions", 0},
		{"the service's has none", []config.Document{service(`"c"`, `"west","east"`), intent("y")}, "$.service/s.allowed_regions", 0},
		{"nothing in common", []config.Document{service(`"c"`, `"west"`)}, "$.service/s.allowed_regions", 0},
		{"an intent takes the only one away", []config.Document{intent("y")}, "$.service/s.allowed_regions", 0},
		{"the service has no endpoints", []config.Document{intent("z")}, "", 1},
		{"a service for all", []config.Document{service(`"*"`, `"west"`), intent("y")}, "", 1},
		{"another document", []config.Document{document(config.KindService, "other", `{"kind":"plain","customers":["*"]}`)}, "", 1},
	}
	for _, row := range rows {
		request := plan.Request{Put: row.put}
		l := plan.Check(base, request)
		if l.Err() == nil {
			plan.CheckEndpoints(base, request, members, l)
		}
		var got string
		for _, f := range l.Items() {
			got = f.Place
		}
		if got != row.place || len(l.Items()) > 1 {
			t.Errorf("%s: got findings %v, want one at %q", row.name, l.Items(), row.place)
		}
		if l.Err() != nil {
			continue
		}
		if p := plan.New(base, request, members, "op", "n", testTime); len(p.Warnings) != row.warnings {
			t.Errorf("%s: got warnings %q, want %d", row.name, p.Warnings, row.warnings)
		}
	}
}
