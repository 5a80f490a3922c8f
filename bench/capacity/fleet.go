package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

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
	"limpetwall/internal/transport/rpc"
)

// FleetRow is one fleet size's figures; rates are per node and second.
type FleetRow struct {
	Nodes     int `json:"nodes"`
	Customers int `json:"customers"`
	// WireBytes crossed the node's sockets, both ways, grpc framing included.
	WireBytes float64 `json:"wire_bytes"`
	// PayloadBytes are the protocol messages alone, Messages their number.
	PayloadBytes float64 `json:"payload_bytes"`
	Messages     float64 `json:"messages"`
	// CPU is the share of one core.
	CPU float64 `json:"cpu"`
	// Heap is live bytes a node, connections included.
	Heap float64 `json:"heap"`
	// Connections that the node opened.
	Connections float64 `json:"connections"`
	// PlatformCalls a second of the whole fleet, waiting watches included.
	PlatformCalls float64 `json:"platform_calls"`
	// Changes a second during the window; their spread in ms.
	Changes      float64 `json:"changes"`
	SpreadMedian float64 `json:"spread_median_ms"`
	SpreadLast   float64 `json:"spread_last_ms"`
	Window       float64 `json:"window_s"`
}

// counter counts a fleet's traffic.
type counter struct {
	bytes, conns atomic.Int64
}

type countedConn struct {
	net.Conn
	counter *counter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// countedAPI counts platform calls.
type countedAPI struct {
	*standin.Store
	calls atomic.Int64
}

func (a *countedAPI) Get(ctx context.Context, key string) (objectapi.Object, error) {
	a.calls.Add(1)
	return a.Store.Get(ctx, key)
}

func (a *countedAPI) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	a.calls.Add(1)
	return a.Store.Put(ctx, key, value, version)
}

func (a *countedAPI) Watch(ctx context.Context, key string, version int64, wait time.Duration) (objectapi.Object, error) {
	a.calls.Add(1)
	return a.Store.Watch(ctx, key, version, wait)
}

// countedHosts counts reads of the host list with the platform's.
type countedHosts struct {
	*hoststandin.List
	calls *atomic.Int64
}

func (h countedHosts) Hosts(ctx context.Context) ([]hostlist.Host, error) {
	h.calls.Add(1)
	return h.List.Hosts(ctx)
}

type fleetBench struct {
	api     *countedAPI
	hosts   countedHosts
	counter counter
	nodes   []*benchNode
	ctx     context.Context
	group   sync.WaitGroup
}

type benchNode struct {
	node   *gossip.Node
	store  *config.Store
	pool   *rpc.Pool
	server *grpc.Server
}

func customerDocument(i int) config.Document {
	spec, _ := json.Marshal(config.Customer{
		KeyHashes: []string{config.HashKey(fmt.Sprint("key", i))}, Limits: config.Limits{RequestsPerSecond: 20, Burst: 40, Concurrent: 50},
		Share: 1, Salt: make([]byte, 32),
	})
	return config.Document{Ref: config.Ref{Kind: config.KindCustomer, ID: fmt.Sprintf("customer-%05d", i)}, Spec: spec}
}

// preload accepts the customers in changes of 50.
func (b *fleetBench) preload(customers int) error {
	store := config.NewStore()
	log := configlog.New(b.api)
	for first := 0; first < customers; first += 50 {
		c := config.Change{Revision: store.View().Revision + 1, PlanID: fmt.Sprint("load", first)}
		for i := first; i < min(first+50, customers); i++ {
			c.Puts = append(c.Puts, customerDocument(i))
		}
		head, err := log.Read(b.ctx)
		if err != nil {
			return err
		}
		if err := log.Append(b.ctx, head, store.View(), c); err != nil {
			return err
		}
		if err := store.Apply(c); err != nil {
			return err
		}
	}
	return nil
}

func (b *fleetBench) start(i int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := fmt.Sprintf("node-%04d", i)
	dialer := grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		b.counter.conns.Add(1)
		return countedConn{conn, &b.counter}, nil
	})
	n := &benchNode{store: config.NewStore(), pool: rpc.NewPool(nil, dialer), server: rpc.NewServer(nil)}
	now := time.Now()
	role := fleet.RoleAgent
	if i%4 == 0 {
		role = fleet.RoleEntry
	}
	table := fleet.NewTable(fleet.DefaultConfig(), fleet.Member{
		ID: id, Incarnation: rand.Uint64(), Version: uint64(now.UnixMilli()), Address: listener.Addr().String(), Host: "host-" + id,
		Domain: fmt.Sprint("domain-", i%5), Region: fmt.Sprint("region-", i%5%2), Role: role,
		Endpoint: fleet.Endpoint{ID: id, Kind: fleet.KindEngine, Labels: map[string]string{"pool": "models"}, Model: "model-1", WeightVersion: "v1"},
	}, now)
	n.node = gossip.New(gossip.DefaultConfig(), table, n.store, configlog.New(b.api), b.hosts, n.pool, zap.NewNop())
	wire.RegisterPeerServer(n.server, &gossip.Server{Node: n.node})
	go n.server.Serve(listener)
	b.hosts.Set(hostlist.Host{ID: "host-" + id, Domain: fmt.Sprint("domain-", i%5), State: hostlist.Live, Address: listener.Addr().String()})
	b.nodes = append(b.nodes, n)
	if err := n.node.Join(b.ctx); err != nil && i > 0 {
		return err
	}
	b.group.Go(func() { n.node.Run(b.ctx) })
	b.group.Go(func() { n.node.RunReports(b.ctx, busyLoad) })
	return nil
}

