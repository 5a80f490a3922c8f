// Package agent is the process beside one endpoint and the only one that calls
// it: it runs attempts for entries, keeps the record of requests that may not
// be repeated, reports load and announces when the endpoint leaves.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/contexttransfer"
	"limpetwall/internal/coordination/gossip"
	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/ledger"
	"limpetwall/internal/transport/engine"
	"limpetwall/internal/transport/plainservice"
)

// Config tunes an agent.
type Config struct {
	// StatusEvery is the period of the engine's status reads.
	StatusEvery time.Duration
	// MaxPlainAnswer bounds a plain service's answer, in bytes.
	MaxPlainAnswer int64
	Ledger         ledger.Config
}

// DefaultConfig is what agents use.
func DefaultConfig() Config {
	return Config{
		StatusEvery:    200 * time.Millisecond,
		MaxPlainAnswer: 64 << 20, Ledger: ledger.DefaultConfig(),
	}
}

// Agent serves one endpoint. Exactly one of engine and plain is set.
type Agent struct {
	wire.UnimplementedAgentServer
	cfg    Config
	node   *gossip.Node
	store  *config.Store
	engine engine.Engine
	plain  plainservice.Service
	ledger *ledger.Ledger
	// mover is nil beside a plain service.
	mover   *contexttransfer.Mover
	zap     *zap.Logger
	metrics metrics.Registry

	// HasEnded reports whether the endpoint's process no longer listens. Set it before use; if nil, crashes are not detected.
	HasEnded func(ctx context.Context) bool
	crashes  crashes
	// asks is what the endpoint asks for. The agent alone calls it, so a limit is the agent's to use.
	// It is replaced when another process of the endpoint answers.
	asks     atomic.Pointer[pushback.Endpoint]
	pushback *pushback.Registry
	// limitSenders are the entries that send runs while there is a limit.
	limitSenders recentSenders

	draining atomic.Bool
	inflight calls
	running  atomic.Int64
	waiting  atomic.Int64
	// waitingTokens are the prompt tokens of runs that have not started yet.
	waitingTokens atomic.Int64

	// orders admits one order at a time.
	orders sync.Mutex

	mu     sync.Mutex
	status engine.Status
	base   context.Context
	cut    context.CancelFunc
}

// New returns an agent for an engine or a plain service.
func New(cfg Config, node *gossip.Node, store *config.Store, eng engine.Engine, plain plainservice.Service, open contexttransfer.OpenStore, logger *zap.Logger, registry metrics.Registry) *Agent {
	base, cut := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, node: node, store: store, engine: eng, plain: plain, zap: logger, metrics: registry,
		ledger: ledger.New(cfg.Ledger, node.Table().Self().Incarnation), base: base, cut: cut,
	}
	a.pushback = pushback.NewRegistry()
	a.pushback.Log = logger
	a.asks.Store(a.pushback.Endpoint(node.Table().Self().ID, 0, ""))
	if eng != nil {
		a.mover = contexttransfer.NewMover(eng, open, store, a.engines, logger, registry)
	}
	return a
}

// engines counts the agents that share the stores' links.
func (a *Agent) engines() int {
	count := 1
	for _, m := range a.node.Table().Live() {
		if m.Endpoint.Kind == fleet.KindEngine {
			count++
		}
	}
	return count
}

// RunDuties runs the agent's duties until ctx ends.
func (a *Agent) RunDuties(ctx context.Context) {
	var group sync.WaitGroup
	if a.engine != nil {
		group.Go(func() { a.statusDuty(ctx) })
		group.Go(func() { a.mover.FollowEvents(ctx, a.cfg.StatusEvery) })
		group.Go(func() { a.mover.RunExports(ctx) })
	}
	group.Go(func() { a.node.RunReports(ctx, a.load) })
	group.Go(func() { a.watchLeaving(ctx) })
	group.Wait()
}

// statusDuty follows the engine: others decide by its model and weight version.
func (a *Agent) statusDuty(ctx context.Context) {
	ticker := time.NewTicker(a.cfg.StatusEvery)
	defer ticker.Stop()
	for {
		if a.asks.Load().RestLeft(time.Now()) == 0 {
			a.readStatus(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) readStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 5*a.cfg.StatusEvery)
	defer cancel()
	status, err := a.engine.Status(ctx)
	if err != nil {
		metrics.GetOrRegisterCounter("agent.status_errors", a.metrics).Inc(1)
		return
	}
	a.mu.Lock()
	swapped := a.status.WeightVersion != "" && a.status.WeightVersion != status.WeightVersion
	a.status = status
	a.mu.Unlock()
	if swapped {
		a.mover.ClearResidency()
	}
	a.node.Table().Update(time.Now(), func(m *fleet.Member) {
		m.Endpoint.Model, m.Endpoint.WeightVersion = status.Model, status.WeightVersion
		m.Endpoint.Adapter, m.Endpoint.Role, m.Endpoint.SoftwareVersion = status.Adapter, status.Role, status.SoftwareVersion
	})
}

// load is what the agent knows without lag: all work passes through it.
func (a *Agent) load() fleet.Load {
	a.mu.Lock()
	rate, pieceBytes := a.status.PrefillRate, a.status.PieceBytes
	a.mu.Unlock()
	link := 0
	if a.mover != nil {
		link = a.mover.LinkRate(pieceBytes)
	}
	return fleet.Load{
		AtMS: time.Now().UnixMilli(), LinkRate: link, Running: int(a.running.Load()), Queued: int(a.waiting.Load()),
		QueuedTokens: int(a.waitingTokens.Load()), PrefillRate: rate, RequestLimit: a.asks.Load().Limit().RequestsPerSecond,
		LimitSenders: a.limitSenders.count(time.Now()), RestMS: int(a.restLeft().Milliseconds()),
	}
}

// Leave announces to the fleet that the endpoint leaves. New work is refused from then on.
func (a *Agent) Leave() {
	a.draining.Store(true)
	a.node.Table().Update(time.Now(), func(m *fleet.Member) { m.State = fleet.Leaving })
	a.node.Announce()
}

// Drain waits for the runs in flight, at most until ctx ends, and returns how
// many it cut.
func (a *Agent) Drain(ctx context.Context) int {
	select {
	case <-a.inflight.waitIdle():
		return 0
	case <-ctx.Done():
		left := int(a.running.Load() + a.waiting.Load())
		a.cut()
		return left
	}
}

func (a *Agent) leaving() bool {
	self := a.node.Table().Self()
	return a.draining.Load() || self.State == fleet.Leaving || self.Endpoint.Leaving
}

// MintTickets implements wire.AgentServer.
func (a *Agent) MintTickets(_ context.Context, r *wire.MintTicketsRequest) (*wire.MintTicketsResponse, error) {
	count := min(int(r.GetCount()), 1024)
	first, err := a.ledger.Issue(count, time.Now())
	if err != nil || a.leaving() {
		return &wire.MintTicketsResponse{Incarnation: a.ledger.Incarnation()}, nil
	}
	return &wire.MintTicketsResponse{
		Incarnation: a.ledger.Incarnation(), First: first, Count: uint32(count),
		ValidMs: a.ledger.TicketTTL().Milliseconds(),
	}, nil
}
