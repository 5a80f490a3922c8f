package ingress

import (
	"io"
	"math"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"limpetwall/internal/transport/memquota"
)

const (
	// lingerTimeout bounds the wait for the caller before a connection is closed after an answer, or for its
	// next acknowledgment; maxLinger bounds the whole wait for acknowledgments.
	lingerTimeout = 2 * time.Second
	maxLinger     = 30 * time.Second
	// interruptedLinger bounds the wait where the connection is to make room for others.
	interruptedLinger = 200 * time.Millisecond
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

// headerTooLargeAnswer and noMemoryAnswer are sent if an incomplete header is refused. 503 promises that the request has not run.
const (
	headerTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noMemoryAnswer       = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

const (
	// writeTimeout is how long a caller may leave its answer unread.
	writeTimeout = 30 * time.Second
	// writeSize is the largest part of an answer that is written at once, in bytes: the caller's progress is seen between parts.
	writeSize = 32 << 10
)

// Write implements net.Conn. What net/http writes before a handler has started is its refusal of a
// malformed request.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	late := c.isHeaderRefused()
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
	n, err := c.writeAll(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = false
	return n, err
}

// writeAll writes as long as the caller reads something within writeTimeout.
func (c *conn) writeAll(b []byte) (n int, err error) {
	for {
		account, ok := c.beginPart()
		if !ok {
			return n, os.ErrDeadlineExceeded
		}
		part := b[n:min(len(b), n+writeSize)]
		account.BeginWrite()
		written, err := c.Conn.Write(part)
		account.EndWrite()
		n += written
		switch {
		case err == nil && n == len(b):
			return n, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && written == 0:
			c.recordStall()
			return n, err
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		}
	}
}

// beginPart sets the deadline of the next part of a write. It returns the account of the current request, and false if the
// connection is to be closed.
func (c *conn) beginPart() (*memquota.Account, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWriteCut {
		return nil, false
	}
	c.writingSince = time.Now()
	if c.writeDeadline.IsZero() {
		c.Conn.SetWriteDeadline(c.writingSince.Add(writeTimeout))
	}
	return c.account, true
}

// recordStall records that a write has made no progress.
func (c *conn) recordStall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeDeadline.IsZero() && !c.isWriteCut {
		c.isStalled = true
		c.server.report.count("answers_unread")
	}
}

// isHeaderRefused reports whether the current request's header was incomplete at its limit, or was refused.
func (c *conn) isHeaderRefused() bool {
	return c.phase == reading && (c.limitExpired || c.headRefusal != "") && !c.isTLS
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	late := c.isHeaderRefused()
	if late {
		c.phase = answered
	}
	account, refusal := c.account, c.headRefusal
	reason, q, since := c.unansweredReason(), c.request, c.firstByte
	written := c.phase == answered && c.readErr == nil
	unread := written && q != nil && !q.bodyRead.Load()
	cut := c.phase != answered && q != nil && q.hasNoChunks
	c.phase, c.request = answered, nil
	c.mu.Unlock()
	defer account.Close()
	// What is left of the request can be revoked while its caller is waited for.
	account.Finish(math.MaxInt64)
	if reason != "" {
		c.server.report.closedUnanswered(c, reason, q.requestID(), since)
	}
	switch {
	case c.server.closed.Load():
	case late:
		c.refuseHeader(refusal)
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

// refuseHeader answers a request whose header is incomplete; an empty answer stands for the header's time limit.
func (c *conn) refuseHeader(answer string) {
	if answer == "" {
		answer = headerTimeoutAnswer
		c.server.report.count("headers_late")
	}
	if c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) == nil {
		// The error is ignored: a caller that can't be written to has left.
		io.WriteString(c.Conn, answer)
	}
}

// discardUnreadBody reads the rest of a request that was answered before its body was read. Closing a
// connection with unread bytes resets it, and the caller may lose the answer.
func (c *conn) discardUnreadBody() {
	c.CloseWrite()
	if c.setLingerDeadline(lingerTimeout) {
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
		if !c.setLingerDeadline(wait) {
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

// setLingerDeadline sets the deadline of a read before the connection closes. It returns false if the connection must close now:
// if what it holds has been needed for long enough that its caller could read a refusal.
func (c *conn) setLingerDeadline(wait time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isInterrupted {
		wait = min(wait, time.Until(c.interruptedAt.Add(interruptedLinger)))
	}
	return wait > 0 && c.Conn.SetReadDeadline(time.Now().Add(wait)) == nil
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
	case c.isWriteCut:
		return closedByMemory
	case c.isStalled:
		return closedByStall
	case c.readErr != nil:
		return ""
	case c.phase == reading && c.limitExpired:
		return closedByLimit
	case c.phase == reading || c.phase == handling || c.phase == answered && c.isWriting:
		return closedByStop
	}
	return ""
}
