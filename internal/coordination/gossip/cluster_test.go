package gossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/configlog"
	"limpetwall/internal/coordination/gossip"
	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/hostlist"
	hoststandin "limpetwall/internal/transport/hostlist/standin"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/objectapi/standin"
)

// latency is the delay of one call between two processes.
const latency = time.Millisecond

// platform wraps the stand-in of the object API: it counts calls and can be set down.
type platform struct {
	*standin.Store
	mu    sync.Mutex
	down  bool
	calls int
	// callsPerSecond counts calls by Unix second, to find the peak.
	callsPerSecond map[int64]int
}

func newPlatform() *platform {
	return &platform{Store: standin.New(), callsPerSecond: map[int64]int{}}
}

func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *platform) recordCall() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	p.callsPerSecond[time.Now().Unix()]++
	if p.down {
		return objectapi.ErrUnavailable
	}
	return nil
}

// popPeak returns the highest number of calls in any second since the last popPeak.
func (p *platform) popPeak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for _, n := range p.callsPerSecond {
		most = max(most, n)
	}
	clear(p.callsPerSecond)
	return most
}

func (p *platform) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if err := p.recordCall(); err != nil {
		return objectapi.Object{}, err
	}
	return p.Store.Get(ctx, key)
}

func (p *platform) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	if err := p.recordCall(); err != nil {
		return objectapi.Object{}, err
	}
	return p.Store.Put(ctx, key, value, version)
}

func (p *platform) Watch(ctx context.Context, key string, version int64, wait time.Duration) (objectapi.Object, error) {
	if err := p.recordCall(); err != nil {
		return objectapi.Object{}, err
	}
	return p.Store.Watch(ctx, key, version, wait)
}

// hostList is the stand-in of the host list; it is down while the platform is.
type hostList struct {
	*hoststandin.List
	platform *platform
}

func (h hostList) Hosts(ctx context.Context) ([]hostlist.Host, error) {
	h.platform.mu.Lock()
	down := h.platform.down
	h.platform.mu.Unlock()
	if down {
		return nil, hostlist.ErrUnavailable
	}
	return h.List.Hosts(ctx)
}

// cluster is a set of nodes on an in-memory network inside a synctest bubble.
type cluster struct {
	t        *testing.T
	platform *platform
	hosts    hostList

	mu    sync.Mutex
	nodes map[string]*member
	// isCut reports whether messages between two members are lost.
	isCut func(from, to *member) bool
}

type member struct {
	id, domain, region string
	node               *gossip.Node
	store              *config.Store
	stop               context.CancelFunc
	done               chan struct{}
	paused             bool
}

func newCluster(t *testing.T) *cluster {
	p := newPlatform()
	return &cluster{
		t: t, platform: p, hosts: hostList{hoststandin.New(0), p}, nodes: map[string]*member{},
		isCut: func(_, _ *member) bool { return false },
	}
}

var errLost = errors.New("message lost")

// network implements gossip.Peers for one member.
type network struct {
	c    *cluster
	from *member
}

// reach returns the member at an address. If the message is lost, it blocks until ctx
// ends, as the caller of an unreachable process does.
func (n network) reach(ctx context.Context, address string) (*member, error) {
	n.c.mu.Lock()
	to := n.c.nodes[address]
	lost := to == nil || to.paused || n.from.paused || n.c.isCut(n.from, to) || n.c.isCut(to, n.from)
	n.c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, errLost
	}
	time.Sleep(latency)
	return to, nil
}

func (n network) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	to, err := n.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return to.node.HandleExchange(ctx, r)
}

func (n network) FetchConfig(ctx context.Context, address string, r *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	to, err := n.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return to.node.HandleFetchConfig(ctx, r)
}

func (n network) FetchMembers(ctx context.Context, address string) (*wire.FetchMembersResponse, error) {
	to, err := n.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return to.node.HandleFetchMembers(ctx, &wire.FetchMembersRequest{})
}

func (n network) Probe(ctx context.Context, address string, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	to, err := n.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return to.node.HandleProbe(ctx, r)
}

// start starts a process and adds its host to the host list.
func (c *cluster) start(id, domain, region string) *member {
	return c.startWithConfig(gossip.DefaultConfig(), id, domain, region)
}

