package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/upstream"
)

// hookCopier calls beforeLast before it answers the final copy. The first one takes firstTakes.
type hookCopier struct {
	fakeCopier
	beforeLast func(ctx context.Context)
	firstTakes time.Duration
}

// Copy implements RunCopier.
func (h *hookCopier) Copy(ctx context.Context, source discovery.Instance, call, destination string, last bool) (string, error) {
	if last {
		h.beforeLast(ctx)
	} else {
		time.Sleep(h.firstTakes)
	}
	return h.fakeCopier.Copy(ctx, source, call, destination, last)
}

func newHookCopier(beforeLast func(context.Context)) *hookCopier {
	return &hookCopier{fakeCopier: fakeCopier{firstCopied: make(chan struct{}), stopped: make(chan struct{})}, beforeLast: beforeLast}
}

// attemptsOf returns the attempts of the last request in the log.
func attemptsOf(logs *observer.ObservedLogs) any {
	lines := logs.FilterMessage("request").All()
	if len(lines) == 0 {
		return nil
	}
	return lines[len(lines)-1].ContextMap()["attempts"]
}

// after answers with next once a time has passed.
func after(d time.Duration, next responder) responder {
	return func(c net.Conn, r *http.Request) {
		time.Sleep(d)
		next(c, r)
	}
}

// TestContinuedRunIsNotGivenUpForReplacedWeights guards against a run that began in time and is lost when it goes on elsewhere,
// or at its source, after the time in which runs may begin on its weights.
func TestContinuedRunIsNotGivenUpForReplacedWeights(t *testing.T) {
	goOn := after(200*time.Millisecond, respondStream(lastChunk, "3"))
	for _, row := range []struct {
		name        string
		destination responder
		source      responder
	}{
		{"at the destination", goOn, reject},
		{"at its source", reject, goOn},
	} {
		t.Run(row.name, func(t *testing.T) {
			var s *testServer
			copier := newHookCopier(func(context.Context) {
				s.gateway.State.MergeVersionAges([]discovery.VersionAge{{Model: "m", Version: 2, AgeMS: (2 * time.Hour).Milliseconds()}})
			})
			begun := make(chan struct{})
			s = newTestServer(t, singleRoute(routes.Streaming, 1),
				firstThen(streamUntilStopped(begun, copier.stopped, "1", "2"), row.source), reject, row.destination)
			s.useEngines(copier)
			logs := s.observeLogs()
			state := s.gateway.State
			state.SetLoading("i-2", true)
			state.BeginWithin = time.Hour
			state.SetTarget(discovery.TargetWeights{Model: "m", Version: 2})
			go func() {
				<-begun
				state.SetLoading("i-1", false)
				state.SetLoading("i-2", false)
				leaveFirstEngine(state)
			}()
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
			if err != nil || eventIDs(body) != "1 2 3" {
				t.Errorf("got events %s, error %v, want events 1 2 3; attempts %+v", eventIDs(body), err, attemptsOf(logs))
			}
			if work := s.gateway.Directory.OwnWork(); len(work) != 0 {
				t.Errorf("still counted as in flight: %+v", work)
			}
		})
	}
}

