package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

// setWalls puts a configuration in force in which only the named customers are isolated; "club" sends the requests.
func (s *testServer) setWalls(version uint64, kind routes.Kind, isolated ...string) {
	s.setCustomers(version, singleRoute(kind, 2), isolated)
}

func (s *testServer) setCustomers(version uint64, list []routes.Route, isolated []string) {
	customers := []routes.Customer{{Name: "club", Keys: []string{"key"}}, {Name: "other", Keys: []string{"key-2"}}}
	for i := range customers {
		for _, name := range isolated {
			customers[i].Isolated = customers[i].Isolated || customers[i].Name == name
		}
	}
	s.gateway.State.SetRoutes(routes.New(version, 100+version, list, []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: 4}}},
		customers, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
}

// salts returns the salts of the requests that an endpoint got.
func (e *fakeEndpoint) salts() (salts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.requests {
		salts = append(salts, r.Header.Get(headerSalt))
	}
	return salts
}

// TestRetryFollowsNewWalls guards against a request that goes on using context across a wall that was raised while it was
// underway: its further attempts go by the configuration in force.
func TestRetryFollowsNewWalls(t *testing.T) {
	for _, row := range []struct {
		name          string
		before, after []string
		// changes is set if the second attempt has another salt than the first, sameAsNew if it has that of a new request.
		changes, sameAsNew bool
	}{
		{"nothing changes", nil, nil, false, true},
		{"another customer is isolated", nil, []string{"other"}, true, true},
		{"the customer is isolated", nil, []string{"club"}, true, true},
		{"another customer is shared again", []string{"other"}, nil, true, true},
		// Its first attempt used its own salt, which no other customer's request has.
		{"the customer is shared again", []string{"club"}, nil, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			var s *testServer
			salts := make(chan string, 3)
			fail := firstThen(func(c net.Conn, r *http.Request) {
				s.setWalls(30, routes.Idempotent, row.after...)
				respond(500, "failed")(c, r)
			}, respond(200, "served"))
			answer := func(c net.Conn, r *http.Request) {
				salts <- r.Header.Get(headerSalt)
				fail(c, r)
			}
			s = newTestServer(t, singleRoute(routes.Idempotent, 2), answer, answer)
			s.useEngines(nil)
			s.gateway.Copier = nil
			s.gateway.State.SetLoading("i-1", false)
			s.setWalls(20, routes.Idempotent, row.before...)
			for range 2 {
				if resp, _, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part")); err != nil || resp.StatusCode != 200 {
					t.Fatalf("got %v, error %v", resp, err)
				}
			}
			first, retry, fresh := <-salts, <-salts, <-salts
			if first == "" || (retry != first) != row.changes || (retry == fresh) != row.sameAsNew {
				t.Errorf("got salt %q, %q in the second attempt and %q in a new request", first, retry, fresh)
			}
		})
	}
}

// TestPublicRoutesKeepWalls guards against an isolated customer's prompts on a public route, which needs no key, that share
// context with those of others.
func TestPublicRoutesKeepWalls(t *testing.T) {
	salts := make(chan string, 1)
	answer := func(c net.Conn, r *http.Request) {
		salts <- r.Header.Get(headerSalt)
		respond(200, "served")(c, r)
	}
	s := newTestServer(t, singleRoute(routes.Idempotent, 2), answer, answer)
	s.useEngines(nil)
	s.gateway.Copier = nil
	list := singleRoute(routes.Idempotent, 2)
	list[0].Public = true
	s.gateway.State.SetRoutes(routes.New(20, 120, list, []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: 4}}}, []routes.Customer{
		{Name: "club", Keys: []string{"key"}, Isolated: true}, {Name: "other", Keys: []string{"key-2"}},
	}, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
	saltOf := func(key string) string {
		req := s.newRequest("POST", "/r/x", "prompt", headerSegment+": part")
		if req.Header.Del(headerKey); key != "" {
			req.Header.Set(headerKey, key)
		}
		if resp, _, err := s.do(req); err != nil || resp.StatusCode != 200 {
			t.Fatalf("got %v, error %v", resp, err)
		}
		return <-salts
	}
	club, other, unknown, none := saltOf("key"), saltOf("key-2"), saltOf("key-3"), saltOf("")
	if club == "" || club == other || other != unknown || other != none {
		t.Errorf("got salt %q of the isolated customer, %q of another, %q with an unknown key, %q without one", club, other, unknown, none)
	}
}