// startWithSeed starts a process that has one other process as its seed.
func (c *cluster) startWithSeed(id, domain, seed string) *member {
	cfg := gossip.DefaultConfig()
	cfg.Seeds = []string{seed}
	return c.startWithConfig(cfg, id, domain, "region-"+domain[:1])
}

func (c *cluster) startWithConfig(cfg gossip.Config, id, domain, region string) *member {
	m := &member{id: id, domain: domain, region: region, store: config.NewStore(), done: make(chan struct{})}
	now := time.Now()
	table := fleet.NewTable(fleet.DefaultConfig(), fleet.Member{
		ID: id, Incarnation: rand.Uint64(), Version: uint64(now.UnixMilli()), Address: id, Host: id,
		Domain: domain, Region: region, Role: fleet.RoleAgent, Endpoint: fleet.Endpoint{ID: id, Kind: fleet.KindEngine, Labels: map[string]string{"pool": "models"}},
	}, now)
	m.node = gossip.New(cfg, table, m.store, configlog.New(c.platform), c.hosts, network{c, m}, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	c.mu.Lock()
	c.nodes[id] = m
	c.mu.Unlock()
	c.hosts.Set(hostlist.Host{ID: id, Domain: domain, State: hostlist.Live, Address: id})
	go func() {
		defer close(m.done)
		for m.node.Join(ctx) != nil && ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond)
		}
		m.node.Announce()
		m.node.Run(ctx)
	}()
	return m
}

// startMany starts n processes, spread evenly over the failure domains, 5 ms apart.
func (c *cluster) startMany(n int, domains ...string) {
	for i := range n {
		domain := domains[i%len(domains)]
		c.start(fmt.Sprintf("n%03d", i), domain, "region-"+domain[:1])
		time.Sleep(5 * time.Millisecond)
	}
}

// kill stops a process without notice: it no longer answers.
func (c *cluster) kill(id string) {
	c.mu.Lock()
	m := c.nodes[id]
	delete(c.nodes, id)
	c.mu.Unlock()
	m.stop()
	<-m.done
}

func (c *cluster) stopAll() {
	for _, m := range c.members() {
		m.stop()
	}
	for _, m := range c.members() {
		<-m.done
	}
}

func (c *cluster) members() []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*member, 0, len(c.nodes))
	for _, m := range c.nodes {
		out = append(out, m)
	}
	return out
}

func (c *cluster) setCut(cut func(from, to *member) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = cut
}

func (c *cluster) pause(id string, paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id].paused = paused
}

// confirmChange confirms a configuration change through any live member and returns
// its revision.
func (c *cluster) confirmChange(number int) uint64 {
	m := c.members()[0]
	confirmer := &plan.Confirmer{Log: configlog.New(c.platform), Store: m.store, Salt: func() []byte { return []byte("salt") }, Now: time.Now, MaxTries: 16}
	request := plan.Request{Put: []config.Document{{
		Ref:  config.Ref{Kind: config.KindService, ID: fmt.Sprintf("service-%d", number)},
		Spec: []byte(`{"kind":"prompt","customers":["*"],"objective":{},"limits":{}}`),
	}}}
	p := plan.New(m.store.View(), request, nil, "op", fmt.Sprint(number), time.Now())
	result := confirmer.Confirm(context.Background(), p)
	if result.Outcome != plan.Applied {
		c.t.Fatalf("Confirm: got %+v, want outcome applied", result)
	}
	m.node.Announce()
	return result.Revision
}

// waitFor advances the clock in steps of 10 ms until check holds, and returns the time
// that took. It fails the test after limit.
func (c *cluster) waitFor(what string, limit time.Duration, check func() bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for !check() {
		if time.Since(began) > limit {
			c.t.Fatalf("condition not reached within %s: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// holdsForAll reports whether check holds for all live members.
func (c *cluster) holdsForAll(check func(m *member) bool) bool {
	for _, m := range c.members() {
		if !check(m) {
			return false
		}
	}
	return true
}

func (c *cluster) allSeeSize(size int) func() bool {
	return func() bool { return c.holdsForAll(func(m *member) bool { return m.node.Table().Size() == size }) }
}

func (c *cluster) allAtRevision(revision uint64) func() bool {
	return func() bool { return c.holdsForAll(func(m *member) bool { return m.store.View().Revision >= revision }) }
}
