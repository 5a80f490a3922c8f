package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/time/rate"

	"limpetwall/internal/protocol/receipt"
	"limpetwall/internal/state/routes"
)

// TestRequestLogNamesWhatCallerReceived ends requests in different ways and compares the log line with what the
// caller received.
//
// A stream that breaks after its first event ends with a 502 internally, while the caller has received a 200 and
// a broken connection. With the 502 alone in the log, on-call would look for a 502 that nobody received.
func TestRequestLogNamesWhatCallerReceived(t *testing.T) {
	rows := []struct {
		name     string
		kind     routes.Kind
		endpoint responder
		got      receipt.Receipt
		status   int64
		cuts     int64
	}{
		{"an endpoint's answer", routes.NonIdempotent, respond(201, "a"), receipt.Answer, 201, 0},
		{"an endpoint's failure", routes.NonIdempotent, respond(500, "sorry"), receipt.Answer, 500, 0},
		{"a refusal", routes.NonIdempotent, reject, receipt.Refusal, 503, 0},
		{"an unknown outcome", routes.NonIdempotent, closeConn, receipt.Refusal, 502, 0},
		{"a stream", routes.Streaming, respondStream(lastChunk, "1"), receipt.Answer, 200, 0},
		{"a stream that breaks", routes.Streaming, respondStream("", "1"), receipt.Part, 200, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			core, lines := observer.New(zap.InfoLevel)
			s := newTestServer(t, singleRoute(row.kind, 1), row.endpoint)
			s.gateway.Log = zap.New(core)
			resp, _, err := s.do(s.newRequest("POST", "/r/x", "b"))
			if cut := err != nil; cut != (row.got == receipt.Part) || (resp != nil && int64(resp.StatusCode) != row.status) {
				t.Errorf("the caller got %v, error %v", resp, err)
			}
			s.server.Close()
			line := lines.FilterMessage("request").All()[0].ContextMap()
			if line["caller_got"] != string(row.got) || line["caller_status"] != row.status {
				t.Errorf("the log has receipt %v, status %v; want %v, %v", line["caller_got"], line["caller_status"], row.got, row.status)
			}
			if cuts := metrics.GetOrRegisterCounter("gateway.answers_cut", s.gateway.Metrics).Count(); cuts != row.cuts {
				t.Errorf("got %d answers cut off, want %d", cuts, row.cuts)
			}
		})
	}
}

// TestRequestLogOfDisconnectedCaller disconnects a caller while an endpoint runs its request: the log line must
// name no status, because the caller received none.
func TestRequestLogOfDisconnectedCaller(t *testing.T) {
	arrived := make(chan struct{})
	blockUntilClosed := func(c net.Conn, _ *http.Request) {
		close(arrived)
		io.Copy(io.Discard, c)
	}
	core, lines := observer.New(zap.InfoLevel)
	s := newTestServer(t, singleRoute(routes.NonIdempotent, 1), blockUntilClosed)
	s.gateway.Log = zap.New(core)
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-arrived
		leave()
	}()
	if _, _, err := s.do(s.newRequest("POST", "/r/x", "b").WithContext(ctx)); err == nil {
		t.Error("the caller got an answer, want an error: it has disconnected")
	}
	s.server.Close()
	line := lines.FilterMessage("request").All()[0].ContextMap()
	if _, present := line["caller_status"]; present || line["caller_got"] != string(receipt.Nothing) {
		t.Errorf("the log has receipt %v, status %v; want nothing and no status", line["caller_got"], line["caller_status"])
	}
}

// TestRequestLogWithoutDeadline guards against a time of minus 292 years in the log line of a request that is refused
// before its deadline is set.
func TestRequestLogWithoutDeadline(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	s := newTestServer(t, singleRoute(routes.Idempotent, 1), respond(200, "a"))
	s.gateway.Log = zap.New(core)
	if resp, _, err := s.do(s.newRequest("GET", "/nowhere/x", "")); err != nil || resp.StatusCode == http.StatusOK {
		t.Fatal(resp, err)
	}
	s.server.Close()
	if given, present := lines.FilterMessage("request").All()[0].ContextMap()["time_given"]; present {
		t.Errorf("got time_given %v, want none", given)
	}
}

// TestLinesOfCutRequestsAreNotDropped guards against a forced stop that cuts more requests at once than lines a second are
// written, so that nothing tells what became of them.
func TestLinesOfCutRequestsAreNotDropped(t *testing.T) {
	const requests = 6
	waiting := make(chan struct{}, requests)
	s := newTestServer(t, singleRoute(routes.Streaming, 1), blockAfter(waiting, respondStream("", "1")))
	s.gateway.RequestLogLimiter = rate.NewLimiter(1, 1)
	logs := s.observeLogs()
	stop := s.startStoppable()
	for range requests {
		s.sendRaw("Content-Length: 5\r\n\r\norder")
		<-waiting
	}
	stop()
	s.server.Close()
	if n := logs.FilterMessage("request").Len(); n != requests {
		t.Errorf("got %d lines of %d requests that were cut", n, requests)
	}
}
