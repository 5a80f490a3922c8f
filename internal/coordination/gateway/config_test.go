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
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

// TestOutdatedConfigurationRefusesNobodyForGood asks with a key that an entry, cut
// off from the store, has not heard of yet.
//
// "Unknown key" would make the caller give up a key that is good: it is told to
// come back instead.
func TestOutdatedConfigurationRefusesNobodyForGood(t *testing.T) {
	s := newSite(t, route(routes.Idempotent, 1), say(200, "a"))
	s.gateway.Watcher.Heard(time.Now().Add(-staleAfter - time.Second))
	for _, path := range []string{"/r/x", "/new/x"} {
		resp, _, err := s.ask(s.request("GET", path, "", testKey+": new"))
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %v %v", path, resp, err)
		}
	}
}

// TestKeysOfAnOutdatedConfiguration asks a gateway that the store does not answer any more.
//
// Operators who take a key away want it refused everywhere in time. A gateway that can't
// learn of it serves nobody by keys then and takes no new callers, but goes on with public
// routes; callers are told to come back.
func TestKeysOfAnOutdatedConfiguration(t *testing.T) {
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
			list := route(routes.Idempotent, 1)
			list[0].Public = row.public
			s := newSite(t, list, say(200, "a"))
			s.gateway.KeysValidFor = row.validFor
			resp, _, err := s.ask(s.request("GET", "/r/x", "", testKey+": key"))
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

func TestNoConfigurationYet(t *testing.T) {
	s := newSite(t, nil)
	s.gateway.State = discovery.NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
	resp, _, err := s.ask(s.request("GET", "/r/x", ""))
	if err != nil || resp.StatusCode != 503 {
		t.Errorf("%v %v", resp, err)
	}
	w := httptest.NewRecorder()
	s.gateway.ServeReady(w, nil)
	if w.Code != 503 {
		t.Errorf("ready says %d", w.Code)
	}
}

// TestRequestLinesAreBounded sends more requests than the log may tell of.
//
// All are answered; what the log leaves out is counted.
func TestRequestLinesAreBounded(t *testing.T) {
	s := newSite(t, route(routes.Idempotent, 1), say(200, "a"))
	core, lines := observer.New(zapcore.InfoLevel)
	s.gateway.Log = zap.New(core)
	const told, sent = 3, 8
	s.gateway.RequestLines = rate.NewLimiter(0, told)
	for range sent {
		if resp, _, err := s.ask(s.request("GET", "/r/x", "")); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v %v", resp, err)
		}
	}
	// A request's line is written after its answer: the server's end waits for both.
	s.server.Close()
	dropped := metrics.GetOrRegisterCounter("gateway.request_lines_dropped", s.gateway.Metrics).Count()
	if got := lines.FilterMessage("request").Len(); got != told || dropped != sent-told {
		t.Errorf("%d lines, %d dropped", got, dropped)
	}
}
