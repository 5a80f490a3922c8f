package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/objectapi"
)

// fakeCopier is a RunCopier whose two copies signal the test, which then ends the run's stream.
type fakeCopier struct {
	// first and last are the errors of the first and of the final copy.
	first, last error
	// retained is the handle that comes with the error of the final copy.
	retained string
	// firstCopied is closed by the first copy, stopped by the final one.
	firstCopied, stopped chan struct{}

	mu      sync.Mutex
	calls   []string
	dropped []string
}

func (f *fakeCopier) Copy(_ context.Context, source discovery.Instance, call, destination string, last bool) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, fmt.Sprint(source.ID, " ", call, " ", last))
	answer, stage := f.first, f.firstCopied
	if last {
		answer, stage = f.last, f.stopped
	}
	close(stage)
	if answer != nil && last {
		return f.retained, answer
	}
	if answer != nil {
		return "", answer
	}
	return "h1", nil
}

func (f *fakeCopier) Drop(_ context.Context, _ discovery.Instance, handle string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropped = append(f.dropped, handle)
	return nil
}

// TestRelocation begins a stream that must not be repeated at an engine that is then ordered to
// load weights or leaves.
//
// The run is copied, stopped, and continues at the other engine: the caller gets each event
// once, after the first head. If no copy can be made the run ends at its engine. A run that is
// stopped and then rejected by the other engine may only go on at its own, from what that keeps of it. If
// that rejects it as well the stream is cut, and never run again from the start.
func TestRelocation(t *testing.T) {
	const whole = "123"
	var s *testServer
	rows := []struct {
		name        string
		first, last error
		drainEngine func(*discovery.State)
		second      responder
		events      string
		complete    bool
		sent        int
		// crashed is true if the second engine crashes during the run.
		crashed bool
	}{
		{"engine ordered to load", nil, nil, func(s *discovery.State) { s.SetLoading("i-0", true) }, respondStream(lastChunk, "2", "3"), whole, true, 1, false},
		{"leaving engine", nil, nil, leaveFirstEngine, respondStream(lastChunk, "3"), whole, true, 1, false},
		{"no capacity", ErrNoCapacity, nil, leaveFirstEngine, respondStream(lastChunk), whole, true, 0, false},
		{"run ended before the final copy", nil, ErrRunNotFound, leaveFirstEngine, respondStream(lastChunk), whole, true, 0, false},
		{"rejected by the second engine", nil, nil, leaveFirstEngine, reject, "12", false, 1, false},
		{"broken off by the second engine", nil, nil, leaveFirstEngine, respondStream("", "3"), whole, false, 1, false},
		{"second engine crashes", nil, nil, leaveFirstEngine, func(c net.Conn, r *http.Request) { s.crashEndpoint(1)(c, r); respondStream("", "3")(c, r) }, whole, false, 1, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			copier := &fakeCopier{first: row.first, last: row.last, firstCopied: make(chan struct{}), stopped: make(chan struct{})}
			begun := make(chan struct{})
			moves := row.first == nil && row.last == nil
			s = newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, r *http.Request) {
				if r.Header.Get(headerContinueFrom) != "" {
					reject(c, r)
					return
				}
				respondStream("", "1", "2")(c, r)
				close(begun)
				<-copier.firstCopied
				if row.first == nil {
					<-copier.stopped
				}
				if !moves {
					text := "id: 3\ndata: 3\n\n"
					fmt.Fprintf(c, "%x\r\n%s\r\n%s", len(text), text, lastChunk)
				}
			}, row.second)
			s.useEngines(copier)
			guard := s.addGuard()
			state := s.gateway.State
			done := make(chan struct{})
			var body string
			var err error
			go func() {
				defer close(done)
				var resp *http.Response
				if resp, err = s.server.Client().Do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part")); err != nil {
					return
				}
				defer resp.Body.Close()
				var data []byte
				data, err = io.ReadAll(resp.Body)
				body = string(data)
			}()
			<-begun
			state.SetLoading("i-1", false)
			row.drainEngine(state)
			<-done
			events := ""
			for _, line := range strings.Split(body, "\n") {
				if id, ok := strings.CutPrefix(line, "id: "); ok {
					events += id
				}
			}
			if events != row.events || (err == nil) != row.complete {
				t.Errorf("got events %s and error %v, not those of the test case", events, err)
			}
			if s.gateway.crashProbes.waitDone(t); guard.IsIdle() == row.crashed {
				t.Errorf("blamed for a crash: got %v, want the opposite", !guard.IsIdle())
			}
			if got := s.endpoints[1].requestCount(); got != row.sent {
				t.Errorf("the second engine got %d requests, not the number of the test case", got)
			}
			if row.sent == 1 && s.endpoints[1].requests[0].Header.Get(headerContinueFrom) != s.endpoints[0].address+"/h1" {
				t.Errorf("%v", s.endpoints[1].requests[0].Header)
			}
			wantFirst := 1
			if row.name == "rejected by the second engine" {
				wantFirst = 2
			}
			for i, r := range s.endpoints[0].requests {
				if i > 0 && r.Header.Get(headerContinueFrom) != s.endpoints[0].address+"/h1" {
					t.Errorf("the first engine got the run again, not from its copy: %v", r.Header)
				}
			}
			if s.endpoints[0].requestCount() != wantFirst {
				t.Errorf("the first engine got %d requests, want %d", s.endpoints[0].requestCount(), wantFirst)
			}
			copier.mu.Lock()
			defer copier.mu.Unlock()
			if wanted := row.first == nil && !moves; (len(copier.dropped) == 1) != wanted {
				t.Errorf("released copies: got %v, want one only if the final copy failed", copier.dropped)
			}
		})
	}
}

