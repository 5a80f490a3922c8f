// Package ingress serves callers' connections under limits that may
// change at any time, also for connections that are already open, and stops
// without cutting a request.
package ingress

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
)

// Server serves one address.
type Server struct {
	http   *http.Server
	limits atomic.Pointer[routes.Limits]
	// stopKeeping makes answers the last of their connections.
	stopKeeping atomic.Bool
	// cut ends the contexts of all requests with a cause.
	cut context.CancelCauseFunc
	// underway counts the handlers that have not returned.
	underway atomic.Int64
	report   *reporter
	// closed tells that Close ends what is open.
	closed atomic.Bool

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners map[*listener]struct{}
	// draining tells that a stop has begun; drained is closed when it has no connection left.
	draining bool
	drained  chan struct{}
	// h2 sends GOAWAY to HTTP/2 connections; nil without TLS.
	h2 *http.Server
}

// Config of a Server.
type Config struct {
	// MaxHeaderBytes bounds a header while it is read, beside the limit in force, which is checked
	// when it is whole; 0: 1 MB.
	MaxHeaderBytes int
	Log            *zap.Logger
	Metrics        metrics.Registry
}

// New returns a server; handler gets every request.
func New(handler http.Handler, c Config) *Server {
	s := &Server{
		report: newReporter(c.Log, c.Metrics), conns: map[*conn]struct{}{}, listeners: map[*listener]struct{}{},
		drained: make(chan struct{}),
	}
	s.limits.Store(&routes.Limits{})
	hard, cut := context.WithCancelCause(context.Background())
	s.cut = cut
	s.http = &http.Server{
		Handler: s.handle(handler), IdleTimeout: markIdle, ReadHeaderTimeout: markHeader, MaxHeaderBytes: c.MaxHeaderBytes,
		ErrorLog:    s.report.errorLog(),
		ConnContext: withConn,
		BaseContext: func(net.Listener) context.Context { return hard },
	}
	return s
}

// handle keeps account of a request, and asks its caller to open a new connection, elsewhere, once
// the server stops.
func (s *Server) handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.underway.Add(1)
		q := &request{conn: connOf(r.Context())}
		r = r.WithContext(context.WithValue(r.Context(), requestKey{}, q))
		if r.Body == http.NoBody {
			q.bodyRead.Store(true)
		} else {
			r.Body = trackedBody{r.Body, q}
		}
		q.conn.begin(q)
		defer func() { s.handled(q, r, recover()) }()
		out := &headWriter{ResponseWriter: w, control: http.NewResponseController(w), server: s, http1: r.ProtoMajor == 1}
		next.ServeHTTP(out, r)
		out.beforeHead()
	})
}

// SetLimits puts limits in force.
func (s *Server) SetLimits(l routes.Limits) { s.limits.Store(&l) }

// Serve accepts connections until Stop; it returns http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	return s.serve(&listener{Listener: l, server: s}, s.http.Serve)
}

func (s *Server) serve(inner *listener, serve func(net.Listener) error) error {
	if !s.addListener(inner) {
		inner.Close()
		return http.ErrServerClosed
	}
	defer s.removeListener(inner)
	return serve(inner)
}

// StopKeeping makes every further answer the last of its connection.
func (s *Server) StopKeeping() { s.stopKeeping.Store(true) }

// Cut ends the contexts of the requests underway with a cause, by which handlers tell it from a
// caller that has left, and the waits for headers that are half read. It waits until ctx ends for
// the last answers. What Stop does and has not been done is done first.
//
// Without it Close ends the requests' contexts as if the callers had left: they wait for an
// answer and get the connection's end.
func (s *Server) Cut(ctx context.Context, cause error) error {
	s.cut(cause)
	s.StopKeeping()
	for _, c := range s.beginDrain() {
		c.drain()
		c.endWait()
	}
	return s.waitDrained(ctx)
}

const (
	// closeWait bounds the time for handlers to return once their connections are closed.
	closeWait = 100 * time.Millisecond
	closePoll = 2 * time.Millisecond
)

// Close ends the listeners and all connections at once. What handlers do after their answers, such as logging,
// is done when it returns, unless that takes longer than closeWait. It polls, as Shutdown does.
func (s *Server) Close() error {
	s.closed.Store(true)
	err := s.http.Close()
	for end := time.Now().Add(closeWait); s.underway.Load() > 0 && time.Now().Before(end); {
		time.Sleep(closePoll)
	}
	return err
}

type listener struct {
	net.Listener
	server *Server
	secure bool
	closed sync.Once
	// looked tells that Accept has had its last look, which must not be renewed by new connections.
	looked bool
}

// Close implements net.Listener.
func (l *listener) Close() error {
	err := net.ErrClosed
	l.closed.Do(func() { err = l.Listener.Close() })
	return err
}

// Accept implements net.Listener. Once the server stops, an error that passes, as of too many open
// files, is not the end: callers whose connections the kernel has opened are in the queue.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && !l.looked && l.lastLook() {
		l.looked = true
		inner, err = l.Listener.Accept()
	}
	switch {
	case err == nil:
	case l.server.isDraining() && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)):
		return nil, http.ErrServerClosed
	default:
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server, secure: l.secure, handshake: l.secure}
	l.server.add(c)
	return c, nil
}

// lastLook lets the next Accept look at the queue, which it doesn't on a deadline in the past: the
// process may have been held up since the stop.
func (l *listener) lastLook() bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(lastLook)) == nil
}

// stop lets the listener accept what the kernel has opened for callers, which a close would reset.
func (l *listener) stop() {
	if !l.lastLook() {
		l.Close()
	}
}
