package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/time/rate"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

// TestStaleConfigRefusalsAreRetryable asks with a key that an entry, cut
// off from the store, has not heard of yet.
//
// "Unknown key" would make the caller give up a key that is good: it is told to
// come back instead.
func TestStaleConfigRefusalsAreRetryable(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 1), respond(200, "a"))
	s.gateway.Watcher.Heard(time.Now().Add(-configStaleAfter - time.Second))
	for _, path := range []string{"/r/x", "/new/x"} {
		resp, _, err := s.do(s.newRequest("GET", path, "", headerKey+": new"))
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %v %v", path, resp, err)
		}
	}
}

// TestKeysOfStaleConfig asks a gateway that the store does not answer any more.
//
// Operators who take a key away want it refused everywhere in time. A gateway that can't
// learn of it serves nobody by keys then and takes no new callers, but goes on with public
// routes; callers are told to come back.
func TestKeysOfStaleConfig(t *testing.T) {
	for _, row := range []struct {
		name     string
		validFor time.Duration
		public   bool
		status   int
	}{
		{"no limit", 0, false, 200},
		{"limit", time.Second, false, 503},
		{"public route", time.Second, true, 200},
	} {
		t.Run(row.name, func(t *testing.T) {
			list := singleRoute(routes.Idempotent, 1)
			list[0].Public = row.public
			s := newTestServer(t, list, respond(200, "a"))
			s.gateway.KeysValidFor = row.validFor
			resp, _, err := s.do(s.newRequest("GET", "/r/x", "", headerKey+": key"))
			if err != nil || resp.StatusCode != row.status {
				t.Errorf("%v %v", resp, err)
			}
			w := httptest.NewRecorder()
			s.gateway.ServeReady(w, nil)
			if ready := w.Code == 200; ready != (row.validFor == 0) {
				t.Errorf("ready says %d", w.Code)
			}
		})
	}
}

func TestNoConfigYet(t *testing.T) {
	s := newTestServer(t, nil)
	s.gateway.State = discovery.NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
	resp, _, err := s.do(s.newRequest("GET", "/r/x", ""))
	if err != nil || resp.StatusCode != 503 {
		t.Errorf("%v %v", resp, err)
	}
	w := httptest.NewRecorder()
	s.gateway.ServeReady(w, nil)
	if w.Code != 503 {
		t.Errorf("ready says %d", w.Code)
	}
}

// TestRequestLogIsRateLimited sends more requests than the log may tell of.
//
// All are answered; what the log leaves out is counted.
func TestRequestLogIsRateLimited(t *testing.T) {
	// The endpoint closes each connection: the next request must not go out on it.
	s := newTestServer(t, singleRoute(routes.Idempotent, 1), respond(200, "a"))
	core, lines := observer.New(zapcore.InfoLevel)
	s.gateway.Log = zap.New(core)
	const logged, sent = 3, 8
	s.gateway.RequestLogLimiter = rate.NewLimiter(0, logged)
	for range sent {
		if resp, _, err := s.do(s.newRequest("GET", "/r/x", "")); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v %v", resp, err)
		}
	}
	// A request's line is written after its answer: the server's end waits for both.
	s.server.Close()
	dropped := metrics.GetOrRegisterCounter("gateway.request_lines_dropped", s.gateway.Metrics).Count()
	if got := lines.FilterMessage("request").Len(); got != logged || dropped != sent-logged {
		t.Errorf("%d lines, %d dropped", got, dropped)
	}
}

// TestCustomerPriorityDecidesOverload asks whether a prompt should wait for half of its
// objective, for customers with a priority of their own on an urgent route.
//
// What operators say of a customer goes before what they say of the route, in refusals as
// at the engines.
func TestCustomerPriorityDecidesOverload(t *testing.T) {
	list := []routes.Route{
		{Name: "urgent", Host: "h", Prefix: "/u/", Priority: 0, Objective: time.Second, Targets: []routes.Target{{Service: "s", Weight: 1}}},
		{Name: "patient", Host: "h", Prefix: "/p/", Priority: 2, Objective: time.Second, Targets: []routes.Target{{Service: "s", Weight: 1}}},
	}
	services := []routes.Service{{Name: "s", Engine: &routes.Engine{}}}
	table := routes.New(1, 1, list, services, nil, routes.Limits{})
	for _, row := range []struct {
		name     string
		route    int
		customer *routes.Customer
		refused  bool
	}{
		{"urgent route", 0, nil, false},
		{"patient route", 1, nil, true},
		{"customer without a priority", 0, &routes.Customer{}, false},
		{"patient customer on the urgent route", 0, &routes.Customer{HasPriority: true, Priority: 2}, true},
		{"urgent customer on the patient route", 1, &routes.Customer{HasPriority: true, Priority: 0}, false},
		{"customer beyond all routes", 0, &routes.Customer{HasPriority: true, Priority: 9}, true},
	} {
		x := &exchange{table: table, route: &list[row.route], service: &services[0], customer: row.customer, deadline: time.Now().Add(time.Minute)}
		refused := x.refuseOverload(routing.Choice{Wait: 500 * time.Millisecond, TTFT: 600 * time.Millisecond}, 0)
		if (refused != nil) != row.refused {
			t.Errorf("%s: %v", row.name, refused)
		}
	}
}
