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
	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/upstream"
)

// Headers that testCodec uses.
const (
	headerID        = "T-Id"
	headerKey       = "T-Key"
	headerNotRun    = "T-Not-Run"
	headerInstance  = "T-Instance"
	headerLastEvent = "T-Last"
	headerCustomer  = "T-Customer"
	headerTimeLeft  = "T-Left"
	headerWeights   = "T-Weights"
	// headerSegment names the single shared segment of a prompt.
	headerSegment      = "T-Part"
	headerContinueFrom = "T-Continue"
	headerSalt         = "T-Salt"
	headerLimit        = "T-Limit"
	headerLeaving      = "T-Leaving"
	headerResumes      = "T-Resumes"
)

type testCodec struct{}

func (testCodec) DecodeCall(h http.Header) (Call, error) {
	if h.Get("T-Bad") != "" {
		return Call{}, errors.New("T-Bad: is not accepted")
	}
	c := Call{ID: h.Get(headerID), Key: h.Get(headerKey), LastEvent: h.Get(headerLastEvent), Resumes: h.Get(headerResumes)}
	if ms, err := strconv.Atoi(h.Get(headerTimeLeft)); err == nil {
		c.Deadline = time.Duration(ms) * time.Millisecond
	}
	if segment := h.Get(headerSegment); segment != "" {
		c.Model, c.PromptTokens, c.Segments = "m", 100, []Segment{{ID: segment, Tokens: 90}, {ID: "own", Tokens: 10}}
	}
	return c, nil
}

func (testCodec) EncodeAttempt(h http.Header, a Attempt) {
	h.Del(headerKey)
	h.Set(headerInstance, a.Instance)
	h.Set(headerCustomer, a.Customer)
	h.Set(headerLastEvent, a.LastEvent)
	h.Set(headerTimeLeft, strconv.FormatInt(a.TimeLeft.Milliseconds(), 10))
	h.Set(headerWeights, strconv.FormatInt(a.Weights, 10))
	h.Set(headerContinueFrom, a.ContinueFrom)
	h.Set(headerSalt, a.CacheSalt)
}

func (testCodec) DecodeReply(status int, h http.Header) Reply {
	weights, _ := strconv.ParseInt(h.Get(headerWeights), 10, 64)
	misdirected := status == http.StatusMisdirectedRequest
	limit, _ := strconv.ParseFloat(h.Get(headerLimit), 64)
	rest, _ := strconv.ParseFloat(h.Get("Retry-After"), 64)
	return Reply{
		ID: h.Get(headerID), Signed: h.Get("Stamp") != "", NotRun: misdirected || h.Get(headerNotRun) != "", Misdirected: misdirected, Weights: weights,
		Pushback: pushback.Signal{RequestsPerSecond: limit, Leaving: h.Get(headerLeaving) != "", RetryAfter: time.Duration(rest * float64(time.Second))},
	}
}

func (testCodec) EncodeRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

func (testCodec) EncodeID(h http.Header, id string) { h.Set(headerID, id) }

// fakeEndpoint is an endpoint on a local port. Its responder writes the raw bytes of the answer to each
// request, after which the connection is closed.
type fakeEndpoint struct {
	id       string
	address  string
	listener net.Listener
	mu       sync.Mutex
	// requests are the requests received, bodies their bodies.
	requests []*http.Request
	bodies   []string
}

func (e *fakeEndpoint) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// testServer serves a gateway in front of fake endpoints.
type testServer struct {
	t         *testing.T
	gateway   *Gateway
	server    *httptest.Server
	endpoints []*fakeEndpoint
}

// responder writes an endpoint's answer to a request.
type responder func(c net.Conn, r *http.Request)

