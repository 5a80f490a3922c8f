package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/upstream"
)

// TestConnectionsToPreviousIncarnationAreDiscarded guards against sending a request on an idle connection to
// an endpoint that has restarted with its ID and address since.
//
// Such a connection is dead, but nothing has closed it for this process. A request that must not
// be repeated would be lost on it, so it must be sent on a new one. Without a restart the
// connection is reused.
func TestConnectionsToPreviousIncarnationAreDiscarded(t *testing.T) {
	var connections atomic.Int64
	endpoint := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set("Stamp", "200")
		w.Write([]byte("a"))
	}))
	endpoint.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	endpoint.Start()
	defer endpoint.Close()
	s := newTestServer(t, singleRoute(routes.NonIdempotent, 1))
	known := map[string]fleet.Incarnation{}
	for n, row := range []struct{ born, connections int64 }{{100, 1}, {100, 1}, {200, 2}} {
		s.gateway.State.SetInstance(discovery.Instance{
			ID: "i", Born: row.born, Revision: objectapi.Revision(n + 5), Service: "s", Address: endpoint.Listener.Addr().String(), Domain: "a", Slots: 4,
		})
		known = s.gateway.syncEndpoints(known)
		if resp, _, err := s.do(s.newRequest("PUT", "/r/x", "b")); err != nil || resp.StatusCode != 200 {
			t.Fatalf("got %v %v, want status 200", resp, err)
		}
		if got := connections.Load(); got != row.connections {
			t.Errorf("request %d: %d connections were opened, want %d", n+1, got, row.connections)
		}
	}
}

// TestEndpointsAreSyncedWithTheConfiguration guards against endpoints, listed before their service was
// configured, that are used without their properties until the next sweep.
func TestEndpointsAreSyncedWithTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := discovery.NewState(fleet.Member{ID: "self", Incarnation: 1, Version: 1, Domain: "a"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
		g := &Gateway{Domain: "a", State: state, Directory: routing.NewDirectory(state.Table, state.Services, 100, 1), Pool: upstream.NewPool(nil), Log: zap.NewNop()}
		state.SetInstance(discovery.Instance{ID: "i-0", Revision: 2, Service: "s", Address: "10.0.0.1:80", Domain: "a", Slots: 4})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go g.RunEndpointSync(ctx)
		synctest.Wait()
		state.SetRoutes(routes.New(1, 1, nil, []routes.Service{{Name: "s"}}, nil, routes.Limits{}))
		synctest.Wait()
		c := g.Directory.Choose("s", nil, &routing.Request{PromptTokens: defaultPrefillRate, Now: time.Now()})
		if c.Member.ID != "i-0" || c.TTFT < 500*time.Millisecond || c.TTFT > 2*time.Second {
			t.Errorf("got %q in %v, want i-0, whose prefill is assumed to take a second", c.Member.ID, c.TTFT)
		}
	})
}
