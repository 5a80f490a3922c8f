package contextcache

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
)

// TestFollowStoreThroughRestart has a store answer, go down, and restart in a new epoch.
//
// It is used while it answers, not while it is down, and again after a new list.
func TestFollowStoreThroughRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &fakeClient{epoch: 1}
		tracker := NewTracker(client, zap.NewNop(), "a", time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			tracker.Run(ctx)
			close(done)
		}()
		tracker.SetStores(map[string]*routes.Service{"s": {Store: &routes.Store{Address: localAddress, MemoryTokens: 1000}}})
		stored := func() int { return tracker.storedTokens("s", testSegments[:1]) }
		time.Sleep(10 * time.Second)
		if stored() != 500 || client.lists != 1 {
			t.Errorf("%d stored, %d lists", stored(), client.lists)
		}
		client.mu.Lock()
		client.down = true
		client.mu.Unlock()
		time.Sleep(time.Second)
		if stored() != 0 {
			t.Error("the store is used while it is down")
		}
		client.mu.Lock()
		client.down, client.epoch = false, 2
		client.mu.Unlock()
		time.Sleep(2 * time.Second)
		if stored() != 500 {
			t.Error("the store is not used after its restart")
		}
		tracker.SetStores(nil)
		time.Sleep(time.Second)
		if len(tracker.followers()) != 0 {
			t.Error("a store that the configuration no longer names is followed")
		}
		cancel()
		<-done
	})
}

// limitedClient is a store with a limit of waiting calls. It refuses calls beyond that.
type limitedClient struct {
	fakeClient
	mu       sync.Mutex
	maxCalls int
	inFlight int
	refused  int
}

func (f *limitedClient) Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error) {
	f.mu.Lock()
	if f.inFlight == f.maxCalls {
		f.refused++
		f.mu.Unlock()
		return Events{}, ErrTooManyCalls
	}
	f.inFlight++
	f.mu.Unlock()
	events, err := f.fakeClient.Events(ctx, address, since, wait)
	f.mu.Lock()
	f.inFlight--
	f.mu.Unlock()
	return events, err
}

// TestProcessesShareLimitedStoreCalls has thirty processes follow a store that accepts twelve
// waiting calls.
//
// They take turns with shorter waits. Without that, the refused processes would list the store
// three times a second and import nothing in the meantime.
//
// Which calls are accepted is random: over 1,500 fleets the mean share was 0.90, and in three
// fleets it was under 0.8. So the test requires 0.8 of the mean of five fleets.
func TestProcessesShareLimitedStoreCalls(t *testing.T) {
	const fleets = 5
	sum := 0.0
	for range fleets {
		sum += usableShare(t)
	}
	if share := sum / fleets; share < 0.8 {
		t.Errorf("the store is usable in %.2f of the checks, want at least 0.8", share)
	}
}

// usableShare runs one fleet and returns the share of checks in which a process can use the store.
func usableShare(t *testing.T) (share float64) {
	synctest.Test(t, func(t *testing.T) {
		client := &limitedClient{fakeClient: fakeClient{epoch: 1}, maxCalls: 12}
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		var trackers []*Tracker
		const processes = 30
		for range processes {
			tracker := NewTracker(client, zap.NewNop(), "a", time.Now)
			done.Go(func() { tracker.Run(ctx) })
			tracker.SetStores(map[string]*routes.Service{"s": {Store: &routes.Store{Address: localAddress, MemoryTokens: 1000}}})
			trackers = append(trackers, tracker)
		}
		time.Sleep(5 * time.Second)
		client.fakeClient.mu.Lock()
		client.lists = 0
		client.fakeClient.mu.Unlock()
		client.mu.Lock()
		client.refused = 0
		client.mu.Unlock()
		usable := 0
		const checks = 100
		for range checks {
			time.Sleep(100 * time.Millisecond)
			for _, tracker := range trackers {
				if tracker.storedTokens("s", testSegments[:1]) > 0 {
					usable++
				}
			}
		}
		cancel()
		done.Wait()
		share = float64(usable) / (checks * processes)
		t.Logf("usable in %.2f of the checks, %d lists, %d calls refused", share, client.lists, client.refused)
		if client.lists > 0 {
			t.Errorf("%d lists in 10 s", client.lists)
		}
		if client.refused > processes*10 {
			t.Errorf("%d calls refused in 10 s", client.refused)
		}
	})
	return share
}