func newTestServer(t *testing.T, list []routes.Route, answers ...responder) *testServer {
	s := &testServer{t: t}
	log := zap.NewNop()
	state := discovery.NewState(fleet.Member{ID: "self", Incarnation: 1, Version: 1, Domain: "a"}, log, time.Now(), func(*routes.Table) {})
	state.SetRoutes(routes.New(1, 1, list, []routes.Service{{Name: "s"}}, []routes.Customer{{Name: "club", Keys: []string{"key"}}},
		routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
	for i, answer := range answers {
		e := s.startEndpoint(fmt.Sprint("i-", i), answer)
		state.SetInstance(discovery.Instance{ID: e.id, Revision: objectapi.Revision(i + 2), Service: "s", Address: e.address, Domain: "a", Slots: 4})
		s.endpoints = append(s.endpoints, e)
	}
	state.ReplaceInstances(state.Instances(), 0, false, time.Now())
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

// respond answers with a status, header lines and a body with its Content-Length. It sends "Connection:
// close", because the endpoint closes the connection: for a request sent on a connection while it closes,
// the gateway could only answer that the outcome is unknown.
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

// respondStream answers with events, followed by the bytes of rest.
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

// firstThen answers the first request with first, whichever endpoint it reaches, and all later requests
// with second.
func firstThen(first, second responder) responder {
	var used atomic.Bool
	return func(c net.Conn, r *http.Request) {
		if used.Swap(true) {
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

// do sends a request and reads the whole answer. If that fails midway, it returns what it has read.
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

// TestRequestIsForwardedUnchanged compares the request and the answer on both sides of the gateway. Only
// hop-by-hop headers and the headers of the codec may differ.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.NonIdempotent, 1), respond(201, "whole", "X-Own: yes"))
	req := s.newRequest("PUT", "/r/a%2Fb//c?x=%20&x=2", strings.Repeat("b", 100_000), "X-Mine: kept", "Connection: X-Hop", "X-Hop: gone")
	resp, body, err := s.do(req)
	if err != nil || resp.StatusCode != 201 || body != "whole" || resp.Header.Get("Stamp") != "201" || resp.Header.Get("X-Own") != "yes" {
		t.Fatalf("got %v, body %q, error %v; want status 201 with the endpoint's header and body", resp, body, err)
	}
	if resp.Header.Get("Content-Type") != "" {
		t.Errorf("got Content-Type %s, want none: the endpoint sent none", resp.Header.Get("Content-Type"))
	}
	e := s.endpoints[0]
	got := e.requests[0]
	if got.Method != "PUT" || got.RequestURI != "/r/a%2Fb//c?x=%20&x=2" || got.Host != "h" || len(e.bodies[0]) != 100_000 {
		t.Errorf("the endpoint got %s %s for host %s with %d bytes", got.Method, got.RequestURI, got.Host, len(e.bodies[0]))
	}
	if got.Header.Get("X-Mine") != "kept" || got.Header.Get("X-Hop") != "" || got.Header.Get(headerKey) != "" {
		t.Errorf("%v", got.Header)
	}
	if got.Header.Get(headerCustomer) != "club" || got.Header.Get(headerInstance) != "i-0" || got.Header.Get(headerID) != "id-1" {
		t.Errorf("%v", got.Header)
	}
}

// TestOutcomes covers each way in which endpoints may end a request, for idempotent and other requests.
//
// A 503, which promises that the request did not run, is returned only if every endpoint that was sent the
// request said so. A request that may not be repeated is sent to a second endpoint only if the first
// rejected it.
func TestOutcomes(t *testing.T) {
	const safe, unsafe = routes.Idempotent, routes.NonIdempotent
	truncated := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nStamp: 200\r\nContent-Length: 50\r\n\r\nhalf", headerID, r.Header.Get(headerID))
	}
	foreign := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: other\r\nStamp: 200\r\nContent-Length: 2\r\n\r\nno", headerID)
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
		{"connection closed", unsafe, 2, closeConn, closeConn, 502, "", 1},
		{"connection closed, idempotent", safe, 2, closeConn, respond(200, "a"), 200, "a", 2},
		{"torn", unsafe, 2, truncated, truncated, 502, "", 1},
		{"torn, idempotent", safe, 2, truncated, respond(200, "a"), 200, "a", 2},
		{"answer to another request", unsafe, 2, foreign, foreign, 502, "", 1},
		{"failed", unsafe, 2, respond(500, "sorry"), respond(500, "sorry"), 500, "sorry", 1},
		{"failed, idempotent", safe, 2, respond(500, "sorry"), respond(200, "a"), 200, "a", 2},
		{"failed twice", safe, 2, respond(500, "sorry"), respond(500, "sorry"), 500, "sorry", 2},
		{"failed, then rejected", safe, 2, respond(500, "sorry"), reject, 500, "sorry", 2},
		{"broken, then rejected", safe, 2, closeConn, reject, 502, "", 2},
		{"its own 503 after running", unsafe, 2, respond(503, "busy"), respond(503, "busy"), 502, "", 1},
		{"its own 429 after running", unsafe, 2, respond(429, "slow down"), respond(429, "slow down"), 502, "", 1},
		{"its own 404", unsafe, 2, respond(404, "none"), respond(404, "none"), 404, "none", 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			answer := firstThen(row.first, row.second)
			s := newTestServer(t, singleRoute(row.kind, row.attempts), answer, answer)
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "order"))
			if err != nil || resp.StatusCode != row.status {
				t.Fatalf("got %v, error %v; want the row's status", resp, err)
			}
			if row.body != "" && (body != row.body || resp.Header.Get("Stamp") != fmt.Sprint(row.status)) {
				t.Errorf("got body %q, stamp %q; want those of the endpoint's answer", body, resp.Header.Get("Stamp"))
			}
			if row.body == "" && resp.Header.Get("Stamp") != "" {
				t.Errorf("an endpoint's stamp is on an answer of the gateway itself")
			}
			if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("a 503 without Retry-After")
			}
			if s.requestCount() != row.requests {
				t.Errorf("the request was sent %d times, want %d", s.requestCount(), row.requests)
			}
		})
	}
}

