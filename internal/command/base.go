package command

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"limpetwall/internal/coordination/configlog"
	"limpetwall/internal/coordination/entry"
	"limpetwall/internal/coordination/gossip"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/finding"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/exposition"
	"limpetwall/internal/transport/hostlist"
	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/ingress"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/rpc"
	"limpetwall/internal/transport/settings"
	"limpetwall/internal/transport/tlsfiles"
)

// Stop holds the requests to a process: Graceful to stop, Now to stop without waiting any longer,
// Reload to read changed settings.
type Stop struct {
	Graceful <-chan struct{}
	Now      <-chan struct{}
	Reload   <-chan os.Signal
}

// isRequested reports whether a stop was requested.
func (s Stop) isRequested() bool {
	select {
	case <-s.Graceful:
		return true
	default:
		return false
	}
}

// BaseSettings are common to entries and agents.
type BaseSettings struct {
	ID, Host, Domain, Region string
	PeerListen, AdminListen  string
	Advertise                string
	ObjectAPI, HostList      string
	Seeds                    string
	PeerTLS                  tlsfiles.Files
	AllowPlaintext           bool
	DrainTimeout             time.Duration
	LogLevel                 string
	// Limits bound what callers and peers may hold.
	Limits Limits
	// MemoryIsSet is set if the settings say what memory the process may use.
	MemoryIsSet bool
	Spread      gossip.Config
}

func bindBase(set *settings.Set) *BaseSettings {
	b := &BaseSettings{Spread: gossip.DefaultConfig()}
	f := set.Flags()
	f.StringVar(&b.ID, "id", "", "name of this process, unique in the fleet (required)")
	f.StringVar(&b.Host, "host", "", "host this process runs on, as in the host list (required)")
	f.StringVar(&b.Domain, "domain", "", "failure domain of the host (required)")
	f.StringVar(&b.Region, "region", "local", "region of the failure domain")
	f.StringVar(&b.PeerListen, "peer-listen", "127.0.0.1:7701", "IP and port for the system's own processes")
	f.StringVar(&b.Advertise, "advertise", "", "IP and port that others reach peer-listen at; empty: the same")
	f.StringVar(&b.AdminListen, "admin-listen", "", "IP and port for metrics and health; empty: none")
	f.StringVar(&b.ObjectAPI, "object-api", "", "URL of the platform's object API (required)")
	f.StringVar(&b.HostList, "host-list", "", "URL of the platform's host list (required)")
	f.StringVar(&b.Seeds, "seeds", "", "comma-separated peer addresses to start from when the host list is down")
	f.StringVar(&b.PeerTLS.Cert, "peer-cert", "", "PEM certificate shown to the system's own processes")
	f.StringVar(&b.PeerTLS.Key, "peer-key", "", "PEM key of peer-cert")
	f.StringVar(&b.PeerTLS.CA, "peer-ca", "", "PEM certificates that sign the system's own processes")
	f.BoolVar(&b.AllowPlaintext, "allow-plaintext", false, "allow connections without TLS beyond loopback")
	f.StringVar(&b.LogLevel, "log-level", "info", "debug, info, warn or error")
	drain := set.Duration("drain-timeout", 10*time.Minute, 0, 24*time.Hour, "time for requests underway when stopping")
	memory := set.Int("memory-mb", 0, 0, 1<<20, "MB of memory that the process may use; 0: the machine's, 1024 at most")
	descriptors := set.Int("max-descriptors", 0, 0, 1<<24, "files and sockets that the process may have open; 0: its own limit")
	report := set.Duration("report-every", 500*time.Millisecond, 50*time.Millisecond, time.Minute, "shortest period of reports to the fleet")
	set.Check(func(l *finding.List) {
		b.DrainTimeout, b.Spread.ReportInterval = *drain, *report
		b.Limits, b.MemoryIsSet = newLimits(*memory, *descriptors), *memory > 0
		b.check(l)
	})
	return b
}

func (b *BaseSettings) check(l *finding.List) {
	for _, f := range [...]struct{ name, value string }{
		{"id", b.ID}, {"host", b.Host}, {"domain", b.Domain}, {"object-api", b.ObjectAPI}, {"host-list", b.HostList},
	} {
		if f.value == "" {
			l.Add("-"+f.name, "is required")
		}
	}
	if b.ID != "" {
		config.CheckID(l, "-id", b.ID)
	}
	checkURL(l, "-object-api", b.ObjectAPI)
	checkURL(l, "-host-list", b.HostList)
	checkAddress(l, "-peer-listen", b.PeerListen)
	if b.AdminListen != "" {
		checkAddress(l, "-admin-listen", b.AdminListen)
	}
	checkTLS(l, "peer", b.PeerTLS, b.PeerListen, b.AllowPlaintext)
	if b.PeerTLS.Cert != "" && b.PeerTLS.CA == "" {
		l.Add("-peer-ca", "is required with -peer-cert: both sides of a connection are verified")
	}
	if b.LogLevel != "debug" && b.LogLevel != "info" && b.LogLevel != "warn" && b.LogLevel != "error" {
		l.Add("-log-level", "%q is none of debug, info, warn, error", b.LogLevel)
	}
}

