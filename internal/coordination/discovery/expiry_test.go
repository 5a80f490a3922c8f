package discovery

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLapsedEntries lets the store be away; meanwhile the entries of two endpoints
// lapse. One endpoint lives and is listed again a second after the return.
//
// Both are used until then: their work would otherwise fall to nobody. The one that
// stays missing is gone about two seconds after the return.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("config", "main", 1)
		feed.put("servers", "i-1", false)
		feed.put("servers", "i-2", false)
		state, _ := follow(t, feed)
		time.Sleep(time.Second)
		feed.set(func() { feed.refuse = true })
		time.Sleep(10 * time.Second)
		feed.remove("servers", "i-1")
		feed.remove("servers", "i-2")
		feed.set(func() { feed.refuse = false })
		time.Sleep(time.Second)
		if usable(state) != 2 {
			t.Errorf("1 s after the return: %d used", usable(state))
		}
		feed.put("servers", "i-1", false)
		time.Sleep(2500 * time.Millisecond)
		if usable(state) != 1 {
			t.Errorf("3.5 s after the return: %d used", usable(state))
		}
		if _, ok := state.Instance("i-2"); ok {
			t.Error("the missing one is still known")
		}
	})
}

// TestLapsedEntriesWaitForTheirOwnKind lets an endpoint leave for good while the store is away, and
// the store answer another kind two seconds later than it answers for endpoints.
//
// Whether an entry comes back is told by the answers for endpoints alone. Counted anew from each kind's return, the
// time in which the endpoint is still used grew by those two seconds: callers' requests reached it
// 4.5 s after it had said that it leaves, of the 3 s that it goes on serving.
func TestLapsedEntriesWaitForTheirOwnKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("config", "main", 1)
		feed.put("servers", "i-1", false)
		state, _ := follow(t, feed)
		time.Sleep(time.Second)
		feed.set(func() { feed.refuse = true })
		time.Sleep(10 * time.Second)
		feed.remove("servers", "i-1")
		feed.set(func() { feed.refuse, feed.refusedKind = false, kinds.Weights })
		time.Sleep(time.Second)
		if usable(state) != 1 {
			t.Error("not used 1 s after the return, in which it may come back")
		}
		time.Sleep(time.Second)
		feed.set(func() { feed.refusedKind = "" })
		// The kind's own return came within a second of the store's; a look each 0.1 s.
		time.Sleep(1100 * time.Millisecond)
		if usable(state) != 0 {
			t.Error("still used 2.1 s after the store could be heard of endpoints again")
		}
	})
}

// TestEndpointThatLeftBehindACut cuts a process off from the store for some seconds, in all phases of its retries, and takes an
// endpoint's entry away just after the cut has healed.
//
// For all others the endpoint was gone at once, and it serves for two seconds more. Who was cut off must
// not send to it later than it may act on old knowledge, three seconds after the cut.
func TestEndpointThatLeftBehindACut(t *testing.T) {
	const stableWindow = 3 * time.Second
	for phase := time.Duration(0); phase < 2*time.Second; phase += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			feed := newFakeFeed()
			feed.put("config", "main", 1)
			feed.put("servers", "i-1", false)
			state, _ := follow(t, feed)
			time.Sleep(time.Second)
			feed.set(func() { feed.silent = true })
			time.Sleep(6*time.Second + phase)
			feed.set(func() { feed.silent = false })
			time.Sleep(100 * time.Millisecond)
			feed.remove("servers", "i-1")
			time.Sleep(stableWindow - 100*time.Millisecond)
			if usable(state) != 0 {
				t.Errorf("phase %s: still used", phase)
			}
		})
	}
}

// TestLapseThatOnlyOtherKindsSaw lets the store refuse a kind other than endpoints, and an endpoint's entry
// lapse and come back: it stays in use.
func TestLapseThatOnlyOtherKindsSaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("config", "main", 1)
		feed.put("servers", "i-1", false)
		feed.put("servers", "i-2", false)
		state, _ := follow(t, feed)
		time.Sleep(time.Second)
		feed.set(func() { feed.refusedKind = kinds.Weights })
		time.Sleep(5 * time.Second)
		feed.remove("servers", "i-1")
		feed.remove("servers", "i-2")
		time.Sleep(1800 * time.Millisecond)
		if usable(state) != 2 {
			t.Errorf("%d used 1.8 s after the entries lapsed, want 2", usable(state))
		}
		feed.put("servers", "i-1", false)
		time.Sleep(time.Second)
		if usable(state) != 1 {
			t.Errorf("%d used 2.8 s after the entries lapsed, want the one that is back", usable(state))
		}
	})
}

// TestRemovedEntryIsGoneAtOnce removes an entry while the store is well.
func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("servers", "i-1", false)
		state, _ := follow(t, feed)
		time.Sleep(time.Second)
		feed.remove("servers", "i-1")
		time.Sleep(10 * time.Millisecond)
		if usable(state) != 0 {
			t.Error("still used")
		}
	})
}
