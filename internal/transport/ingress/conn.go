package ingress

import (
	"bytes"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// lastLook is the end of a wait, for a read of its own. A process that was held up finds the
	// deadline over before it looks at the bytes that came in time.
	lastLook = 50 * time.Millisecond
	// maxLooks bounds the reads beyond a limit, for callers whose bytes never end.
	maxLooks = 256
	// newConnWait is the time that a new connection's first request, and its TLS handshake before
	// that, have once the server stops: its caller can't know yet that it should go elsewhere.
	newConnWait = 5 * time.Second
	// unreadBodyTime is how long an answer waits for the rest of a body that nobody wanted, with which
	// net/http keeps the connection open.
	unreadBodyTime = time.Second
	// maxHeld is how many bytes net/http holds at most while it waits for a request.
	maxHeld = 3
)

// phase is how far a connection's present request has come.
type phase uint8

const (
	// waiting for the first byte of a request.
	waiting phase = iota
	// reading its header.
	reading
	// handling it: a handler has it.
	handling
	// answered: its handler has returned, or net/http has refused it.
	answered
	// aborted: its handler has broken the answer off.
	aborted
	// failed: its handler panicked.
	failed
)

// conn puts the limits in force in place of the marks, and ends the waits of a server that stops.
//
// Invariant: nothing but Server.Close closes a connection under a request. A limit or a stop ends
// a read, and net/http closes or goes on. A stop ends the wait for a request at once, and that for
// the rest of one at the header's limit: bytes that net/http holds count as read. Over TLS those
// that came with the request before are not seen.
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
	// bufferSize is that of net/http's buffer, the room of its first read; 0 over TLS.
	bufferSize int
	// tail is the end of what was read, as much as net/http may hold while it waits for a request.
	tail [maxHeld]byte
	// drained is when the server's stop came to the connection, zero before.
	drained time.Time
	// firstByte is when the present request's first byte came.
	firstByte time.Time
	// request is the present one, nil before its header is read.
	request *request
	// writing tells that a write is underway. net/http writes the end of an answer behind its handler.
	writing bool
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
	if c.phase != waiting && !c.handshake || c.drained.IsZero() {
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
	if c.limit != noLimit && (c.phase == waiting || c.handshake) {
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
	c.noteRoom(len(b))
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.waitOn() {
			continue
		}
		c.note(b[:n], err)
		return n, err
	}
}

// noteRoom begins the next request if net/http holds bytes of it, which came with the one before: a
// read for the next request offers the room that is left in its buffer.
func (c *conn) noteRoom(room int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferSize == 0 && !c.secure {
		c.bufferSize = room
	}
	held := c.bufferSize - room
	if c.phase != waiting || c.limit != idleLimit || held <= 0 || held > maxHeld {
		return
	}
	if !isLineEnd(c.tail[maxHeld-held:]) {
		c.beginRequest()
		c.beginWait()
	}
}

// isLineEnd tells whether bytes are line ends only: some callers send one behind a body, which
// belongs to no request.
func isLineEnd(b []byte) bool { return len(bytes.Trim(b, "\r\n")) == 0 }

// note keeps what a read tells of the present request.
func (c *conn) note(got []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(got) > 0 {
		c.looking = false
		c.noteBytes(got)
		last := got[max(0, len(got)-maxHeld):]
		copy(c.tail[:], c.tail[len(last):])
		copy(c.tail[maxHeld-len(last):], last)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.limitHit = c.limit != noLimit
	case err != nil && c.readErr == nil && !errors.Is(err, net.ErrClosed):
		c.readErr = err
	}
}

// noteBytes is told of bytes that were read.
func (c *conn) noteBytes(got []byte) {
	if isLineEnd(got) {
		return
	}
	switch c.phase {
	case waiting:
		wasIdle := c.limit == idleLimit
		c.beginRequest()
		if wasIdle {
			c.beginWait()
		}
	case handling, answered:
		// Behind the end of a body net/http reads one byte, to see whether the caller is there.
		c.readAhead = c.readAhead || c.request != nil && c.request.bodyRead.Load()
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
