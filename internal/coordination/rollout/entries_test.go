package rollout_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/state/routes"
)

// TestEnginesRestartUnderTheirIDs restarts engines that carry out an order, under the same
// ids and with the previous weights.
//
// Their orders are lost with the earlier start. They must be ordered again, with the order
// count of the new start, and have the target weights in time.
func TestEnginesRestartUnderTheirIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1)
		for _, e := range f.engines {
			e.startTime, e.orders = 100, 3
		}
		processes := startDirectors(t, f, 2)
		time.Sleep(10 * time.Second)
		setTarget(processes, 2)
		time.Sleep(700 * time.Millisecond)
		restarted := map[string]bool{}
		f.withLock(func() {
			for id, e := range f.engines {
				if e.busy {
					f.engines[id] = &fakeEngine{weights: 1, startTime: 200}
					restarted[id] = true
				}
			}
		})
		if len(restarted) == 0 {
			t.Fatal("no engine was carrying out an order")
		}
		time.Sleep(7 * time.Second)
		if n := f.countAt(2); n != 6 {
			t.Errorf("%d of 6 engines have the target weights", n)
		}
		last := map[string]sentOrder{}
		for _, o := range f.sentOrders() {
			last[o.engine] = o
		}
		for id := range restarted {
			if last[id].Expect != 0 {
				t.Errorf("the last order to %s expects %d accepted orders since its start, want 0", id, last[id].Expect)
			}
			if i, _ := processes[0].state.Instance(id); i.Born != 200 && i.Born != 0 {
				t.Errorf("%s is still listed with start time %d, want 200 or 0", id, i.Born)
			}
		}
		checkOrderSpacing(t, f)
	})
}

// TestEnginesOfUnknownServicesAreNotOrdered lists two engines of a service that the
// configuration does not contain: anybody may have written their entries.
func TestEnginesOfUnknownServicesAreNotOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1)
		processes := startDirectors(t, f, 1)
		known := routes.New(1, 1, nil, []routes.Service{{Name: "llm"}}, nil, routes.Limits{})
		processes[0].state.SetRoutes(known)
		for _, id := range []string{"e2", "e3"} {
			processes[0].state.SetInstance(discovery.Instance{
				ID: id, Revision: 2, Service: "unheard of", Model: "m", Weights: 1, Address: net.JoinHostPort("10.0.0.9", id),
			})
		}
		setTarget(processes, 2)
		time.Sleep(10 * time.Second)
		for _, o := range f.sentOrders() {
			if o.engine == "e2" || o.engine == "e3" {
				t.Errorf("got an order to %s, want none", o.engine)
			}
		}
		if f.countAt(2) != 2 {
			t.Errorf("%d engines have the target weights, want 2", f.countAt(2))
		}
	})
}