func checkURL(l *finding.List, place, value string) {
	if value != "" && !strings.HasPrefix(value, "http://") && !strings.HasPrefix(value, "https://") {
		l.Add(place, "%q must begin with http:// or https://", value)
	}
}

func checkAddress(l *finding.List, place, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		l.Add(place, "%q must be an IP and port: %v", value, err)
	}
}

// checkTLS refuses plaintext beyond loopback unless the settings allow it explicitly: otherwise a
// mistake in the settings would send prompts and keys over the network in plaintext.
func checkTLS(l *finding.List, prefix string, files tlsfiles.Files, listen string, allowPlaintext bool) {
	if (files.Cert == "") != (files.Key == "") {
		l.Add("-"+prefix+"-cert", "and -%s-key must be given together", prefix)
	}
	address, err := netip.ParseAddrPort(listen)
	if files.Cert == "" && err == nil && !address.Addr().IsLoopback() && !allowPlaintext {
		l.Add("-"+prefix+"-cert", "is required to listen on %s; -allow-plaintext waives it", listen)
	}
}

// base is what entries and agents have in common.
type base struct {
	settings *BaseSettings
	zap      *zap.Logger
	metrics  metrics.Registry
	store    *config.Store
	log      *configlog.Log
	node     *gossip.Node
	pool     *rpc.Pool
	server   *grpc.Server
	listener net.Listener
	admin    *ingress.Server
	duties   sync.WaitGroup
	cancel   context.CancelFunc
	ctx      context.Context
	api      objectapi.API
	// drain ends when the time for requests in flight during a stop is over.
	drain    context.Context
	endDrain context.CancelFunc
}

// lingerQuiet is how long to wait for a peer that reads nothing more of what was sent to it.
const lingerQuiet = 5 * time.Second

func newIncarnation() uint64 {
	var raw [8]byte
	rand.Read(raw[:])
	return binary.LittleEndian.Uint64(raw[:]) | 1
}

func newBase(b *BaseSettings, logger *zap.Logger, role string, endpoint fleet.Endpoint, burn func() ([]byte, error)) (*base, error) {
	serverTLS, clientTLS, err := peerTLS(b, logger)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", b.PeerListen)
	if err != nil {
		return nil, errors.Annotate(err, "-peer-listen")
	}
	advertise := b.Advertise
	if advertise == "" {
		advertise = listener.Addr().String()
	}
	logger = logger.With(zap.String("process", b.ID))
	client := &http.Client{Transport: httpjson.NewTransport(&http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Minute})}
	api, hosts := objectapi.NewClient(b.ObjectAPI, client), hostlist.NewClient(b.HostList, client)
	api.Log, hosts.Log = logger, logger
	p := &base{
		settings: b, zap: logger, metrics: metrics.NewRegistry(), store: config.NewStore(),
		api: api, pool: rpc.NewPool(clientTLS),
	}
	p.server = rpc.NewServer(serverTLS, rpc.LimitRequests(b.Limits.Quota(rpc.RequestFactor*entry.DefaultConfig().MaxBody), logger, p.metrics))
	p.listener = rpc.Limit(rpc.Linger(listener, lingerQuiet), b.Limits.PeerConns(), logger, p.metrics)
	p.log = configlog.New(p.api)
	now := time.Now()
	table := fleet.NewTable(fleet.DefaultConfig(), fleet.Member{
		ID: b.ID, Incarnation: newIncarnation(), Version: uint64(now.UnixMilli()), Address: advertise,
		Host: b.Host, Domain: b.Domain, Region: b.Region, Role: role, Endpoint: endpoint,
	}, now)
	if b.Seeds != "" {
		b.Spread.Seeds = strings.Split(b.Seeds, ",")
	}
	p.node = gossip.New(b.Spread, table, p.store, p.log, hosts, p.pool, logger)
	wire.RegisterPeerServer(p.server, &gossip.Server{Node: p.node, ErrorBudget: burn})
	p.ctx, p.cancel = context.WithCancel(context.Background())
	// The drain begins only with a stop.
	p.drain, p.endDrain = context.WithCancel(context.Background())
	p.endDrain()
	return p, nil
}

