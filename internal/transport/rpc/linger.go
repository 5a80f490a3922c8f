package rpc

import (
	"net"
	"sync"
	"time"
)

// Linger wraps a server's listener so that its connections close without a reset. One whose peer is quiet for a
// while is given up: a peer that still reads tells so in window updates.
//
// When a server has been stopped gracefully, grpc gives a connection one second after its last
// write and closes it. A peer that is further behind goes on sending window updates. They meet a
// closed socket, and the reset that answers them throws away what has not left its send buffer: the
// peer's callers see streams cut that the server counts as whole. With two test sites beside each other, one
// processor each and the race detector, 64 to 116 of 200 streams were cut in 3 of 16 stops.
func Linger(l net.Listener, quiet time.Duration) net.Listener { return lingerListener{l, quiet} }

type lingerListener struct {
	net.Listener
	quiet time.Duration
}

// Accept implements net.Listener.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &lingerConn{TCPConn: tcp, quiet: l.quiet}, nil
	}
	return c, nil
}

// lingerConn ends its sending side at the first Close, and itself when the peer has closed or is quiet, or at the
// second Close. Meanwhile the server goes on reading.
type lingerConn struct {
	*net.TCPConn
	quiet time.Duration

	mu sync.Mutex
	// end closes the connection if nobody else does, nil before the first Close.
	end *time.Timer
}

// Read implements net.Conn. Under TLS only the first Close arrives, so the peer's end must do.
func (c *lingerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	lingers := c.end != nil
	if lingers && err == nil {
		c.end.Reset(c.quiet)
	}
	c.mu.Unlock()
	if lingers && err != nil {
		c.Close()
	}
	return n, err
}

// Close implements net.Conn.
func (c *lingerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end != nil {
		c.end.Stop()
		return c.TCPConn.Close()
	}
	c.end = time.AfterFunc(c.quiet, func() { c.TCPConn.Close() })
	return c.TCPConn.CloseWrite()
}
