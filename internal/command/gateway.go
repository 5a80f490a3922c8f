package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"limpetwall/internal/coordination/contextcache"
	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/gateway"
	"limpetwall/internal/coordination/lease"
	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/coordination/rollout"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/bootclock"
	"limpetwall/internal/transport/boundedqueue"
	"limpetwall/internal/transport/exposition"
	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/ingress"
	"limpetwall/internal/transport/logging"
	"limpetwall/internal/transport/settings"
	"limpetwall/internal/transport/upstream"
	"limpetwall/platform"
)

const (
	// logLines is the number of log lines buffered for a slow reader, about a second of the heaviest load.
	logLines = 4096
	// logFlush is how long the process waits at its end for the log's reader.
	logFlush = 500 * time.Millisecond
	// connectTimeout is for connections to endpoints: a lost SYN is sent again after a second, by which
	// time another endpoint could have answered.
	connectTimeout = 400 * time.Millisecond
	// silence is the time without an acknowledgment after which a connection to an endpoint counts as
	// dead. A lost packet is sent again several times within it.
	silence = 900 * time.Millisecond
	// storeConnect is longer than connectTimeout, as there is only one store.
	storeConnect = 700 * time.Millisecond
	// platformRetryBurst is one process's part of the retries that a deployment may make beyond their
	// ratio; a few dozen processes may spend theirs at the same time.
	platformRetryBurst = 3
	// retryPart is the part of the allowed ratio that is used, as the windows of different processes overlap.
	retryPart = 0.7
	// memoryPart is the heap's part of the process's memory; the rest is for stacks and receive buffers.
	memoryPart = 0.6
	// contextIndex is the number of context chunks that the index holds per generation.
	contextIndex = 20_000
)

// entryHeartbeats is the number of heartbeats that an endpoint may miss before its entry lapses.
const entryHeartbeats = 3

// beginMargin is how long before the end of the time of replaced weights a request is canceled. Timers fire late on a host
// without processor time, and the endpoint must learn of it in time.
const beginMargin = 700 * time.Millisecond

// retireEarly is how long before the end of their time replaced weights are no longer used: a request
// may wait that long in an engine before it begins. Requests with a predicted wait of over 1.6 s are
// refused, but some wait for more than 1.5 s after all.
const retireEarly = 2500 * time.Millisecond

func gatewayMain(args []string, io IO) int {
	set := settings.New("limpetwall gateway")
	s := bindGateway(set)
	if code, done := parseOnly(set, args, io); done {
		return code
	}
	read, err := platform.ReadSettings(s.Path)
	if err != nil {
		parseFailed(io, err)
		return ExitSettings
	}
	s.Platform = read
	if set.PrintRequested() {
		set.Print(io.Out)
		for _, v := range read.Values() {
			fmt.Fprintf(io.Out, "%s=%q  # %s\n", v.Place, v.Value, s.Path)
		}
		return ExitOK
	}
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		parseFailed(io, errors.Annotate(err, "-log-level"))
		return ExitSettings
	}
	// A process that exceeds its memory is killed, so the garbage collector runs more often near the limit.
	debug.SetMemoryLimit(int64(memoryPart * float64(read.MemoryBytes)))
	out := logging.NewAsyncWriter(io.Out, logLines)
	logger := logging.New(out, level).With(zap.String("host", s.Platform.Host))
	code := finish(logger, RunGateway(s, logger, io.Signals.watch()))
	logger.Info("stopped", zap.Int("exit", code), zap.Int64("log_lines_dropped", out.Dropped()))
	out.Close(logFlush)
	return code
}

// gatewayProcess is one running gateway.
type gatewayProcess struct {
	settings *GatewaySettings
	log      *zap.Logger
	gateway  *gateway.Gateway
	clients  *ingress.Server
	ready    *ingress.Server
	metrics  *ingress.Server
	// registry holds the metrics.
	registry metrics.Registry
	duties   sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	// serving ends when the process begins to stop.
	serving     context.Context
	stopServing context.CancelFunc
}

// RunGateway serves until a stop is requested.
func RunGateway(s *GatewaySettings, log *zap.Logger, stop Stop) error {
	p := newGatewayProcess(s, log)
	defer p.close()
	if stop.isRequested() {
		log.Info("stop requested before listening")
		return nil
	}
	if err := p.listen(); err != nil {
		return err
	}
	log.Info("started", zap.String("domain", s.Platform.Domain),
		zap.String("clients", s.Platform.Clients), zap.String("store", s.Platform.Store), zap.Int("pid", os.Getpid()))
	for {
		select {
		case <-stop.Reload:
			p.reload()
		case <-stop.Graceful:
			p.reloadInTime()
			p.reloadInTime()
			p.drain(stop)
			return nil
		}
	}
}

