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

// TestLastEndpointsFailureReachesCaller guards against a connection that closes without an answer when the
// only endpoint fails and the request could be retried.
//
// The decision that no endpoint is left used to write the failure to the caller itself and return no refusal,
// which the loop of attempts treated as "continue". The next attempt had no endpoint ("dial tcp: missing
// address" in the log, after the 500), and its error cut the connection while the answer was still buffered.
// This happened every time with a single endpoint that fails.
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
		{"failed with a status that may be forwarded", routes.Idempotent, false, respond(503, "busy"), 503, "busy"},
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
				t.Fatalf("got %v, error %v; want status %d", resp, err, row.status)
			}
			if row.body != "" && (body != row.body || resp.Header.Get("Stamp") != fmt.Sprint(row.status)) {
				t.Errorf("got body %q, stamp %q; want those of the endpoint's answer", body, resp.Header.Get("Stamp"))
			}
			if attempts := metrics.GetOrRegisterCounter("gateway.attempts.not_reached", s.gateway.Metrics).Count(); attempts != 0 || s.requestCount() != 1 {
				t.Errorf("the endpoint got %d requests, and %d attempts reached no endpoint; want 1 and 0", s.requestCount(), attempts)
			}
		})
	}
}

// TestHalfClosedCallerGetsNoEmptyAnswer closes only the caller's sending side while the caller still reads.
//
// The gateway treats this as a disconnect and aborts the attempt. If the handler returned normally, net/http
// would send an empty 200 when nothing was written, or terminate a partial stream properly. The caller
// would treat either as an endpoint's complete answer, so the connection must break instead.
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
		// before is the last line that the caller has read when it closes its sending side.
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
					t.Fatalf("reading after %q: %v", read, err)
				}
				read += line
			}
			c.(*net.TCPConn).CloseWrite()
			// The kind of error doesn't matter, only the bytes read before it.
			rest, _ := io.ReadAll(reader)
			if row.before == "" && len(rest) > 0 {
				t.Errorf("got %q, want no answer: no endpoint gave one", rest)
			}
			if strings.HasSuffix(string(rest), lastChunk) {
				t.Errorf("the stream ends as if it were complete: %q", rest)
			}
			<-closed
		})
	}
}

// TestBufferedFailureIsSentAtDeadline has the first endpoint fail and the second never answer. At the
// deadline the caller must get the first one's buffered failure: it says what went wrong, while a 504 with
// an unknown outcome does not.
func TestBufferedFailureIsSentAtDeadline(t *testing.T) {
	silent := func(c net.Conn, r *http.Request) { io.Copy(io.Discard, c) }
	answer := firstThen(respond(500, "sorry"), silent)
	s := newTestServer(t, singleRoute(routes.Idempotent, 2), answer, answer)
	resp, body, err := s.do(s.newRequest("POST", "/r/x", "x", headerTimeLeft+": 200"))
	if err != nil || resp.StatusCode != 500 || body != "sorry" {
		t.Errorf("got %v, body %q, error %v; want the endpoint's own 500", resp, body, err)
	}
}

// TestStatusRulesApplyToLongAnswers covers answers that are too long to be buffered.
//
// On a streaming route, a long failure was truncated at the buffer's limit and sent as if complete. A status
// that promises that the request did not run was forwarded for one that had run, because only short answers
// were checked: the caller would then send the request again.
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
		{"not a stream", routes.Streaming, respond(201, long), 201, true},
		{"503 after running", routes.NonIdempotent, respond(503, long), 502, false},
		{"429 after running", routes.NonIdempotent, respond(429, long), 502, false},
		{"a stream's 503 after running", routes.Streaming, respond(503, long), 502, false},
		{"503, idempotent", routes.Idempotent, respond(503, long), 503, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newTestServer(t, singleRoute(row.kind, 1), row.answer)
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "order"))
			if err != nil || resp.StatusCode != row.status || (body == long) != row.whole {
				t.Errorf("got %v, %d bytes of %d, error %v; want status %d", resp, len(body), len(long), err, row.status)
			}
		})
	}
}

