package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/state/routes"
)

// crash ends an endpoint as the end of its process does: it listens no more, and its connections close.
func (s *site) crash(endpoint int) answerer {
	return func(net.Conn, *http.Request) { s.endpoints[endpoint].listener.Close() }
}

// observed collects a site's log.
func (s *site) observed() *observer.ObservedLogs {
	core, lines := observer.New(zap.InfoLevel)
	s.gateway.Log = zap.New(core)
	return lines
}

// TestCrashIsToldFromALostAnswer ends a run in each way and looks whether the log calls it a crash.
//
// A lost answer or a reset connection that counted as a crash would have the request blamed for it.
func TestCrashIsToldFromALostAnswer(t *testing.T) {
	torn := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 50\r\n\r\nhalf", testID, r.Header.Get(testID))
	}
	reset := func(c net.Conn, _ *http.Request) { c.(*net.TCPConn).SetLinger(0) }
	var s *site
	rows := []struct {
		name    string
		kind    routes.Kind
		end     answerer
		leaving bool
		crashed bool
	}{
		{"a crash", routes.NonIdempotent, func(c net.Conn, r *http.Request) { s.crash(0)(c, r) }, false, true},
		{"a crash inside a stream", routes.Streaming, func(c net.Conn, r *http.Request) { s.crash(0)(c, r); stream("", "1")(c, r) }, false, true},
		{"a crash inside an answer", routes.NonIdempotent, func(c net.Conn, r *http.Request) { s.crash(0)(c, r); torn(c, r) }, false, true},
		{"the end of one that leaves", routes.NonIdempotent, func(c net.Conn, r *http.Request) { s.crash(0)(c, r) }, true, false},
		{"a lost answer", routes.NonIdempotent, hangUp, false, false},
		{"a torn answer", routes.NonIdempotent, torn, false, false},
		{"a reset connection", routes.NonIdempotent, reset, false, false},
		{"a failure", routes.NonIdempotent, say(500, "sorry"), false, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			leave := func(c net.Conn, r *http.Request) {
				if row.leaving {
					s.gateway.State.SetInstance(discovery.Instance{
						ID: "i-0", Revision: 9, Service: "s", Address: s.endpoints[0].address, Domain: "a", Slots: 4, Leaving: true,
					})
				}
				row.end(c, r)
			}
			s = newSite(t, route(row.kind, 1), leave)
			lines := s.observed()
			s.ask(s.request("POST", "/r/x", "b"))
			s.server.Close()
			s.gateway.inquiries.wait()
			if got := lines.FilterMessage("endpoint crashed").Len() > 0; got != row.crashed {
				t.Errorf("told as a crash: %v, want %v", got, row.crashed)
			}
		})
	}
}