func newGatewayProcess(s *GatewaySettings, log *zap.Logger) *gatewayProcess {
	p := &gatewayProcess{settings: s, log: log}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.serving, p.stopServing = context.WithCancel(p.ctx)
	b := s.Platform.Bounds
	self := fleet.Member{ID: s.Platform.Host, Incarnation: uint64(time.Now().UnixNano()), Version: 1, Domain: s.Platform.Domain, Role: fleet.RoleEntry}
	registry := metrics.NewRegistry()
	storeClient := upstream.Dialer{Connect: connectTimeout, Silence: silence}
	observePushback := func(address string, s pushback.Signal) { p.gateway.ObservePushback(address, s) }
	contextTransport := &platform.PushbackTransport{Next: httpjson.NewTransport(&http.Transport{DialContext: storeClient.Dial, MaxIdleConnsPerHost: 2}), Observe: observePushback}
	contextStores := platform.NewContextStores(contextTransport)
	contextStores.Log = log
	keeper := contextcache.NewTracker(contextStores, log, self.Domain, bootclock.Now)
	keeper.Self, keeper.Regions = hostOf(s.Platform.Clients), s.Platform.Regions
	origins := streamorigin.NewRegistry()
	state := discovery.NewState(self, log, time.Now(), func(t *routes.Table) {
		p.clients.SetLimits(t.Limits)
		keeper.SetStores(t.Services)
		origins.SetStreamTargets(t.StreamTargets())
	})
	state.Now, state.RetireAfter = bootclock.Now, b.WeightsInForce-retireEarly
	state.BeginWithin, state.AwaitsWeights = b.WeightsInForce-beginMargin, true
	state.OnListed, state.OnSoftware = origins.BeginFollowing, func(service, version string, now time.Time) {
		origins.ObserveVersions([]streamorigin.Origin{{Service: service, Version: version}}, now)
	}
	state.OnFollowed = origins.RecordFollowed
	state.FollowsEvacuations, state.Regions = b.Evacuation > 0, s.Platform.Regions
	state.EntryLifetime = entryHeartbeats * b.Heartbeat
	keeper.OnEngineStart = state.ObserveStartByAddress
	storeDialer := upstream.Dialer{Connect: storeConnect, Silence: silence}
	storeTransport := httpjson.NewTransport(&http.Transport{DialContext: storeDialer.Dial, MaxIdleConnsPerHost: 8, DisableCompression: true})
	store := platform.NewStore(s.Platform.Store, storeTransport)
	store.Log = log
	watcher := &discovery.Watcher{
		Feed: store, Decoder: platform.Decoder{}, Kinds: platform.Kinds, State: state, Log: log,
		Wait: watchWait(b), Reset: storeTransport.CloseIdleConnections, Clock: bootclock.Now, Heartbeat: b.Heartbeat,
		OnAway: origins.SetStoreAway,
	}
	metrics.NewRegisteredFunctionalGauge("store.era", registry, func() int64 { return int64(store.Eras().Current()) })
	metrics.NewRegisteredFunctionalGauge("gateway.endpoint_entries_dropped", registry, state.DroppedEntries)
	metrics.NewRegisteredFunctionalGauge("gateway.context_walls_changed", registry, state.WallChanges)
	metrics.NewRegisteredFunctionalGauge("gateway.customers_isolated", registry, state.IsolatedCustomers)
	metrics.NewRegisteredFunctionalGauge("gateway.domains_evacuated", registry, func() int64 { return int64(len(state.EvacuatedDomains())) })
	metrics.NewRegisteredFunctionalGauge("gateway.endpoints_outdated", registry, state.OutdatedEndpoints)
	metrics.NewRegisteredFunctionalGauge("gateway.endpoints_of_unknown_weights_age", registry, state.EndpointsOfUnknownAge)
	endpointDialer := upstream.Dialer{Connect: connectTimeout, Silence: silence}
	p.gateway = &gateway.Gateway{
		Domain: s.Platform.Domain, State: state, Watcher: watcher,
		Directory: routing.NewDirectory(state.Table, state.Services, contextIndex, self.Incarnation),
		Pool:      upstream.NewPool(endpointDialer.Dial), Dial: endpointDialer.Dial, RetryBudget: runs.NewRetryBudget(retryPart*b.RetryRatio, platformRetryBurst),
		Codec: platform.Codec{}, Origins: origins, ContextTracker: keeper, Log: log, Metrics: registry,
		RequestLogLimiter: rate.NewLimiter(rate.Limit(*s.RequestLines), *s.RequestLines),
	}
	p.gateway.Directory.Pushback.Log = log
	metrics.NewRegisteredFunctionalGauge("gateway.context_changes_out_of_order", registry, keeper.OutOfOrderChanges)
	for rank := range gateway.ListedCustomerShares {
		metrics.NewRegisteredFunctionalGauge(fmt.Sprintf("gateway.customer_share_percent.rank_%d", rank+1), registry, func() int64 { return p.gateway.CustomerSharePercent(rank) })
	}
	metrics.NewRegisteredFunctionalGauge("gateway.endpoints_limited", registry, func() int64 { return int64(len(p.gateway.Directory.Pushback.Limited(time.Now()))) })
	p.gateway.Guard = quarantine.NewGuard(quarantine.NewTracker(), store, log, registry, bootclock.Now)
	if b.KeysRevoked > 0 {
		p.gateway.KeysValidFor = max(time.Millisecond, b.KeysRevoked-revokeMargin)
		watcher.Wait = min(watcher.Wait, b.KeysRevoked/revokeWatches)
	}
	p.registry = registry
	callers := Limits{MemoryBytes: s.Platform.MemoryBytes, Sockets: s.Platform.Sockets}
	p.clients = ingress.New(p.gateway, ingress.Config{
		Log: log, Metrics: registry, Memory: callers.Quota(0), MaxConns: callers.CallerConns(),
	})
	engines := platform.NewEngines(&platform.PushbackTransport{
		Next: httpjson.NewTransport(&http.Transport{DialContext: endpointDialer.Dial, IdleConnTimeout: engineIdle}), Observe: observePushback,
	})
	director := p.director(state, store, engines)
	director.IsResting, keeper.RestLeft = p.gateway.IsResting, p.gateway.RestLeft
	p.startSharing(self, store, watcher, director, keeper)
	p.run(watcher.Run)
	p.run(p.gateway.Guard.Run)
	p.gateway.IsLeader = director.IsLeader
	p.gateway.WeightQueries = boundedqueue.New[string](gateway.MaxWeightQueries)
	p.gateway.QueryWeights = func(ctx context.Context, i discovery.Instance) (gateway.EngineReport, error) {
		report, err := engines.Report(ctx, i)
		return gateway.EngineReport{Born: report.Born, Weights: report.Weights[i.Model], Busy: report.Busy}, err
	}
	if *s.MoveRuns {
		p.gateway.Copier, p.gateway.EndpointDrain = engines, b.EndpointDrain
	}
	p.run(director.Run)
	p.run(state.RunRetirement)
	p.run(p.gateway.RunWeightQueries)
	p.run(p.gateway.RunEndpointSync)
	p.run(keeper.Run)
	p.run(p.gateway.RunContextCleanup)
	p.serveMetrics(registry)
	return p
}

