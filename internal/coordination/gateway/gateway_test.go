package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/upstream"
)

// Headers of the tests' own codec.
const (
	headerID        = "T-Id"
	headerKey       = "T-Key"
	headerNotRun    = "T-Not-Run"
	headerInstance  = "T-Instance"
	headerLastEvent = "T-Last"
	headerCustomer  = "T-Customer"
	headerTimeLeft  = "T-Left"
	headerWeights   = "T-Weights"
	// headerSegment names the one shared part of a prompt.
	headerSegment      = "T-Part"
	headerContinueFrom = "T-Continue"
)

type testCodec struct{}

func (testCodec) DecodeCall(h http.Header) (Call, error) {
	if h.Get("T-Bad") != "" {
		return Call{}, errors.New("T-Bad: is not accepted")
	}
	c := Call{ID: h.Get(headerID), Key: h.Get(headerKey), LastEvent: h.Get(headerLastEvent)}
	if ms, err := strconv.Atoi(h.Get(headerTimeLeft)); err == nil {
		c.Deadline = time.Duration(ms) * time.Millisecond
	}
	if part := h.Get(headerSegment); part != "" {
		c.Model, c.PromptTokens, c.Segments = "m", 100, []Segment{{ID: part, Tokens: 90}, {ID: "own", Tokens: 10}}
	}
	return c, nil
}

func (testCodec) EncodeAttempt(h http.Header, s Attempt) {
	h.Del(headerKey)
	h.Set(headerInstance, s.Instance)
	h.Set(headerCustomer, s.Customer)
	h.Set(headerLastEvent, s.LastEvent)
	h.Set(headerTimeLeft, strconv.FormatInt(s.TimeLeft.Milliseconds(), 10))
	h.Set(headerWeights, strconv.FormatInt(s.Weights, 10))
	h.Set(headerContinueFrom, s.ContinueFrom)
}

func (testCodec) DecodeReply(status int, h http.Header) Reply {
	weights, _ := strconv.ParseInt(h.Get(headerWeights), 10, 64)
	misdirected := status == http.StatusMisdirectedRequest
	return Reply{ID: h.Get(headerID), NotRun: misdirected || h.Get(headerNotRun) != "", Misdirected: misdirected, Weights: weights}
}

func (testCodec) EncodeRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

func (testCodec) EncodeID(h http.Header, id string) { h.Set(headerID, id) }

// fakeEndpoint writes its answers itself, byte by byte. Its script is asked at
// each request; what it returns is written as it is, and the connection closed.
type fakeEndpoint struct {
	id       string
	address  string
	listener net.Listener
	mu       sync.Mutex
	// requests are those that arrived.
	requests []*http.Request
	bodies   []string
}

func (e *fakeEndpoint) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// testServer is a gateway before fake endpoints.
type testServer struct {
	t         *testing.T
	gateway   *Gateway
	server    *httptest.Server
	endpoints []*fakeEndpoint
}

// responder is how an endpoint answers a request.
type responder func(c net.Conn, r *http.Request)

func newTestServer(t *testing.T, list []routes.Route, answers ...responder) *testServer {
	s := &testServer{t: t}
	log := zap.NewNop()
	state := discovery.NewState(fleet.Member{ID: "self", Incarnation: 1, Version: 1, Domain: "a"}, log, time.Now(), func(*routes.Table) {})
	state.SetRoutes(routes.New(1, 1, list, []routes.Service{{Name: "s"}}, []routes.Customer{{Name: "club", Keys: []string{"key"}}},
		routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
	for i, script := range answers {
		e := s.startEndpoint(fmt.Sprint("i-", i), script)
		state.SetInstance(discovery.Instance{ID: e.id, Revision: uint64(i + 2), Service: "s", Address: e.address, Domain: "a", Slots: 4})
		s.endpoints = append(s.endpoints, e)
	}
	state.ReplaceInstances(state.Instances(), false, time.Now())
	dial := upstream.Dialer{Connect: 5 * time.Second, Silence: 5 * time.Second}.Dial
	s.gateway = &Gateway{
		Domain: "a", State: state, Watcher: &discovery.Watcher{Log: log},
		Directory: routing.NewDirectory(state.Table, state.Services, 100, 1),
		Pool:      upstream.NewPool(dial), Dial: dial,
		RetryBudget: runs.NewRetryBudget(1, 100), Codec: testCodec{}, Log: log, Metrics: metrics.NewRegistry(),
	}
	s.server = httptest.NewServer(s.gateway)
	t.Cleanup(s.server.Close)
	return s
}

func (s *testServer) startEndpoint(id string, answer responder) *fakeEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { l.Close() })
	e := &fakeEndpoint{id: id, address: l.Addr().String(), listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c, answer)
		}
	}()
	return e
}