// TestPartialAnswerIsNotJoinedToAnother breaks answers on a route with resumable streams where the caller
// has received data that can't be resumed after: events without ids, or part of an answer that is not a
// stream. Another endpoint would start from scratch, and the caller would read both as one answer, so the
// connection must break.
func TestPartialAnswerIsNotJoinedToAnother(t *testing.T) {
	truncated := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 201 X\r\n%s: %s\r\nStamp: 201\r\nContent-Length: %d\r\n\r\n%s", headerID, r.Header.Get(headerID), 2*maxBufferedBytes, strings.Repeat("b", maxBufferedBytes))
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
			answer := firstThen(first, respondStream(lastChunk, "1", "2"))
			s := newTestServer(t, list, answer, answer)
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
			if err == nil || s.requestCount() != 1 {
				t.Errorf("got %d requests, %d bytes that end in %q, error %v; want 1 request and an error", s.requestCount(), len(body), body[max(0, len(body)-40):], err)
			}
		})
	}
}

// respondTruncatedStream sends text as the first chunk of a stream and then closes the connection.
func respondTruncatedStream(text string) responder {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nStamp: 200\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", headerID, r.Header.Get(headerID), len(text), text)
	}
}

// TestCommentsDoNotPreventResumption breaks a stream after a comment, or after an event and a comment. Another
// endpoint must resume it, because comments are not part of the answer.
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
		answer := firstThen(respondTruncatedStream(row.sent), resume)
		s := newTestServer(t, list, answer, answer)
		_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
		if err != nil || body != row.whole {
			t.Errorf("after %q: got body %q, error %v; want %q", row.sent, body, err, row.whole)
		}
	}
}

// TestBufferedFailureIsNotReplaced has two endpoints fail before the stream begins, the second with a status
// that promises that the request did not run and so may not be forwarded. The caller must get the first
// one's failure, which says what went wrong, and not a 502.
func TestBufferedFailureIsNotReplaced(t *testing.T) {
	list := singleRoute(routes.Streaming, 2)
	list[0].Resumable = true
	answer := firstThen(respond(500, "sorry"), respond(503, "busy"))
	s := newTestServer(t, list, answer, answer)
	resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
	if err != nil || resp.StatusCode != 500 || body != "sorry" {
		t.Errorf("got %v, body %q, error %v; want the first endpoint's 500", resp, body, err)
	}
}

// TestRejectedThenNotReached has one endpoint that rejects the request and one that is unreachable.
//
// Nothing ran, in whichever order the two are tried, and the caller must be told that it may retry. After an
// unknown outcome it could never resend a request that may run only once.
func TestRejectedThenNotReached(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent} {
		// Which endpoint is tried first is random, hence the repetition: most rounds reach the one that rejects.
		for range 10 {
			s := newTestServer(t, singleRoute(kind, 3), reject)
			s.gateway.State.SetInstance(discovery.Instance{ID: "nobody", Revision: 9, Service: "s", Address: "127.0.0.1:1", Domain: "a", Slots: 4})
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "order"))
			if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
				t.Fatalf("got %v, body %q, error %v; want status 503 with Retry-After", resp, body, err)
			}
		}
	}
}

// TestLastEndpointSpendsNoRetryBudget fails requests when no other endpoint is left.
//
// All services share one retry budget. A service with a single, failing endpoint would use it up without
// making a retry, and requests of other services would then not be retried.
func TestLastEndpointSpendsNoRetryBudget(t *testing.T) {
	// The fake endpoint closes its connection after each answer, so the connection must not be reused.
	s := newTestServer(t, singleRoute(routes.Idempotent, 3), respond(500, "sorry"))
	s.gateway.RetryBudget = runs.NewRetryBudget(0, 5)
	for range 10 {
		if resp, _, err := s.do(s.newRequest("POST", "/r/x", "order")); err != nil || resp.StatusCode != 500 {
			t.Fatalf("got %v, error %v; want status 500", resp, err)
		}
	}
	left := 0
	for s.gateway.RetryBudget.Spend() {
		left++
	}
	if left != 5 {
		t.Errorf("%d of 5 retries are left, want all: none was made", left)
	}
}