// rolloutLease is the key of the lease under which engines are ordered.
const rolloutLease = "lease.rollout"

// director brings engines to the weights that operators name.
func (p *gatewayProcess) director(state *discovery.State, store *platform.Store, engines rollout.Engines) *rollout.Director {
	b := p.settings.Platform.Bounds
	// The address distinguishes a new host from the one that it replaces under the same name.
	holder := p.settings.Platform.Host + "@" + p.settings.Platform.Clients
	// A holder acts for up to act after its last renewal, and another takes over after a whole term plus
	// the handover of act: orders of two holders are at least a term apart.
	act := b.OrderLease / 4
	d := &rollout.Director{
		State: state, Log: p.log, Holder: holder, Handover: act, Within: b.WeightsInForce, Now: bootclock.Now, Engines: engines,
	}
	d.Lease = lease.New(lease.Config{
		Key: rolloutLease, Holder: holder, Term: b.OrderLease, Act: act, Handover: act, CallTimeout: leaseCallTimeout, Now: bootclock.Now, OnNote: d.ObserveNote,
	}, store)
	return d
}

const (
	// leaseCallTimeout allows two attempts within the time in which a holder may act.
	leaseCallTimeout = 700 * time.Millisecond
	// engineIdle is shorter than the time after which servers close idle connections.
	engineIdle = time.Second
)

// revokeMargin is subtracted from the time after which a removed key must be refused everywhere: a
// request is authorized on arrival, and reaches its endpoint later.
const revokeMargin = 500 * time.Millisecond

