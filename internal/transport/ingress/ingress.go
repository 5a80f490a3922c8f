// Package ingress serves callers' HTTP/1.1 connections under limits that may
// change at any time, also for connections that are already open, and stops
// without cutting a request.
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
)

// hardHeaderBytes bounds a header while it is read; the limit in force is
// checked when it is whole.
const hardHeaderBytes = 1 << 20

// Server serves one address.
type Server struct {
	http     *http.Server
	limits   atomic.Pointer[routes.Limits]
	stopping atomic.Bool
	// cut ends the contexts of all requests with a cause.
	cut context.CancelCauseFunc
	// underway counts the handlers that have not returned.
	underway atomic.Int64
	report   *reporter
}

// New returns a server; handler gets every request.
func New(handler http.Handler, log *zap.Logger, registry metrics.Registry) *Server {
	s := &Server{report: newReporter(log, registry)}
	s.limits.Store(&routes.Limits{})
	hard, cut := context.WithCancelCause(context.Background())
	s.cut = cut
	s.http = &http.Server{
		Handler: s.closing(handler), IdleTimeout: markIdle, ReadHeaderTimeout: markHeader, MaxHeaderBytes: hardHeaderBytes,
		ErrorLog:    s.report.errorLog(),
		ConnContext: withConn,
		BaseContext: func(net.Listener) context.Context { return hard },
	}
	return s
}

// closing asks callers to open a new connection, elsewhere, once the server stops.
func (s *Server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.underway.Add(1)
		q := &request{conn: connOf(r.Context())}
		r = r.WithContext(context.WithValue(r.Context(), requestKey{}, q))
		q.conn.begin(q)
		defer func() { s.handled(q, r, recover()) }()
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// SetLimits puts limits in force.
func (s *Server) SetLimits(l routes.Limits) { s.limits.Store(&l) }

// Serve accepts connections until Stop; it returns http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(listener{l, s}) }

// StopKeeping makes every further answer the last of its connection.
func (s *Server) StopKeeping() { s.stopping.Store(true) }

// Stop closes the listener and idle connections and waits for requests underway
// until ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Cut ends the contexts of the requests underway with a cause, by which handlers tell it from a
// caller that has left, and waits until ctx ends for their last answers. Stop comes before.
//
// Without it Close ends the requests' contexts as if the callers had left: they wait for an
// answer and get the connection's end.
func (s *Server) Cut(ctx context.Context, cause error) error {
	s.cut(cause)
	return s.http.Shutdown(ctx)
}

const (
	// closeWait bounds the time for handlers to return once their connections are closed.
	closeWait = 100 * time.Millisecond
	closePoll = 2 * time.Millisecond
)

// Close ends all connections at once. What handlers do after their answers, such as logging,
// is done when it returns, unless that takes longer than closeWait. It polls, as Shutdown does.
func (s *Server) Close() error {
	err := s.http.Close()
	for end := time.Now().Add(closeWait); s.underway.Load() > 0 && time.Now().Before(end); {
		time.Sleep(closePoll)
	}
	return err
}

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, server: l.server}, nil
}