// TestMovedRunThatRanWellIsNotCalledBack guards against a run that has shown that it spares its engine, and is canceled as one
// that crashes engines when it goes on after a move, unless its destination crashes.
func TestMovedRunThatRanWellIsNotCalledBack(t *testing.T) {
	goOn := after(200*time.Millisecond, respondStream(lastChunk, "3"))
	var s *testServer
	for _, row := range []struct {
		name                string
		destination, source responder
		events              string
	}{
		{"at the destination", goOn, reject, "1 2 3"},
		{"at its source", reject, goOn, "1 2 3"},
		{"at its source, after a broken connection", closeConn, goOn, "1 2 3"},
		{"nowhere, after a crash of its destination", func(c net.Conn, r *http.Request) { s.crashEndpoint(1)(c, r) }, goOn, "1 2"},
	} {
		t.Run(row.name, func(t *testing.T) {
			copier := newHookCopier(func(context.Context) {})
			ranWell := make(chan struct{})
			s = newTestServer(t, singleRoute(routes.Streaming, 1), firstThen(func(c net.Conn, r *http.Request) {
				respondStream("", "1")(c, r)
				time.Sleep(quarantineWindow)
				text := "id: 2\ndata: 2\n\n"
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
				close(ranWell)
				<-copier.stopped
			}, row.source), row.destination)
			s.useEngines(copier)
			logs := s.observeLogs()
			_, blame := testRequestKey(s.addGuard())
			go func() {
				<-ranWell
				blame()
				s.gateway.State.SetLoading("i-1", false)
				leaveFirstEngine(s.gateway.State)
			}()
			_, body, err := s.do(s.newRequest("POST", "/r/x", "b", headerSegment+": part"))
			if (err == nil) != (row.events == "1 2 3") || eventIDs(body) != row.events {
				t.Errorf("got events %s, error %v, want events %s; attempts %+v", eventIDs(body), err, row.events, attemptsOf(logs))
			}
		})
	}
}

// quarantineWindow is a time after which an answer has run well.
var quarantineWindow = func() time.Duration {
	d := 100 * time.Millisecond
	for !quarantine.HasRunWell(d) {
		d += 100 * time.Millisecond
	}
	return d
}()

// TestContinuedRunSurvivesStaleConnection guards against a stopped run that is lost because the kept connection on which it
// was to go on ends before any byte of an answer: the copy can be used once, so asking again runs nothing twice.
func TestContinuedRunSurvivesStaleConnection(t *testing.T) {
	copier := newHookCopier(func(context.Context) {})
	begun := make(chan struct{})
	s := newTestServer(t, singleRoute(routes.Streaming, 1),
		firstThen(streamUntilStopped(begun, copier.stopped, "1", "2"), reject), firstThen(keepAlive(closeConn), respondStream(lastChunk, "3")))
	s.useEngines(copier)
	logs := s.observeLogs()
	// A first stream leaves an idle connection to the destination behind.
	s.gateway.State.SetLoading("i-0", true)
	s.gateway.State.SetLoading("i-1", false)
	if _, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part")); err != nil || body != firstBody {
		t.Fatalf("first stream: got %q, error %v", body, err)
	}
	s.gateway.State.SetLoading("i-1", true)
	s.gateway.State.SetLoading("i-0", false)
	go func() {
		<-begun
		s.gateway.State.SetLoading("i-1", false)
		leaveFirstEngine(s.gateway.State)
	}()
	_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
	if err != nil || eventIDs(body) != "1 2 3" {
		t.Errorf("got events %s, error %v, want events 1 2 3; attempts %+v", eventIDs(body), err, attemptsOf(logs))
	}
}

// TestRunReturnsToLeavingSourceInTime guards against a run that is lost, or sent to its leaving source later than the time for which
// leaving endpoints serve, here 2 s, because its final copy hangs, also after a first copy that took long.
func TestRunReturnsToLeavingSourceInTime(t *testing.T) {
	const serves = 2 * time.Second
	for _, row := range []struct {
		name      string
		firstCopy time.Duration
		isStopped bool
	}{
		{"first copy at once", 0, true},
		{"first copy takes half a second", 500 * time.Millisecond, true},
		{"first copy takes almost all the time", 900 * time.Millisecond, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			copier := newHookCopier(func(ctx context.Context) { <-ctx.Done() })
			copier.last, copier.firstTakes = io.ErrUnexpectedEOF, row.firstCopy
			begun, stopOrdered := make(chan struct{}), make(chan struct{})
			var left, returned atomic.Int64
			s := newTestServer(t, singleRoute(routes.Streaming, 1), firstThen(func(c net.Conn, r *http.Request) {
				respondStream("", "1", "2")(c, r)
				close(begun)
				select {
				case <-stopOrdered:
				case <-time.After(serves):
					text := "id: 3\ndata: 3\n\n"
					fmt.Fprintf(c, "%x\r\n%s\r\n%s", len(text), text, lastChunk)
				}
			}, func(c net.Conn, r *http.Request) {
				returned.Store(time.Now().UnixNano())
				respondStream(lastChunk, "3")(c, r)
			}), reject)
			s.useEngines(copier)
			s.gateway.EndpointDrain = serves
			logs := s.observeLogs()
			hang := copier.beforeLast
			copier.beforeLast = func(ctx context.Context) {
				close(stopOrdered)
				hang(ctx)
			}
			go func() {
				<-begun
				s.gateway.State.SetLoading("i-1", false)
				left.Store(time.Now().UnixNano())
				leaveFirstEngine(s.gateway.State)
			}()
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
			if err != nil || eventIDs(body) != "1 2 3" {
				t.Errorf("got events %s, error %v, attempts %+v", eventIDs(body), err, attemptsOf(logs))
			}
			if isStopped := returned.Load() > 0; isStopped != row.isStopped {
				t.Errorf("returned to the source: %v, want %v", isStopped, row.isStopped)
			}
			if after := time.Duration(returned.Load() - left.Load()); returned.Load() > 0 && after >= serves {
				t.Errorf("sent to the leaving source %v after it was known to leave, want less than %v", after, serves)
			}
		})
	}
}

