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
	// lingerTimeout bounds the wait for the caller before a connection is closed after an answer, or for its
	// next acknowledgment; maxLinger bounds the whole wait for acknowledgments.
	lingerTimeout = 2 * time.Second
	maxLinger     = 30 * time.Second
	// refusalWriteTimeout bounds the write of an answer that this package itself gives.
	refusalWriteTimeout = time.Second
	// ackPollInterval and maxAckPollInterval bound the intervals at which the send buffer is polled: the
	// kernel does not notify of acknowledgments.
	ackPollInterval    = 2 * time.Millisecond
	maxAckPollInterval = 256 * time.Millisecond
)

// headerTimeoutAnswer is sent if a request's header is incomplete at its limit. 408 promises that the
// request has not run, so it may be sent again.
const headerTimeoutAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Write implements net.Conn. What net/http writes before a handler has started is its refusal of a
// malformed request.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	late := c.isHeaderTimedOut()
	// Over TLS, closing also writes an alert.
	if c.phase == reading && !c.inHandshake && !c.limitExpired && !c.server.closed.Load() {
		c.phase = answered
	}
	c.isWriting = !late
	c.mu.Unlock()
	if late {
		// net/http refuses the incomplete header as malformed; Close sends the correct answer instead.
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = false
	return n, err
}

// isHeaderTimedOut reports whether the current request's header was incomplete at its limit.
func (c *conn) isHeaderTimedOut() bool {
	return c.phase == reading && c.limitExpired && !c.isTLS
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	late := c.isHeaderTimedOut()
	if late {
		c.phase = answered
	}
	reason, q, since := c.unansweredReason(), c.request, c.firstByte
	written := c.phase == answered && c.readErr == nil
	unread := written && q != nil && !q.bodyRead.Load()
	cut := c.phase != answered && q != nil && q.hasNoChunks
	c.phase, c.request = answered, nil
	c.mu.Unlock()
	if reason != "" {
		c.server.report.closedUnanswered(c, reason, q.requestID(), since)
	}
	switch {
	case c.server.closed.Load():
	case late:
		c.refuseTimedOutHeader()
		c.awaitAcknowledgment()
	case unread:
		c.discardUnreadBody()
	case written:
		c.awaitAcknowledgment()
	}
	if cut {
		c.reset()
	}
	// The connection must be closed before a stop can end.
	defer c.server.remove(c)
	return c.Conn.Close()
}

// reset has the connection closed by a reset. After an ordinary close, a cut answer that only the end of the
// connection delimits would look complete.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		tcp.SetLinger(0)
	}
}

// refuseTimedOutHeader answers a request whose header was incomplete at its limit.
func (c *conn) refuseTimedOutHeader() {
	c.server.report.count("headers_late")
	if c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) == nil {
		// The error is ignored: a caller that can't be written to has left.
		io.WriteString(c.Conn, headerTimeoutAnswer)
	}
}

// discardUnreadBody reads the rest of a request that was answered before its body was read. Closing a
// connection with unread bytes resets it, and the caller may lose the answer.
func (c *conn) discardUnreadBody() {
	c.CloseWrite()
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		io.Copy(io.Discard, c.Conn)
	}
}

// awaitAcknowledgment reads until the caller has closed its sending side or acknowledged everything that
// was sent to it, as long as it goes on to acknowledge within lingerTimeout, for maxLinger at most. Closing
// earlier would reset the connection, and drop unsent bytes, if there are unread bytes or more arrive, such
// as the window updates of HTTP/2. The kernel sends what is unsent after that.
func (c *conn) awaitAcknowledgment() {
	if c.CloseWrite() != nil {
		return
	}
	began := time.Now()
	progressed, unacknowledged := began, c.unacknowledgedBytes()
	for wait := ackPollInterval; unacknowledged > 0 && !c.server.closed.Load(); wait = min(2*wait, maxAckPollInterval) {
		if c.Conn.SetReadDeadline(time.Now().Add(wait)) != nil {
			return
		}
		if _, err := io.Copy(io.Discard, c.Conn); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		now, left := time.Now(), c.unacknowledgedBytes()
		if left < unacknowledged {
			progressed, unacknowledged = now, left
		}
		if now.Sub(progressed) >= lingerTimeout || now.Sub(began) >= maxLinger {
			return
		}
	}
}

// unacknowledgedBytes returns how many bytes, the end of the sending side among them, the caller's kernel
// has yet to acknowledge; 0 if that is not known.
func (c *conn) unacknowledgedBytes() int {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return n
}

// CloseWrite closes the sending side. net/http does so too, after an answer that leaves a body unread.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// unansweredReason returns why a connection that is closed now leaves a request without its answer. It
// is empty if there is no such request or if the caller has left.
func (c *conn) unansweredReason() closeReason {
	switch {
	case c.inHandshake || c.isHTTP2:
		return ""
	case c.phase == failed:
		return closedByPanic
	case c.readErr != nil:
		return ""
	case c.phase == reading && c.limitExpired:
		return closedByLimit
	case c.phase == reading || c.phase == handling || c.phase == answered && c.isWriting:
		return closedByStop
	}
	return ""
}
