package routes

import "testing"

// TestStreamTargets guards against routes that lead resumable streams elsewhere unnoticed, and against changes that do not count as such.
func TestStreamTargets(t *testing.T) {
	route := func(change func(*Route)) Route {
		r := Route{Name: "r", Host: "a.example", Prefix: "/x/", Kind: Streaming, Resumable: true, Targets: []Target{{"s", 1}, {"t", 2}}}
		change(&r)
		return r
	}
	fingerprint := func(list ...Route) uint64 { return New(1, 1, list, nil, nil, Limits{}).StreamTargets() }
	plain := route(func(r *Route) { r.Prefix, r.Kind = "/plain/", Idempotent })
	base := fingerprint(route(func(*Route) {}))
	rows := []struct {
		name string
		got  uint64
		same bool
	}{
		{"other weights", fingerprint(route(func(r *Route) { r.Targets = []Target{{"t", 5}, {"s", 3}} })), true},
		{"another timeout", fingerprint(route(func(r *Route) { r.Timeout = 1 })), true},
		{"a further plain route", fingerprint(plain, route(func(*Route) {})), true},
		{"another service", fingerprint(route(func(r *Route) { r.Targets = []Target{{"s", 1}, {"u", 2}} })), false},
		{"a service less", fingerprint(route(func(r *Route) { r.Targets = []Target{{"s", 1}} })), false},
		{"another prefix", fingerprint(route(func(r *Route) { r.Prefix = "/x/y/" })), false},
		{"no route", fingerprint(), false},
	}
	for _, row := range rows {
		if (row.got == base) != row.same || row.got == 0 {
			t.Errorf("%s: got the same fingerprint %v, want %v", row.name, row.got == base, row.same)
		}
	}
}
