package command

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"net"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/entry"
	"limpetwall/internal/coordination/errorbudget"
	"limpetwall/internal/coordination/idempotency"
	"limpetwall/internal/coordination/lease"
	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/coordination/rollout"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/state/finding"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/ingress"
	"limpetwall/internal/transport/settings"
	"limpetwall/internal/transport/tlsfiles"
)

const (
	// indexSize is the number of context chunks that an entry's index holds per generation.
	indexSize = 250_000
	// retryShare limits retries to a share of the requests, with a burst of retryBurst.
	retryShare = 0.1
	retryBurst = 20
	saltSize   = 32
	// maxConfirmTries is the maximum number of writes for one confirm.
	maxConfirmTries = 16
)

// EntrySettings are an entry's settings.
type EntrySettings struct {
	*BaseSettings
	Listen     string
	TLS        tlsfiles.Files
	DrainDelay time.Duration
	Entry      entry.Config
	// ReadHeaderTimeout is the time limit for a request's header.
	ReadHeaderTimeout time.Duration
	MaxHeader         int
	HedgeAfter        time.Duration
}

// BindEntry declares an entry's settings.
func BindEntry(set *settings.Set) *EntrySettings {
	s := &EntrySettings{BaseSettings: bindBase(set), Entry: entry.DefaultConfig()}
	f := set.Flags()
	f.StringVar(&s.Listen, "listen", "127.0.0.1:8080", "IP and port for callers and operators")
	f.StringVar(&s.TLS.Cert, "tls-cert", "", "PEM certificate shown to callers")
	f.StringVar(&s.TLS.Key, "tls-key", "", "PEM key of tls-cert")
	root := set.Secret("root-key-hash", "SHA-256 of the operator key that works before any operator is configured")
	delay := set.Duration("drain-delay", 5*time.Second, 0, 5*time.Minute, "time that the balancer is given to see readiness fall")
	headerTimeout := set.Duration("read-header-timeout", 10*time.Second, time.Second, time.Minute, "time for a request's headers")
	bodyTimeout := set.Duration("read-body-timeout", time.Minute, time.Second, time.Hour, "time for a request's body")
	hedge := set.Duration("hedge-after", 300*time.Millisecond, 0, time.Hour, "shortest wait for a first token before a second attempt elsewhere; 0: never")
	maxBody := set.Int("max-body", 8<<20, 1<<10, 24<<20, "bytes of a request's body")
	maxHeader := set.Int("max-header", 64<<10, 4<<10, 1<<20, "bytes of a request's headers")
	maxMessages := set.Int("max-messages", 1024, 1, 100_000, "messages of a chat request")
	maxTokens := set.Int("max-tokens", 32_768, 1, 1<<20, "tokens a request may ask for")
	maxQueue := set.Int("max-queue", 1024, 0, 100_000, "requests of one service that may wait for an endpoint")
	set.Check(func(l *finding.List) {
		checkAddress(l, "-listen", s.Listen)
		checkTLS(l, "tls", s.TLS, s.Listen, s.AllowPlaintext)
		if *root != "" && len(*root) != 64 {
			l.Add("-root-key-hash", "must be 64 hexadecimal digits")
		}
		s.Entry.RootKeyHash, s.DrainDelay, s.ReadHeaderTimeout = *root, *delay, *headerTimeout
		s.Entry.BodyTime, s.HedgeAfter = *bodyTimeout, *hedge
		s.Entry.MaxBody, s.MaxHeader, s.Entry.MaxQueue = int64(*maxBody), *maxHeader, *maxQueue
		s.Entry.Prompt.MaxMessages, s.Entry.Prompt.MaxMaxTokens = *maxMessages, *maxTokens
		s.Limits.checkLargest(l, "-memory-mb", entry.PromptFactor*s.Entry.MaxBody)
	})
	return s
}

// RunEntry runs an entry until a stop is requested.
func RunEntry(s *EntrySettings, logger *zap.Logger, stop Stop) error {
	return runEntry(s, logger, stop, func(*base) {}, func(string) {})
}

