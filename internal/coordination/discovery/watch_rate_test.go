package discovery

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestBurstOfChangesNeedsFewCalls starts 100 endpoints within two seconds.
//
// The first must be known at once and the last within the interval between two watches. One
// call for each change would cost as many calls in every process of the fleet.
func TestBurstOfChangesNeedsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		state, _ := startWatcher(t, feed)
		time.Sleep(2 * time.Second)
		feed.update(func() { feed.calls = 0 })
		const endpoints, interval = 100, 20 * time.Millisecond
		for n := range endpoints {
			feed.put("servers", fmt.Sprint("i", n), false)
			time.Sleep(interval)
			if n == 0 && len(state.Instances()) != 1 {
				t.Error("the first endpoint is not known at once")
			}
		}
		time.Sleep(minWatchInterval)
		if got := len(state.Instances()); got != endpoints {
			t.Errorf("got %d known endpoints, want %d", got, endpoints)
		}
		var calls int
		feed.update(func() { calls = feed.calls })
		if most := int(endpoints*interval/minWatchInterval) + watchBurst + 6; calls > most {
			t.Errorf("got %d calls to the store, want at most %d", calls, most)
		}
	})
}

// TestLargeFleetWatchesLess lets 100 processes watch endpoints that change all the time, as
// engines do while they load weights.
//
// When each process began a watch every 250 ms, the fleet made 400 calls a second. Now a
// process begins one watch a second, and must know each change after that time.
func TestLargeFleetWatchesLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		state, w := startWatcherWith(t, feed, func(w *Watcher) { w.Processes = func() int { return 100 } })
		time.Sleep(10 * time.Second)
		feed.update(func() { feed.calls = 0 })
		const endpoints, interval = 500, 20 * time.Millisecond
		for n := range endpoints {
			feed.put("servers", fmt.Sprint("i", n), false)
			time.Sleep(interval)
		}
		time.Sleep(maxWatchInterval)
		if got := len(state.Instances()); got != endpoints {
			t.Errorf("got %d known endpoints, want %d", got, endpoints)
		}
		var calls int
		feed.update(func() { calls = feed.calls })
		// The configuration and the weights are watched meanwhile; they do not change.
		duration := endpoints*interval + maxWatchInterval
		others := 2 * (int(duration/w.Wait) + 1)
		if most := int(duration/maxWatchInterval) + watchBurst + others; calls > most {
			t.Errorf("got %d calls to the store, want at most %d", calls, most)
		}
	})
}

// TestStoreWithoutHistory guards against a process that lists without pause where the store has no history for any watch.
func TestStoreWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		const latency = 2 * time.Millisecond
		feed.update(func() {
			feed.oldest = 1 << 30
			feed.latency = map[string]time.Duration{kinds.Config: latency, kinds.Instances: latency, kinds.Weights: latency}
		})
		state, _ := startWatcher(t, feed)
		time.Sleep(10 * time.Second)
		feed.put("servers", "i-1", false)
		time.Sleep(minWatchInterval + 10*time.Millisecond)
		if got := len(state.Instances()); got != 1 {
			t.Errorf("got %d known endpoints, want 1 by the next list", got)
		}
		var calls int
		feed.update(func() { calls = feed.calls })
		// A list and a watch of three kinds in each interval.
		if most := 3*2*(int(10*time.Second/minWatchInterval)+watchBurst) + 12; calls > most {
			t.Errorf("got %d calls to the store in 10 s, want at most %d", calls, most)
		}
	})
}