// TestStoppedRunIsNotDelivered guards against treating a cut stream as complete. A stream that is delimited by the end of
// its connection looks complete when its run is stopped for a relocation that then fails.
func TestStoppedRunIsNotDelivered(t *testing.T) {
	rows := []struct {
		name     string
		last     error
		complete bool
	}{
		{"stopped, no capacity for the final copy", ErrNoCapacity, false},
		{"no answer to the final copy", io.ErrUnexpectedEOF, false},
		{"run ended before the stop", ErrRunNotFound, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			copier := &fakeCopier{last: row.last, firstCopied: make(chan struct{}), stopped: make(chan struct{})}
			begun := make(chan struct{})
			s := newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, r *http.Request) {
				if r.Header.Get(headerContinueFrom) != "" {
					reject(c, r)
					return
				}
				respondRaw("200 OK", "", "id: 1\ndata: 1\n\n")(c, r)
				close(begun)
				<-copier.stopped
			}, reject)
			s.useEngines(copier)
			go func() {
				<-begun
				s.gateway.State.SetLoading("i-1", false)
				leaveFirstEngine(s.gateway.State)
			}()
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
			if !strings.Contains(body, "id: 1") || (err == nil) != row.complete {
				t.Errorf("got %q, error %v; want event 1, and an error unless the run ended before the stop", body, err)
			}
		})
	}
}

// useEngines makes the endpoints engines of one model, and has runs copied by copier.
func (s *testServer) useEngines(copier RunCopier) {
	state := s.gateway.State
	state.SetRoutes(routes.New(2, 9, singleRoute(routes.Streaming, 1), []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: 4}}},
		[]routes.Customer{{Name: "club", Keys: []string{"key"}}}, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
	for i, e := range s.endpoints {
		state.SetInstance(discovery.Instance{ID: e.id, Revision: objectapi.Revision(20 + i), Service: "s", Address: e.address, Domain: "a", Slots: 4, Model: "m", Weights: 1})
	}
	s.gateway.Copier, s.gateway.ContextTracker = copier, newContextTracker()
	// The second engine is loading, so streams begin at the first.
	state.SetLoading("i-1", true)
}

// TestRelocationClosesSilentStream guards against waiting, until the caller's deadline, for the
// end of a connection that stays open and silent after its run was stopped. The caller gets the
// rest from the other engine.
func TestRelocationClosesSilentStream(t *testing.T) {
	copier := &fakeCopier{firstCopied: make(chan struct{}), stopped: make(chan struct{})}
	begun := make(chan struct{})
	s := newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, r *http.Request) {
		respondStream("", "1")(c, r)
		close(begun)
		io.Copy(io.Discard, c)
	}, respondStream(lastChunk, "2"))
	s.useEngines(copier)
	go func() {
		<-begun
		s.gateway.State.SetLoading("i-1", false)
		leaveFirstEngine(s.gateway.State)
	}()
	_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
	if err != nil || !strings.Contains(body, "id: 2") {
		t.Errorf("got %q, error %v, want event 2", body, err)
	}
}