// busyLoad differs from report to report, as under load.
func busyLoad() fleet.Load {
	return fleet.Load{
		Running: 8 + rand.IntN(8), Queued: rand.IntN(4), QueuedTokens: rand.IntN(20_000), PrefillRate: 20_000,
		LinkRate: 25_000 + rand.IntN(5_000), AtMS: time.Now().UnixMilli(),
	}
}

// settle waits until every node has the same table.
func (b *fleetBench) settle() error {
	deadline := time.Now().Add(2 * time.Minute)
	for {
		same := true
		digest := b.nodes[0].node.Table().Digest()
		for _, n := range b.nodes {
			same = same && n.node.Table().Digest() == digest && n.node.Table().Size() == len(b.nodes) && n.node.Table().Fresh() == 0
		}
		if same {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d nodes did not settle", len(b.nodes))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// accept confirms one change and returns when each node had it in force.
func (b *fleetBench) accept(number int) (median, last time.Duration) {
	n := b.nodes[number%len(b.nodes)]
	confirmer := &plan.Confirmer{Log: configlog.New(b.api), Store: n.store, Salt: func() []byte { return make([]byte, 32) }, Now: time.Now, MaxTries: 16}
	d := customerDocument(number)
	var c config.Customer
	json.Unmarshal(d.Spec, &c)
	c.Salt, c.Share = nil, float64(number+2)
	d.Spec, _ = json.Marshal(c)
	p := plan.New(n.store.View(), plan.Request{Put: []config.Document{d}}, nil, "op", fmt.Sprint(number), time.Now())
	verdict := confirmer.Confirm(b.ctx, p)
	began := time.Now()
	n.node.Announce()
	seen := 0
	for have := make([]bool, len(b.nodes)); seen < len(b.nodes) && time.Since(began) < 30*time.Second; time.Sleep(2 * time.Millisecond) {
		for i, x := range b.nodes {
			if !have[i] && x.store.View().Revision >= verdict.Revision {
				have[i] = true
				seen++
				if seen == len(b.nodes)/2 {
					median = time.Since(began)
				}
			}
		}
	}
	return median, time.Since(began)
}

func measureFleet(nodes, customers int, window time.Duration) (FleetRow, error) {
	ctx, cancel := context.WithCancel(context.Background())
	api := &countedAPI{Store: standin.New()}
	b := &fleetBench{api: api, hosts: countedHosts{hoststandin.New(0), &api.calls}, ctx: ctx}
	before := liveHeap()
	defer b.end(cancel)
	if err := b.preload(customers); err != nil {
		return FleetRow{}, err
	}
	for i := range nodes {
		if err := b.start(i); err != nil {
			return FleetRow{}, err
		}
	}
	if err := b.settle(); err != nil {
		return FleetRow{}, err
	}
	row := b.window(window)
	row.Nodes, row.Customers = nodes, customers
	row.Heap = float64(liveHeap()-before) / float64(nodes)
	row.Connections = float64(b.counter.conns.Load()) / float64(nodes)
	return row, nil
}

// window measures a while with a change of configuration every ten seconds,
// twice the target's rate.
func (b *fleetBench) window(length time.Duration) FleetRow {
	const every = 10 * time.Second
	type snapshot struct {
		bytes, payload, messages, calls int64
		cpu                             time.Duration
	}
	take := func() snapshot {
		s := snapshot{bytes: b.counter.bytes.Load(), calls: b.api.calls.Load(), cpu: cpuTime()}
		for _, n := range b.nodes {
			c := n.node.Counts()
			s.payload += c.SentBytes + c.ReceivedBytes
			s.messages += c.Sent + c.Received
		}
		return s
	}
	start, first := time.Now(), take()
	var row FleetRow
	changes := 0
	for time.Since(start)+every <= length {
		median, last := b.accept(changes)
		row.SpreadMedian += float64(median.Microseconds()) / 1000
		row.SpreadLast = max(row.SpreadLast, float64(last.Microseconds())/1000)
		changes++
		time.Sleep(time.Until(start.Add(time.Duration(changes) * every)))
	}
	time.Sleep(time.Until(start.Add(length)))
	end := take()
	seconds, nodes := time.Since(start).Seconds(), float64(len(b.nodes))
	row.Window = seconds
	// Each byte crosses two nodes' sockets; the client side's count is doubled.
	row.WireBytes = 2 * float64(end.bytes-first.bytes) / seconds / nodes
	row.PayloadBytes = float64(end.payload-first.payload) / seconds / nodes
	row.Messages = float64(end.messages-first.messages) / seconds / nodes
	row.CPU = (end.cpu - first.cpu).Seconds() / seconds / nodes
	row.PlatformCalls = float64(end.calls-first.calls) / seconds
	row.Changes = float64(changes) / seconds
	row.SpreadMedian /= float64(max(1, changes))
	return row
}

func (b *fleetBench) end(cancel context.CancelFunc) {
	cancel()
	for _, n := range b.nodes {
		n.pool.Close()
		n.server.Stop()
	}
	b.group.Wait()
	b.nodes = nil
	runtime.GC()
}