func (e *fakeEndpoint) serve(c net.Conn, answer responder) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.requests, e.bodies = append(e.requests, r), append(e.bodies, string(body))
	e.mu.Unlock()
	answer(c, r)
}

// respond answers with a status, header lines and a body of declared length. It announces that the endpoint closes: a gateway that
// sent its next request into the close could only respond "unknown".
func respond(status int, body string, lines ...string) responder {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\nStamp: %d\r\nConnection: close\r\nContent-Length: %d\r\n", status, headerID, r.Header.Get(headerID), status, len(body))
		for _, line := range lines {
			fmt.Fprintf(c, "%s\r\n", line)
		}
		fmt.Fprintf(c, "\r\n%s", body)
	}
}

var (
	reject    = respond(503, "", headerNotRun+": 1")
	closeConn = func(net.Conn, *http.Request) {}
)

// respondStream answers with events; rest is written after them as it is.
func respondStream(rest string, events ...string) responder {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nStamp: 200\r\nConnection: close\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerID, r.Header.Get(headerID))
		for _, e := range events {
			text := "id: " + e + "\ndata: " + e + "\n\n"
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
		io.WriteString(c, rest)
	}
}

const lastChunk = "0\r\n\r\n"

// firstThen plays first to the request that comes first, whichever endpoint it reaches, and then
// second to all others.
func firstThen(first, second responder) responder {
	var begun atomic.Bool
	return func(c net.Conn, r *http.Request) {
		if begun.Swap(true) {
			second(c, r)
			return
		}
		first(c, r)
	}
}

func singleRoute(kind routes.Kind, attempts int) []routes.Route {
	return []routes.Route{{
		Name: "r", Host: "h", Prefix: "/r/", Kind: kind, Targets: []routes.Target{{Service: "s", Weight: 1}},
		Timeout: 30 * time.Second, MaxAttempts: attempts,
	}}
}

