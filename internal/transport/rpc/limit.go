package rpc

import (
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// evictionLines limits the log lines of connections that are closed for others, a second.
const evictionLines = 10

// Limit wraps a server's listener so that no more than max connections are open. At the limit, a new one replaces the one that
// has been silent for longest: peers are heard at least every keepaliveTime.
func Limit(l net.Listener, max int, log *zap.Logger, registry metrics.Registry) net.Listener {
	return &limitedListener{
		Listener: l, max: max, conns: map[*limitedConn]struct{}{}, log: log,
		lines: rate.NewLimiter(evictionLines, evictionLines), evicted: metrics.GetOrRegisterCounter("peers.conns_evicted", registry),
	}
}

type limitedListener struct {
	net.Listener
	max     int
	log     *zap.Logger
	lines   *rate.Limiter
	evicted metrics.Counter

	mu    sync.Mutex
	conns map[*limitedConn]struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: inner, listener: l, heard: time.Now()}
	if silent := l.add(c); silent != nil {
		l.evicted.Inc(1)
		if l.lines.Allow() {
			l.log.Warn("peer's connection closed for another at the limit", zap.Stringer("peer", silent.RemoteAddr()), zap.Int("connections", l.max))
		}
		silent.abort()
	}
	return c, nil
}

// add adds a connection and returns the one to close for it, nil if there is none.
func (l *limitedListener) add(c *limitedConn) (silent *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.max {
		for other := range l.conns {
			if silent == nil || other.lastHeard().Before(silent.lastHeard()) {
				silent = other
			}
		}
		delete(l.conns, silent)
	}
	l.conns[c] = struct{}{}
	return silent
}

func (l *limitedListener) remove(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

type limitedConn struct {
	net.Conn
	listener *limitedListener

	mu sync.Mutex
	// heard is when the peer last sent something, or when it connected.
	heard time.Time
}

func (c *limitedConn) lastHeard() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.heard = time.Now()
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// abort closes the connection at once: the first Close of a lingering one leaves it open.
func (c *limitedConn) abort() {
	c.Conn.Close()
	c.Conn.Close()
}
