package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/state/routes"
)

// TestLastEndpointsFailureReachesCaller asks where only one endpoint is left.
//
// Callers saw their connection closed without an answer. The last endpoint ran the request, failed and
// said so; it might be repeated, but nobody else was left to ask. The failure was written to the caller by
// the decision "nobody left", whose absent refusal the loop of attempts took for "go on": the next attempt had no
// endpoint and failed, and that error cut the connection before the answer had left its buffer.
// Evidence: in the log of each such request the 500 was followed by an attempt at an empty endpoint
// ("dial tcp: missing address"), and with one endpoint that fails it happened always.
func TestLastEndpointsFailureReachesCaller(t *testing.T) {
	rows := []struct {
		name      string
		kind      routes.Kind
		resumable bool
		endpoint  responder
		status    int
		body      string
	}{
		{"failed", routes.Idempotent, false, respond(500, "sorry"), 500, "sorry"},
		{"failed with a status that callers may hear", routes.Idempotent, false, respond(503, "busy"), 503, "busy"},
		{"a stream that failed before it began", routes.Streaming, true, respond(500, "sorry"), 500, "sorry"},
		{"broken", routes.Idempotent, false, closeConn, 502, ""},
		{"rejected", routes.Idempotent, false, reject, 503, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			list := singleRoute(row.kind, 3)
			list[0].Resumable = row.resumable
			s := newTestServer(t, list, row.endpoint)
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "order"))
			if err != nil || resp.StatusCode != row.status {
				t.Fatalf("the caller got %v, %v; want status %d", resp, err, row.status)
			}
			if row.body != "" && (body != row.body || resp.Header.Get("Stamp") != fmt.Sprint(row.status)) {
				t.Errorf("%q, stamp %q", body, resp.Header.Get("Stamp"))
			}
			if attempts := metrics.GetOrRegisterCounter("gateway.attempts.not_reached", s.gateway.Metrics).Count(); attempts != 0 || s.requestCount() != 1 {
				t.Errorf("the endpoint got %d requests, and %d attempts went nowhere; want 1 and none", s.requestCount(), attempts)
			}
		})
	}
}

// TestHalfClosedCallerGetsNoEmptyAnswer lets a caller close its sending side and read on.
//
// Its end of input counts as leaving: the endpoint is told to stop. A handler that returns then without
// having written makes net/http answer an empty 200, and one that returns in the middle of a stream
// makes it write the stream's end: the caller would take either for an endpoint's whole answer. The
// connection must break instead.
func TestHalfClosedCallerGetsNoEmptyAnswer(t *testing.T) {
	blockUntilClosed := func(c net.Conn, r *http.Request) { io.Copy(io.Discard, c) }
	begins := func(c net.Conn, r *http.Request) {
		respondStream("", "1")(c, r)
		blockUntilClosed(c, r)
	}
	rows := []struct {
		name     string
		kind     routes.Kind
		endpoint responder
		// before is what the caller has read when it stops sending.
		before string
	}{
		{"idempotent", routes.Idempotent, blockUntilClosed, ""},
		{"non-idempotent", routes.NonIdempotent, blockUntilClosed, ""},
		{"a stream before its first event", routes.Streaming, blockUntilClosed, ""},
		{"a stream", routes.Streaming, begins, "data: 1\n"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			arrived, closed := make(chan struct{}), make(chan struct{})
			s := newTestServer(t, singleRoute(row.kind, 2), func(c net.Conn, r *http.Request) {
				close(arrived)
				row.endpoint(c, r)
				close(closed)
			})
			c, err := net.Dial("tcp", s.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n%s: key\r\nContent-Length: 2\r\n\r\nab", headerID, headerKey)
			<-arrived
			reader := bufio.NewReader(c)
			read := ""
			for row.before != "" && !strings.HasSuffix(read, row.before) {
				line, err := reader.ReadString('\n')
				if err != nil {
					t.Fatalf("after %q: %v", read, err)
				}
				read += line
			}
			c.(*net.TCPConn).CloseWrite()
			// However the connection ends, what came before counts.
			rest, _ := io.ReadAll(reader)
			if row.before == "" && len(rest) > 0 {
				t.Errorf("the caller got an answer that nobody gave: %q", rest)
			}
			if strings.HasSuffix(string(rest), lastChunk) {
				t.Errorf("the stream ends as if it were whole: %q", rest)
			}
			<-closed
		})
	}
}