func (s *testServer) newRequest(method, path, body string, lines ...string) *http.Request {
	req, err := http.NewRequestWithContext(s.t.Context(), method, s.server.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(headerID, "id-1")
	req.Header.Set(headerKey, "key")
	for _, line := range lines {
		name, value, _ := strings.Cut(line, ": ")
		req.Header.Set(name, value)
	}
	return req
}

// do sends a request and reads the whole answer.
func (s *testServer) do(req *http.Request) (*http.Response, string, error) {
	resp, err := s.server.Client().Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (s *testServer) requestCount() int {
	n := 0
	for _, e := range s.endpoints {
		n += e.requestCount()
	}
	return n
}

// TestRequestIsForwardedUnchanged sends a body through and looks at what arrives.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.NonIdempotent, 1), respond(201, "whole", "X-Own: yes"))
	req := s.newRequest("PUT", "/r/a%2Fb//c?x=%20&x=2", strings.Repeat("b", 100_000), "X-Mine: kept", "Connection: X-Hop", "X-Hop: gone")
	resp, body, err := s.do(req)
	if err != nil || resp.StatusCode != 201 || body != "whole" || resp.Header.Get("Stamp") != "201" || resp.Header.Get("X-Own") != "yes" {
		t.Fatalf("%v %q %v", resp, body, err)
	}
	if resp.Header.Get("Content-Type") != "" {
		t.Errorf("a content type was made up: %s", resp.Header.Get("Content-Type"))
	}
	e := s.endpoints[0]
	got := e.requests[0]
	if got.Method != "PUT" || got.RequestURI != "/r/a%2Fb//c?x=%20&x=2" || got.Host != "h" || len(e.bodies[0]) != 100_000 {
		t.Errorf("%s %s %s, %d bytes", got.Method, got.RequestURI, got.Host, len(e.bodies[0]))
	}
	if got.Header.Get("X-Mine") != "kept" || got.Header.Get("X-Hop") != "" || got.Header.Get(headerKey) != "" {
		t.Errorf("%v", got.Header)
	}
	if got.Header.Get(headerCustomer) != "club" || got.Header.Get(headerInstance) != "i-0" || got.Header.Get(headerID) != "id-1" {
		t.Errorf("%v", got.Header)
	}
}

// TestOutcomes plays each way an endpoint may end a request, for each kind.
//
// "Not run" (503) is said only when every endpoint that was sent the request says
// so; a request that may not be repeated reaches one endpoint unless the first
// rejected it.
func TestOutcomes(t *testing.T) {
	const safe, unsafe = routes.Idempotent, routes.NonIdempotent
	truncated := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 50\r\n\r\nhalf", headerID, r.Header.Get(headerID))
	}
	foreign := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 2\r\n\r\nno", headerID)
	}
	rows := []struct {
		name     string
		kind     routes.Kind
		attempts int
		first    responder
		second   responder
		status   int
		body     string
		requests int
	}{
		{"whole", unsafe, 2, respond(200, "a"), respond(200, "a"), 200, "a", 1},
		{"rejected, then run", unsafe, 2, reject, respond(200, "a"), 200, "a", 2},
		{"rejected by all", unsafe, 2, reject, reject, 503, "", 2},
		{"rejected, one attempt allowed", unsafe, 1, reject, reject, 503, "", 1},
		{"hung up", unsafe, 2, closeConn, closeConn, 502, "", 1},
		{"hung up, may be repeated", safe, 2, closeConn, respond(200, "a"), 200, "a", 2},
		{"torn", unsafe, 2, truncated, truncated, 502, "", 1},
		{"torn, may be repeated", safe, 2, truncated, respond(200, "a"), 200, "a", 2},
		{"another's answer", unsafe, 2, foreign, foreign, 502, "", 1},
		{"failed", unsafe, 2, respond(500, "sorry"), respond(500, "sorry"), 500, "sorry", 1},
		{"failed, may be repeated", safe, 2, respond(500, "sorry"), respond(200, "a"), 200, "a", 2},
		{"failed twice", safe, 2, respond(500, "sorry"), respond(500, "sorry"), 500, "sorry", 2},
		{"failed, then rejected", safe, 2, respond(500, "sorry"), reject, 500, "sorry", 2},
		{"broken, then rejected", safe, 2, closeConn, reject, 502, "", 2},
		{"its own 503 after running", unsafe, 2, respond(503, "busy"), respond(503, "busy"), 502, "", 1},
		{"its own 429 after running", unsafe, 2, respond(429, "slow down"), respond(429, "slow down"), 502, "", 1},
		{"its own 404", unsafe, 2, respond(404, "none"), respond(404, "none"), 404, "none", 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			play := firstThen(row.first, row.second)
			s := newTestServer(t, singleRoute(row.kind, row.attempts), play, play)
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "order"))
			if err != nil || resp.StatusCode != row.status {
				t.Fatalf("%v %v", resp, err)
			}
			if row.body != "" && (body != row.body || resp.Header.Get("Stamp") != fmt.Sprint(row.status)) {
				t.Errorf("%q, stamp %q", body, resp.Header.Get("Stamp"))
			}
			if row.body == "" && resp.Header.Get("Stamp") != "" {
				t.Errorf("an answer of the gateway's own bears a stamp")
			}
			if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("a refusal without a time to come back")
			}
			if s.requestCount() != row.requests {
				t.Errorf("%d endpoints were sent the request, want %d", s.requestCount(), row.requests)
			}
		})
	}
}