// TestStreamThatWaitsDoesNotCrossNewWalls guards against a stream that waits in an engine's queue while a customer is isolated, and
// then begins with context of both sides of the wall.
func TestStreamThatWaitsDoesNotCrossNewWalls(t *testing.T) {
	for _, row := range []struct {
		name          string
		before, after []string
		resumable     bool
		// sent are the attempts that are made.
		sent int
	}{
		{"another customer is isolated", nil, []string{"other"}, true, 2},
		{"the customer is isolated", nil, []string{"club"}, true, 2},
		{"another customer is shared again", []string{"other"}, nil, true, 1},
		{"an isolated customer's request", []string{"club"}, []string{"club", "other"}, true, 1},
		{"a stream that may be sent only once", nil, []string{"other"}, false, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			var s *testServer
			salts := make(chan string, 3)
			setWalls := func(version uint64, isolated []string) {
				list := singleRoute(routes.Streaming, 2)
				list[0].Resumable = row.resumable
				s.setCustomers(version, list, isolated)
			}
			wait := firstThen(func(c net.Conn, r *http.Request) {
				setWalls(30, row.after)
				time.Sleep(wallGrace + 300*time.Millisecond)
				respondStream(lastChunk, "1")(c, r)
			}, respondStream(lastChunk, "1"))
			answer := func(c net.Conn, r *http.Request) {
				salts <- r.Header.Get(headerSalt)
				wait(c, r)
			}
			s = newTestServer(t, singleRoute(routes.Streaming, 2), answer, answer)
			s.useEngines(nil)
			s.gateway.Copier = nil
			s.gateway.State.SetLoading("i-1", false)
			setWalls(20, row.before)
			if _, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part")); err != nil || body != "id: 1\ndata: 1\n\n" {
				t.Fatalf("got %q, error %v", body, err)
			}
			if got := s.requestCount(); got != row.sent {
				t.Fatalf("got %d attempts, want %d", got, row.sent)
			}
			if first := <-salts; row.sent == 2 && first == <-salts {
				t.Errorf("both attempts have salt %q", first)
			}
		})
	}
}

// TestMovedRunSharesWithNoneAfterNewWalls guards against context that a run brings along across a wall: one that goes on
// after a wall was raised neither keeps it for others nor reads theirs.
func TestMovedRunSharesWithNoneAfterNewWalls(t *testing.T) {
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
		s.setWalls(30, routes.Streaming, "other")
		s.gateway.State.SetLoading("i-1", false)
		leaveFirstEngine(s.gateway.State)
	}()
	for range 2 {
		if _, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part")); err != nil {
			t.Fatalf("got %q, error %v", body, err)
		}
	}
	began, moved := s.endpoints[0].salts(), s.endpoints[1].salts()
	if len(began) != 1 || len(moved) != 2 {
		t.Fatalf("got salts %v and %v, want a run that moved and one at the second engine", began, moved)
	}
	if moved[0] == "" || moved[0] == began[0] || moved[0] == moved[1] || moved[1] == began[0] {
		t.Errorf("got salts %v, then %v: the moved run shares", began, moved)
	}
}

// TestEvidenceOutlivesNewWalls guards against a part that crashes endpoints and must be learned anew because a customer was
// isolated: its evidence does not go by the cache salt.
func TestEvidenceOutlivesNewWalls(t *testing.T) {
	s := newTestServer(t, singleRoute(routes.Streaming, 2))
	parts := func() quarantine.Part {
		table := s.gateway.State.Routes()
		customer, _ := table.CustomerOf("key")
		x := &exchange{g: s.gateway, table: table, customer: customer, call: Call{Segments: []Segment{{ID: "dead"}, {ID: "own"}}}}
		return x.sharedParts()[0]
	}
	before := parts()
	if s.setWalls(30, routes.Streaming, "other"); parts() != before {
		t.Error("the part has another key since another customer was isolated")
	}
	if s.setWalls(31, routes.Streaming, "club"); parts() == before {
		t.Error("an isolated customer's part has the key of others' parts")
	}
}

