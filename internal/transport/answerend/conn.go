package answerend

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Conn is a connection whose reader gets a reset as an error, even if a concurrent write has consumed it. The kernel
// reports a reset to one call only; after that, reading returns io.EOF, as after an orderly end.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	idle    sync.Cond
	writing int
	// failed is the first error of a write that means that the connection did not end in order.
	failed error
	// hasEnded is set once Read has returned an error other than a deadline; onEnd is called then.
	hasEnded bool
	onEnd    func()
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn {
	wrapped := &Conn{Conn: c}
	wrapped.idle.L = &wrapped.mu
	return wrapped
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	c.writing--
	if c.failed == nil && isReset(err) {
		c.failed = err
	}
	c.idle.Broadcast()
	c.mu.Unlock()
	return n, err
}

// Read implements net.Conn. It ends a write in progress when the peer has ended the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.notifyEnd()
	}
	if err == io.EOF {
		if failed := c.writeError(); failed != nil {
			return n, errors.Annotate(failed, "connection was reset while the request was written")
		}
	}
	return n, err
}

// OnEnd has f called when Read first returns an error other than a deadline, before the reader can close the connection.
func (c *Conn) OnEnd(f func()) {
	c.mu.Lock()
	c.onEnd = f
	hasEnded := c.hasEnded
	c.mu.Unlock()
	if hasEnded {
		f()
	}
}

func (c *Conn) notifyEnd() {
	c.mu.Lock()
	f := c.onEnd
	c.hasEnded = true
	c.mu.Unlock()
	if f != nil {
		f()
	}
}

// writeError returns the error of the writes so far. A write in progress may have consumed a reset and not yet have
// returned, so it is ended first.
func (c *Conn) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Conn.SetWriteDeadline(time.Unix(1, 0))
	for c.writing > 0 {
		c.idle.Wait()
	}
	return c.failed
}

// isReset reports whether a write failed because the connection did not end in order. The kernel returns EPIPE if the
// peer's orderly end came first; the other errors are this process's own.
func isReset(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.ErrClosedPipe)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("raw access to a %T", c.Conn)
	}
	return raw.SyscallConn()
}