func peerTLS(b *BaseSettings, logger *zap.Logger) (server, client *tls.Config, err error) {
	if b.PeerTLS.Cert == "" {
		logger.Warn("connections between processes are plaintext", zap.String("listen", b.PeerListen))
		return nil, nil, nil
	}
	source, err := tlsfiles.NewReloader(b.PeerTLS)
	if err != nil {
		return nil, nil, err
	}
	return source.ServerConfig(), source.ClientConfig(), nil
}

// start serves peers, joins the fleet and runs the gossip loops. It returns once the configuration in
// force is known, or when a stop is requested.
func (p *base) start(stop Stop) {
	p.run(func(context.Context) { logServe(p.zap, "peers", p.server.Serve(p.listener)) })
	p.startAdmin()
	for p.node.Join(p.ctx) != nil {
		p.zap.Warn("neither the platform nor a peer answers; trying again")
		select {
		case <-time.After(500 * time.Millisecond):
		case <-stop.Graceful:
			return
		}
	}
	p.run(p.node.Run)
	p.node.Announce()
}

// run starts a background loop.
func (p *base) run(duty func(context.Context)) {
	p.duties.Go(func() { duty(p.ctx) })
}

// logServe logs that a listener ended although it was not stopped.
func logServe(log *zap.Logger, name string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		log.Error("listener ended", zap.String("for", name), zap.Error(err))
	}
}

func (p *base) startAdmin() {
	if p.settings.AdminListen == "" {
		return
	}
	listener, err := net.Listen("tcp", p.settings.AdminListen)
	if err != nil {
		p.zap.Error("admin listener", zap.Error(err))
		return
	}
	p.serveAdmin(listener)
}

func (p *base) serveAdmin(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /metrics", p.serveMetrics)
	text := exposition.Handler(p.metrics)
	mux.HandleFunc("GET /metrics/prometheus", func(w http.ResponseWriter, r *http.Request) {
		p.recordGossip()
		text.ServeHTTP(w, r)
	})
	p.admin = newProbeServer(mux, p.zap, p.metrics)
	p.run(func(context.Context) { logServe(p.zap, "admin", p.admin.Serve(listener)) })
}

func (p *base) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	p.recordGossip()
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(p.metrics, w)
}

// recordGossip copies the counts of gossip messages into the registry.
func (p *base) recordGossip() {
	c := p.node.Counts()
	for name, value := range map[string]int64{
		"spread.sent": c.Sent, "spread.sent_bytes": c.SentBytes, "spread.received": c.Received,
		"spread.received_bytes": c.ReceivedBytes, "spread.platform_calls": c.PlatformCalls,
		"config.revision": int64(p.store.View().Revision), "fleet.size": int64(p.node.Table().Size()),
	} {
		metrics.GetOrRegisterGauge(name, p.metrics).Update(value)
	}
}

// close stops all parts. All requests must have ended before.
func (p *base) close() {
	p.cancel()
	if p.admin != nil {
		p.admin.Close()
	}
	p.stopServing()
	p.endDrain()
	p.pool.Close()
	p.duties.Wait()
	p.zap.Sync()
}

// stopServing sends the last events of finished runs. A handler returns before grpc has written
// everything that it sent, and a hard stop at that moment would cut streams that the agent counts as
// complete. A slow peer has until the end of the drain; keepalive detects one that is gone.
func (p *base) stopServing() {
	// lastEvents is how long the last events of interrupted runs may take.
	const lastEvents = 5 * time.Second
	done := make(chan struct{})
	go func() {
		p.server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-p.drain.Done():
	}
	select {
	case <-done:
	case <-time.After(lastEvents):
		p.zap.Warn("connections closed before peers had read all")
		p.server.Stop()
	}
}

// awaitLeaveSpread gives gossip a moment to spread that this process leaves.
func (p *base) awaitLeaveSpread() {
	const notice = 300 * time.Millisecond
	p.node.Table().Update(time.Now(), func(m *fleet.Member) { m.State = fleet.Leaving })
	p.node.Announce()
	time.Sleep(notice)
}

// beginDrain returns a context that ends after the drain timeout, or when an immediate stop is
// requested. close ends it too.
func (p *base) beginDrain(stop Stop) context.Context {
	p.drain, p.endDrain = context.WithTimeout(context.Background(), p.settings.DrainTimeout)
	go func() {
		select {
		case <-stop.Now:
			p.endDrain()
		case <-p.drain.Done():
		}
	}()
	return p.drain
}
