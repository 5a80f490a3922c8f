package kept

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
)

// TestFollowingAStore lets a store work, fall away, and come back in a new life.
//
// It is used while it answers, not while it is away, and again after a new list.
func TestFollowingAStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fakeStoreFeed{epoch: 1}
		k := New(feed, zap.NewNop(), "a", time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			k.Run(ctx)
			close(done)
		}()
		k.SetStores(map[string]*routes.Service{"s": {Store: &routes.Store{Address: near, MemoryTokens: 1000}}})
		stored := func() int { return k.Stored("s", parts[:1]) }
		time.Sleep(10 * time.Second)
		if stored() != 500 || feed.lists != 1 {
			t.Errorf("%d stored, %d lists", stored(), feed.lists)
		}
		feed.mu.Lock()
		feed.down = true
		feed.mu.Unlock()
		time.Sleep(time.Second)
		if stored() != 0 {
			t.Error("used while it is away")
		}
		feed.mu.Lock()
		feed.down, feed.epoch = false, 2
		feed.mu.Unlock()
		time.Sleep(2 * time.Second)
		if stored() != 500 {
			t.Error("not used after its return")
		}
		k.SetStores(nil)
		time.Sleep(time.Second)
		if len(k.followers()) != 0 {
			t.Error("a store that the configuration no longer names is followed")
		}
		cancel()
		<-done
	})
}