// TestRunReturnsToSourceThatIsNoLongerListed guards against a run that is lost because its source's entry lapses while the run
// is moved, although the source still serves and keeps the run's memory.
func TestRunReturnsToSourceThatIsNoLongerListed(t *testing.T) {
	var s *testServer
	copier := newHookCopier(func(context.Context) {
		s.gateway.State.Remove("i-0", false, time.Now())
		// Another request is routed meanwhile.
		s.gateway.Directory.Release(s.gateway.Directory.Choose("s", nil, &routing.Request{Now: time.Now()}))
	})
	begun := make(chan struct{})
	s = newTestServer(t, singleRoute(routes.Streaming, 1),
		firstThen(streamUntilStopped(begun, copier.stopped, "1", "2"), respondStream(lastChunk, "3")), reject)
	s.useEngines(copier)
	logs := s.observeLogs()
	go func() {
		<-begun
		s.gateway.State.SetLoading("i-1", false)
		leaveFirstEngine(s.gateway.State)
	}()
	_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
	if err != nil || eventIDs(body) != "1 2 3" {
		t.Errorf("got events %s, error %v, want events 1 2 3; attempts %+v", eventIDs(body), err, attemptsOf(logs))
	}
	if work := s.gateway.Directory.OwnWork(); len(work) != 0 {
		t.Errorf("still counted as in flight: %+v", work)
	}
}

// TestRunBegunAtLeavingSource guards against a run whose answer begins at an engine that has been leaving for a while, and that
// returns there later than the engine may be sent requests, as if the engine had begun to leave only then.
func TestRunBegunAtLeavingSource(t *testing.T) {
	const serves = 2 * time.Second
	goOn := respondStream(lastChunk, "3")
	for _, row := range []struct {
		name string
		// beginsAfter is when the answer begins after the engine's notice.
		beginsAfter time.Duration
		destination responder
		// sent are the requests that the source and the destination get.
		sent [2]int
	}{
		{"early, rejected by the destination", 300 * time.Millisecond, reject, [2]int{2, 1}},
		{"late", 1800 * time.Millisecond, goOn, [2]int{1, 0}},
		{"late, rejected by the destination", 1800 * time.Millisecond, reject, [2]int{1, 0}},
	} {
		t.Run(row.name, func(t *testing.T) {
			copier := newHookCopier(func(context.Context) {})
			left, arrived := make(chan struct{}), make(chan struct{})
			var leftAt, returned atomic.Int64
			s := newTestServer(t, singleRoute(routes.Streaming, 1), firstThen(func(c net.Conn, r *http.Request) {
				close(arrived)
				<-left
				time.Sleep(row.beginsAfter)
				respondStream("", "1", "2")(c, r)
				select {
				case <-copier.stopped:
				case <-time.After(2 * relocationDelay):
					text := "id: 3\ndata: 3\n\n"
					fmt.Fprintf(c, "%x\r\n%s\r\n%s", len(text), text, lastChunk)
				}
			}, func(c net.Conn, r *http.Request) {
				returned.Store(time.Now().UnixNano())
				goOn(c, r)
			}), row.destination)
			s.useEngines(copier)
			s.gateway.EndpointDrain = serves
			logs := s.observeLogs()
			go func() {
				<-arrived
				s.gateway.State.SetLoading("i-1", false)
				leftAt.Store(time.Now().UnixNano())
				leaveFirstEngine(s.gateway.State)
				close(left)
			}()
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
			if err != nil || eventIDs(body) != "1 2 3" {
				t.Errorf("got events %s, error %v, want events 1 2 3; attempts %+v", eventIDs(body), err, attemptsOf(logs))
			}
			if sent := [2]int{s.endpoints[0].requestCount(), s.endpoints[1].requestCount()}; sent != row.sent {
				t.Errorf("source and destination got %v requests, want %v", sent, row.sent)
			}
			if after := time.Duration(returned.Load() - leftAt.Load()); returned.Load() > 0 && after >= serves {
				t.Errorf("sent to the leaving source %v after it was known to leave, want less than %v", after, serves)
			}
			if work := s.gateway.Directory.OwnWork(); len(work) != 0 {
				t.Errorf("still counted as in flight: %+v", work)
			}
		})
	}
}