// blockingCopier blocks the first copy until released is closed.
type blockingCopier struct {
	fakeCopier
	released chan struct{}
}

func (h *blockingCopier) Copy(context.Context, discovery.Instance, string, string, bool) (string, error) {
	close(h.firstCopied)
	<-h.released
	return "", ErrNoCapacity
}

// TestCompleteAnswerDoesNotWaitForCopy guards against a complete stream whose end reaches the
// caller only after a copy that hangs.
func TestCompleteAnswerDoesNotWaitForCopy(t *testing.T) {
	copier := &blockingCopier{fakeCopier: fakeCopier{firstCopied: make(chan struct{})}, released: make(chan struct{})}
	defer close(copier.released)
	begun := make(chan struct{})
	s := newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, r *http.Request) {
		respondStream("", "1")(c, r)
		close(begun)
		<-copier.firstCopied
		io.WriteString(c, lastChunk)
	}, reject)
	s.useEngines(copier)
	go func() {
		<-begun
		s.gateway.State.SetLoading("i-1", false)
		leaveFirstEngine(s.gateway.State)
	}()
	if _, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part")); err != nil || !strings.Contains(body, "id: 1") {
		t.Errorf("got %q, error %v, want event 1", body, err)
	}
}

// leaveFirstEngine marks the first engine as leaving.
func leaveFirstEngine(s *discovery.State) {
	i, _ := s.Instance("i-0")
	i.Leaving, i.Revision = true, i.Revision+100
	s.SetInstance(i)
}

// TestCopyIsDroppedWhenCallerLeaves guards against a copy that takes up an engine's memory
// although its caller left after the run was copied, before it continued.
func TestCopyIsDroppedWhenCallerLeaves(t *testing.T) {
	copier := &fakeCopier{stopped: make(chan struct{})}
	s := newTestServer(t, singleRoute(routes.Streaming, 1))
	s.gateway.Copier = copier
	ctx, cancel := context.WithCancel(t.Context())
	x := &exchange{g: s.gateway, r: s.newRequest("POST", "/r/x", "").WithContext(ctx)}
	cancel()
	x.abandon(&continuation{source: discovery.Instance{ID: "i-0", Address: "10.0.0.1:1"}, handle: "h1"})
	if len(copier.dropped) != 1 || copier.dropped[0] != "h1" {
		t.Errorf("released copies: got %v, want [h1]", copier.dropped)
	}
}

func TestEnginesNextToLoad(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Streaming, 1)).gateway.State
	for n := range 6 {
		s.SetInstance(discovery.Instance{ID: fmt.Sprint("e", n), Revision: 30, Service: "s", Address: fmt.Sprint("10.0.0.1:", n+1), Model: "m", Weights: 1})
	}
	if next := s.NextToLoad("e0"); len(next) != 0 {
		t.Errorf("got %v, want none while no version is named", next)
	}
	s.SetTarget(discovery.TargetWeights{Model: "m", Version: 2})
	s.SetLoading("e0", true)
	s.ObserveWeights("e1", 2)
	if next := s.NextToLoad("e0"); fmt.Sprint(next) != "[e2 e3]" {
		t.Errorf("got %v, want [e2 e3] of e2 to e5", next)
	}
}

// TestDrainingSignalsEachOrder checks that an endpoint is reported as draining for each of two orders to load.
func TestDrainingSignalsEachOrder(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Streaming, 1)).gateway.State
	s.SetInstance(discovery.Instance{ID: "e", Revision: 30, Service: "s", Address: "10.0.0.1:1", Model: "m", Weights: 1})
	isSignaled := func() bool {
		select {
		case <-s.Draining("e"):
			return true
		default:
			return false
		}
	}
	for range 2 {
		if isSignaled() {
			t.Error("signaled without an order")
		}
		s.SetLoading("e", true)
		if !isSignaled() {
			t.Error("not signaled after an order")
		}
		s.SetLoading("e", false)
	}
	if s.Draining("unknown") != nil {
		t.Error("got a channel for an unknown endpoint, want nil")
	}
}

