package softwarerecord

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/objectapi/standin"
)

// refusingStore takes no writes while refuses is set.
type refusingStore struct {
	*standin.Store
	refuses atomic.Bool
}

func (s *refusingStore) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	if s.refuses.Load() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, version)
}

// TestRoutesChangedBackAreNotSettled guards against a change of routes that is forgotten as the store took no writes until it was undone.
func TestRoutesChangedBackAreNotSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &refusingStore{Store: standin.New()}
		r := startRouter(t, store, true, 0, StreamTargets{Fingerprint: 1, ConfigVersion: 1, Since: time.Now()})
		time.Sleep(2 * streamorigin.Retention)
		checkSettled(t, "before", store, 1)
		store.refuses.Store(true)
		r.leads(2, 2)
		time.Sleep(2 * time.Second)
		r.leads(1, 3)
		time.Sleep(time.Second)
		store.refuses.Store(false)
		time.Sleep(2 * checkInterval)
		checkSettled(t, "seconds after streams were led elsewhere", store, 0)
	})
}
