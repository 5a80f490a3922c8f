package softwarerecord

import (
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

// router is a process that leads streams by the routes that it knows.
type router struct{ targets atomic.Pointer[StreamTargets] }

// leads has the process lead streams by other routes from now on.
func (r *router) leads(fingerprint, configVersion uint64) {
	r.targets.Store(&StreamTargets{Fingerprint: fingerprint, ConfigVersion: configVersion, Since: time.Now()})
}

// learns gives the process a configuration with the same routes.
func (r *router) learns(configVersion uint64) {
	targets := *r.targets.Load()
	targets.ConfigVersion = configVersion
	r.targets.Store(&targets)
}

func startRouter(t *testing.T, store objectapi.API, isFirst bool, rank int, targets StreamTargets) *router {
	r := &router{}
	r.targets.Store(&targets)
	registry := streamorigin.NewRegistry()
	recorder := &Recorder{
		Store: store, Origins: registry, IsFirstStart: isFirst, Rank: func() int { return rank }, Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
		StreamTargets: func() StreamTargets { return *r.targets.Load() },
	}
	registry.BeginFollowing(time.Now())
	see(registry, "v1")
	go recorder.Run(t.Context())
	return r
}

func checkSettled(t *testing.T, when string, store objectapi.API, want uint64) {
	t.Helper()
	got, err := ReadAll(t.Context(), store)
	if err != nil || got.StreamTargets != want {
		t.Errorf("%s: got %d, error %v; want %d", when, got.StreamTargets, err, want)
	}
}

// TestRoutesOfOneConfigurationThatDifferAreNotSettled guards against routes that count as settled while another process leads streams
// elsewhere: of one that can't be read, each process keeps what it read before.
func TestRoutesOfOneConfigurationThatDifferAreNotSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		startRouter(t, store, true, 0, StreamTargets{Fingerprint: 1, ConfigVersion: 1, Since: time.Now()})
		time.Sleep(time.Second)
		missed := startRouter(t, store, false, 1, StreamTargets{Fingerprint: 1, ConfigVersion: 1, Since: time.Now()})
		heard := startRouter(t, store, false, 2, StreamTargets{Fingerprint: 1, ConfigVersion: 1, Since: time.Now()})
		time.Sleep(2 * streamorigin.Retention)
		// Version 2 changes a route, and reaches one process; in version 3 the route can't be read.
		heard.leads(2, 2)
		time.Sleep(2 * checkInterval)
		heard.learns(3)
		missed.learns(3)
		time.Sleep(2*streamorigin.Retention + 2*checkInterval)
		checkSettled(t, "while streams are led to either", store, 0)
	})
}
