package residency

import "testing"

// TestRule guards against a limit that one list sets and another, or its absence, removes.
func TestRule(t *testing.T) {
	rows := []struct {
		name          string
		route, tenant []string
		east, west    bool
	}{
		{"no limit", nil, nil, true, true},
		{"the route's", []string{"east"}, nil, true, false},
		{"the customer's", nil, []string{"west"}, false, true},
		{"both", []string{"east", "west"}, []string{"west"}, false, true},
		{"both, nothing in common", []string{"east"}, []string{"west"}, false, false},
	}
	for _, row := range rows {
		r := Intersect(row.route, row.tenant)
		if r.Allows("east") != row.east || r.Allows("west") != row.west || r.AllowsNone() != (!row.east && !row.west) {
			t.Errorf("%s: got east %v, west %v, none %v", row.name, r.Allows("east"), r.Allows("west"), r.AllowsNone())
		}
		if limited := row.route != nil || row.tenant != nil; r.Allows("") == limited {
			t.Errorf("%s: an unknown region is allowed: %v", row.name, r.Allows(""))
		}
	}
}