// TestTruncatedLongAnswerIsNotRetried cuts an answer too long to be kept whole, after a part of it
// is with the caller.
//
// Though the request may be repeated, nothing else is asked: a second answer would
// be joined to the first.
func TestTruncatedLongAnswerIsNotRetried(t *testing.T) {
	long := strings.Repeat("a", 2*maxBufferedBytes)
	torn := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerID, r.Header.Get(headerID), len(long)+1, long)
	}
	s := newTestServer(t, singleRoute(routes.Idempotent, 2), torn, torn)
	_, body, err := s.do(s.newRequest("GET", "/r/x", ""))
	if err == nil || len(body) > len(long) || s.requestCount() != 1 {
		t.Errorf("%d bytes, %v, sent to %d", len(body), err, s.requestCount())
	}
}

// TestUnreachableEndpoint stops the endpoint's listener before the request comes.
func TestUnreachableEndpoint(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.NonIdempotent, 2))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	s.gateway.State.SetInstance(discovery.Instance{ID: "i-9", Revision: 9, Service: "s", Address: l.Addr().String()})
	resp, _, err := s.do(s.newRequest("POST", "/r/x", "order"))
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("X-Limpetwall-Ran") != "no" {
		t.Errorf("%v %v", resp, err)
	}
}

func TestStreamResumption(t *testing.T) {
	rows := []struct {
		name      string
		resumable bool
		first     responder
		second    responder
		body      string
		broken    bool
		// last is what the second endpoint was told the caller already has.
		last string
	}{
		{"whole", false, respondStream(lastChunk, "1", "2"), nil, "1 2", false, ""},
		{"cut between events", true, respondStream("", "1", "2"), respondStream(lastChunk, "3"), "1 2 3", false, "2"},
		{"cut inside an event", true, respondStream("8\r\nid: 3\nda\r\n", "1", "2"), respondStream(lastChunk, "3"), "1 2 3", false, "2"},
		{"the second repeats what is there", true, respondStream("", "1", "2"), respondStream(lastChunk, "2", "3"), "1 2 3", false, "2"},
		{"cut before the first event", true, respondStream(""), respondStream(lastChunk, "1"), "1", false, ""},
		{"cut, may not go on", false, respondStream("", "1", "2"), respondStream(lastChunk, "3"), "1 2", true, ""},
		{"ended inside an event", false, respondStream("8\r\nid: 3\nda\r\n0\r\n\r\n", "1"), nil, "1", true, ""},
		{"the second fails", true, respondStream("", "1"), respond(500, "sorry"), "1", true, "1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var mu sync.Mutex
			n := 0
			play := func(c net.Conn, r *http.Request) {
				mu.Lock()
				n++
				part := row.first
				if n > 1 {
					part = row.second
					if got := r.Header.Get(headerLastEvent); got != row.last {
						t.Errorf("the second goes on behind %q, want %q", got, row.last)
					}
				}
				mu.Unlock()
				if part != nil {
					part(c, r)
				}
			}
			list := singleRoute(routes.Streaming, 2)
			list[0].Resumable = row.resumable
			s := newTestServer(t, list, play, play)
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
			if resp == nil || resp.StatusCode != 200 || resp.Header.Get("Stamp") != "200" {
				t.Fatalf("%v %v", resp, err)
			}
			if (err != nil) != row.broken {
				t.Errorf("the stream ended with %v", err)
			}
			if got := eventIDs(body); got != row.body {
				t.Errorf("events %q, want %q", got, row.body)
			}
		})
	}
}

// eventIDs lists the ids of a stream.
func eventIDs(body string) string {
	var ids []string
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return strings.Join(ids, " ")
}

