package routes

import "testing"

func newTable(list ...Route) *Table { return New(1, 1, list, nil, nil, Limits{}) }

func TestLongestPrefixWins(t *testing.T) {
	x := newTable(
		Route{Name: "root", Host: "h", Prefix: "/"}, Route{Name: "long", Host: "h", Prefix: "/a/b/"},
		Route{Name: "short", Host: "h", Prefix: "/a/"}, Route{Name: "other", Host: "g", Prefix: "/a/b/c/"},
	)
	for path, want := range map[string]string{"/a/b/c": "long", "/a/b": "short", "/a/bc": "short", "/x": "root", "/a/b/": "long"} {
		if r, ok := x.Match("h", path); !ok || r.Name != want {
			t.Errorf("route of %s: got %+v, want %s", path, r, want)
		}
	}
	if _, ok := x.Match("unknown", "/a/"); ok {
		t.Error("an unknown host has a route, want none")
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"old", 90}, {"new", 10}, {"never", 0}}}
	counts := map[string]int{}
	for i := range uint64(1000) {
		counts[r.Pick(i)]++
	}
	if counts["old"] != 900 || counts["new"] != 100 || counts["never"] != 0 {
		t.Error(counts)
	}
	if zero := (&Route{Targets: []Target{{"a", 0}}}).Pick(7); zero != "a" {
		t.Error(zero)
	}
}

func TestPriorityRank(t *testing.T) {
	route := func(name string, priority int) Route {
		return Route{Name: name, Host: "h", Prefix: "/" + name + "/", Priority: priority, Targets: []Target{{"s", 1}}}
	}
	x := newTable(route("urgent", 0), route("middle", 1), route("patient", 2), Route{Host: "h", Prefix: "/x/", Priority: 7, Targets: []Target{{"alone", 1}}})
	for name, want := range map[string]float64{"urgent": 0, "middle": 0.5, "patient": 1} {
		if r, _ := x.Match("h", "/"+name+"/"); x.PriorityRank(r.Priority, "s") != want {
			t.Errorf("route %s: got rank %g", name, x.PriorityRank(r.Priority, "s"))
		}
	}
	if r, _ := x.Match("h", "/x/"); x.PriorityRank(r.Priority, "alone") != 0 {
		t.Error("a service with one priority: got a rank other than 0")
	}
	for priority, want := range map[int]float64{-3: 0, 9: 1} {
		if got := x.PriorityRank(priority, "s"); got != want {
			t.Errorf("a customer's priority %d: got rank %g", priority, got)
		}
	}
	if got := x.PriorityRank(9, "alone"); got != 1 {
		t.Errorf("a customer with a less urgent priority than all routes: got rank %g, want 1", got)
	}
}
