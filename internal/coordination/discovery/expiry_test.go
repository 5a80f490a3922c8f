package discovery

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestExpiredEntriesAfterStoreOutage lets the store be away; meanwhile the entries of two endpoints
// lapse. One endpoint lives and is listed again a second after the return.
//
// Both are used until then: their work would otherwise fall to nobody. The one that
// stays missing is gone about two seconds after the return.
func TestExpiredEntriesAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("config", "main", 1)
		feed.put("servers", "i-1", false)
		feed.put("servers", "i-2", false)
		state, _ := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.update(func() { feed.refuse = true })
		time.Sleep(10 * time.Second)
		feed.remove("servers", "i-1")
		feed.remove("servers", "i-2")
		feed.update(func() { feed.refuse = false })
		time.Sleep(time.Second)
		if countAlive(state) != 2 {
			t.Errorf("1 s after the return: %d used", countAlive(state))
		}
		feed.put("servers", "i-1", false)
		time.Sleep(2500 * time.Millisecond)
		if countAlive(state) != 1 {
			t.Errorf("3.5 s after the return: %d used", countAlive(state))
		}
		if _, ok := state.Instance("i-2"); ok {
			t.Error("the missing one is still known")
		}
	})
}

// TestExpiryIgnoresRecoveryOfOtherKinds lets an endpoint leave for good while the store is away, and
// the store answer another kind two seconds later than it answers for endpoints.
//
// Whether an entry comes back is told by the answers for endpoints alone. Counted anew from each kind's return, the
// time in which the endpoint is still used grew by those two seconds: callers' requests reached it
// 4.5 s after it had said that it leaves, of the 3 s that it goes on serving.
func TestExpiryIgnoresRecoveryOfOtherKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("config", "main", 1)
		feed.put("servers", "i-1", false)
		state, _ := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.update(func() { feed.refuse = true })
		time.Sleep(10 * time.Second)
		feed.remove("servers", "i-1")
		feed.update(func() { feed.refuse, feed.refusedKind = false, kinds.Weights })
		time.Sleep(time.Second)
		if countAlive(state) != 1 {
			t.Error("not used 1 s after the return, in which it may come back")
		}
		time.Sleep(time.Second)
		feed.update(func() { feed.refusedKind = "" })
		// The kind's own return came within a second of the store's; a look each 0.1 s.
		time.Sleep(1100 * time.Millisecond)
		if countAlive(state) != 0 {
			t.Error("still used 2.1 s after the store could be heard of endpoints again")
		}
	})
}

// TestEndpointRemovedAfterPartition cuts a process off from the store for some seconds, in all phases of its retries, and takes an
// endpoint's entry away just after the cut has healed.
//
// For all others the endpoint was gone at once, and it serves for two seconds more. Who was cut off must
// not send to it later than it may act on old knowledge, three seconds after the cut.
func TestEndpointRemovedAfterPartition(t *testing.T) {
	const stableWindow = 3 * time.Second
	for phase := time.Duration(0); phase < 2*time.Second; phase += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			feed := newFakeFeed()
			feed.put("config", "main", 1)
			feed.put("servers", "i-1", false)
			state, _ := startWatcher(t, feed)
			time.Sleep(time.Second)
			feed.update(func() { feed.silent = true })
			time.Sleep(6*time.Second + phase)
			feed.update(func() { feed.silent = false })
			time.Sleep(100 * time.Millisecond)
			feed.remove("servers", "i-1")
			time.Sleep(stableWindow - 100*time.Millisecond)
			if countAlive(state) != 0 {
				t.Errorf("phase %s: still used", phase)
			}
		})
	}
}

// TestExpiryWhileOtherKindFails lets the store refuse a kind other than endpoints, and an endpoint's entry
// lapse and come back: it stays in use.
func TestExpiryWhileOtherKindFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("config", "main", 1)
		feed.put("servers", "i-1", false)
		feed.put("servers", "i-2", false)
		state, _ := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.update(func() { feed.refusedKind = kinds.Weights })
		time.Sleep(5 * time.Second)
		feed.remove("servers", "i-1")
		feed.remove("servers", "i-2")
		time.Sleep(1800 * time.Millisecond)
		if countAlive(state) != 2 {
			t.Errorf("%d used 1.8 s after the entries lapsed, want 2", countAlive(state))
		}
		feed.put("servers", "i-1", false)
		time.Sleep(time.Second)
		if countAlive(state) != 1 {
			t.Errorf("%d used 2.8 s after the entries lapsed, want the one that is back", countAlive(state))
		}
	})
}

// TestRemovedEntryIsDroppedImmediately removes an entry while the store is well.
func TestRemovedEntryIsDroppedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("servers", "i-1", false)
		state, _ := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.remove("servers", "i-1")
		time.Sleep(10 * time.Millisecond)
		if countAlive(state) != 0 {
			t.Error("still used")
		}
	})
}
