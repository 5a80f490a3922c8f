package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

// TestConnectionsToPreviousIncarnationAreDiscarded lets an endpoint start again under its id, at its address,
// while a connection to it is idle.
//
// The connection is dead, though nothing has told this process so. A request that may not be
// repeated would be lost on it: it must go out on a new one. Without a restart the
// connection is kept.
func TestConnectionsToPreviousIncarnationAreDiscarded(t *testing.T) {
	var connections atomic.Int64
	endpoint := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerID, r.Header.Get(headerID))
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
			ID: "i", Born: row.born, Revision: uint64(n + 5), Service: "s", Address: endpoint.Listener.Addr().String(), Domain: "a", Slots: 4,
		})
		known = s.gateway.syncEndpoints(known)
		if resp, _, err := s.do(s.newRequest("PUT", "/r/x", "b")); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v %v", resp, err)
		}
		if got := connections.Load(); got != row.connections {
			t.Errorf("request %d: %d connections were opened, want %d", n+1, got, row.connections)
		}
	}
}
