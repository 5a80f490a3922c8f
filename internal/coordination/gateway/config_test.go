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

// TestStaleConfigRefusalsAreRetryable uses a new key and a new route with a gateway that is cut off from the
// store and does not know them yet.
//
// A 401 would make the caller give up a valid key, so it must be asked to retry instead.
func TestStaleConfigRefusalsAreRetryable(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 1), respond(200, "a"))
	s.gateway.Watcher.RecordAnswer(time.Now().Add(-configStaleAfter - time.Second))
	for _, path := range []string{"/r/x", "/new/x"} {
		resp, _, err := s.do(s.newRequest("GET", path, "", headerKey+": new"))
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: got %v, error %v; want status 503 with Retry-After", path, resp, err)
		}
	}
}

// TestKeysOfStaleConfig sends requests to a gateway that the store no longer answers.
//
// A revoked key must be refused everywhere within a bounded time. A gateway that can't learn of revocations then
// accepts no keys and reports that it is not ready, but still serves public routes. Callers are asked to retry.
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
				t.Errorf("got %v, error %v; want the row's status", resp, err)
			}
			w := httptest.NewRecorder()
			s.gateway.ServeReady(w, nil)
			if ready := w.Code == 200; ready != (row.validFor == 0) {
				t.Errorf("got readiness status %d", w.Code)
			}
		})
	}
}

func TestNoConfigYet(t *testing.T) {
	s := newTestServer(t, nil)
	s.gateway.State = discovery.NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
	resp, _, err := s.do(s.newRequest("GET", "/r/x", ""))
	if err != nil || resp.StatusCode != 503 {
		t.Errorf("got %v, error %v; want status 503", resp, err)
	}
	w := httptest.NewRecorder()
	s.gateway.ServeReady(w, nil)
	if w.Code != 503 {
		t.Errorf("got readiness status %d, want 503", w.Code)
	}
}

// TestRequestLogIsRateLimited sends more requests than the limiter lets into the log. All must be answered, and
// those missing in the log must be counted.
func TestRequestLogIsRateLimited(t *testing.T) {
	// The endpoint closes each connection, so the next request must not be sent on it.
	s := newTestServer(t, singleRoute(routes.Idempotent, 1), respond(200, "a"))
	core, lines := observer.New(zapcore.InfoLevel)
	s.gateway.Log = zap.New(core)
	const logged, sent = 3, 8
	s.gateway.RequestLogLimiter = rate.NewLimiter(0, logged)
	for range sent {
		if resp, _, err := s.do(s.newRequest("GET", "/r/x", "")); err != nil || resp.StatusCode != 200 {
			t.Fatalf("got %v, error %v; want status 200", resp, err)
		}
	}
	// The log line is written after the answer; Close waits for both.
	s.server.Close()
	dropped := metrics.GetOrRegisterCounter("gateway.request_lines_dropped", s.gateway.Metrics).Count()
	if got := lines.FilterMessage("request").Len(); got != logged || dropped != sent-logged {
		t.Errorf("got %d log lines, %d dropped; want 3 and 5", got, dropped)
	}
}

// TestCustomerPriorityDecidesOverload checks how long prompts may wait before they are refused, for customers with and
// without a priority of their own.
//
// A customer's priority takes precedence over the route's, for refusals as for scheduling in the engines, and the route's
// decides among customers with the same priority.
func TestCustomerPriorityDecidesOverload(t *testing.T) {
	list := []routes.Route{
		{Name: "urgent", Host: "h", Prefix: "/u/", Priority: 0, Objective: time.Second, Targets: []routes.Target{{Service: "s", Weight: 1}}},
		{Name: "patient", Host: "h", Prefix: "/p/", Priority: 2, Objective: 3 * time.Second, Targets: []routes.Target{{Service: "s", Weight: 1}}},
	}
	services := []routes.Service{{Name: "s", Engine: &routes.Engine{}}}
	with := func(priority int) routes.Customer { return routes.Customer{HasPriority: true, Priority: priority} }
	for _, row := range []struct {
		name      string
		customers []routes.Customer
		route     int
		customer  int
		wait      time.Duration
		refused   bool
	}{
		{"urgent route, no keys", nil, 0, -1, 700 * time.Millisecond, false},
		{"patient route, no keys", nil, 1, -1, 400 * time.Millisecond, true},
		{"urgent route, customer without a priority", []routes.Customer{{}}, 0, 0, 700 * time.Millisecond, false},
		{"urgent route, customers alike", []routes.Customer{with(1), with(1)}, 0, 0, 700 * time.Millisecond, false},
		{"patient route, customers alike", []routes.Customer{with(1), with(1)}, 1, 0, 400 * time.Millisecond, true},
		{"urgent customer on the patient route", []routes.Customer{with(0), with(9)}, 1, 0, 500 * time.Millisecond, false},
		{"patient customer on the urgent route", []routes.Customer{with(0), with(9)}, 0, 1, 500 * time.Millisecond, true},
		{"patient customer on the patient route", []routes.Customer{with(0), with(9)}, 1, 1, 400 * time.Millisecond, true},
	} {
		table := routes.New(1, 1, list, services, row.customers, routes.Limits{})
		x := &exchange{table: table, route: &list[row.route], service: &services[0], deadline: time.Now().Add(time.Minute)}
		if row.customer >= 0 {
			x.customer = &row.customers[row.customer]
		}
		x.urgency = table.Urgency(x.customer, x.route, "s")
		refused := x.refuseOverload(routing.Choice{Wait: row.wait, TTFT: row.wait + 100*time.Millisecond}, 0)
		if (refused != nil) != row.refused {
			t.Errorf("%s: got refusal %v", row.name, refused)
		}
	}
}
