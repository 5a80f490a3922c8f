// Package ingress serves callers' connections under limits that may
// change at any time, also for connections that are already open, and stops
// without cutting a request.
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/memquota"
)

// Server serves one address.
type Server struct {
	http   *http.Server
	limits atomic.Pointer[routes.Limits]
	// closeAfterAnswer closes each connection after its next answer.
	closeAfterAnswer atomic.Bool
	// cut cancels the contexts of all requests with a cause.
	cut context.CancelCauseFunc
	// handlersInFlight counts the handlers that have not returned.
	handlersInFlight atomic.Int64
	report           *reporter
	memory           *memquota.Quota
	maxConns         int
	// closed is set once Close ends all connections.
	closed atomic.Bool

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners map[net.Listener]*listener
	// draining is set once a stop has begun; drained is closed when no connection is left.
	draining bool
	drained  chan struct{}
	// h2 sends GOAWAY to HTTP/2 connections; nil without TLS.
	h2 *http.Server
}

// Config of a Server.
type Config struct {
	// MaxHeaderBytes bounds a header while it is read; 0 means 1 MB. The limit in force is checked
	// once the header is complete.
	MaxHeaderBytes int
	// MaxConns bounds the open connections; 0 means no limit. At the limit, a new connection replaces the one that has been
	// without a complete request for longest, and is refused if all have one.
	MaxConns int
	// Memory bounds what is held for the requests; nil means no limit.
	Memory  *memquota.Quota
	Log     *zap.Logger
	Metrics metrics.Registry
}

// New returns a server that passes every request to handler.
func New(handler http.Handler, c Config) *Server {
	s := &Server{
		report: newReporter(c.Log, c.Metrics), conns: map[*conn]struct{}{}, listeners: map[net.Listener]*listener{},
		drained: make(chan struct{}), memory: c.Memory, maxConns: c.MaxConns,
	}
	s.limits.Store(&routes.Limits{})
	if c.Memory != nil {
		metrics.NewRegisteredFunctionalGauge("ingress.held_bytes", c.Metrics, c.Memory.Held)
		metrics.NewRegisteredFunctionalGauge("ingress.connections", c.Metrics, s.countConns)
	}
	hard, cut := context.WithCancelCause(context.Background())
	s.cut = cut
	s.http = &http.Server{
		Handler: s.handle(handler), IdleTimeout: idleMarker, ReadHeaderTimeout: headerMarker, MaxHeaderBytes: c.MaxHeaderBytes,
		ErrorLog:    s.report.errorLog(),
		ConnContext: withConn,
		BaseContext: func(net.Listener) context.Context { return hard },
	}
	return s
}

// handle tracks a request while its handler runs. Once the server stops, it asks the caller to use
// a new connection, which the load balancer opens to another process.
func (s *Server) handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handlersInFlight.Add(1)
		q := &request{conn: connOf(r.Context()), hasNoChunks: !r.ProtoAtLeast(1, 1)}
		r = r.WithContext(context.WithValue(r.Context(), requestKey{}, q))
		if r.Body == http.NoBody {
			q.bodyRead.Store(true)
		} else {
			r.Body = trackedBody{r.Body, q}
		}
		q.conn.beginHandling(q)
		if q.account == nil {
			q.account = s.memory.Open(interruptReads(w, q))
		}
		defer func() { s.finishHandling(q, r, recover()) }()
		out := &headWriter{ResponseWriter: w, control: http.NewResponseController(w), server: s, http1: r.ProtoMajor == 1}
		next.ServeHTTP(out, r)
		out.beforeHead()
	})
}

// SetLimits puts limits in force. The memory for requests grows so far that a single body of the largest size is served.
func (s *Server) SetLimits(l routes.Limits) {
	s.limits.Store(&l)
	if l.BodyBytes > 0 {
		s.memory.Require(l.BodyBytes)
	}
}

// Register announces a listener that Serve or ServeTLS will be called with. A stop waits for it from
// now on, although the goroutine that serves it may not run yet: the kernel accepts callers'
// connections as soon as the listener is open.
func (s *Server) Register(l net.Listener) { s.register(l) }

// Serve accepts connections until Stop, and then returns http.ErrServerClosed. On a server that has
// been stopped it serves the connections in the kernel's queue.
func (s *Server) Serve(l net.Listener) error {
	return s.serve(s.register(l), s.http.Serve)
}

func (s *Server) serve(inner *listener, serve func(net.Listener) error) error {
	defer s.removeListener(inner)
	return serve(inner)
}

// DisableKeepAlives closes each connection after its next answer.
func (s *Server) DisableKeepAlives() { s.closeAfterAnswer.Store(true) }

// Cut cancels the contexts of all requests in flight with a cause, which distinguishes it from a
// caller that has left, and ends the waits for headers that are half read. It waits for the last
// answers until ctx ends. If Stop was not called, Cut stops the server first.
//
// With Close alone, handlers would take the canceled contexts for callers that have left, and the
// callers would get no answer before their connections close.
func (s *Server) Cut(ctx context.Context, cause error) error {
	s.cut(cause)
	s.DisableKeepAlives()
	for _, c := range s.beginDrain() {
		c.drain()
		c.expireWait()
	}
	return s.waitDrained(ctx)
}

const (
	// closeWait is how long Close waits for handlers to return after closing their connections.
	closeWait = 100 * time.Millisecond
	closePoll = 2 * time.Millisecond
)

// Close closes the listeners and all connections at once. It waits up to closeWait for handlers to
// finish what they do after their answers, such as logging. It polls, as http.Server.Shutdown does.
func (s *Server) Close() error {
	s.closed.Store(true)
	err := s.http.Close()
	s.closeListeners()
	for end := time.Now().Add(closeWait); s.handlersInFlight.Load() > 0 && time.Now().Before(end); {
		time.Sleep(closePoll)
	}
	return err
}