// runEntry is RunEntry; it calls built once its parts are built and its listener is open.
func runEntry(s *EntrySettings, logger *zap.Logger, stop Stop, built func(*base), listening func(address string)) error {
	book := errorbudget.NewRecorder()
	p, err := newBase(s.BaseSettings, logger, fleet.RoleEntry, fleet.Endpoint{}, func() ([]byte, error) {
		data, err := json.Marshal(book.Snapshot(time.Now()))
		return data, errors.Trace(err)
	})
	if err != nil {
		return err
	}
	defer p.close()
	e, binder, runner := buildEntry(s, p, book)
	callersTLS, err := loadCallersTLS(s, p.zap)
	if err != nil {
		return err
	}
	// This is the last step that may fail: callers who connect before would be reset.
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Annotate(err, "-listen")
	}
	server := ingress.New(e.Handler(), ingress.Config{
		MaxHeaderBytes: s.MaxHeader, Log: p.zap, Metrics: p.metrics,
		Memory: s.Limits.Quota(entry.PromptFactor * s.Entry.MaxBody), MaxConns: s.Limits.CallerConns(),
	})
	// Bodies are bounded by the handler, and the quota by what is made of them.
	server.SetLimits(routes.Limits{HeaderBytes: int64(s.MaxHeader), HeaderTimeout: s.ReadHeaderTimeout})
	server.Register(listener)
	defer server.Close()
	p.run(binder.Run)
	p.run(runner.WatchMembership)
	p.run(runner.Guard.Run)
	p.run(e.ReportsDuty)
	p.run(e.Rollout.Run)
	p.run(func(ctx context.Context) {
		p.node.RunReports(ctx, func() fleet.Load { return fleet.Load{Running: e.Inflight()} })
	})
	failed := make(chan error, 1)
	p.run(func(context.Context) { failed <- serveCallers(server, listener, callersTLS) })
	listening(listener.Addr().String())
	built(p)
	p.start(stop)
	if !stop.isRequested() {
		e.SetReady()
	}
	p.zap.Info("entry ready", zap.String("listen", listener.Addr().String()), zap.String("peer_listen", p.listener.Addr().String()), zap.Uint64("revision", p.store.View().Revision))
	select {
	case <-stop.Graceful:
	case err := <-failed:
		return errors.Trace(err)
	}
	drainEntry(s, p, e, server, stop)
	return nil
}

func buildEntry(s *EntrySettings, p *base, book *errorbudget.Recorder) (*entry.Entry, *idempotency.Binder, *runs.Runner) {
	table := p.node.Table()
	directory := routing.NewDirectory(table, p.store, indexSize, table.Self().Incarnation)
	directory.Pushback.Log = p.zap
	directory.Senders = func() int { return countEntries(table) }
	binder := idempotency.NewBinder(idempotency.DefaultConfig(), p.api)
	runner := &runs.Runner{
		Directory: directory, Table: table, Pool: p.pool, Tickets: runs.NewTicketPool(p.pool),
		Binder: binder, Budget: runs.NewRetryBudget(retryShare, retryBurst), Store: p.store, Zap: p.zap,
		HedgeAfter: s.HedgeAfter,
	}
	runner.Guard = quarantine.NewGuard(p.node.Quarantines(), p.api, p.zap, p.metrics, time.Now)
	runner.Guard.Processes = table.Size
	confirmer := &plan.Confirmer{Log: p.log, Store: p.store, Salt: newSalt, Now: time.Now, MaxTries: maxConfirmTries}
	e := entry.New(s.Entry, entry.Deps{
		Node: p.node, Store: p.store, Directory: directory, Runner: runner, Confirmer: confirmer,
		Rollout: newRollout(s, p), Pool: p.pool, Book: book, Zap: p.zap, Metrics: p.metrics,
	})
	return e, binder, runner
}

// countEntries counts the entries that are not dead, this one among them.
func countEntries(table *fleet.Table) int {
	count := 1
	for _, m := range table.Live() {
		if m.Role == fleet.RoleEntry {
			count++
		}
	}
	return count
}

func newRollout(s *EntrySettings, p *base) *rollout.Runner {
	held := lease.New(lease.Config{Key: "lease.rollout", Holder: s.ID, Term: rollout.LeaseTerm, CallTimeout: rollout.PollInterval}, p.api)
	return &rollout.Runner{Node: p.node, Store: p.store, Pool: p.pool, Lease: held, Zap: p.zap}
}

func newSalt() []byte {
	salt := make([]byte, saltSize)
	rand.Read(salt)
	return salt
}

// loadCallersTLS returns the TLS settings of callers' connections, nil for plaintext.
func loadCallersTLS(s *EntrySettings, logger *zap.Logger) (*tls.Config, error) {
	if s.TLS.Cert == "" {
		logger.Warn("connections to callers are plaintext", zap.String("listen", s.Listen))
		return nil, nil
	}
	source, err := tlsfiles.NewReloader(s.TLS)
	if err != nil {
		return nil, err
	}
	return source.ServerConfig(), nil
}

func serveCallers(server *ingress.Server, listener net.Listener, secure *tls.Config) error {
	if secure == nil {
		return server.Serve(listener)
	}
	return server.ServeTLS(listener, secure)
}

// drainEntry stops in an order that interrupts no request: it first reports that it is not ready, so
// that the balancer sends no new connections, then closes the listener and waits for the requests in
// flight.
func drainEntry(s *EntrySettings, p *base, e *entry.Entry, server *ingress.Server, stop Stop) {
	p.zap.Info("stopping", zap.Int("inflight", e.Underway()))
	e.SetDraining()
	server.DisableKeepAlives()
	select {
	case <-time.After(s.DrainDelay):
	case <-stop.Now:
	}
	err := server.Stop(p.beginDrain(stop))
	left := 0
	if err != nil {
		left = e.Underway()
		// Interrupted requests still get a final answer.
		final, done := context.WithTimeout(context.Background(), time.Second)
		server.Cut(final, runs.ErrStopping)
		done()
	}
	server.Close()
	p.awaitLeaveSpread()
	p.zap.Info("stopped", zap.Int("cut", left))
}