const (
	// modelCustomers are the customers of the model's configurations.
	modelCustomers = 8
	// modelParts are the parts of its prompts.
	modelParts = 3
)

// wallState is what a configuration says of a customer.
type wallState int

const (
	absent wallState = iota
	open
	isolated
	unreadable
)

// wallConfig is a configuration of the model.
type wallConfig struct {
	version, revision uint64
	customers         [modelCustomers]wallState
}

func customerName(i int) string { return fmt.Sprint("c", i) }

func (c wallConfig) table() *routes.Table {
	var customers []routes.Customer
	for i, state := range c.customers {
		if state != absent {
			customers = append(customers, routes.Customer{Name: customerName(i), Keys: []string{customerName(i)}, Isolated: state == isolated, Unreadable: state == unreadable})
		}
	}
	return routes.New(c.version, c.revision, singleRoute(routes.Streaming, 2), []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: 4}}}, customers, routes.Limits{})
}

// wallGateway is a gateway of the model; walls is the state of customers that it goes by.
type wallGateway struct {
	*Gateway
	held  wallConfig
	walls [modelCustomers]wallState
}

// take puts a configuration in force if the gateway accepts it. An entry that can't be read stays what it was.
func (g *wallGateway) take(c wallConfig) {
	g.State.SetRoutes(c.table())
	if now := g.State.Routes(); now.Version != c.version || now.Revision != c.revision || g.held == c {
		return
	}
	before := g.walls
	g.held, g.walls = c, c.customers
	for i, state := range c.customers {
		if state == unreadable && before[i] != absent {
			g.walls[i] = before[i]
		}
	}
}

// isWalled reports whether the gateway has to keep a customer's context apart; -1 is a caller without a key.
func (g *wallGateway) isWalled(customer int) bool {
	return customer >= 0 && g.walls[customer] >= isolated
}

// wallRequest is a request of the model between its arrival and its end.
type wallRequest struct {
	x        *exchange
	at       *wallGateway
	customer int
	part     string
	// carried are the customers whose requests made what the request's run has in memory.
	carried map[int]bool
}

// wallModel draws configurations, gateways and requests. All engines and stores are one cache that never drops anything: what
// any of them may serve under a salt, by storage, copies, transfers or prefetches, it serves.
type wallModel struct {
	*testing.T
	random   *rand.Rand
	gateways []*wallGateway
	// written is the history of the store's configuration, current the one that it serves.
	written   []wallConfig
	current   wallConfig
	requests  []*wallRequest
	cache     map[string]map[int]bool
	used      int
	crossings int
	began     int
}

func (m *wallModel) newGateway() *wallGateway {
	log := zap.NewNop()
	g := &wallGateway{Gateway: &Gateway{
		State: discovery.NewState(fleet.Member{ID: "self", Incarnation: 1, Version: 1, Domain: "a"}, log, time.Now(), func(*routes.Table) {}),
		Log:   log, ContextTracker: newContextTracker(), Metrics: metrics.NewRegistry(),
	}}
	g.take(m.current)
	return g
}

// write changes one or two customers' entries.
func (m *wallModel) write() {
	next := m.current
	for range 1 + m.random.IntN(2) {
		next.customers[m.random.IntN(modelCustomers)] = []wallState{absent, open, open, open, isolated, isolated, unreadable}[m.random.IntN(7)]
	}
	m.publish(next)
}

// publish has the store serve a configuration under the next revision, and under the version after the one that it served.
func (m *wallModel) publish(c wallConfig) {
	c.version, c.revision = m.current.version+1, uint64(len(m.written)+1)
	m.current = c
	m.written = append(m.written, c)
}

// restore brings the store back from an older copy.
func (m *wallModel) restore() {
	m.current = m.written[m.random.IntN(len(m.written))]
	m.current.revision = uint64(len(m.written) + 1)
	m.written = append(m.written, m.current)
}

