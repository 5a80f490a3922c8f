package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/state/routes"
)

// firstBody is the answer to the first request on a kept-alive connection; it is also a valid event stream.
const firstBody = "data: first\n\n"

// keepAlive answers the first request on a connection, and calls next for the second one on it.
func keepAlive(next responder) responder {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\nStamp: 200\r\nContent-Length: %d\r\n\r\n%s", headerID, r.Header.Get(headerID), len(firstBody), firstBody)
		second, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		next(c, second)
	}
}

// TestStaleConnectionIsRetried guards against a lost answer when a kept-alive connection ends under a request that the only
// endpoint would serve on a fresh connection.
func TestStaleConnectionIsRetried(t *testing.T) {
	reset := func(c net.Conn, r *http.Request) { c.(*net.TCPConn).SetLinger(0) }
	partialAnswer := func(c net.Conn, r *http.Request) { fmt.Fprint(c, "HTTP/1.1 2") }
	events := respondStream(lastChunk, "1", "2")
	const whole = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	rows := []struct {
		name     string
		kind     routes.Kind
		attempts int
		budget   float64
		// reused and fresh answer the request on the reused connection and on later ones.
		reused, fresh responder
		status        int
		body          string
		arrivals      int32
	}{
		{"closed", routes.Idempotent, 2, 9, closeConn, respond(200, "whole"), 200, "whole", 2},
		{"reset", routes.Idempotent, 2, 9, reset, respond(200, "whole"), 200, "whole", 2},
		{"resumable stream", routes.Streaming, 2, 9, closeConn, events, 200, whole, 2},
		{"non-idempotent", routes.NonIdempotent, 2, 9, closeConn, respond(200, "whole"), 502, "", 1},
		{"one attempt allowed", routes.Idempotent, 1, 9, closeConn, respond(200, "whole"), 502, "", 1},
		{"retry budget used up", routes.Idempotent, 2, 0, closeConn, respond(200, "whole"), 502, "", 1},
		{"answer had begun", routes.Idempotent, 2, 9, partialAnswer, respond(200, "whole"), 502, "", 1},
		{"fresh connection closed too", routes.Idempotent, 3, 9, closeConn, closeConn, 502, "", 2},
		{"rejected on the fresh connection", routes.Idempotent, 3, 9, closeConn, reject, 502, "", 2},
		{"failed on the fresh connection", routes.Idempotent, 3, 9, closeConn, respond(500, "sorry"), 500, "sorry", 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var arrivals atomic.Int32
			countArrivals := func(next responder) responder {
				return func(c net.Conn, r *http.Request) {
					arrivals.Add(1)
					next(c, r)
				}
			}
			list := singleRoute(row.kind, row.attempts)
			list[0].Resumable = true
			s := newTestServer(t, list, firstThen(keepAlive(countArrivals(row.reused)), countArrivals(row.fresh)))
			s.gateway.RetryBudget = runs.NewRetryBudget(0, row.budget)
			if resp, body, err := s.do(s.newRequest("POST", "/r/x", "order")); err != nil || resp.StatusCode != 200 {
				t.Fatalf("first request: got %v %q %v, want status 200", resp, body, err)
			}
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "order"))
			if err != nil || resp.StatusCode != row.status || (row.body != "" && body != row.body) {
				t.Errorf("got %v %q %v, want status %d and the body of the test case", resp, body, err, row.status)
			}
			if got := arrivals.Load(); got != row.arrivals {
				t.Errorf("the request arrived %d times, want %d", got, row.arrivals)
			}
		})
	}
}

// TestOtherEndpointIsTriedBeforeStaleOne guards against a second attempt at an endpoint whose connection ended while
// another endpoint has not been tried.
func TestOtherEndpointIsTriedBeforeStaleOne(t *testing.T) {
	var ended atomic.Bool
	s := newTestServer(t, singleRoute(routes.Idempotent, 2), firstThen(keepAlive(func(c net.Conn, r *http.Request) { ended.Store(true) }), reject))
	if resp, _, err := s.do(s.newRequest("GET", "/r/x", "")); err != nil || resp.StatusCode != 200 {
		t.Fatalf("first request: got %v %v, want status 200", resp, err)
	}
	other := s.startEndpoint("i-1", respond(200, "whole"))
	s.gateway.State.SetInstance(discovery.Instance{ID: other.id, Revision: 9, Service: "s", Address: other.address, Domain: "a", Slots: 4})
	for range 100 {
		if resp, body, err := s.do(s.newRequest("GET", "/r/x", "")); err != nil || body != "whole" {
			t.Fatalf("got %v %q %v, want body \"whole\"", resp, body, err)
		}
		if ended.Load() {
			break
		}
	}
	if !ended.Load() || s.requestCount() != 1 {
		t.Errorf("kept-alive connection used: got %v, want true; further connections to its endpoint: got %d, want 0", ended.Load(), s.requestCount()-1)
	}
}

// TestAttemptsLogConnectionReuse guards against a log in which a stale connection looks like an endpoint that broke off.
func TestAttemptsLogConnectionReuse(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 2), firstThen(keepAlive(closeConn), respond(200, "whole")))
	core, logs := observer.New(zap.InfoLevel)
	s.gateway.Log = zap.New(core)
	for range 2 {
		if resp, _, err := s.do(s.newRequest("POST", "/r/x", "order")); err != nil || resp.StatusCode != 200 {
			t.Fatalf("got %v %v, want status 200", resp, err)
		}
	}
	lines := logs.FilterMessage("request").All()
	attempts := lines[1].ContextMap()["attempts"].([]attemptRecord)
	if len(attempts) != 2 {
		t.Fatalf("got %d attempts, want 2", len(attempts))
	}
	if reused := attempts[0]; !reused.Reused || reused.Answered || reused.Outcome != broken.String() {
		t.Errorf("first attempt: got %+v, want it on a reused connection, without an answer", reused)
	}
	if fresh := attempts[1]; fresh.Reused || !fresh.Answered || fresh.Outcome != delivered.String() {
		t.Errorf("second attempt: got %+v, want it on a fresh connection, delivered", fresh)
	}
}
