package ingress

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"limpetwall/internal/transport/memquota"
)

// closeReason is why this process closed a connection whose request it had not answered.
type closeReason string

const (
	closedByStop  closeReason = "stop"
	closedByLimit closeReason = "limit"
	closedByPanic closeReason = "panic"
	// closedByMemory: its caller did not read the answer, and the memory was needed.
	closedByMemory closeReason = "memory"
	// closedByStall: its caller read nothing of the answer for writeTimeout.
	closedByStall closeReason = "stall"
)

// linesPerSecond limits the log lines that callers can cause. Metrics count all events.
const linesPerSecond = 20

// reporter logs and counts errors on callers' connections.
type reporter struct {
	log     *zap.Logger
	metrics metrics.Registry
	lines   *rate.Limiter
	// stacks limits the lines of panics separately, so that other lines can't use up their limit.
	stacks *rate.Limiter
}

func newReporter(log *zap.Logger, registry metrics.Registry) *reporter {
	return &reporter{log: log, metrics: registry, lines: rate.NewLimiter(linesPerSecond, linesPerSecond), stacks: rate.NewLimiter(linesPerSecond, linesPerSecond)}
}

func (p *reporter) count(name string) {
	metrics.GetOrRegisterCounter("ingress."+name, p.metrics).Inc(1)
}

// Write logs a line of net/http's own log.
func (p *reporter) Write(line []byte) (int, error) {
	p.count("server_errors")
	if p.lines.Allow() {
		p.log.Warn("http server", zap.String("error", strings.TrimSpace(string(line))))
	}
	return len(line), nil
}

func (p *reporter) errorLog() *log.Logger { return log.New(p, "", 0) }

func (p *reporter) panicked(requestID string, r *http.Request, value any) {
	p.count("panics")
	if !p.stacks.Allow() {
		return
	}
	p.log.Error("panic in a handler", zap.String("request_id", requestID), zap.String("method", r.Method),
		zap.String("path", r.URL.Path), zap.Any("panic", value), zap.ByteString("stack", debug.Stack()))
}

func (p *reporter) closedUnanswered(c *conn, reason closeReason, requestID string, since time.Time) {
	p.count("closed_unanswered." + string(reason))
	if p.lines.Allow() {
		p.log.Warn("connection closed before its request was answered", zap.String("reason", string(reason)),
			zap.String("request_id", requestID), zap.Stringer("caller", c.RemoteAddr()), zap.Duration("since_first_byte", time.Since(since)))
	}
}

type (
	connKey    struct{}
	requestKey struct{}
)

// refusedForMemory reports a request for which the memory for callers' requests does not suffice.
func (p *reporter) refusedForMemory(c *conn, requestID string, err error) {
	p.count("requests_refused_for_memory")
	if p.lines.Allow() {
		p.log.Warn("request refused for memory", zap.String("request_id", requestID), zap.Stringer("caller", c.RemoteAddr()), zap.Error(err))
	}
}

// waitedForBuffer reports a request whose answer waits until a part of another one has been passed on.
func (p *reporter) waitedForBuffer(c *conn, requestID string) {
	p.count("answers_waited_for_memory")
	if p.lines.Allow() {
		p.log.Warn("answer waits for memory", zap.String("request_id", requestID), zap.Stringer("caller", c.RemoteAddr()))
	}
}

// evicted reports a connection that is closed so that another can be accepted.
func (p *reporter) evicted(c *conn, idle time.Duration, conns int) {
	p.count("conns_evicted")
	if p.lines.Allow() {
		p.log.Warn("connection closed for another at the limit", zap.Stringer("caller", c.RemoteAddr()), zap.Duration("since_last_request", idle), zap.Int("connections", conns))
	}
}

// rejected reports a new connection that is closed because all others carry requests.
func (p *reporter) rejected(caller net.Addr, conns int) {
	p.count("conns_refused")
	if p.lines.Allow() {
		p.log.Warn("connection refused at the limit", zap.Stringer("caller", caller), zap.Int("connections", conns))
	}
}

// request is a request whose handler is running.
type request struct {
	conn *conn
	// account holds the memory of the request, of which headCharge bytes are for its header.
	account    *memquota.Account
	headCharge int64
	// mu guards hasEnded, which is set once the handler has returned.
	mu       sync.Mutex
	hasEnded bool
	id       atomic.Pointer[string]
	// bodyRead is set once the body was read to its end.
	bodyRead atomic.Bool
	// hasNoChunks is set if the protocol's version has no chunks: the end of the connection delimits an answer
	// whose length is not declared.
	hasNoChunks bool
}

// trackedBody records when a request's body was read to its end.
type trackedBody struct {
	io.ReadCloser
	request *request
}

// Read implements io.Reader.
func (b trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.request.bodyRead.Swap(true) {
		b.request.conn.beginWork()
	}
	return n, err
}

// requestID returns the ID that NameRequest set, empty before.
func (q *request) requestID() string {
	if q == nil || q.id.Load() == nil {
		return ""
	}
	return *q.id.Load()
}

// NameRequest sets the ID by which this package's log lines name the request of a context.
func NameRequest(ctx context.Context, id string) {
	if q, ok := ctx.Value(requestKey{}).(*request); ok {
		q.id.Store(&id)
	}
}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *conn { return ctx.Value(connKey{}).(*conn) }

// CallerEnd returns why the caller of a context's request counts as having left, empty while it does
// not.
func CallerEnd(ctx context.Context) string {
	q, ok := ctx.Value(requestKey{}).(*request)
	if !ok {
		return ""
	}
	return q.conn.callerEnd()
}

func (c *conn) callerEnd() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readErr == nil:
		return ""
	case errors.Is(c.readErr, io.EOF):
		return "end of its sending side"
	}
	return "read error: " + c.readErr.Error()
}

// finishHandling records a handler's end. panicked is the value of its panic, nil if it returned.
func (s *Server) finishHandling(q *request, r *http.Request, panicked any) {
	defer s.handlersInFlight.Add(-1)
	q.end()
	q.conn.endWork(q)
	switch panicked {
	case nil:
		q.conn.endHandling(answered)
	case http.ErrAbortHandler:
		q.conn.endHandling(aborted)
	default:
		s.report.panicked(q.requestID(), r, panicked)
		q.conn.endHandling(failed)
	}
	if panicked != nil {
		panic(http.ErrAbortHandler)
	}
}