// TestBufferedFailureIsSentAtDeadline lets the first endpoint fail and the second fall silent.
//
// The first one's whole failure is kept while the second is asked. When the request's time ends
// the caller must get it: it tells what went wrong, and 504 with an unknown outcome does not.
func TestBufferedFailureIsSentAtDeadline(t *testing.T) {
	silent := func(c net.Conn, r *http.Request) { io.Copy(io.Discard, c) }
	play := firstThen(respond(500, "sorry"), silent)
	s := newTestServer(t, singleRoute(routes.Idempotent, 2), play, play)
	resp, body, err := s.do(s.newRequest("POST", "/r/x", "x", headerTimeLeft+": 200"))
	if err != nil || resp.StatusCode != 500 || body != "sorry" {
		t.Errorf("%v %q %v, want the endpoint's own 500", resp, body, err)
	}
}

// TestStatusRulesApplyToLongAnswers lets endpoints give answers too long to be kept whole.
//
// A failure on a streaming route was cut at the most that is kept, and told as whole. A status
// that promises "not run" was passed on for a request that had run, as only short answers
// were looked at: the caller would send its order again.
func TestStatusRulesApplyToLongAnswers(t *testing.T) {
	long := strings.Repeat("b", maxBufferedBytes+1000)
	rows := []struct {
		name   string
		kind   routes.Kind
		answer responder
		status int
		whole  bool
	}{
		{"a stream's failure", routes.Streaming, respond(400, long), 400, true},
		{"no stream at all", routes.Streaming, respond(201, long), 201, true},
		{"503 after running", routes.NonIdempotent, respond(503, long), 502, false},
		{"429 after running", routes.NonIdempotent, respond(429, long), 502, false},
		{"a stream's 503 after running", routes.Streaming, respond(503, long), 502, false},
		{"503 of what may be repeated", routes.Idempotent, respond(503, long), 503, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newTestServer(t, singleRoute(row.kind, 1), row.answer)
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "order"))
			if err != nil || resp.StatusCode != row.status || (body == long) != row.whole {
				t.Errorf("%v, %d bytes of %d, %v; want %d", resp, len(body), len(long), err, row.status)
			}
		})
	}
}

// TestPartialAnswerIsNotJoinedToAnother breaks answers on a route whose streams may be resumed, before
// the caller has an event that a second run could go on behind.
//
// Events without ids can't be gone on behind, nor can an answer that is no stream: another endpoint
// would begin anew, and the caller would read both as one answer. The connection must break.
func TestPartialAnswerIsNotJoinedToAnother(t *testing.T) {
	truncated := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 201 X\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerID, r.Header.Get(headerID), 2*maxBufferedBytes, strings.Repeat("b", maxBufferedBytes))
	}
	rows := map[string]responder{
		"events without ids":       respondTruncatedStream("data: one\n\n"),
		"an event without id last": respondTruncatedStream("id: 1\ndata: 1\n\ndata: two\n\n"),
		"no stream":                truncated,
	}
	for name, first := range rows {
		t.Run(name, func(t *testing.T) {
			list := singleRoute(routes.Streaming, 2)
			list[0].Resumable = true
			play := firstThen(first, respondStream(lastChunk, "1", "2"))
			s := newTestServer(t, list, play, play)
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
			if err == nil || s.requestCount() != 1 {
				t.Errorf("%d runs, the caller got %d bytes that end in %q, %v", s.requestCount(), len(body), body[max(0, len(body)-40):], err)
			}
		})
	}
}

// respondTruncatedStream begins a stream with text and breaks it off.
func respondTruncatedStream(text string) responder {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", headerID, r.Header.Get(headerID), len(text), text)
	}
}

// TestCommentsDoNotPreventResumption breaks a stream of which the caller has a comment only, or an event and
// a comment behind it: another endpoint goes on, as comments are part of no answer.
func TestCommentsDoNotPreventResumption(t *testing.T) {
	const one, two, comment = "id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n", ": wait\n\n"
	rows := []struct{ sent, whole string }{
		{comment, comment + one + two},
		{one + comment, one + comment + two},
	}
	for _, row := range rows {
		list := singleRoute(routes.Streaming, 2)
		list[0].Resumable = true
		resume := func(c net.Conn, r *http.Request) {
			if r.Header.Get(headerLastEvent) == "1" {
				respondStream(lastChunk, "2")(c, r)
				return
			}
			respondStream(lastChunk, "1", "2")(c, r)
		}
		play := firstThen(respondTruncatedStream(row.sent), resume)
		s := newTestServer(t, list, play, play)
		_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
		if err != nil || body != row.whole {
			t.Errorf("after %q the caller got %q, %v; want %q", row.sent, body, err, row.whole)
		}
	}
}

// TestBufferedFailureIsNotReplaced lets two endpoints fail a stream before it begins, the second with
// a status that promises "not run" and so may not be passed on.
//
// The first one's failure is ready and tells what went wrong: it goes out, not 502.
func TestBufferedFailureIsNotReplaced(t *testing.T) {
	list := singleRoute(routes.Streaming, 2)
	list[0].Resumable = true
	play := firstThen(respond(500, "sorry"), respond(503, "busy"))
	s := newTestServer(t, list, play, play)
	resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
	if err != nil || resp.StatusCode != 500 || body != "sorry" {
		t.Errorf("%v %q %v, want the first endpoint's 500", resp, body, err)
	}
}

