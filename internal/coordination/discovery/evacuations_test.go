package discovery

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// usable reports whether an endpoint may get requests.
func usable(s *State, id string) bool {
	m, ok := s.Table.Get(id)
	return ok && !m.Endpoint.Loading
}

func newEvacuationWatcher(t *testing.T, feed *fakeFeed) *State {
	feed.put("config", "main", 1)
	feed.put("servers", "i", false)
	state, _ := startWatcherWith(t, feed, func(w *Watcher) {
		w.Kinds.Evacuations = "evacuations"
		w.State.FollowsEvacuations = true
		w.Heartbeat = time.Second
	})
	return state
}

// TestEvacuationIsFollowed guards against an evacuation that is missed while the store does not
// answer or after its history was dropped, and against endpoints that are used again before their
// entries could say that they are cold.
func TestEvacuationIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		// The domain of the fake instances has no name.
		state := newEvacuationWatcher(t, feed)
		time.Sleep(time.Second)
		if !usable(state, "i") || !state.Ready() {
			t.Fatal("the endpoint is not in use at first")
		}
		feed.update(func() { feed.refusedKind = "evacuations" })
		feed.put("evacuations", "", "any content")
		time.Sleep(5 * time.Second)
		feed.update(func() { feed.refusedKind, feed.oldest = "", feed.revision })
		time.Sleep(2 * time.Second)
		if usable(state, "i") {
			t.Error("the evacuation was missed after an outage and a dropped history")
		}
		feed.update(func() { feed.oldest = 0 })
		feed.remove("evacuations", "")
		time.Sleep(1900 * time.Millisecond)
		if usable(state, "i") {
			t.Error("the endpoint was used again before entries of a heartbeat's age could arrive")
		}
		time.Sleep(time.Second)
		if !usable(state, "i") {
			t.Error("the endpoint was not used again after its evacuation was taken back")
		}
	})
}

// TestDomainDoesNotReturnBlindly guards against a domain that is used again by a process that has
// not heard since whether its endpoints are cold.
func TestDomainDoesNotReturnBlindly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		state := newEvacuationWatcher(t, feed)
		feed.put("evacuations", "", "")
		time.Sleep(time.Second)
		feed.update(func() { feed.refusedKind = "servers" })
		feed.remove("evacuations", "")
		time.Sleep(10 * time.Second)
		if usable(state, "i") {
			t.Error("the endpoint was used again while its entry could not be read")
		}
		feed.update(func() { feed.refusedKind = "" })
		time.Sleep(2 * time.Second)
		if !usable(state, "i") {
			t.Error("the endpoint was not used again after the store answered")
		}
	})
}

// TestEvacuationsInAnyOrder applies lists, changes and returns in any order: an endpoint is out of
// use from an evacuation until the whole delay after the last one was taken back.
func TestEvacuationsInAnyOrder(t *testing.T) {
	const delay = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		s := newState()
		i := engineInstance(1, 1, 1, 0)
		i.Domain = "d"
		s.SetInstance(i)
		now := time.Now()
		evacuated, takenBackAt := false, time.Time{}
		end := func() {
			if evacuated && takenBackAt.IsZero() {
				takenBackAt = now
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				s.Evacuate("d")
				evacuated, takenBackAt = true, time.Time{}
			case 1:
				s.EndEvacuation("d", now)
				end()
			case 2:
				s.ReplaceEvacuations([]string{"other"}, now)
				end()
			case 3:
				s.ReplaceEvacuations([]string{"d", "other"}, now)
				evacuated, takenBackAt = true, time.Time{}
			case 4:
				i.Revision++
				s.SetInstance(i)
			}
			s.ReturnDomains(now, delay)
			if evacuated && !takenBackAt.IsZero() && now.Sub(takenBackAt) >= delay {
				evacuated, takenBackAt = false, time.Time{}
			}
			if usable(s, "i") == evacuated || slices.Contains(s.EvacuatedDomains(), "d") != evacuated {
				t.Fatalf("endpoint usable: %v, evacuated: %v, domains %v", usable(s, "i"), evacuated, s.EvacuatedDomains())
			}
		}
	})
}
