package gateway

import (
	"context"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/state/routes"
)

func limitLine(perSecond string) string { return headerLimit + ": " + perSecond }

// TestLimitedEndpointGetsNoMoreRequests guards against a request, or its retry, that goes to an endpoint
// which has named a limit of which this process has no share.
func TestLimitedEndpointGetsNoMoreRequests(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 3), respond(200, "limited", limitLine("1")), respond(500, "failed"))
	limited := s.endpoints[0]
	for limited.requestCount() == 0 {
		s.do(s.newRequest("GET", "/r/x", ""))
	}
	for range 10 {
		resp, body, err := s.do(s.newRequest("GET", "/r/x", ""))
		if err != nil || resp.StatusCode != http.StatusInternalServerError || body != "failed" {
			t.Errorf("got %v, %q, %v, want the other endpoint's answer", resp, body, err)
		}
	}
	if n := limited.requestCount(); n != 1 {
		t.Errorf("the limited endpoint got %d requests, want 1", n)
	}
}

// TestAllEndpointsLimited guards against a caller that waits although no endpoint may get its request.
func TestAllEndpointsLimited(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 3), respond(200, "limited", limitLine("1")))
	s.do(s.newRequest("GET", "/r/x", ""))
	resp, _, err := s.do(s.newRequest("GET", "/r/x", ""))
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || resp.Header.Get("X-Limpetwall-Ran") != "no" {
		t.Errorf("got %v %v, want 503, not run, with a time to come back", resp, err)
	}
	if n := s.requestCount(); n != 1 {
		t.Errorf("the endpoint got %d requests, want 1", n)
	}
}

// TestRejectionEndsNoLimit guards against a limit that ends because the endpoint rejects a request
// without naming it again.
func TestRejectionEndsNoLimit(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 1), firstThen(respond(200, "limited", limitLine("1")), reject))
	s.do(s.newRequest("GET", "/r/x", ""))
	instance, _ := s.gateway.State.Instance("i-0")
	asks := s.gateway.pushbackOf(instance)
	asks.SetShare(pushback.Share{RequestsPerSecond: 1000, Until: time.Now().Add(time.Minute)}, time.Now())
	for ok := false; !ok; ok, _ = asks.Allows(time.Now()) {
		runtime.Gosched()
	}
	s.do(s.newRequest("GET", "/r/x", ""))
	if s.requestCount() != 2 || asks.Limit().RequestsPerSecond != 1 {
		t.Errorf("got %d requests and a limit of %g, want 2 and 1", s.requestCount(), asks.Limit().RequestsPerSecond)
	}
}

// TestEndpointThatSaysItLeavesGetsNoMoreRequests guards against a request, or its retry, that goes to an
// endpoint whose answers say that it leaves, and against discovery that does not know: runs would not
// move elsewhere, and the endpoint's end would count as a crash.
func TestEndpointThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 3), respond(200, "last", headerLeaving+": 1"), respond(500, "failed"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.gateway.RunEndpointSync(ctx)
	draining := s.gateway.State.Draining("i-0")
	leaving := s.endpoints[0]
	for leaving.requestCount() == 0 {
		s.do(s.newRequest("GET", "/r/x", ""))
	}
	for range 10 {
		resp, body, err := s.do(s.newRequest("GET", "/r/x", ""))
		if err != nil || resp.StatusCode != http.StatusInternalServerError || body != "failed" {
			t.Errorf("got %v, %q, %v, want the other endpoint's answer", resp, body, err)
		}
	}
	if n := leaving.requestCount(); n != 1 {
		t.Errorf("the leaving endpoint got %d requests, want 1", n)
	}
	<-draining
	if i, _ := s.gateway.State.Instance("i-0"); !i.Leaving {
		t.Error("discovery does not know that the endpoint leaves")
	}
}

// TestEndpointThatAsksForRestGetsNoRequests guards against requests, and retries, to an endpoint that has
// turned one away with the time for which it accepts none, and against callers that wait for it.
func TestEndpointThatAsksForRestGetsNoRequests(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 3), respond(503, "", headerNotRun+": 1", "Retry-After: 30"), respond(500, "failed"))
	resting := s.endpoints[0]
	for resting.requestCount() == 0 {
		s.do(s.newRequest("GET", "/r/x", ""))
	}
	for range 10 {
		if resp, _, err := s.do(s.newRequest("GET", "/r/x", "")); err != nil || resp.StatusCode != http.StatusInternalServerError {
			t.Errorf("got %v, %v, want the other endpoint's answer", resp, err)
		}
	}
	if n := resting.requestCount(); n != 1 {
		t.Errorf("the resting endpoint got %d requests, want 1", n)
	}
	if i, _ := s.gateway.State.Instance("i-0"); !s.gateway.IsResting(i) || s.gateway.RestLeft(resting.address) < 20*time.Second {
		t.Error("calls of other kinds are not kept away from the resting endpoint")
	}
}

// TestOnlyEndpointRests guards against a caller that is asked to come back while the only endpoint still
// rests.
func TestOnlyEndpointRests(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 3), respond(503, "", headerNotRun+": 1", "Retry-After: 30"))
	for range 2 {
		resp, _, err := s.do(s.newRequest("GET", "/r/x", ""))
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Limpetwall-Ran") != "no" {
			t.Fatalf("got %v %v, want 503, not run", resp, err)
		}
		if after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); after < 20 {
			t.Errorf("got Retry-After %s, want what is left of 30 s", resp.Header.Get("Retry-After"))
		}
	}
	if n := s.requestCount(); n != 1 {
		t.Errorf("the endpoint got %d requests, want 1", n)
	}
}
