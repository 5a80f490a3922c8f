package ingress

import (
	"io"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// lingerTime bounds the wait for the rest of a body that nobody wanted.
	lingerTime = 2 * time.Second
	// lastWordTime bounds the write of an answer that this package makes itself.
	lastWordTime = time.Second
	// receiptPoll and maxReceiptPoll bound the waits between looks at the send buffer: the kernel
	// tells of no acknowledgement.
	receiptPoll    = 2 * time.Millisecond
	maxReceiptPoll = 256 * time.Millisecond
)

// headerLate answers a request whose header did not come in its time. 408 tells that it has not run
// and may be sent again.
const headerLate = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Write implements net.Conn. What net/http writes before a handler has the request is its own
// refusal of a malformed one.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	late := c.isHeaderLate()
	// Over TLS a close is written too, as an alert.
	if c.phase == reading && !c.handshake && !c.limitHit && !c.server.closed.Load() {
		c.phase = answered
	}
	c.writing = !late
	c.mu.Unlock()
	if late {
		// net/http takes a line that ends early for malformed; Close tells what it is.
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	return n, err
}

// isHeaderLate tells whether the present request's header did not come in its time.
func (c *conn) isHeaderLate() bool {
	return c.phase == reading && c.limitHit && !c.secure
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	late := c.isHeaderLate()
	if late {
		c.phase = answered
	}
	reason, q, since := c.unanswered(), c.request, c.firstByte
	written := c.phase == answered && c.readErr == nil
	unread := written && q != nil && !q.bodyRead.Load()
	c.phase, c.request = answered, nil
	c.mu.Unlock()
	if reason != "" {
		c.server.report.closedUnanswered(c, reason, q.name(), since)
	}
	switch {
	case c.server.closed.Load():
	case late:
		c.refuseLate()
		c.awaitReceipt()
	case unread:
		c.linger()
	case written:
		c.awaitReceipt()
	}
	// A stop that has ended must have no socket open.
	defer c.server.remove(c)
	return c.Conn.Close()
}

// refuseLate answers a request whose header is late.
func (c *conn) refuseLate() {
	c.server.report.count("headers_late")
	if c.Conn.SetWriteDeadline(time.Now().Add(lastWordTime)) == nil {
		// One that can't be written to has left.
		io.WriteString(c.Conn, headerLate)
	}
}

// linger reads what the caller still sends of a request that was answered before its body was read.
// A close that leaves bytes unread resets the connection, and the caller may lose the answer.
func (c *conn) linger() {
	c.CloseWrite()
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		io.Copy(io.Discard, c.Conn)
	}
}

// awaitReceipt reads on until the caller has ended its side or acknowledged all that was sent to
// it, for lingerTime at most. A close resets the connection, and drops what is unsent, if bytes lie
// unread or come later. What is unsent after lingerTime is the kernel's to send, as for any close.
func (c *conn) awaitReceipt() {
	if c.CloseWrite() != nil {
		return
	}
	began := time.Now()
	for wait := receiptPoll; c.unacknowledged() && time.Since(began) < lingerTime; wait = min(2*wait, maxReceiptPoll) {
		if c.Conn.SetReadDeadline(time.Now().Add(wait)) != nil {
			return
		}
		if _, err := io.Copy(io.Discard, c.Conn); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// unacknowledged tells whether the caller's kernel has yet to acknowledge bytes or the end of the
// sending side.
func (c *conn) unacknowledged() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && n > 0
}

// CloseWrite ends the sending side, as net/http does behind an answer that leaves a body unread.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// unanswered tells why a connection that is closed now leaves a request without its answer,
// empty if it leaves none or the caller ended it.
func (c *conn) unanswered() closeReason {
	switch {
	case c.handshake || c.multiplexed:
		return ""
	case c.phase == failed:
		return closedByPanic
	case c.readErr != nil:
		return ""
	case c.phase == reading && c.limitHit:
		return closedByLimit
	case c.phase == reading || c.phase == handling || c.phase == answered && c.writing:
		return closedByStop
	}
	return ""
}