// TestTruncatedLongAnswerIsNotRetried truncates an answer that is too long to be buffered, after part
// of it has been forwarded. Although the request is idempotent it must not be retried: the second answer
// would be appended to the first.
func TestTruncatedLongAnswerIsNotRetried(t *testing.T) {
	long := strings.Repeat("a", 2*maxBufferedBytes)
	truncated := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nStamp: 200\r\nContent-Length: %d\r\n\r\n%s", headerID, r.Header.Get(headerID), len(long)+1, long)
	}
	s := newTestServer(t, singleRoute(routes.Idempotent, 2), truncated, truncated)
	_, body, err := s.do(s.newRequest("GET", "/r/x", ""))
	if err == nil || len(body) > len(long) || s.requestCount() != 1 {
		t.Errorf("got %d bytes, error %v, %d requests; want an error, no more bytes than were sent and 1 request", len(body), err, s.requestCount())
	}
}

// TestUnreachableEndpoint closes the endpoint's listener before the request arrives: the refusal must
// say that the request did not run.
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
		t.Errorf("got %v, error %v; want status 503 and X-Limpetwall-Ran: no", resp, err)
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
		// last is the last event ID that the second endpoint must get.
		last string
	}{
		{"whole", false, respondStream(lastChunk, "1", "2"), nil, "1 2", false, ""},
		{"cut between events", true, respondStream("", "1", "2"), respondStream(lastChunk, "3"), "1 2 3", false, "2"},
		{"cut inside an event", true, respondStream("8\r\nid: 3\nda\r\n", "1", "2"), respondStream(lastChunk, "3"), "1 2 3", false, "2"},
		{"the second repeats an event", true, respondStream("", "1", "2"), respondStream(lastChunk, "2", "3"), "1 2 3", false, "2"},
		{"cut before the first event", true, respondStream(""), respondStream(lastChunk, "1"), "1", false, ""},
		{"cut, not resumable", false, respondStream("", "1", "2"), respondStream(lastChunk, "3"), "1 2", true, ""},
		{"ended inside an event", false, respondStream("8\r\nid: 3\nda\r\n0\r\n\r\n", "1"), nil, "1", true, ""},
		{"the second fails", true, respondStream("", "1"), respond(500, "sorry"), "1", true, "1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var mu sync.Mutex
			n := 0
			answerNext := func(c net.Conn, r *http.Request) {
				mu.Lock()
				n++
				answer := row.first
				if n > 1 {
					answer = row.second
					if got := r.Header.Get(headerLastEvent); got != row.last {
						t.Errorf("the second attempt resumes after event %q, want %q", got, row.last)
					}
				}
				mu.Unlock()
				if answer != nil {
					answer(c, r)
				}
			}
			list := singleRoute(routes.Streaming, 2)
			list[0].Resumable = row.resumable
			s := newTestServer(t, list, answerNext, answerNext)
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
			if resp == nil || resp.StatusCode != 200 || resp.Header.Get("Stamp") != "200" {
				t.Fatalf("got %v, error %v; want the endpoint's status 200", resp, err)
			}
			if (err != nil) != row.broken {
				t.Errorf("the stream ended with error %v; want one only if it is to break", err)
			}
			if got := eventIDs(body); got != row.body {
				t.Errorf("got events %q, want %q", got, row.body)
			}
		})
	}
}

