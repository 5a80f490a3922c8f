package softwarerecord

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/objectapi/standin"
)

// lateStore carries out a write long after the call has ended without an answer, while isLate is set.
type lateStore struct {
	*standin.Store
	isLate atomic.Bool
	delay  time.Duration
	// carriedOut is set once a late write has taken effect.
	carriedOut atomic.Bool
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	if !s.isLate.Swap(false) {
		return s.Store.Put(ctx, key, value, version)
	}
	time.AfterFunc(s.delay, func() {
		if _, err := s.Store.Put(context.Background(), key, value, version); err == nil {
			s.carriedOut.Store(true)
		}
	})
	<-ctx.Done()
	return objectapi.Object{}, objectapi.ErrOutcomeUnknown
}

// TestLateRemovalSparesVersionThatCameBack guards against a record without a version at which streams begin: its removal was decided
// before it came back, and is carried out after.
func TestLateRemovalSparesVersionThatCameBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lateStore{Store: standin.New(), delay: 3 * time.Second}
		var registries []*streamorigin.Registry
		for rank := range 3 {
			registry := streamorigin.NewRegistry()
			recorder := &Recorder{Store: store, Origins: registry, IsFirstStart: true, Rank: func() int { return rank }, Log: zap.NewNop(), Metrics: metrics.NewRegistry()}
			registry.BeginFollowing(time.Now())
			see(registry, "v1", "v2")
			go recorder.Run(t.Context())
			registries = append(registries, registry)
		}
		list := func(d time.Duration, versions ...string) {
			for range d / (100 * time.Millisecond) {
				for _, r := range registries {
					see(r, versions...)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		list(time.Second, "v1", "v2")
		store.isLate.Store(true)
		for store.isLate.Load() {
			list(100*time.Millisecond, "v2")
		}
		// The removal of v1 is underway, and v1 comes back.
		list(500*time.Millisecond, "v1", "v2")
		isBegun := false
		for range 20 {
			for _, r := range registries {
				versions, _, _ := r.RecordedVersions(service, time.Now())
				isBegun = isBegun || slices.Contains(versions, "v1")
			}
			list(500*time.Millisecond, "v1", "v2")
			if got, err := ReadAll(t.Context(), store); err == nil && isBegun && len(got.Versions) == 1 {
				t.Fatalf("got a record that is whole and holds %v only, while streams begin at v1; late removal carried out: %v", got.Versions, store.carriedOut.Load())
			}
		}
	})
}
