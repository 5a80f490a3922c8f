package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/objectapi"
)

// streamUntilStopped answers with the first events and ends the stream without its end once the run is stopped.
func streamUntilStopped(begun chan<- struct{}, stopped <-chan struct{}, events ...string) responder {
	return func(c net.Conn, r *http.Request) {
		respondStream("", events...)(c, r)
		close(begun)
		<-stopped
	}
}

// TestStoppedRunGoesOnAtItsSource guards against a stream that may neither be repeated nor resumed and is lost because the
// gateway stopped its run to move it, and the destination then does not take it.
func TestStoppedRunGoesOnAtItsSource(t *testing.T) {
	const whole = "1 2 3"
	rows := []struct {
		name string
		// last is the error of the final copy, retained the handle that comes with it.
		last     error
		retained string
		// destination answers for the second engine; nil if it can't be reached.
		destination responder
		// source answers the request that goes on at the first engine.
		source responder
		events string
		// copied is the handle by which the run goes on at its source.
		copied string
	}{
		{"no capacity for the final copy", ErrNoCapacity, "h2", reject, respondStream(lastChunk, "3"), whole, "h2"},
		{"no answer to the final copy", io.ErrUnexpectedEOF, "", reject, respondStream(lastChunk, "3"), whole, "h1"},
		{"rejected by the destination", nil, "", reject, respondStream(lastChunk, "3"), whole, "h1"},
		{"destination can't be reached", nil, "", nil, respondStream(lastChunk, "3"), whole, "h1"},
		{"destination breaks the connection before an event", nil, "", closeConn, respondStream(lastChunk, "3"), whole, "h1"},
		{"destination breaks its stream before an event", nil, "", respondStream(""), respondStream(lastChunk, "3"), whole, "h1"},
		{"destination has used the copy and breaks the connection", nil, "", closeConn, reject, "1 2", "h1"},
		{"rejected by both", nil, "", reject, reject, "1 2", "h1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			copier := &fakeCopier{last: row.last, retained: row.retained, firstCopied: make(chan struct{}), stopped: make(chan struct{})}
			begun := make(chan struct{})
			destination := row.destination
			if destination == nil {
				destination = reject
			}
			s := newTestServer(t, singleRoute(routes.Streaming, 1),
				firstThen(streamUntilStopped(begun, copier.stopped, "1", "2"), row.source), destination)
			if row.destination == nil {
				s.endpoints[1].listener.Close()
			}
			s.useEngines(copier)
			go func() {
				<-begun
				s.gateway.State.SetLoading("i-1", false)
				leaveFirstEngine(s.gateway.State)
			}()
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
			if got := eventIDs(body); got != row.events || (err == nil) != (row.events == whole) {
				t.Errorf("got events %s and error %v, want events %s", got, err, row.events)
			}
			source := s.endpoints[0]
			if source.requestCount() != 2 {
				t.Fatalf("the source got %d requests, want the first and one that goes on", source.requestCount())
			}
			again := source.requests[1].Header
			if want := source.address + "/" + row.copied; again.Get(headerContinueFrom) != want || again.Get(headerLastEvent) != "2" {
				t.Errorf("went on from %q after event %q, want %q after event 2", again.Get(headerContinueFrom), again.Get(headerLastEvent), want)
			}
			if work := s.gateway.Directory.OwnWork(); len(work) != 0 {
				t.Errorf("still counted as in flight: %+v", work)
			}
		})
	}
}

// TestStoppingGatewayStopsNoRunLate guards against a stream that is cut at the end of a stop while its run is at no engine,
// because the gateway has just stopped it to move it.
func TestStoppingGatewayStopsNoRunLate(t *testing.T) {
	for _, row := range []struct {
		name  string
		left  time.Duration
		moved bool
	}{
		{"time enough to go on elsewhere", time.Minute, true},
		{"the process exits soon", time.Second, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			copier := &fakeCopier{firstCopied: make(chan struct{}), stopped: make(chan struct{})}
			begun := make(chan struct{})
			s := newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, r *http.Request) {
				respondStream("", "1")(c, r)
				close(begun)
				select {
				case <-copier.stopped:
				case <-time.After(2 * relocationDelay):
					text := "id: 2\ndata: 2\n\n"
					fmt.Fprintf(c, "%x\r\n%s\r\n%s", len(text), text, lastChunk)
				}
			}, respondStream(lastChunk, "2"))
			s.useEngines(copier)
			s.gateway.SetDrainWindow(time.Now().Add(row.left), time.Now().Add(row.left))
			go func() {
				<-begun
				s.gateway.State.SetLoading("i-1", false)
				leaveFirstEngine(s.gateway.State)
			}()
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
			if err != nil || eventIDs(body) != "1 2" {
				t.Errorf("got %q, error %v, want both events", body, err)
			}
			copier.mu.Lock()
			defer copier.mu.Unlock()
			if moved := len(copier.calls) > 0; moved != row.moved {
				t.Errorf("copies asked for: %v, want any: %v", copier.calls, row.moved)
			}
		})
	}
}