// TestEventsAreFlushedImmediately reads the first event while the endpoint still works.
func TestEventsAreFlushedImmediately(t *testing.T) {
	more := make(chan struct{})
	s := newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, r *http.Request) {
		respondStream("", "1")(c, r)
		<-more
		text := "id: 2\n\n"
		fmt.Fprintf(c, "%x\r\n%s\r\n%s", len(text), text, lastChunk)
	})
	resp, err := s.server.Client().Do(s.newRequest("POST", "/r/x", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	if line, err := reader.ReadString('\n'); err != nil || line != "id: 1\n" {
		t.Fatalf("%q %v", line, err)
	}
	close(more)
	if rest, err := io.ReadAll(reader); err != nil || eventIDs(string(rest)) != "2" {
		t.Errorf("%q %v", rest, err)
	}
}

// TestCallerDisconnectClosesEndpointConnection hangs up while the endpoint works.
//
// The endpoint's connection closes, which tells it to stop; nothing else is asked.
func TestCallerDisconnectClosesEndpointConnection(t *testing.T) {
	working, stopped := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, singleRoute(routes.Idempotent, 2), func(c net.Conn, _ *http.Request) {
		close(working)
		io.Copy(io.Discard, c)
		close(stopped)
	})
	ctx, leave := context.WithCancel(t.Context())
	go s.server.Client().Do(s.newRequest("GET", "/r/x", "").WithContext(ctx))
	<-working
	leave()
	<-stopped
}

func TestRequestAuthorizationAndLimits(t *testing.T) {
	list := append(singleRoute(routes.Idempotent, 1), routes.Route{
		Name: "open", Host: "h", Prefix: "/open/", Kind: routes.Idempotent, Targets: []routes.Target{{Service: "s", Weight: 1}}, Public: true, MaxAttempts: 1,
	})
	rows := []struct {
		name   string
		path   string
		lines  []string
		body   string
		status int
		sent   int
	}{
		{"known key", "/r/x", nil, "", 200, 1},
		{"unknown key", "/r/x", []string{headerKey + ": stolen"}, "", 401, 0},
		{"no key", "/r/x", []string{headerKey + ": "}, "", 401, 0},
		{"public", "/open/x", []string{headerKey + ": "}, "", 200, 1},
		{"no route", "/s/x", nil, "", 404, 0},
		{"bad header", "/r/x", []string{"T-Bad: 1"}, "", 400, 0},
		{"header too large", "/r/x", []string{"X-Large: " + strings.Repeat("x", 5000)}, "", 431, 0},
		{"body too large", "/r/x", nil, strings.Repeat("x", 1<<20+1), 413, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newTestServer(t, list, respond(200, "a"))
			now := time.Now()
			s.gateway.Watcher.Heard(now)
			resp, _, err := s.do(s.newRequest("POST", row.path, row.body, row.lines...))
			if err != nil || resp.StatusCode != row.status || s.requestCount() != row.sent {
				t.Errorf("%v %v, sent to %d", resp, err, s.requestCount())
			}
		})
	}
}

// TestRouteTimeout lets an endpoint work longer than the route allows.
//
// The caller is told at that moment, and nothing is promised; the endpoint gets no
// more time than the caller has.
func TestRouteTimeout(t *testing.T) {
	list := singleRoute(routes.NonIdempotent, 2)
	list[0].Timeout = 50 * time.Millisecond
	s := newTestServer(t, list, func(c net.Conn, _ *http.Request) { io.Copy(io.Discard, c) })
	resp, _, err := s.do(s.newRequest("POST", "/r/x", "", headerTimeLeft+": 4000"))
	if err != nil || resp.StatusCode != 504 || s.requestCount() != 1 {
		t.Fatalf("%v %v", resp, err)
	}
	if left, err := strconv.Atoi(s.endpoints[0].requests[0].Header.Get(headerTimeLeft)); err != nil || left > 50 {
		t.Errorf("the endpoint was given %d ms: %v", left, err)
	}
}

// TestRetryBudget lets every endpoint fail with the budget used up.
func TestRetryBudget(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 2), respond(500, "sorry"), respond(500, "sorry"))
	s.gateway.RetryBudget = runs.NewRetryBudget(0, 0)
	if resp, _, err := s.do(s.newRequest("GET", "/r/x", "")); err != nil || resp.StatusCode != 500 || s.requestCount() != 1 {
		t.Errorf("%v %v, sent to %d", resp, err, s.requestCount())
	}
}