// TestRejectedThenNotReached lets one endpoint reject a request and finds nobody at the other.
//
// Nothing ran, in whichever order the two are asked. A caller that hears "unknown" of a request
// that may run only once must never send it again; it has to hear that it may.
func TestRejectedThenNotReached(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent} {
		// Which endpoint is asked first is chance: most of these meet the one that rejects.
		for range 10 {
			s := newTestServer(t, singleRoute(kind, 3), reject)
			s.gateway.State.SetInstance(discovery.Instance{ID: "nobody", Revision: 9, Service: "s", Address: "127.0.0.1:1", Domain: "a", Slots: 4})
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "order"))
			if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
				t.Fatalf("%v %q %v, want 503 and a time to come back", resp, body, err)
			}
		}
	}
}

// TestLastEndpointSpendsNoRetryBudget fails requests where nobody else can be asked.
//
// The retry budget is one for all services. A service down to one failing endpoint would use
// it up without a single retry, and requests of other services would not be retried.
func TestLastEndpointSpendsNoRetryBudget(t *testing.T) {
	// The fake endpoint closes its connection after an answer: it must not be used again.
	s := newTestServer(t, singleRoute(routes.Idempotent, 3), respond(500, "sorry"))
	s.gateway.RetryBudget = runs.NewRetryBudget(0, 5)
	for range 10 {
		if resp, _, err := s.do(s.newRequest("POST", "/r/x", "order")); err != nil || resp.StatusCode != 500 {
			t.Fatalf("%v %v", resp, err)
		}
	}
	left := 0
	for s.gateway.RetryBudget.Spend() {
		left++
	}
	if left != 5 {
		t.Errorf("%d retries are left of 5, none was made", left)
	}
}

// TestExhaustedRetryBudgetReleasesEndpoint fails a request when no retry may be made: the endpoint chosen for
// one must not stay booked as if it were at work.
func TestExhaustedRetryBudgetReleasesEndpoint(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 3), respond(500, "sorry"), respond(500, "sorry"))
	s.gateway.RetryBudget = runs.NewRetryBudget(0, 0)
	if resp, _, err := s.do(s.newRequest("POST", "/r/x", "order")); err != nil || resp.StatusCode != 500 || s.requestCount() != 1 {
		t.Fatalf("%v %v, %d runs", resp, err, s.requestCount())
	}
	for _, w := range s.gateway.Directory.OwnWork() {
		if w.Running != 0 {
			t.Errorf("%d runs are booked at an endpoint that has none", w.Running)
		}
	}
}

// TestBodyReadTimeout sends half a body and waits.
//
// At the end of the request's time the read of its body ends, and net/http ends the request's context
// as it does when a caller leaves. This caller is still there: it must be told that nothing
// ran and that it may come back.
func TestBodyReadTimeout(t *testing.T) {
	for _, head := range []string{"Content-Length: 4\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"} {
		s := newTestServer(t, singleRoute(routes.NonIdempotent, 1), respond(201, "whole"))
		c, err := net.Dial("tcp", s.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n%s: key\r\n%s: 100\r\n%s", headerID, headerKey, headerTimeLeft, head)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || s.requestCount() != 0 {
			t.Errorf("%v %q %v, %d runs", resp, body, err, s.requestCount())
		}
	}
}

// TestDisconnectTakesPrecedenceOverBufferedFailure decides on an ending when a failure is kept and its caller has just
// left: told as an answer, the request's line and counters would name one that nobody got.
func TestDisconnectTakesPrecedenceOverBufferedFailure(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 2))
	ctx, leave := context.WithCancel(t.Context())
	leave()
	x := &exchange{g: s.gateway, r: s.newRequest("GET", "/r/x", "").WithContext(ctx), lastFailure: &bufferedAnswer{status: 500}}
	if end := x.finalEnding(outcome{kind: answeredFailure}, 1); end.kind != endCallerLeft {
		t.Errorf("the exchange ends as %d, want %d", end.kind, endCallerLeft)
	}
}

// brokenWriter is the way to a caller whose connection has broken; net/http has not noticed.
type brokenWriter struct {
	*httptest.ResponseRecorder
	// writesLeft writes go through.
	writesLeft int
}

func (w *brokenWriter) Write(b []byte) (int, error) {
	if w.writesLeft--; w.writesLeft < 0 {
		return 0, io.ErrClosedPipe
	}
	return w.ResponseRecorder.Write(b)
}