func (m *wallModel) arrive() {
	r := &wallRequest{at: m.gateways[m.random.IntN(len(m.gateways))], customer: m.random.IntN(modelCustomers+1) - 1, part: fmt.Sprint("part-", m.random.IntN(modelParts))}
	table := r.at.State.Routes()
	route, _ := table.Match("h", "/r/x")
	r.x = &exchange{g: r.at.Gateway, table: table, route: route, service: table.Services["s"], call: Call{
		ID: fmt.Sprint("id-", m.used, "-", len(m.requests), "-", m.random.Uint32()), Model: "m", Segments: []Segment{{ID: r.part, Tokens: 90}, {ID: "own", Tokens: 10}},
	}}
	if r.customer >= 0 {
		known := false
		if r.x.customer, known = table.CustomerOf(customerName(r.customer)); !known {
			return
		}
	}
	m.requests = append(m.requests, r)
}

// begin makes an attempt of a request that waits: a new one, or one that goes on with its run elsewhere.
func (m *wallModel) begin() {
	if len(m.requests) == 0 {
		return
	}
	i := m.random.IntN(len(m.requests))
	r := m.requests[i]
	isContinued := r.carried != nil && m.random.IntN(2) == 0
	choice := routing.Choice{Member: fleet.Member{ID: "i-0", Address: "10.0.0.1:1", Endpoint: fleet.Endpoint{Model: "m", WeightVersion: "1"}}}
	a := r.x.newAttempt(choice, r.x.promptContext(), isContinued)
	if a.CacheSalt == "" {
		m.Fatal("an attempt has no salt")
	}
	r.x.attempts = append(r.x.attempts, attemptRecord{})
	m.began++
	key := a.CacheSalt + " " + r.part
	if !isContinued {
		r.carried = map[int]bool{}
	}
	for maker := range m.cache[key] {
		if maker != r.customer {
			m.used++
			if r.at.isWalled(maker) || r.at.isWalled(r.customer) {
				m.crossings++
				m.Errorf("a request of customer %d uses context of %d at a gateway with version %d, going on: %v, salt %q", r.customer, maker, r.at.held.version, isContinued, a.CacheSalt)
			}
		}
		r.carried[maker] = true
	}
	r.carried[r.customer] = true
	if m.cache[key] == nil {
		m.cache[key] = map[int]bool{}
	}
	// A run that goes on leaves what it brought along; others leave what was missing.
	for maker := range r.carried {
		if isContinued || maker == r.customer {
			m.cache[key][maker] = true
		}
	}
	if m.random.IntN(2) == 0 {
		m.requests = slices.Delete(m.requests, i, i+1)
	}
}

func (m *wallModel) step() {
	gateway := m.random.IntN(len(m.gateways))
	switch n := m.random.IntN(100); {
	case n < 4:
		m.write()
	case n < 5:
		m.restore()
	case n < 25:
		// A gateway hears of the newest configuration, others do so later.
		m.gateways[gateway].take(m.current)
	case n < 26:
		for _, g := range m.gateways {
			g.take(m.current)
		}
	case n < 28:
		// Requests of a gateway that restarts end with it.
		m.requests = slices.DeleteFunc(m.requests, func(r *wallRequest) bool { return r.at == m.gateways[gateway] })
		m.gateways[gateway] = m.newGateway()
	case n < 63:
		m.arrive()
	default:
		m.begin()
	}
}

// TestNoContextCrossesWalls guards against KV cache of one customer that serves another though one of them is isolated, by the
// configuration that the gateway holds: whatever was in force when it was made, at this gateway or another, before a restart, in
// a run that moved, or in an older copy of the store.
func TestNoContextCrossesWalls(t *testing.T) {
	for size, seeds := range map[int]uint64{3: 100, 29: 40, 370: 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			began, used := 0, 0
			for seed := range seeds {
				m := &wallModel{T: t, random: rand.New(rand.NewPCG(seed, 0)), cache: map[string]map[int]bool{}}
				first := wallConfig{}
				for i := range first.customers {
					first.customers[i] = wallState(m.random.IntN(int(unreadable)))
				}
				m.publish(first)
				for range size {
					m.gateways = append(m.gateways, m.newGateway())
				}
				for range 1500 + 10*size {
					m.step()
				}
				began, used = began+m.began, used+m.used
				if m.crossings > 0 {
					t.Fatalf("seed %d: %d crossings", seed, m.crossings)
				}
			}
			t.Logf("%d attempts, %d uses of another customer's context", began, used)
			if used < began/20 {
				t.Error("hardly any context was shared")
			}
		})
	}
}
