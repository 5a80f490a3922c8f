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

	"limpetwall/internal/protocol/receipt"
	"limpetwall/internal/state/routes"
)

// TestRequestLogNamesWhatCallerReceived ends exchanges in each way and compares the request's
// line with what its caller saw.
//
// A stream that breaks after its first event ends with a decision of 502, and its caller
// has a 200 and a cut connection. A line that says 502 alone sends on-call looking for a 502
// that nobody received.
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
				t.Errorf("the caller saw %v, %v", resp, err)
			}
			s.server.Close()
			line := lines.FilterMessage("request").All()[0].ContextMap()
			if line["caller_got"] != string(row.got) || line["caller_status"] != row.status {
				t.Errorf("the line says %v, status %v; want %v, %v", line["caller_got"], line["caller_status"], row.got, row.status)
			}
			if cuts := metrics.GetOrRegisterCounter("gateway.answers_cut", s.gateway.Metrics).Count(); cuts != row.cuts {
				t.Errorf("answers cut: %d, want %d", cuts, row.cuts)
			}
		})
	}
}

// TestRequestLogOfDisconnectedCaller lets a caller leave while an endpoint is at work: the line
// names no status, as none arrived.
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
		t.Error("the caller did not leave")
	}
	s.server.Close()
	line := lines.FilterMessage("request").All()[0].ContextMap()
	if _, present := line["caller_status"]; present || line["caller_got"] != string(receipt.Nothing) {
		t.Errorf("the line says %v, status %v", line["caller_got"], line["caller_status"])
	}
}

// TestRequestLogWithoutDeadline guards against a log that tells of minus 292 years.
func TestRequestLogWithoutDeadline(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	s := newTestServer(t, singleRoute(routes.Idempotent, 1), respond(200, "a"))
	s.gateway.Log = zap.New(core)
	if resp, _, err := s.do(s.newRequest("GET", "/nowhere/x", "")); err != nil || resp.StatusCode == http.StatusOK {
		t.Fatal(resp, err)
	}
	s.server.Close()
	if given, present := lines.FilterMessage("request").All()[0].ContextMap()["time_given"]; present {
		t.Errorf("time_given is %v", given)
	}
}
