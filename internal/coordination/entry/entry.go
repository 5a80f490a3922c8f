// Package entry is the process that callers and operators speak to. It keeps
// nothing: what it knows comes from the platform, its peers and the agents.
package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/admission"
	"limpetwall/internal/coordination/errorbudget"
	"limpetwall/internal/coordination/gossip"
	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/coordination/rollout"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/openai"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/ingress"
	"limpetwall/internal/transport/rpc"
)

// Config tunes an entry.
type Config struct {
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	// BodyTime bounds the time for a request's body.
	BodyTime time.Duration
	Prompt   openai.Limits
	// MaxQueue bounds the requests of one service that wait for an endpoint.
	MaxQueue int
	// RootKeyHash is the hash of the operator key that works before any operator
	// is configured; empty for none.
	RootKeyHash string
}

// DefaultConfig is what entries use.
func DefaultConfig() Config {
	return Config{
		MaxBody: 8 << 20, BodyTime: time.Minute, MaxQueue: 1024,
		Prompt: openai.Limits{MaxMessages: 1024, MaxMaxTokens: 32_768, DefaultMaxTokens: 256},
	}
}

// Deps are what an entry works with.
type Deps struct {
	Node      *gossip.Node
	Store     *config.Store
	Directory *routing.Directory
	Runner    *runs.Runner
	Confirmer *plan.Confirmer
	Rollout   *rollout.Runner
	Pool      *rpc.Pool
	Book      *errorbudget.Recorder
	Zap       *zap.Logger
	Metrics   metrics.Registry
}

// Entry serves callers and operators.
type Entry struct {
	cfg Config
	Deps
	gates *admission.Limiter

	ready    atomic.Bool
	draining atomic.Bool
	inflight atomic.Int64
	// operating is the number of operators' requests in flight.
	operating atomic.Int64

	mu     sync.Mutex
	queues map[string]*admission.Queue
}

// New returns an entry that is not ready yet.
func New(cfg Config, deps Deps) *Entry {
	return &Entry{cfg: cfg, Deps: deps, gates: admission.NewLimiter(), queues: map[string]*admission.Queue{}}
}

// SetReady records that the configuration in force is known.
func (e *Entry) SetReady() { e.ready.Store(true) }

// SetDraining makes readiness fail, so that the balancer sends no more.
func (e *Entry) SetDraining() { e.draining.Store(true) }

// Inflight returns the number of callers' requests in flight.
func (e *Entry) Inflight() int { return int(e.inflight.Load()) }

// Underway returns the number of requests in flight, including those of operators.
func (e *Entry) Underway() int { return int(e.inflight.Load() + e.operating.Load()) }

// ReportsDuty takes load reports from the fleet into the directory.
func (e *Entry) ReportsDuty(ctx context.Context) {
	const every = 100 * time.Millisecond
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	forgotten := uint64(0)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		e.Directory.ApplyReports()
		e.kickQueues()
		// Who is live changes only with the table: walking it each time would cost
		// thousands of rows a second in a large fleet.
		if generation := e.Node.Table().Generation(); generation != forgotten {
			e.dropTickets()
			forgotten = generation
		}
	}
}

func (e *Entry) kickQueues() {
	e.mu.Lock()
	queues := make([]*admission.Queue, 0, len(e.queues))
	for _, q := range e.queues {
		queues = append(queues, q)
	}
	e.mu.Unlock()
	for _, q := range queues {
		q.Dispatch()
	}
}

func (e *Entry) dropTickets() {
	live := map[uint64]bool{}
	for _, m := range e.Node.Table().Live() {
		live[m.Incarnation] = true
	}
	e.Runner.Tickets.Prune(func(incarnation uint64) bool { return live[incarnation] })
}

// queue returns the fair queue of a service. Its capacity is the sum of the
// bounds of the usable endpoints; one endpoint without a bound lifts it.
func (e *Entry) queue(service string) *admission.Queue {
	e.mu.Lock()
	defer e.mu.Unlock()
	q, ok := e.queues[service]
	if !ok {
		q = admission.NewQueue(e.cfg.MaxQueue, func() int { return e.Directory.Capacity(service, time.Now()) })
		e.queues[service] = q
	}
	return q
}

// RequestIDHeader names a request in answers and logs.
const RequestIDHeader = "X-Request-Id"

// Handler serves callers, operators, health and readiness.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.caller(e.servePrompt(true)))
	mux.HandleFunc("POST /v1/completions", e.caller(e.servePrompt(false)))
	mux.HandleFunc("GET /v1/models", e.caller(e.serveModels))
	mux.HandleFunc("GET /v1/models/{id}", e.caller(e.serveModel))
	mux.HandleFunc("POST /v1/tickets/{service}", e.caller(e.serveTicket))
	mux.HandleFunc("/v1/services/{service}", e.caller(e.servePlain))
	mux.HandleFunc("/v1/services/{service}/{path...}", e.caller(e.servePlain))
	mux.HandleFunc("POST /v1/plans", e.operator(e.servePlan))
	mux.HandleFunc("POST /v1/plans/confirm", e.operator(e.serveConfirm))
	mux.HandleFunc("GET /v1/plans/{id}", e.operator(e.servePlanOutcome))
	mux.HandleFunc("GET /v1/config/{kind}", e.operator(e.serveDocuments))
	mux.HandleFunc("GET /v1/config/{kind}/{id}", e.operator(e.serveDocument))
	mux.HandleFunc("GET /v1/status", e.operator(e.serveStatus))
	mux.HandleFunc("GET /v1/reports/burn", e.operator(e.serveBurn))
	mux.HandleFunc("GET /v1/quarantines", e.operator(e.serveQuarantines))
	mux.HandleFunc("DELETE /v1/quarantines/{fingerprint}", e.operator(e.serveLift))
	mux.HandleFunc("GET /healthz", e.serveHealth)
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		apierror.New(http.StatusNotFound, apierror.CodeNotFound, "no such path: "+r.URL.Path).Write(w)
	})
	return mux
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Write([]byte("ok\n"))
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := e.notReady(); err != nil {
		err.Write(w)
		return
	}
	w.Write([]byte("ready\n"))
}