// TestExhaustedRetryBudgetReleasesEndpoint fails a request while the retry budget is empty: the endpoint chosen
// for the retry must be released, or the directory would count a run there for good.
func TestExhaustedRetryBudgetReleasesEndpoint(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 3), respond(500, "sorry"), respond(500, "sorry"))
	s.gateway.RetryBudget = runs.NewRetryBudget(0, 0)
	if resp, _, err := s.do(s.newRequest("POST", "/r/x", "order")); err != nil || resp.StatusCode != 500 || s.requestCount() != 1 {
		t.Fatalf("got %v, error %v, %d requests; want status 500, 1 request", resp, err, s.requestCount())
	}
	for _, w := range s.gateway.Directory.OwnWork() {
		if w.Running != 0 {
			t.Errorf("the directory counts %d runs at an endpoint that has none", w.Running)
		}
	}
}

// TestBodyReadTimeout sends half a body and waits.
//
// At the deadline the read of the body times out, and net/http cancels the request's context as it does when
// a caller disconnects. This caller is still connected: it must be told that nothing ran and that it may retry.
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
			t.Errorf("got %v, body %q, error %v, %d requests; want status 503 with Retry-After, 0 requests", resp, body, err, s.requestCount())
		}
	}
}

// TestDisconnectTakesPrecedenceOverBufferedFailure decides on an ending when a failure is buffered and the caller
// has just left. As an answer, it would appear in the log and the counters although no caller received it.
func TestDisconnectTakesPrecedenceOverBufferedFailure(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 2))
	ctx, leave := context.WithCancel(t.Context())
	leave()
	x := &exchange{g: s.gateway, r: s.newRequest("GET", "/r/x", "").WithContext(ctx), lastFailure: &bufferedAnswer{status: 500}}
	if end := x.finalEnding(outcome{kind: answeredFailure}, 1); end.kind != endCallerLeft {
		t.Errorf("got ending %d, want %d", end.kind, endCallerLeft)
	}
}

// brokenWriter is the ResponseWriter of a caller whose connection has broken before net/http notices.
type brokenWriter struct {
	*httptest.ResponseRecorder
	// writesLeft is the number of writes that still succeed.
	writesLeft int
}

func (w *brokenWriter) Write(b []byte) (int, error) {
	if w.writesLeft--; w.writesLeft < 0 {
		return 0, io.ErrClosedPipe
	}
	return w.ResponseRecorder.Write(b)
}

// TestWriteErrorToCallerIsNotEndpointFailure guards against healthy endpoints being excluded because callers
// disconnect in the middle of long answers.
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
			t.Errorf("after %d writes: got ending %d, attempt %s; want the caller to have left", writes, end.kind, x.attempts[0].Outcome)
		}
	}
}

// TestResumptionSkipsFailedEndpoint guards against a resumed stream that ends because the next endpoint fails
// although another one could continue it.
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
			answer := firstThen(respondStream("", "1"), firstThen(second, respondStream(lastChunk, "2", "3")))
			s := newTestServer(t, list, answer, answer, answer)
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
			if err != nil || eventIDs(body) != "1 2 3" || s.requestCount() != 3 {
				t.Errorf("got %d requests, body %q, error %v; want 3 requests, events 1 2 3", s.requestCount(), body, err)
			}
		})
	}
}

// TestJSONAnswerOnStreamingRoute guards against an error "answer was lost" in place of a complete answer that is
// a JSON document and not a stream, on a streaming route.
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
				t.Errorf("got %v, body %q, error %v; want the endpoint's document", resp, got, err)
			}
		})
	}
}

// TestCanceledAttemptsDoNotAffectHealth guards against an endpoint that hangs but stays in use because each
// caller that leaves counts as a success, and against one that is excluded because this process ended its runs.
func TestCanceledAttemptsDoNotAffectHealth(t *testing.T) {
	fails := outcome{kind: broken}
	ends := []outcome{
		{kind: callerLeft}, {kind: stopped}, {kind: canceledByQuarantine}, {kind: relocated},
		{kind: broken, stopOrdered: true}, {kind: timedOut, stopOrdered: true},
	}
	for _, end := range ends {
		if isChosenAfter(t, fails, fails, end, fails) {
			t.Errorf("%+v: the endpoint is still used after three failures", end)
		}
		if !isChosenAfter(t, fails, fails, end) {
			t.Errorf("%+v: the endpoint is not used after two failures", end)
		}
	}
}

// isChosenAfter reports whether an endpoint is still chosen, with another one available, after attempts at it
// ended as given.
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
