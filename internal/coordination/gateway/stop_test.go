package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/protocol/receipt"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/upstream"
)

// startStoppable serves the gateway in such a way that calling stop cuts its requests, as a forced stop does.
func (s *testServer) startStoppable() (stop func()) {
	hard, cut := context.WithCancelCause(context.Background())
	s.server = httptest.NewUnstartedServer(s.gateway)
	s.server.Config.BaseContext = func(net.Listener) context.Context { return hard }
	s.server.Start()
	s.t.Cleanup(s.server.Close)
	return func() { cut(runs.ErrStopping) }
}

// blockAfter returns a responder that calls before, sends on waiting, and then blocks until the connection closes.
func blockAfter(waiting chan<- struct{}, before responder) responder {
	return func(c net.Conn, r *http.Request) {
		before(c, r)
		waiting <- struct{}{}
		io.Copy(io.Discard, c)
	}
}

// TestForcedStopAnswersCallers forces a stop at each stage of a request.
//
// A stop ends the requests' contexts just as a caller that leaves does: waiting callers used to get
// a closed connection in place of an answer, and were logged as having left. The answer must also be
// true: 503, after which callers retry, only if no endpoint can have run the request. A stream that
// has begun must not look complete.
func TestForcedStopAnswersCallers(t *testing.T) {
	const order = "Content-Length: 5\r\n\r\norder"
	rows := []struct {
		name string
		kind routes.Kind
		// before is what the blocking endpoint writes before it blocks.
		before responder
		// second is what another endpoint answers before the blocking one gets the request; nil if
		// there is no other.
		second responder
		// unreachable makes all dials block, except the first one if second is set.
		unreachable bool
		sent        string
		got         receipt.Receipt
		status      int
		code        string
	}{
		{"non-idempotent, running", routes.NonIdempotent, closeConn, nil, false, order, receipt.Refusal, 502, "outcome_unknown"},
		{"idempotent, running", routes.Idempotent, closeConn, nil, false, order, receipt.Refusal, 502, "outcome_unknown"},
		{"stream before its first event", routes.Streaming, closeConn, nil, false, order, receipt.Refusal, 502, "outcome_unknown"},
		{"begun stream", routes.Streaming, respondStream("", "1"), nil, false, order, receipt.Part, 200, "outcome_unknown"},
		{"failed, and running again", routes.Idempotent, closeConn, respond(500, "sorry"), false, order, receipt.Answer, 500, "answered"},
		{"rejected, and running", routes.NonIdempotent, closeConn, reject, false, order, receipt.Refusal, 502, "outcome_unknown"},
		{"rejected, and not reached", routes.NonIdempotent, closeConn, reject, true, order, receipt.Refusal, 503, "stopping"},
		{"not reached", routes.NonIdempotent, closeConn, nil, true, order, receipt.Refusal, 503, "stopping"},
		{"incomplete body", routes.NonIdempotent, closeConn, nil, false, "Content-Length: 5\r\n\r\nor", receipt.Refusal, 503, "stopping"},
		{"incomplete chunked body", routes.NonIdempotent, closeConn, nil, false, "Transfer-Encoding: chunked\r\n\r\n5\r\nor", receipt.Refusal, 503, "stopping"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			waiting := make(chan struct{}, 1)
			responders := []responder{blockAfter(waiting, row.before)}
			if row.second != nil {
				answerThenBlock := firstThen(row.second, responders[0])
				responders = []responder{answerThenBlock, answerThenBlock}
			}
			s := newTestServer(t, singleRoute(row.kind, 2), responders...)
			if row.unreachable {
				s.gateway.Pool = upstream.NewPool(blockingDial(waiting, row.second != nil))
			}
			core, lines := observer.New(zap.InfoLevel)
			s.gateway.Log = zap.New(core)
			stop := s.startStoppable()
			c := s.sendRaw(row.sent)
			reader := bufio.NewReader(c)
			switch {
			case !strings.HasSuffix(row.sent, order):
				s.waitInFlight()
			case row.got == receipt.Part:
				<-waiting
				if line, err := reader.ReadString('\n'); err != nil || line != "HTTP/1.1 200 OK\r\n" {
					t.Fatalf("status line: got %q, error %v, want 200 OK", line, err)
				}
			default:
				<-waiting
			}
			stop()
			s.checkAnswer(reader, row.got, row.status)
			c.Close()
			s.server.Close()
			line := lines.FilterMessage("request").All()[0].ContextMap()
			if line["caller_got"] != string(row.got) || line["caller_status"] != int64(row.status) {
				t.Errorf("logged: got caller_got %v, caller_status %v; want %v, %v", line["caller_got"], line["caller_status"], row.got, row.status)
			}
			counter := "gateway.requests." + row.kind.String() + "." + row.code
			if n := metrics.GetOrRegisterCounter(counter, s.gateway.Metrics).Count(); n != 1 {
				t.Errorf("%s: got %d, want 1", counter, n)
			}
		})
	}
}