// TestRunReturnsToLeavingSourceFromSilentDestination guards against a run that is lost because a connection to its destination
// hangs until its leaving source may not be sent requests any more.
func TestRunReturnsToLeavingSourceFromSilentDestination(t *testing.T) {
	const serves = 2 * time.Second
	copier := newHookCopier(func(context.Context) { time.Sleep(850 * time.Millisecond) })
	begun := make(chan struct{})
	s := newTestServer(t, singleRoute(routes.Streaming, 1), firstThen(streamUntilStopped(begun, copier.stopped, "1", "2"), respondStream(lastChunk, "3")), reject)
	s.useEngines(copier)
	s.gateway.EndpointDrain = serves
	dial, silent := s.gateway.Dial, s.endpoints[1].address
	s.gateway.Pool = upstream.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		if address != silent {
			return dial(ctx, network, address)
		}
		// As long as a process waits for a connection.
		ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	})
	logs := s.observeLogs()
	go func() {
		<-begun
		s.gateway.State.SetLoading("i-1", false)
		leaveFirstEngine(s.gateway.State)
	}()
	_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
	if err != nil || eventIDs(body) != "1 2 3" {
		t.Errorf("got events %s, error %v, attempts %+v", eventIDs(body), err, attemptsOf(logs))
	}
}

// TestRunIsNotSentToDestinationThatHasLeft guards against a run that is sent to its destination later than that may be sent
// requests, as it began to leave while the run was copied to it.
func TestRunIsNotSentToDestinationThatHasLeft(t *testing.T) {
	const serves = time.Second
	var s *testServer
	copier := newHookCopier(func(context.Context) {
		i, _ := s.gateway.State.Instance("i-1")
		i.Leaving, i.Revision = true, i.Revision+100
		s.gateway.State.SetInstance(i)
		time.Sleep(serves + 100*time.Millisecond)
	})
	begun := make(chan struct{})
	s = newTestServer(t, singleRoute(routes.Streaming, 1),
		firstThen(streamUntilStopped(begun, copier.stopped, "1", "2"), respondStream(lastChunk, "3")), respondStream(lastChunk, "3"))
	s.useEngines(copier)
	s.gateway.EndpointDrain = serves
	logs := s.observeLogs()
	go func() {
		<-begun
		s.gateway.State.SetLoading("i-1", false)
		s.gateway.State.SetLoading("i-0", true)
	}()
	_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
	if err != nil || eventIDs(body) != "1 2 3" {
		t.Errorf("got events %s, error %v, attempts %+v", eventIDs(body), err, attemptsOf(logs))
	}
	if n := s.endpoints[1].requestCount(); n != 0 {
		t.Errorf("the destination got %d requests over %v after it was known to leave, want none", n, serves)
	}
	if work := s.gateway.Directory.OwnWork(); len(work) != 0 {
		t.Errorf("still counted as in flight: %+v", work)
	}
}