// TestForcedStopEndsRequestsWhoseRunIsBeingCopied guards against a request that waits for a copy beyond the process's exit, so
// that the log has no line of it.
func TestForcedStopEndsRequestsWhoseRunIsBeingCopied(t *testing.T) {
	copier := &hangingCopier{fakeCopier: fakeCopier{firstCopied: make(chan struct{})}, asked: make(chan struct{})}
	begun := make(chan struct{})
	s := newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, r *http.Request) {
		respondStream("", "1")(c, r)
		close(begun)
		<-copier.asked
	}, reject)
	s.useEngines(copier)
	core, lines := observer.New(zap.InfoLevel)
	s.gateway.Log = zap.New(core)
	stop := s.startStoppable()
	go func() {
		<-begun
		s.gateway.State.SetLoading("i-1", false)
		leaveFirstEngine(s.gateway.State)
	}()
	stoppedAt := make(chan time.Time, 1)
	go func() {
		<-copier.asked
		// The stream has ended meanwhile, so the request waits for the copy alone.
		time.Sleep(50 * time.Millisecond)
		stoppedAt <- time.Now()
		stop()
	}()
	_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
	if err == nil || !strings.Contains(body, "id: 1") {
		t.Errorf("got %q, error %v, want event 1 and an error", body, err)
	}
	s.server.Close()
	if took := time.Since(<-stoppedAt); took > copyTimeout/2 {
		t.Errorf("the request ended %v after the stop, want at once", took)
	}
	if n := lines.FilterMessage("request").Len(); n != 1 {
		t.Errorf("got %d lines of the request, want 1", n)
	}
}

// hangingCopier does not answer the final copy before its context ends.
type hangingCopier struct {
	fakeCopier
	asked chan struct{}
}

// Copy implements RunCopier.
func (h *hangingCopier) Copy(ctx context.Context, source discovery.Instance, call, destination string, last bool) (string, error) {
	if !last {
		return h.fakeCopier.Copy(ctx, source, call, destination, last)
	}
	close(h.asked)
	<-ctx.Done()
	return "", ctx.Err()
}

// TestRequestIsNotSentLateInStop guards against a request that began in time, waited, and is sent to an endpoint so late in a
// stop that it is cut there.
func TestRequestIsNotSentLateInStop(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.NonIdempotent, 2))
	late := func(c net.Conn, r *http.Request) {
		// The first endpoint has kept the request waiting until the window is over.
		s.gateway.SetDrainWindow(time.Now().Add(-time.Second), time.Now().Add(5*time.Second))
		reject(c, r)
	}
	answers := firstThen(late, respond(200, "a"))
	for i := range 2 {
		e := s.startEndpoint(fmt.Sprint("i-", i), answers)
		s.gateway.State.SetInstance(discovery.Instance{ID: e.id, Revision: objectapi.Revision(i + 2), Service: "s", Address: e.address, Domain: "a", Slots: 4})
		s.endpoints = append(s.endpoints, e)
	}
	resp, body, err := s.do(s.newRequest("POST", "/r/x", "order"))
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Limpetwall-Ran") != "no" || s.requestCount() != 1 {
		t.Errorf("got %v %q, error %v, %d requests sent; want a refusal as not run after the first", resp, body, err, s.requestCount())
	}
}

// TestFailedMoveUsesMaxAttempts guards against a moved run that is sent to more endpoints than its route allows, or to fewer, as
// neither its destination nor its source takes it.
func TestFailedMoveUsesMaxAttempts(t *testing.T) {
	for _, row := range []struct {
		name           string
		attempts, want int
		// reached is set if the destination breaks the connection and the source rejects the run; neither is reached otherwise.
		reached bool
	}{
		{"not reached, one attempt", 1, 0, false},
		{"not reached, two attempts", 2, 1, false},
		{"broken and rejected, two attempts", 2, 0, true},
		{"broken and rejected, three attempts", 3, 1, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			copier := &fakeCopier{firstCopied: make(chan struct{}), stopped: make(chan struct{})}
			begun := make(chan struct{})
			s := newTestServer(t, singleRoute(routes.Streaming, row.attempts), firstThen(streamUntilStopped(begun, copier.stopped, "1", "2"), reject), closeConn, respondStream(lastChunk, "3"))
			if !row.reached {
				s.endpoints[1].listener.Close()
			}
			s.useEngines(copier)
			route := singleRoute(routes.Streaming, row.attempts)
			route[0].Resumable = true
			s.gateway.State.SetRoutes(routes.New(3, 10, route, []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: 4}}},
				[]routes.Customer{{Name: "club", Keys: []string{"key"}}}, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
			s.gateway.State.SetLoading("i-2", true)
			go func() {
				<-begun
				s.gateway.State.SetLoading("i-1", false)
				leaveFirstEngine(s.gateway.State)
				<-copier.stopped
				if !row.reached {
					s.endpoints[0].listener.Close()
				}
				s.gateway.State.SetLoading("i-2", false)
			}()
			_, body, _ := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
			if got := s.endpoints[2].requestCount(); got != row.want {
				t.Errorf("a further endpoint got %d requests, want %d; events %s", got, row.want, eventIDs(body))
			}
		})
	}
}
