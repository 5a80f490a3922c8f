package rollout_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/state/routes"
)

// TestEnginesRestartUnderTheirIDs lets engines that carry out an order start again under
// the ids that they had, with the weights of before.
//
// Their orders are lost with the earlier start. They are ordered anew, with the count of
// orders of the new one, and have the named weights in time.
func TestEnginesRestartUnderTheirIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1)
		for _, e := range f.engines {
			e.born, e.orders = 100, 3
		}
		members := startDirectors(t, f, 2)
		time.Sleep(10 * time.Second)
		setTarget(members, 2)
		time.Sleep(700 * time.Millisecond)
		restarted := map[string]bool{}
		f.withLock(func() {
			for id, e := range f.engines {
				if e.busy {
					f.engines[id] = &fakeEngine{weights: 1, born: 200}
					restarted[id] = true
				}
			}
		})
		if len(restarted) == 0 {
			t.Fatal("no engine was at it")
		}
		time.Sleep(7 * time.Second)
		if n := f.countAt(2); n != 6 {
			t.Errorf("%d of 6 engines have the named weights", n)
		}
		last := map[string]sentOrder{}
		for _, o := range f.sentOrders() {
			last[o.engine] = o
		}
		for id := range restarted {
			if last[id].Expect != 0 {
				t.Errorf("%s is expected to have accepted %d orders since its start", id, last[id].Expect)
			}
			if i, _ := members[0].state.Instance(id); i.Born != 200 && i.Born != 0 {
				t.Errorf("%s is still believed to have started at %d", id, i.Born)
			}
		}
		checkOrderSpacing(t, f)
	})
}

// TestEnginesOfUnknownServicesAreNotOrdered lists two engines of a service that the
// configuration does not name: their entries may be anybody's.
func TestEnginesOfUnknownServicesAreNotOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1)
		members := startDirectors(t, f, 1)
		known := routes.New(1, 1, nil, []routes.Service{{Name: "llm"}}, nil, routes.Limits{})
		members[0].state.SetRoutes(known)
		for _, id := range []string{"e2", "e3"} {
			members[0].state.SetInstance(discovery.Instance{
				ID: id, Revision: 2, Service: "unheard of", Model: "m", Weights: 1, Address: net.JoinHostPort("10.0.0.9", id),
			})
		}
		setTarget(members, 2)
		time.Sleep(10 * time.Second)
		for _, o := range f.sentOrders() {
			if o.engine == "e2" || o.engine == "e3" {
				t.Errorf("%s is ordered", o.engine)
			}
		}
		if f.countAt(2) != 2 {
			t.Errorf("%d engines have the named weights", f.countAt(2))
		}
	})
}
