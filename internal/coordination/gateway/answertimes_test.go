package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"limpetwall/internal/state/routes"
)

// TestAnswerTimes checks that nearly all answers of a route end within its time, and that the number of routes is bounded.
func TestAnswerTimes(t *testing.T) {
	var a answerTimes
	if got := a.most("unknown"); got != 0 {
		t.Errorf("got %v for a route without answers, want 0", got)
	}
	a.observe("rare", time.Minute)
	if got := a.most("rare"); got != 0 {
		t.Errorf("got %v after a single answer, want 0", got)
	}
	for i := range 1000 {
		a.observe("steady", time.Second)
		a.observe("mixed", time.Duration(1+i%5)*time.Second)
	}
	if got := a.most("steady"); got < time.Second || got > 1100*time.Millisecond {
		t.Errorf("got %v for answers of 1 s, want about that", got)
	}
	// Answers of 1 to 5 s: their mean is 3 s, their mean deviation 1.2 s.
	if got := a.most("mixed"); got < 5*time.Second || got > 8*time.Second {
		t.Errorf("got %v for answers of 1 to 5 s, want from 5 to 8 s", got)
	}
	for i := range 3 * maxRoutes {
		a.observe(fmt.Sprint("r", i), time.Second)
	}
	if len(a.byRoute) > maxRoutes {
		t.Errorf("got %d routes, want at most %d", len(a.byRoute), maxRoutes)
	}
}

// TestStoppingGatewayRefusesWhatWouldBeCut guards against a stream that a stopping gateway accepts although streams of its kind
// take longer than is left, and cuts when it exits.
func TestStoppingGatewayRefusesWhatWouldBeCut(t *testing.T) {
	for _, row := range []struct {
		name   string
		takes  time.Duration
		status int
		sent   int
	}{
		{"answers end in time", time.Second, http.StatusOK, 1},
		{"answers take longer than is left", 10 * time.Second, http.StatusServiceUnavailable, 0},
		{"nothing is known of the route", 0, http.StatusOK, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newTestServer(t, singleRoute(routes.Streaming, 1), respondStream(lastChunk, "1"))
			if row.takes > 0 {
				for range minAnswers {
					s.gateway.answerTimes.observe("r", row.takes)
				}
			}
			s.gateway.SetDrainWindow(time.Now().Add(time.Minute), time.Now().Add(5*time.Second))
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
			if err != nil || resp.StatusCode != row.status || s.requestCount() != row.sent {
				t.Fatalf("got %v %q, error %v, %d requests sent; want status %d and %d sent", resp, body, err, s.requestCount(), row.status, row.sent)
			}
			if row.sent == 0 && (resp.Header.Get("Retry-After") == "" || resp.Header.Get("X-Limpetwall-Ran") != "no") {
				t.Errorf("the refusal lacks a time to come back or the promise that nothing ran: %v", resp.Header)
			}
		})
	}
}
