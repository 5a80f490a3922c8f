package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

func newState() *State {
	return NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
}

// engineInstance is an entry of the endpoint "i".
func engineInstance(born int64, revision uint64, weights, orders int64) Instance {
	return Instance{ID: "i", Born: born, Revision: revision, Service: "s", Address: "10.0.0.1:1", Model: "m", Weights: weights, Orders: orders}
}

// TestRestartUnderSameID lets an endpoint start again under its id, with word of both starts
// arriving in different orders.
//
// What is believed must be the later start's, wherever it was told first: an order that
// expects the number of orders of the earlier one is void, and callers' requests counted
// there have ended.
func TestRestartUnderSameID(t *testing.T) {
	rows := []struct {
		name         string
		observe      func(*State)
		born         int64
		weights      int64
		orders       int64
		loading, new bool
	}{
		{"one start", func(*State) {}, 100, 2, 4, true, false},
		{"its next entry", func(s *State) { s.SetInstance(engineInstance(100, 6, 2, 5)) }, 100, 2, 5, true, false},
		{"a new start with fewer orders", func(s *State) { s.SetInstance(engineInstance(200, 6, 2, 0)) }, 200, 2, 0, false, true},
		{"a new start with older weights", func(s *State) { s.SetInstance(engineInstance(200, 6, 1, 0)) }, 200, 1, 0, false, true},
		{"an entry of the earlier start that was written late", func(s *State) {
			s.SetInstance(engineInstance(200, 6, 2, 0))
			s.SetInstance(engineInstance(100, 7, 2, 9))
		}, 200, 2, 0, false, true},
		{"a report before the entry", func(s *State) { s.ObserveStart("i", 200, 2) }, 200, 2, 0, false, true},
		{"a report, then the earlier start's entry", func(s *State) {
			s.ObserveStart("i", 200, 2)
			s.SetInstance(engineInstance(100, 6, 2, 5))
		}, 200, 2, 0, false, true},
		{"a report of the earlier start that arrives late", func(s *State) {
			s.SetInstance(engineInstance(200, 6, 1, 0))
			s.ObserveStart("i", 100, 3)
		}, 200, 1, 0, false, true},
		{"word from its address", func(s *State) { s.ObserveStartByAddress("10.0.0.1:1", 200) }, 200, 2, 0, false, true},
		{"word from another address", func(s *State) { s.ObserveStartByAddress("10.0.0.2:1", 200) }, 100, 2, 4, true, false},
		{"an entry that tells no start", func(s *State) { s.SetInstance(engineInstance(0, 6, 2, 5)) }, 100, 2, 5, true, false},
	}
	for _, row := range rows {
		s := newState()
		s.SetInstance(engineInstance(100, 5, 2, 4))
		s.SetLoading("i", true)
		before, _ := s.Table.Get("i")
		row.observe(s)
		i, ok := s.Instance("i")
		if !ok || i.Born != row.born || i.Weights != row.weights || i.Orders != row.orders || s.IsLoading("i") != row.loading {
			t.Errorf("%s: %+v, loading %v", row.name, i, s.IsLoading("i"))
		}
		after, _ := s.Table.Get("i")
		if (after.Incarnation != before.Incarnation) != row.new || after.State != fleet.Alive {
			t.Errorf("%s: member %+v before, %+v after", row.name, before, after)
		}
	}
}

// TestStartsObservedInAnyOrder tells of some starts of an endpoint by entries and reports in
// any order.
//
// The start believed never goes back, and is the latest told of; the count of orders is
// never an earlier start's.
func TestStartsObservedInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState()
		latest, revision := int64(0), uint64(0)
		s.SetInstance(engineInstance(1, revision, 1, 1))
		for range rapid.IntRange(1, 20).Draw(t, "words") {
			born := rapid.Int64Range(1, 5).Draw(t, "born")
			if rapid.Bool().Draw(t, "entry") {
				revision++
				// Orders of a start are told apart by a multiple of its number.
				s.SetInstance(engineInstance(born, revision, 1, born*100))
			} else {
				s.ObserveStart("i", born, 1)
			}
			latest = max(latest, born)
			i, ok := s.Instance("i")
			if !ok || i.Born != latest {
				t.Fatalf("start %d is believed, %d was told", i.Born, latest)
			}
			if i.Orders > 1 && i.Orders != latest*100 {
				t.Fatalf("orders %d belong to another start than %d", i.Orders, latest)
			}
		}
	})
}

// TestEntriesOfOtherWriters overwrites an endpoint's entry by something else and adds one
// of a service that nobody knows.
//
// Neither names an endpoint to use; the others are used on, and the endpoint itself is
// back with its own next entry.
func TestEntriesOfOtherWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("config", "main", 1)
		feed.put("servers", "i-1", false)
		feed.put("servers", "i-2", false)
		state, _ := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.put("servers", "i-1", "no entry")
		time.Sleep(time.Second)
		if n := countAlive(state); n != 1 {
			t.Errorf("%d endpoints are used beside a foreign entry", n)
		}
		feed.put("servers", "i-1", false)
		time.Sleep(time.Second)
		if n := countAlive(state); n != 2 {
			t.Errorf("%d endpoints are used after the endpoint's own entry", n)
		}
		state.SetInstance(Instance{ID: "odd", Revision: 99, Service: "unheard of", Address: "10.9.9.9:1", Model: "m"})
		for _, i := range state.Instances() {
			if i.ID == "odd" {
				t.Error("an endpoint of a service that is not named is asked and ordered")
			}
		}
	})
}
