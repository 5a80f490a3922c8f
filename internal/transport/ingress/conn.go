package ingress

import (
	"io"
	"net"
	"os"
	"sync"
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
	// slack above the callers' own idle limit keeps this side from closing at the
	// moment when a caller sends.
	slack = time.Second
	// lastLook is the end of a wait, for a read of its own. A process that was held up finds the
	// deadline over before it looks at the bytes that came in time.
	lastLook = 50 * time.Millisecond
	// maxLooks bounds the reads beyond a limit, for callers whose bytes never end.
	maxLooks = 256
	// newConnWait is the time that a new connection's first request has once the server stops:
	// its caller can't know yet that it should go elsewhere.
	newConnWait = 5 * time.Second
	// lingerTime bounds the wait for the rest of a body that nobody wanted.
	lingerTime = 2 * time.Second
	// unreadBodyTime is how long an answer waits for the rest of such a body, with which net/http
	// keeps the connection open.
	unreadBodyTime = time.Second
	// lastWordTime bounds the write of an answer that this package makes itself.
	lastWordTime = time.Second
)

// headerLate answers a request whose header did not come in its time. 408 tells that it has not run
// and may be sent again.
const headerLate = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// limit is a time limit whose length a configuration sets.
type limit uint8

const (
	noLimit limit = iota
	idleLimit
	headerLimit
)

// limitMarked returns the limit that a deadline marks, noLimit if it is none of the marks.
func limitMarked(t time.Time) limit {
	if t.IsZero() {
		return noLimit
	}
	switch left := time.Until(t); {
	case left > markIdle-year:
		return idleLimit
	case left > markHeader-year:
		return headerLimit
	}
	return noLimit
}

// in returns the limit's length.
func (l limit) in(limits *routes.Limits) time.Duration {
	switch {
	case l == idleLimit && limits.IdleTimeout <= 0:
		return unsetIdle
	case l == idleLimit:
		return limits.IdleTimeout + slack
	case limits.HeaderTimeout <= 0:
		return unsetHeader
	}
	return limits.HeaderTimeout
}

// phase is how far a connection's present request has come.
type phase uint8

const (
	// waiting for the first byte of a request.
	waiting phase = iota
	// reading its header.
	reading
	// handling it: a handler has it.
	handling
	// answered: its handler has returned.
	answered
	// aborted: its handler has broken the answer off.
	aborted
	// failed: its handler panicked.
	failed
)

// conn puts the limits in force in place of the marks, and ends the waits of a server that stops.
//
// Invariant: nothing but Server.Close closes a connection under a request. A limit or a stop ends
// a read, and net/http, which alone knows whether it holds bytes of a request, closes or goes on.
type conn struct {
	net.Conn
	server *Server

	// mu orders the deadlines that net/http sets and those that Read sets again: it ends a
	// read that is underway by a deadline in the past, which must stand.
	mu sync.Mutex
	// limit is the one that the read deadline stands for, since its wait began.
	limit limit
	since time.Time
	// looking tells that the wait is at its last look, looks counts those that found bytes.
	looking bool
	looks   int

	// deadline is the handler's own, zero if it set none.
	deadline time.Time

	phase phase
	// secure tells that the bytes are TLS's.
	secure bool
	// handshake tells that the TLS handshake is underway; multiplexed that HTTP/2 is spoken, which
	// has many requests at a time and closes its connections itself.
	handshake, multiplexed bool
	// used tells that the connection has had a request.
	used bool
	// readAhead tells that a byte of the next request was read.
	readAhead bool
	// drained is when the server's stop came to the connection, zero before.
	drained time.Time
	// firstByte is when the present request's first byte came.
	firstByte time.Time
	// request is the present one, nil before its header is read.
	request *request
	// readErr is the caller's end as a read saw it.
	readErr error
	// limitHit tells that a wait ended on its limit.
	limitHit bool
}

// begin tells that a handler has the present request.
func (c *conn) begin(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.multiplexed {
		c.phase, c.request = handling, q
	}
}

// end tells that the handler has ended. Before it sends a short answer, net/http reads the rest of
// the request's body: without a deadline of the handler's own that must not take long.
func (c *conn) end(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Server.Close may have closed the connection under the handler.
	if c.request == nil {
		return
	}
	c.phase = p
	if !c.request.bodyRead.Load() && c.deadline.IsZero() {
		c.Conn.SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = limitMarked(t)
	switch {
	case c.limit == noLimit:
		c.deadline = t
		c.endHandshake()
		return c.Conn.SetReadDeadline(t)
	case c.limit == idleLimit:
		c.phase, c.request, c.used = waiting, nil, true
		if c.readAhead {
			c.readAhead = false
			c.beginRequest()
		}
	case c.used && c.phase == waiting:
		// The next request's first bytes came with the one before.
		c.beginRequest()
	}
	return c.beginWait()
}

// beginRequest is told of a request's first byte; from then on the header's limit holds.
func (c *conn) beginRequest() {
	c.phase, c.firstByte = reading, time.Now()
	if c.limit == idleLimit {
		c.limit = headerLimit
	}
}

// endHandshake is told of the first deadline behind the handshake's own; what was read so far is
// no request.
func (c *conn) endHandshake() {
	if c.handshake {
		c.handshake, c.phase = false, waiting
	}
}

// multiplex tells that HTTP/2 is spoken.
func (c *conn) multiplex() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.multiplexed = true
}

