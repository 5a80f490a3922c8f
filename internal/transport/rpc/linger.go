package rpc

import (
	"net"
	"sync"
	"time"
)

// lingerTime bounds the wait for a peer that still reads what was sent to it. A process that
// stops waits as long for its streams' ends to leave.
const lingerTime = 5 * time.Second

// Linger wraps a server's listener so that its connections close without a reset.
//
// When a server has been stopped gracefully, grpc gives a connection one second after its last
// write and closes it. A peer that is further behind goes on sending window updates. They meet a
// closed socket, and the reset that answers them throws away what has not left its send buffer: the
// peer's callers see streams cut that the server counts as whole. With two test sites beside each other, one
// processor each and the race detector, 64 to 116 of 200 streams were cut in 3 of 16 stops.
func Linger(l net.Listener) net.Listener { return lingerListener{l} }

type lingerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &lingerConn{TCPConn: tcp}, nil
	}
	return c, nil
}

// lingerConn ends its sending side at the first Close, and itself when the peer has closed, at the
// second Close or after lingerTime. Meanwhile the server goes on reading.
type lingerConn struct {
	*net.TCPConn

	mu sync.Mutex
	// end closes the connection if nobody else does, nil before the first Close.
	end *time.Timer
}

// Read implements net.Conn. Under TLS only the first Close arrives, so the peer's end must do.
func (c *lingerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil && c.lingers() {
		c.Close()
	}
	return n, err
}

func (c *lingerConn) lingers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end != nil
}

// Close implements net.Conn.
func (c *lingerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end != nil {
		c.end.Stop()
		return c.TCPConn.Close()
	}
	c.end = time.AfterFunc(lingerTime, func() { c.TCPConn.Close() })
	return c.TCPConn.CloseWrite()
}