func (e *Entry) notReady() *apierror.Error {
	if e.draining.Load() {
		return apierror.Later(http.StatusServiceUnavailable, apierror.CodeStopping, "this entry is stopping", time.Second)
	}
	if !e.ready.Load() {
		return apierror.Later(http.StatusServiceUnavailable, apierror.CodeNotReady, "the configuration in force is not known yet", time.Second)
	}
	return nil
}

func bearer(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

// call is one caller's request in flight.
type call struct {
	id       string
	bodyTime time.Duration
	customer *config.Customer
	view     *config.View
	w        *answerWriter
	r        *http.Request
	started  time.Time
	// bodyLate is set if the body was incomplete at its deadline, or when memory ran out.
	bodyLate bool
	// cut is set if the connection must be broken at the end of the request.
	cut bool
}

func newRequestID() string {
	var raw [12]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// caller authenticates a customer. A request that the balancer still sends
// while this entry drains is served: refusing it would cut a caller that did
// nothing wrong.
func (e *Entry) caller(next func(*call) *apierror.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.inflight.Add(1)
		defer e.inflight.Add(-1)
		c := &call{
			id: newRequestID(), bodyTime: e.cfg.BodyTime, view: e.Store.View(), w: &answerWriter{ResponseWriter: w}, r: r,
			started: time.Now(),
		}
		w.Header().Set(RequestIDHeader, c.id)
		ingress.NameRequest(r.Context(), c.id)
		r.Body = ingress.MaxBytesReader(w, r.Body, e.cfg.MaxBody)
		err := admit(r)
		if err == nil {
			err = e.authenticate(c)
		}
		if err == nil {
			err = next(c)
		}
		e.end(c, err)
	}
}

// admit refuses a request whose header there is no memory for.
func admit(r *http.Request) *apierror.Error {
	if err := ingress.Admit(r); err != nil {
		return noMemory(err)
	}
	return nil
}

func (e *Entry) authenticate(c *call) *apierror.Error {
	if !e.ready.Load() {
		return e.notReady()
	}
	customer, err := c.view.Customer(bearer(c.r))
	if err != nil {
		return apierror.New(http.StatusUnauthorized, apierror.CodeUnauthorized, "the API key is not known")
	}
	c.customer = customer
	ingress.SetCustomer(c.r.Context(), customer.ID)
	return nil
}

// service finds a service that the customer may call. A service that exists but
// is closed to the customer answers like a missing one: its name is another
// customer's business.
func (c *call) service(id string, kind config.ServiceKind) (*config.Service, *apierror.Error) {
	s, ok := c.view.Services[id]
	if !ok || s.Kind != kind || !s.Allows(c.customer.ID) {
		return nil, apierror.New(http.StatusNotFound, apierror.CodeNotFound, "no "+string(kind)+" service named "+id)
	}
	return s, nil
}

// operator authenticates an operator; a customer's key never matches.
func (e *Entry) operator(next func(w http.ResponseWriter, r *http.Request, operator string) *apierror.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.operating.Add(1)
		defer e.operating.Add(-1)
		id := newRequestID()
		w.Header().Set(RequestIDHeader, id)
		ingress.NameRequest(r.Context(), id)
		r.Body = ingress.MaxBytesReader(w, r.Body, e.cfg.MaxBody)
		var name string
		err := admit(r)
		if err == nil {
			name, err = e.operatorName(r)
		}
		if err == nil {
			err = next(w, r, name)
		}
		fields := []zap.Field{zap.String("request_id", id), zap.String("operator", name), zap.String("method", r.Method), zap.String("path", r.URL.Path)}
		if err != nil {
			err.RequestID = id
			err.Write(w)
			fields = append(fields, zap.String("code", err.Code), zap.String("reason", err.Message))
		}
		e.Zap.Info("operator request", fields...)
	}
}

const rootOperator = "root"

func (e *Entry) operatorName(r *http.Request) (string, *apierror.Error) {
	key := bearer(r)
	if e.isRoot(key) {
		return rootOperator, nil
	}
	if !e.ready.Load() {
		return "", e.notReady()
	}
	o, err := e.Store.View().Operator(key)
	if err == nil {
		return o.ID, nil
	}
	if _, err := e.Store.View().Customer(key); err == nil {
		return "", apierror.New(http.StatusForbidden, apierror.CodeForbidden, "a customer's key can't be used for this")
	}
	return "", apierror.New(http.StatusUnauthorized, apierror.CodeUnauthorized, "the operator key is not known")
}

func (e *Entry) isRoot(key string) bool {
	if e.cfg.RootKeyHash == "" {
		return false
	}
	h := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(h[:])), []byte(e.cfg.RootKeyHash)) == 1
}

// members lists what a plan shows effects on.
func (e *Entry) members() []fleet.Member {
	var out []fleet.Member
	for _, m := range e.Node.Table().Members() {
		if m.State != fleet.Dead && m.Endpoint.ID != "" {
			out = append(out, m)
		}
	}
	return out
}