// TestWriteErrorToCallerIsNotEndpointFailure guards against endpoints that are left out as callers leave in the
// middle of long answers.
func TestWriteErrorToCallerIsNotEndpointFailure(t *testing.T) {
	for writes := range 2 {
		s := newTestServer(t, singleRoute(routes.Idempotent, 2), respond(200, strings.Repeat("b", 2*maxBufferedBytes)))
		x := &exchange{
			g: s.gateway, w: &brokenWriter{httptest.NewRecorder(), writes}, r: httptest.NewRequest("GET", "/r/x", nil),
			startedAt: time.Now(), deadline: time.Now().Add(time.Minute),
		}
		x.r.Host = "h"
		x.r.Header.Set(headerID, "id-1")
		x.r.Header.Set(headerKey, "key")
		if refusal := x.prepare(); refusal != nil {
			t.Fatal(refusal)
		}
		if end := x.serve(); end.kind != endCallerLeft || x.attempts[0].Outcome != callerLeft.String() {
			t.Errorf("%d writes: ending %d, attempt %s", writes, end.kind, x.attempts[0].Outcome)
		}
	}
}

// TestResumptionSkipsFailedEndpoint guards against a resumed stream that ends as its next endpoint fails, while another may go on.
func TestResumptionSkipsFailedEndpoint(t *testing.T) {
	rows := map[string]responder{
		"failure":             respond(500, "sorry"),
		"busy after running":  respond(503, "busy"),
		"rejected":            reject,
		"no stream":           respond(201, "made"),
		"closed":              closeConn,
		"cut inside an event": respondRaw("200 OK", "", "id: 2\nda"),
	}
	for name, second := range rows {
		t.Run(name, func(t *testing.T) {
			list := singleRoute(routes.Streaming, 3)
			list[0].Resumable = true
			play := firstThen(respondStream("", "1"), firstThen(second, respondStream(lastChunk, "2", "3")))
			s := newTestServer(t, list, play, play, play)
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
			if err != nil || eventIDs(body) != "1 2 3" || s.requestCount() != 3 {
				t.Errorf("%d runs, %q, %v", s.requestCount(), body, err)
			}
		})
	}
}

// TestJSONAnswerOnStreamingRoute guards against "answer lost" in place of a whole answer that is no stream, on a route whose
// answers are.
func TestJSONAnswerOnStreamingRoute(t *testing.T) {
	const body, lines = `{"whole":true}`, "Content-Type: application/json"
	rows := map[string]responder{
		"length":    respond(200, body, lines),
		"chunked":   respondRaw("200 OK", lines+"\r\nTransfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n%s", len(body), body, lastChunk)),
		"no length": respondRaw("200 OK", lines+"\r\n", body),
	}
	for name, answer := range rows {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, singleRoute(routes.Streaming, 1), answer)
			resp, got, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
			if err != nil || resp.StatusCode != 200 || got != body || resp.Header.Get("Content-Type") != "application/json" {
				t.Errorf("%v %q %v", resp, got, err)
			}
		})
	}
}

// TestCanceledAttemptsDoNotAffectHealth guards against an endpoint that hangs and stays in use, as each caller that leaves it counts as a
// success, and against one that is left out as this process ended its runs.
func TestCanceledAttemptsDoNotAffectHealth(t *testing.T) {
	fails := outcome{kind: broken}
	ends := []outcome{
		{kind: callerLeft}, {kind: stopped}, {kind: canceledByQuarantine}, {kind: relocated},
		{kind: broken, stopOrdered: true}, {kind: timedOut, stopOrdered: true},
	}
	for _, end := range ends {
		if isChosenAfter(t, fails, fails, end, fails) {
			t.Errorf("%+v: the endpoint is used after three failures", end)
		}
		if !isChosenAfter(t, fails, fails, end) {
			t.Errorf("%+v: the endpoint is not used after two failures", end)
		}
	}
}

// isChosenAfter tells whether an endpoint is still chosen beside another after its attempts ended so.
func isChosenAfter(t *testing.T, ends ...outcome) bool {
	s := newTestServer(t, singleRoute(routes.Idempotent, 1), closeConn, closeConn)
	x := &exchange{g: s.gateway, r: s.newRequest("GET", "/r/x", ""), route: &singleRoute(routes.Idempotent, 1)[0], service: &routes.Service{Name: "s"}}
	request := x.routingRequest()
	request.Exclude = []string{"i-1"}
	for _, end := range ends {
		x.recordAttempt(x.chooseEndpoint(request, promptContext{}, outcome{}), Attempt{}, end, time.Now())
	}
	request.Exclude = nil
	for range 20 {
		choice := x.chooseEndpoint(request, promptContext{}, outcome{})
		s.gateway.Directory.Release(choice)
		if choice.Member.ID == "i-0" {
			return true
		}
	}
	return false
}
