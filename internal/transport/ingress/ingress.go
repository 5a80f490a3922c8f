// Package ingress serves callers' HTTP/1.1 connections under limits that may
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

	"limpetwall/internal/state/routes"
)

const (
	// markIdle and markHeader are the fixed time limits given to net/http, which
	// reads them without synchronisation. They are never waited for: each tells
	// conn which of the limits in force it stands for.
	//
	// A handler's own deadline comes to conn by the same call and must not be taken for
	// one of them, or a body's time would be cut to the idle or header limit. So they lie
	// decades beyond the time of any request, and yet below the 292 years that a
	// time.Duration holds. The year that conn allows for is for a process that was paused
	// between net/http's look at the clock and its own.
	markIdle   = 200 * year
	markHeader = 100 * year
	year       = 365 * 24 * time.Hour
	// unsetIdle and unsetHeader apply while no limit is in force.
	unsetIdle   = 2 * time.Hour
	unsetHeader = time.Hour
	// hardHeaderBytes bounds a header while it is read; the limit in force is
	// checked when it is whole.
	hardHeaderBytes = 1 << 20
	// slack above the callers' own idle limit keeps this side from closing at the
	// moment when a caller sends.
	slack = time.Second
)

// Server serves one address.
type Server struct {
	http     *http.Server
	limits   atomic.Pointer[routes.Limits]
	stopping atomic.Bool
	// cut ends the contexts of all requests with a cause.
	cut context.CancelCauseFunc
	// underway counts the handlers that have not returned.
	underway atomic.Int64
}

// New returns a server; handler gets every request.
func New(handler http.Handler) *Server {
	s := &Server{}
	s.limits.Store(&routes.Limits{})
	hard, cut := context.WithCancelCause(context.Background())
	s.cut = cut
	s.http = &http.Server{
		Handler: s.closing(handler), IdleTimeout: markIdle, ReadHeaderTimeout: markHeader, MaxHeaderBytes: hardHeaderBytes,
		ErrorLog:    nil,
		BaseContext: func(net.Listener) context.Context { return hard },
	}
	return s
}

// closing asks callers to open a new connection, elsewhere, once the server stops.
func (s *Server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.underway.Add(1)
		defer s.underway.Add(-1)
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

// conn puts the limits in force in place of the marks.
type conn struct {
	net.Conn
	server *Server

	// mu orders the deadlines that net/http sets and those that Read sets again: it ends a
	// read that is underway by a deadline in the past, which must stand.
	mu sync.Mutex
	// limit is the one that the read deadline stands for, since its wait began; nil for a
	// deadline of another kind.
	limit func(*routes.Limits) time.Duration
	since time.Time
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = limitMarked(t)
	if c.limit == nil {
		return c.Conn.SetReadDeadline(t)
	}
	c.since = time.Now()
	return c.Conn.SetReadDeadline(c.since.Add(c.limit(c.server.limits.Load())))
}

// limitMarked returns the limit that a deadline marks, nil if it is none of the marks.
func limitMarked(t time.Time) func(*routes.Limits) time.Duration {
	if t.IsZero() {
		return nil
	}
	switch left := time.Until(t); {
	case left > markIdle-year:
		return idleLimit
	case left > markHeader-year:
		return headerLimit
	}
	return nil
}

// Read implements net.Conn. A wait that began under a shorter limit goes on when it is over.
//
// The deadline was set when the wait began. Closed on it, a connection would end while its
// caller, who knows the longer limit, may be sending: the request gets no answer. A limit that
// was shortened meanwhile applies from the next wait on.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.waitOn() {
			return n, err
		}
	}
}

// waitOn sets the read deadline again if the limit in force leaves time.
func (c *conn) waitOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == nil {
		return false
	}
	deadline := c.since.Add(c.limit(c.server.limits.Load()))
	return time.Now().Before(deadline) && c.Conn.SetReadDeadline(deadline) == nil
}

func idleLimit(l *routes.Limits) time.Duration {
	if l.IdleTimeout <= 0 {
		return unsetIdle
	}
	return l.IdleTimeout + slack
}

func headerLimit(l *routes.Limits) time.Duration {
	if l.HeaderTimeout <= 0 {
		return unsetHeader
	}
	return l.HeaderTimeout
}