// revokeWatches is the number of watches that fit into that time: the known keys may be two watches old,
// and a third watch may be lost.
const revokeWatches = 4

// watchWait returns how long a watch may wait. A silent connection to the store must not hide changes for
// longer than the platform excuses the disturbance that silenced it.
func watchWait(b platform.Bounds) time.Duration {
	const margin = time.Second
	return max(time.Second, b.StableWindow-margin)
}

func (p *gatewayProcess) run(duty func(context.Context)) {
	p.duties.Go(func() { duty(p.ctx) })
}

// runWhileServing runs a duty that ends when the process begins to stop.
func (p *gatewayProcess) runWhileServing(duty func(context.Context)) {
	p.duties.Go(func() { duty(p.serving) })
}

func (p *gatewayProcess) serveMetrics(registry metrics.Registry) {
	if p.settings.Platform.Metrics == "" {
		return
	}
	l, err := net.Listen("tcp", p.settings.Platform.Metrics)
	if err != nil {
		p.log.Error("metrics are not served", zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", exposition.Handler(registry))
	p.metrics = p.probeServer(mux)
	p.run(func(context.Context) { logServe(p.log, "metrics", p.metrics.Serve(l)) })
}

func (p *gatewayProcess) listen() error {
	ready, err := net.Listen("tcp", p.settings.Platform.Ready)
	if err != nil {
		return errors.Annotate(err, "listening for the balancer's probe")
	}
	// This comes last: callers who connect before a start fails would be reset.
	clients, err := net.Listen("tcp", p.settings.Platform.Clients)
	if err != nil {
		ready.Close()
		return errors.Annotate(err, "listening for callers")
	}
	p.clients.Register(clients)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", p.gateway.ServeReady)
	p.ready = p.probeServer(mux)
	p.run(func(context.Context) { logServe(p.log, "callers", p.clients.Serve(clients)) })
	p.run(func(context.Context) { logServe(p.log, "readiness", p.ready.Serve(ready)) })
	return nil
}

// probeServer returns a server for requests that are not from callers.
func (p *gatewayProcess) probeServer(handler http.Handler) *ingress.Server {
	return newProbeServer(handler, p.log, p.registry)
}

const (
	// balancerNotice is how long the balancer takes to notice that a process is not ready and to stop
	// sending it new connections: two probes, one per second.
	balancerNotice = 2500 * time.Millisecond
	// crossing is the additional time for requests that were in transit when idle connections closed.
	crossing = 250 * time.Millisecond
	// graceMargin is the part of the time to stop that is reserved for the process's exit.
	graceMargin = 500 * time.Millisecond
	// lastAnswers is the part of graceMargin for the answers to interrupted requests. The rest is for
	// closing connections and flushing the log.
	lastAnswers = 200 * time.Millisecond
)

// drain stops without interrupting requests: first the balancer notices that the process is not ready,
// then idle connections are closed, and requests in flight have the rest of the time. Those that are
// still in flight then are interrupted and answered with an error.
func (p *gatewayProcess) drain(stop Stop) {
	grace := p.settings.Platform.Bounds.StopGrace
	p.log.Info("stopping", zap.Int64("requests_underway", p.gateway.InFlight()), zap.Duration("time_to_stop", grace))
	now := time.Now()
	notice, end := min(balancerNotice, grace/2), now.Add(grace-graceMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	defer func() {
		p.log.Info("requests ended", zap.Int64("requests_left", p.gateway.InFlight()), zap.Duration("took", time.Since(now)))
	}()
	p.gateway.MarkNotReady()
	p.stopServing()
	p.gateway.SetDrainWindow(now.Add(notice+crossing), end)
	p.clients.DisableKeepAlives()
	select {
	case <-time.After(notice):
	case <-stop.Now:
	}
	if err := p.clients.Stop(ctx); err != nil {
		p.log.Warn("requests cut at the end of the time to stop", zap.Int64("requests", p.gateway.InFlight()), zap.Error(err))
		p.cut()
	}
}

// cut cancels the requests in flight. By the cause, the gateway knows that their callers are still
// connected; without it, the cancellation would look as if they had left.
func (p *gatewayProcess) cut() {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	if err := p.clients.Cut(ctx, runs.ErrStopping); err != nil {
		p.log.Warn("requests without a last answer", zap.Int64("requests", p.gateway.InFlight()), zap.Error(err))
	}
}

func (p *gatewayProcess) close() {
	p.cancel()
	for _, s := range []*ingress.Server{p.ready, p.metrics} {
		if s != nil {
			s.Close()
		}
	}
	p.clients.Close()
	p.duties.Wait()
}