// sendRaw opens a connection and sends a request; framed holds its framing header and body.
func (s *testServer) sendRaw(framed string) net.Conn {
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	// The test must not hang if the gateway neither answers nor closes the connection.
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n%s: key\r\n%s", headerID, headerKey, framed)
	return c
}

// waitInFlight waits until the gateway has a request in flight.
func (s *testServer) waitInFlight() {
	for s.gateway.InFlight() == 0 {
		runtime.Gosched()
	}
}

// checkAnswer checks what the caller gets of a request that was cut.
func (s *testServer) checkAnswer(r *bufio.Reader, got receipt.Receipt, status int) {
	s.t.Helper()
	if got == receipt.Part {
		if rest, err := io.ReadAll(r); strings.HasSuffix(string(rest), lastChunk) {
			s.t.Errorf("the cut stream ends as a complete one does: got %q, error %v", rest, err)
		}
		return
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		s.t.Errorf("the caller got error %v, want status %d", err, status)
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status || resp.Header.Get(headerID) != "id-1" {
		s.t.Errorf("the caller got %v, %q, %v; want status %d", resp, body, err, status)
	}
	if hasRetryAfter := resp.Header.Get("Retry-After") != ""; hasRetryAfter != (status == http.StatusServiceUnavailable) {
		s.t.Errorf("got a Retry-After header: %v; want one with status 503 only", hasRetryAfter)
	}
	if ran := resp.Header.Get("X-Limpetwall-Ran"); got == receipt.Refusal && (ran == "no") != (status == http.StatusServiceUnavailable) {
		s.t.Errorf("status %d with X-Limpetwall-Ran %q; want \"no\" with 503 only", status, ran)
	}
}

// blockingDial returns a dial function that blocks until its context ends. If first is true, the first dial succeeds.
func blockingDial(waiting chan<- struct{}, first bool) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if first {
			first = false
			return new(net.Dialer).DialContext(ctx, network, address)
		}
		waiting <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// TestCallerLeftBeforeForcedStop guards against logging an answer to a caller that had already left
// when the stop was forced.
func TestCallerLeftBeforeForcedStop(t *testing.T) {
	waiting := make(chan struct{}, 1)
	s := newTestServer(t, singleRoute(routes.NonIdempotent, 1), closeConn)
	dialEnded := make(chan struct{})
	var stop func()
	s.gateway.Pool = upstream.NewPool(func(ctx context.Context, _, _ string) (net.Conn, error) {
		waiting <- struct{}{}
		<-ctx.Done()
		stop()
		close(dialEnded)
		return nil, ctx.Err()
	})
	core, lines := observer.New(zap.InfoLevel)
	s.gateway.Log = zap.New(core)
	stop = s.startStoppable()
	c := s.sendRaw("Content-Length: 5\r\n\r\norder")
	<-waiting
	c.Close()
	<-dialEnded
	s.server.Close()
	line := lines.FilterMessage("request").All()[0].ContextMap()
	if _, hasStatus := line["caller_status"]; hasStatus || line["caller_got"] != string(receipt.Nothing) {
		t.Errorf("logged: got caller_got %v, caller_status %v; want nothing and no status", line["caller_got"], line["caller_status"])
	}
	if n := metrics.GetOrRegisterCounter("gateway.requests.non_idempotent.left", s.gateway.Metrics).Count(); n != 1 {
		t.Errorf("got %d requests counted as left by their callers, want 1", n)
	}
}

// TestLineOfCutStreamShowsTheStopsPart guards against a line of a cut stream that does not tell whether the stop or the
// endpoint ended it.
func TestLineOfCutStreamShowsTheStopsPart(t *testing.T) {
	waiting := make(chan struct{}, 1)
	s := newTestServer(t, singleRoute(routes.Streaming, 1), blockAfter(waiting, respondStream("", "1", "2")))
	core, lines := observer.New(zap.InfoLevel)
	s.gateway.Log = zap.New(core)
	stop := s.startStoppable()
	reader := bufio.NewReader(s.sendRaw("Content-Length: 5\r\n\r\norder"))
	<-waiting
	for seen := ""; !strings.Contains(seen, "id: 2"); {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		seen += line
	}
	s.gateway.SetDrainWindow(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
	stop()
	io.Copy(io.Discard, reader)
	s.server.Close()
	line := lines.FilterMessage("request").All()[0].ContextMap()
	if line["events"] != int64(2) || line["last_event_ago"] == nil || line["stopping_for"] == nil {
		t.Errorf("got events %v, last_event_ago %v, stopping_for %v; want 2 and two times", line["events"], line["last_event_ago"], line["stopping_for"])
	}
	if began, _ := line["began_in_stop"].(time.Duration); began >= 0 {
		t.Errorf("got began_in_stop %v, want a negative time: the request began before the stop", began)
	}
}
