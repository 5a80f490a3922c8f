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