// eventIDs returns the ids of a stream's events, separated by spaces.
func eventIDs(body string) string {
	var ids []string
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return strings.Join(ids, " ")
}

// TestEventsAreFlushedImmediately reads the first event while the endpoint still holds back the second.
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
		t.Fatalf("got first line %q, error %v", line, err)
	}
	close(more)
	if rest, err := io.ReadAll(reader); err != nil || eventIDs(string(rest)) != "2" {
		t.Errorf("got rest %q, error %v; want event 2", rest, err)
	}
}

// TestCallerDisconnectClosesEndpointConnection disconnects the caller while the endpoint runs the request:
// the endpoint's connection must close, so that it stops, and no other endpoint may be asked.
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
			s.gateway.Watcher.RecordAnswer(now)
			resp, _, err := s.do(s.newRequest("POST", row.path, row.body, row.lines...))
			if err != nil || resp.StatusCode != row.status || s.requestCount() != row.sent {
				t.Errorf("got %v, error %v, %d requests; want the row's status and number of requests", resp, err, s.requestCount())
			}
		})
	}
}

// TestRouteTimeout has an endpoint that doesn't answer within the route's timeout. The caller must get a
// 504 then, without a promise that the request did not run, and the endpoint must not be given more time
// than the request has.
func TestRouteTimeout(t *testing.T) {
	list := singleRoute(routes.NonIdempotent, 2)
	list[0].Timeout = 50 * time.Millisecond
	s := newTestServer(t, list, func(c net.Conn, _ *http.Request) { io.Copy(io.Discard, c) })
	resp, _, err := s.do(s.newRequest("POST", "/r/x", "", headerTimeLeft+": 4000"))
	if err != nil || resp.StatusCode != 504 || s.requestCount() != 1 {
		t.Fatalf("got %v, error %v; want status 504 after 1 request", resp, err)
	}
	if left, err := strconv.Atoi(s.endpoints[0].requests[0].Header.Get(headerTimeLeft)); err != nil || left > 50 {
		t.Errorf("the endpoint was given %d ms (error %v), want at most 50", left, err)
	}
}

// TestRetryBudget has every endpoint fail while the retry budget is empty: no retry may be made.
func TestRetryBudget(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Idempotent, 2), respond(500, "sorry"), respond(500, "sorry"))
	s.gateway.RetryBudget = runs.NewRetryBudget(0, 0)
	if resp, _, err := s.do(s.newRequest("GET", "/r/x", "")); err != nil || resp.StatusCode != 500 || s.requestCount() != 1 {
		t.Errorf("got %v, error %v, %d requests; want status 500, 1 request", resp, err, s.requestCount())
	}
}