// delayedCopier delays the final copy until the run's connection has ended.
type delayedCopier struct {
	fakeCopier
	ended chan struct{}
}

// Copy implements RunCopier.
func (l *delayedCopier) Copy(ctx context.Context, source discovery.Instance, call, destination string, last bool) (string, error) {
	if last {
		<-l.ended
	}
	return l.fakeCopier.Copy(ctx, source, call, destination, last)
}

// TestDeadlineDuringRelocation guards against treating the destination as unreachable, and against a copy that is never
// released, when the request's deadline passes during the relocation of its run.
func TestDeadlineDuringRelocation(t *testing.T) {
	copier := &delayedCopier{fakeCopier{firstCopied: make(chan struct{}), stopped: make(chan struct{})}, make(chan struct{})}
	begun := make(chan struct{})
	s := newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, r *http.Request) {
		respondStream("", "1")(c, r)
		close(begun)
		io.Copy(io.Discard, c)
		close(copier.ended)
	}, reject)
	s.useEngines(copier)
	go func() {
		<-begun
		s.gateway.State.SetLoading("i-1", false)
		leaveFirstEngine(s.gateway.State)
	}()
	_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part", headerTimeLeft+": 600"))
	if err == nil || !strings.Contains(body, "id: 1") {
		t.Errorf("got %q, error %v, want event 1 and an error", body, err)
	}
	if n := metrics.GetOrRegisterCounter("gateway.attempts.not_reached", s.gateway.Metrics).Count(); n != 0 {
		t.Errorf("got %d attempts that reached no endpoint, want none after the deadline", n)
	}
	if len(copier.dropped) != 1 {
		t.Errorf("released copies: got %v, want one", copier.dropped)
	}
	if work := s.gateway.Directory.OwnWork(); len(work) != 0 {
		t.Errorf("still counted as in flight: %+v", work)
	}
}

// TestMovedRunStaysAtItsSoftwareVersion guards against a run that leaves a draining engine and goes on at one of another
// software version.
func TestMovedRunStaysAtItsSoftwareVersion(t *testing.T) {
	rows := []struct {
		name     string
		versions []string
		// destination is the engine where the run goes on, 0 if it stays.
		destination int
	}{
		{"another engine of its version is left", []string{"v1", "v2", "v1"}, 2},
		{"no other engine of its version is left", []string{"v1", "v2", "v2"}, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			copier := &fakeCopier{firstCopied: make(chan struct{}), stopped: make(chan struct{})}
			begun := make(chan struct{})
			var s *testServer
			s = newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, r *http.Request) {
				respondStream("", "1")(c, r)
				close(begun)
				for isDecided := false; !isDecided; {
					select {
					case <-copier.stopped:
						isDecided = true
					case <-time.After(time.Millisecond):
						isDecided = metrics.GetOrRegisterCounter("gateway.runs_moved.no_destination", s.gateway.Metrics).Count() > 0
					}
				}
				if row.destination == 0 {
					io.WriteString(c, lastChunk)
				}
			}, respondStream(lastChunk, "2"), respondStream(lastChunk, "2"))
			s.useEngines(copier)
			for i, e := range s.endpoints {
				instance, _ := s.gateway.State.Instance(e.id)
				instance.Revision, instance.SoftwareVersion = objectapi.Revision(40+i), row.versions[i]
				s.gateway.State.SetInstance(instance)
			}
			s.gateway.State.SetLoading("i-2", true)
			go func() {
				<-begun
				s.gateway.State.SetLoading("i-1", false)
				s.gateway.State.SetLoading("i-2", false)
				leaveFirstEngine(s.gateway.State)
			}()
			if _, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part")); err != nil || !strings.Contains(body, "id: 1") {
				t.Errorf("got %q, error %v, want event 1", body, err)
			}
			for i, e := range s.endpoints[1:] {
				if got := e.requestCount() > 0; got != (i+1 == row.destination) {
					t.Errorf("the run went on at engine %d: %v, want it at %d (0: none)", i+1, got, row.destination)
				}
			}
		})
	}
}
