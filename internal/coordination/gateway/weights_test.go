package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/contextcache"
	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/boundedqueue"
)

// newContextTracker returns a tracker that knows no store.
func newContextTracker() *contextcache.Tracker {
	return contextcache.NewTracker(nil, zap.NewNop(), "a", time.Now)
}

// TestRunThatDoesNotBeginBeforeWeightsAreReplaced sends a prompt that waits in an endpoint's queue
// while the endpoint's weights are replaced.
//
// The request is given up before the endpoint could begin it with the old weights: its connection
// is closed, and the caller gets an answer at once.
func TestRunThatDoesNotBeginBeforeWeightsAreReplaced(t *testing.T) {
	closed := make(chan struct{}, 1)
	s := newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, _ *http.Request) {
		io.Copy(io.Discard, c)
		closed <- struct{}{}
	})
	state := s.gateway.State
	state.BeginWithin = 50 * time.Millisecond
	state.SetInstance(discovery.Instance{ID: "i-0", Revision: 9, Service: "s", Address: s.endpoints[0].address, Domain: "a", Model: "m", Weights: 1})
	state.SetTarget(discovery.TargetWeights{Model: "m", Version: 2})
	resp, _, err := s.do(s.newRequest("POST", "/r/x", "prompt"))
	if err != nil || resp.StatusCode != 502 || resp.Header.Get("X-Limpetwall-Ran") != "unknown" {
		t.Errorf("got %v %v, want a 502 with unknown outcome", resp, err)
	}
	<-closed
}

// TestRunThatWaitsWhileWeightsAreReplaced guards against a prompt that begins on replaced weights because they were replaced, or
// turned out to have been replaced earlier, only after it was sent.
func TestRunThatWaitsWhileWeightsAreReplaced(t *testing.T) {
	const beginWithin = 200 * time.Millisecond
	v2 := discovery.TargetWeights{Model: "m", Version: 2}
	for _, row := range []struct {
		name           string
		before, during func(s *discovery.State)
	}{
		{"the version is named", func(*discovery.State) {}, func(s *discovery.State) { s.SetTarget(v2) }},
		{"the version is older than known", func(s *discovery.State) {
			s.SetTarget(v2)
			s.BeginWithin = time.Hour
		}, func(s *discovery.State) {
			s.MergeVersionAges([]discovery.VersionAge{{Model: "m", Version: 2, AgeMS: time.Hour.Milliseconds()}})
		}},
		{"the endpoint is not listed any more", func(*discovery.State) {}, func(s *discovery.State) {
			s.Remove("i-0", false, time.Now())
			s.SetTarget(v2)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			s := newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, _ *http.Request) {
				arrived <- struct{}{}
				io.Copy(io.Discard, c)
			})
			state := s.gateway.State
			state.BeginWithin = beginWithin
			state.SetInstance(discovery.Instance{ID: "i-0", Revision: 9, Service: "s", Address: s.endpoints[0].address, Domain: "a", Model: "m", Weights: 1})
			row.before(state)
			go func() {
				<-arrived
				row.during(state)
			}()
			resp, _, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerTimeLeft+": 5000"))
			if err != nil || resp.StatusCode != 502 {
				t.Errorf("got %v %v, want a 502 before the deadline", resp, err)
			}
		})
	}
}

// TestEngineIsQueriedAfterWeightMismatch guards against a process that can't reach the store and
// has all its prompts rejected by an engine that has loaded new weights.
//
// The engine rejects prompts for the old weights. It is queried for its version, which the next
// prompt names; several rejections cause one query.
func TestEngineIsQueriedAfterWeightMismatch(t *testing.T) {
	list := singleRoute(routes.Streaming, 1)
	// The engine closes each connection, so the next prompt must not be sent on it.
	misdirect := respond(421, "")
	s := newTestServer(t, list, func(c net.Conn, r *http.Request) {
		if r.Header.Get(headerWeights) != "2" {
			misdirect(c, r)
			return
		}
		respondStream(lastChunk, "1")(c, r)
	})
	engine := s.endpoints[0]
	s.gateway.State.SetInstance(discovery.Instance{
		ID: "i-0", Revision: 9, Service: "s", Address: engine.address, Domain: "a", Model: "m", Weights: 1, Slots: 4,
	})
	s.gateway.State.SetRoutes(routes.New(2, 10, list, []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: 4}}},
		[]routes.Customer{{Name: "club", Keys: []string{"key"}}}, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
	s.gateway.ContextTracker = newContextTracker()
	s.gateway.WeightQueries = boundedqueue.New[string](MaxWeightQueries)
	queried := make(chan string, MaxWeightQueries)
	s.gateway.QueryWeights = func(_ context.Context, i discovery.Instance) (EngineReport, error) {
		queried <- i.ID
		return EngineReport{Weights: 2}, nil
	}
	prompt := func() int {
		resp, _, err := s.do(s.newRequest("POST", "/r/x", "", headerSegment+": part"))
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode
	}
	const rejections = 3
	for range rejections {
		if status := prompt(); status != 503 {
			t.Errorf("prompt for the old weights: got status %d, want 503", status)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.gateway.RunWeightQueries(ctx)
	<-queried
	for {
		if i, _ := s.gateway.State.Instance("i-0"); i.Weights == 2 {
			break
		}
		runtime.Gosched()
	}
	if status := prompt(); status != 200 {
		t.Errorf("prompt for the reported weights: got status %d, want 200", status)
	}
	if len(queried) > 0 {
		t.Errorf("got %d further queries, want none", len(queried))
	}
}
