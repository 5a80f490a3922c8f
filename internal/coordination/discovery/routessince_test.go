package discovery

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

// TestChangedRoutesAreNotOld guards against routes that have just changed and are taken for as old as those before: they would be
// recorded as settled at once.
func TestChangedRoutesAreNotOld(t *testing.T) {
	state := NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
	table := func(version uint64) *routes.Table {
		service := [...]string{"a", "b"}[version%2]
		return routes.New(version, version, []routes.Route{{Name: "r", Kind: routes.Streaming, Resumable: true, Targets: []routes.Target{{Service: service, Weight: 1}}}},
			[]routes.Service{{Name: "a"}, {Name: "b"}}, nil, routes.Limits{})
	}
	const changes = 300
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := uint64(1); version <= changes; version++ {
			state.SetRoutes(table(version))
			time.Sleep(10 * time.Microsecond)
		}
	}()
	last, lastSince := uint64(0), time.Time{}
	for last < changes {
		t0, since := state.RoutesSince()
		if t0 == nil {
			continue
		}
		if t0.Version != last && !since.After(lastSince) {
			t.Fatalf("got version %d since %v, as version %d before", t0.Version, since, last)
		}
		last, lastSince = t0.Version, since
	}
	<-done
}