// SetWriteDeadline implements net.Conn; net/http bounds the TLS handshake by it.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if l := limitMarked(t); l != noLimit {
		t = time.Now().Add(l.in(c.server.limits.Load()))
	}
	return c.Conn.SetWriteDeadline(t)
}

// beginWait begins a wait under c.limit.
func (c *conn) beginWait() error {
	c.since, c.looking, c.looks = time.Now(), false, 0
	return c.Conn.SetReadDeadline(c.waitEnd().Add(-lastLook))
}

// waitEnd is when the present wait ends.
func (c *conn) waitEnd() time.Time {
	end := c.since.Add(c.limit.in(c.server.limits.Load()))
	if c.phase != waiting || c.drained.IsZero() {
		return end
	}
	stop := c.drained.Add(lastLook)
	if first := c.since.Add(newConnWait); !c.used && first.After(stop) {
		stop = first
	}
	if stop.Before(end) {
		return stop
	}
	return end
}

// drain ends the wait for a request; one of which a byte was read is not touched.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained = time.Now()
	if c.limit != noLimit && c.phase == waiting {
		c.Conn.SetReadDeadline(c.waitEnd().Add(-lastLook))
	}
}

// endWait ends the wait for a request or its header, but for the last look.
func (c *conn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit != noLimit {
		c.since = time.Unix(1, 0)
		c.Conn.SetReadDeadline(c.waitEnd())
	}
}

// Read implements net.Conn. A wait that began under a shorter limit goes on when it is over.
//
// The deadline was set when the wait began. Closed on it, a connection would end while its
// caller, who knows the longer limit, may be sending: the request gets no answer. A limit that
// was shortened meanwhile applies from the next wait on.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.waitOn() {
			continue
		}
		c.note(n, err)
		return n, err
	}
}

// note keeps what a read tells of the present request.
func (c *conn) note(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.looking = false
		c.noteBytes()
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.limitHit = c.limit != noLimit
	case err != nil && c.readErr == nil && !errors.Is(err, net.ErrClosed):
		c.readErr = err
	}
}

// noteBytes is told of bytes that were read.
func (c *conn) noteBytes() {
	switch c.phase {
	case waiting:
		wasIdle := c.limit == idleLimit
		c.beginRequest()
		if wasIdle {
			c.beginWait()
		}
	case handling, answered:
		// Behind the end of a body net/http reads one byte, to see whether the caller is there.
		c.readAhead = c.request != nil && c.request.bodyRead.Load()
	}
}

// waitOn sets the read deadline again if the limit in force leaves time, or else for a last look.
func (c *conn) waitOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == noLimit {
		return false
	}
	now, end := time.Now(), c.waitEnd()
	if look := end.Add(-lastLook); now.Before(look) {
		c.looking = false
		return c.Conn.SetReadDeadline(look) == nil
	}
	if c.looking || c.looks >= maxLooks {
		return false
	}
	c.looking = true
	c.looks++
	if least := now.Add(lastLook); end.Before(least) {
		end = least
	}
	return c.Conn.SetReadDeadline(end) == nil
}

// Write implements net.Conn. What net/http writes before a handler has the request is its own
// refusal of a malformed one.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	late := c.isHeaderLate()
	// Over TLS a close is written too, as an alert.
	if c.phase == reading && !c.handshake && !c.limitHit && !c.server.closed.Load() {
		c.phase = answered
	}
	c.mu.Unlock()
	if late {
		// net/http takes a line that ends early for malformed; Close tells what it is.
		return len(b), nil
	}
	return c.Conn.Write(b)
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
	unread := c.phase == answered && c.readErr == nil && q != nil && !q.bodyRead.Load()
	c.phase, c.request = answered, nil
	c.mu.Unlock()
	if reason != "" {
		c.server.report.closedUnanswered(c, reason, q.name(), since)
	}
	switch {
	case c.server.closed.Load():
	case late:
		c.refuseLate()
	case unread:
		c.linger()
	}
	c.server.remove(c)
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
	case c.phase == reading || c.phase == handling:
		return closedByStop
	}
	return ""
}
