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

// TestFollowStoreThroughRestart lets a store work, fall away, and come back in a new life.
//
// It is used while it answers, not while it is away, and again after a new list.
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
		tracker.SetStores(map[string]*routes.Service{"s": {Store: &routes.Store{Address: localStore, MemoryTokens: 1000}}})
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
			t.Error("used while it is away")
		}
		client.mu.Lock()
		client.down, client.epoch = false, 2
		client.mu.Unlock()
		time.Sleep(2 * time.Second)
		if stored() != 500 {
			t.Error("not used after its return")
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

// limitedClient is a store that holds a bounded number of waiting calls and refuses
// those beyond it.
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

// TestProcessesShareLimitedStoreCalls lets thirty processes follow a store that
// holds twelve waiting calls.
//
// They take turns with shorter waits. Without that, those that found no place would
// list the store three times a second, and import nothing meanwhile.
//
// Who finds a place is drawn: of 1,500 fleets the share was 0.90 in the mean and under 0.8 in three.
// The mean of five is asked for as much.
func TestProcessesShareLimitedStoreCalls(t *testing.T) {
	const fleets = 5
	sum := 0.0
	for range fleets {
		sum += usableShare(t)
	}
	if share := sum / fleets; share < 0.8 {
		t.Errorf("the store is used in %.2f of the looks", share)
	}
}

// usableShare plays one fleet and returns the share of looks in which a process may use the store.
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
			tracker.SetStores(map[string]*routes.Service{"s": {Store: &routes.Store{Address: localStore, MemoryTokens: 1000}}})
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
		t.Logf("used in %.2f of the looks, %d lists, %d calls refused", share, client.lists, client.refused)
		if client.lists > 0 {
			t.Errorf("%d lists in 10 s", client.lists)
		}
		if client.refused > processes*10 {
			t.Errorf("%d calls refused in 10 s", client.refused)
		}
	})
	return share
}
