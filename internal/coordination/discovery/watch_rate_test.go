package discovery

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestBurstOfChangesNeedsFewCalls starts 100 endpoints within two seconds.
//
// The first is known at once and the last within the pause between two watches; each
// change alone would cost a call, in every process of the fleet.
func TestBurstOfChangesNeedsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		state, _ := startWatcher(t, feed)
		time.Sleep(2 * time.Second)
		feed.update(func() { feed.calls = 0 })
		const endpoints, every = 100, 20 * time.Millisecond
		for n := range endpoints {
			feed.put("servers", fmt.Sprint("i", n), false)
			time.Sleep(every)
			if n == 0 && len(state.Instances()) != 1 {
				t.Error("the first change is not known at once")
			}
		}
		time.Sleep(minWatchInterval)
		if got := len(state.Instances()); got != endpoints {
			t.Errorf("%d of %d endpoints are known", got, endpoints)
		}
		var calls int
		feed.update(func() { calls = feed.calls })
		if most := int(endpoints*every/minWatchInterval) + watchBurst + 6; calls > most {
			t.Errorf("%d calls to the store, at most %d", calls, most)
		}
	})
}

// TestLargeFleetWatchesLess lets 100 processes see endpoints change all the time, as engines
// do that load weights.
//
// Watches that each began every 250 ms made 400 calls a second of the fleet; now a process
// begins one a second, and knows each change after that time.
func TestLargeFleetWatchesLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		state, w := startWatcherWith(t, feed, func(w *Watcher) { w.Processes = func() int { return 100 } })
		time.Sleep(10 * time.Second)
		feed.update(func() { feed.calls = 0 })
		const endpoints, every = 500, 20 * time.Millisecond
		for n := range endpoints {
			feed.put("servers", fmt.Sprint("i", n), false)
			time.Sleep(every)
		}
		time.Sleep(maxWatchInterval)
		if got := len(state.Instances()); got != endpoints {
			t.Errorf("%d of %d endpoints are known", got, endpoints)
		}
		var calls int
		feed.update(func() { calls = feed.calls })
		// The configuration and the weights are watched meanwhile, without changes.
		length := endpoints*every + maxWatchInterval
		others := 2 * (int(length/w.Wait) + 1)
		if most := int(length/maxWatchInterval) + watchBurst + others; calls > most {
			t.Errorf("%d calls to the store, at most %d", calls, most)
		}
	})
}
