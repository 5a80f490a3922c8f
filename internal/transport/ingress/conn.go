package ingress

import (
	"bytes"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/memquota"
)

const (
	// finalReadWindow is the last part of a wait, in which one more read is made. Without it, a process
	// that was paused would find its deadline exceeded before it reads bytes that arrived in time.
	finalReadWindow = 50 * time.Millisecond
	// maxFinalReads bounds the reads after a limit, for callers that never stop sending.
	maxFinalReads = 256
	// newConnTimeout is how long a stopping server waits for a new connection's TLS handshake and first
	// request: the caller can't know yet that the server is stopping.
	newConnTimeout = 5 * time.Second
	// unreadBodyTimeout is how long an answer waits for the rest of a body that its handler did not read.
	// net/http reads that rest to keep the connection open.
	unreadBodyTimeout = time.Second
	// readAhead is the size of net/http's read buffer: so much may be read behind the end of a header.
	readAhead = 4 << 10
	// maxBuffered is the maximum number of bytes that net/http buffers while it waits for a request.
	maxBuffered = 3
)

// phase is the state of a connection's current request.
type phase uint8

const (
	// waiting: no byte of a request has arrived.
	waiting phase = iota
	// reading: its header is incomplete.
	reading
	// handling: its handler is running.
	handling
	// answered: its handler has returned, or net/http has refused it.
	answered
	// aborted: its handler has aborted the answer.
	aborted
	// failed: its handler panicked.
	failed
)

// conn replaces the marker deadlines that net/http sets by the limits in force, and ends waits when
// the server stops.
//
// Invariant: only Server.Close closes a connection that has a request. A limit or a stop merely ends
// a read, after which net/http closes the connection or continues. A stop ends the wait for a new
// request at once, and the wait for the rest of a request at the header limit. Bytes in net/http's
// buffer count as read; over TLS, bytes that arrived together with the previous request are not seen.
type conn struct {
	net.Conn
	server *Server

	// mu serializes the deadlines that net/http sets with those that Read extends. net/http interrupts
	// a read with a deadline in the past, which Read must not replace.
	mu sync.Mutex
	// limit is the limit that the read deadline represents, since when its wait began.
	limit limit
	since time.Time
	// inFinalRead is set during the final read of a wait; finalReads counts the final reads.
	inFinalRead bool
	finalReads  int

	// deadline is the one that the handler set, zero if it set none.
	deadline time.Time

	phase phase
	// isTLS is set if the connection carries TLS records.
	isTLS bool
	// inHandshake is set during the TLS handshake. isHTTP2 is set if the connection carries HTTP/2, which
	// has many requests at a time and closes its connections itself.
	inHandshake, isHTTP2 bool
	// hadRequest is set after the connection's first request.
	hadRequest bool
	// hasReadAhead is set once a byte of the next request was read.
	hasReadAhead bool
	// bufferSize is the size of net/http's buffer, which its first read offers whole; 0 over TLS.
	bufferSize int
	// tail holds the last bytes read, as many as net/http may buffer while it waits for a request.
	tail [maxBuffered]byte
	// drainingSince is when the connection began to drain, zero before.
	drainingSince time.Time
	// firstByte is when the first byte of the current request arrived.
	firstByte time.Time
	// request is the current request, nil before its header is read.
	request *request
	// isWriting is set during a write. net/http writes the end of an answer after its handler returns.
	isWriting bool
	// readErr is the error with which a read found that the caller has left.
	readErr error
	// limitExpired is set once a wait reached its limit.
	limitExpired bool

	// account holds the memory of the current request, nil before its first byte and while the connection is idle. headBytes counts the bytes
	// read for its header, headCharge those that the account was charged for it.
	account               *memquota.Account
	headBytes, headCharge int64
	// headRefusal is the answer to a header that this package refuses, empty if there is none.
	headRefusal string
	// working counts the requests that are complete and not answered; lastWork is when the last of them ended, or when the
	// connection was accepted.
	working  int
	lastWork time.Time
	// writeDeadline is the one that was set, by TLS for instance; zero if there is none.
	writeDeadline time.Time
	// writingSince is when the current write last made progress. isStalled is set once one has made none for writeTimeout.
	writingSince time.Time
	isStalled    bool
	// isEvicted is set if the connection is closed for another one, isInterrupted if its reads have been ended, isWriteCut if a
	// write has been ended that its caller did not read.
	isEvicted, isInterrupted, isWriteCut bool
	interruptedAt                        time.Time
}

// setReadDeadline sets a read deadline, unless the reads have been ended.
func (c *conn) setReadDeadline(t time.Time) error {
	if c.isInterrupted {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// beginHandling records that a handler has started on the current request.
func (c *conn) beginHandling(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isHTTP2 {
		c.phase, c.request, q.account = handling, q, c.account
		q.headCharge = c.headCharge
	}
	if q.bodyRead.Load() {
		c.working++
	}
}

// endHandling records that the handler has returned. Before it sends a short answer, net/http reads
// the rest of the request's body; this limits that read unless the handler has set a deadline.
func (c *conn) endHandling(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Server.Close may have closed the connection under the handler.
	if c.request == nil {
		return
	}
	c.phase = p
	if !c.request.bodyRead.Load() && c.deadline.IsZero() {
		c.setReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = markedLimit(t)
	switch {
	case c.limit == noLimit:
		c.deadline = t
		c.endHandshake()
		return c.setReadDeadline(t)
	case c.limit == idleLimit:
		c.phase, c.request, c.hadRequest = waiting, nil, true
		c.closeAccount()
		if c.hasReadAhead {
			c.hasReadAhead = false
			c.beginRequest()
		}
	case c.hadRequest && c.phase == waiting:
		// The first bytes of the next request arrived together with the previous one.
		c.beginRequest()
	}
	return c.beginWait()
}

// beginRequest records the first byte of a request. The header limit applies from then on.
func (c *conn) beginRequest() {
	c.phase, c.firstByte = reading, time.Now()
	c.headBytes, c.headCharge = 0, 0
	if c.account == nil && !c.isHTTP2 {
		c.account = c.server.memory.Open(c.interrupt)
	}
	if c.limit == idleLimit {
		c.limit = headerLimit
	}
}

// closeAccount frees the account of a request that is over, or of a handshake.
func (c *conn) closeAccount() {
	c.account.Close()
	c.account = nil
}

// endHandshake is called for the first deadline after the handshake's own. What was read so far is
// not part of a request.
func (c *conn) endHandshake() {
	if c.inHandshake {
		c.inHandshake, c.phase = false, waiting
		c.closeAccount()
	}
}

// markHTTP2 records that the connection carries HTTP/2.
func (c *conn) markHTTP2() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHTTP2 = true
	c.closeAccount()
}

// SetWriteDeadline implements net.Conn. net/http uses it to limit the TLS handshake.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if l := markedLimit(t); l != noLimit {
		t = time.Now().Add(l.in(c.server.limits.Load()))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// beginWait begins a wait under c.limit.
func (c *conn) beginWait() error {
	c.since, c.inFinalRead, c.finalReads = time.Now(), false, 0
	return c.setReadDeadline(c.waitDeadline().Add(-finalReadWindow))
}

// waitDeadline returns when the current wait ends.
func (c *conn) waitDeadline() time.Time {
	end := c.since.Add(c.limit.in(c.server.limits.Load()))
	if c.phase != waiting && !c.inHandshake || c.drainingSince.IsZero() {
		return end
	}
	stop := c.drainingSince.Add(finalReadWindow)
	if first := c.since.Add(newConnTimeout); !c.hadRequest && first.After(stop) {
		stop = first
	}
	if stop.Before(end) {
		return stop
	}
	return end
}

// drain ends the wait for a new request. A request of which a byte was read is not affected.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince = time.Now()
	if c.limit != noLimit && (c.phase == waiting || c.inHandshake) {
		c.setReadDeadline(c.waitDeadline().Add(-finalReadWindow))
	}
}

// expireWait ends the wait for a request or its header, except for the final read.
func (c *conn) expireWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit != noLimit {
		c.since = time.Unix(1, 0)
		c.setReadDeadline(c.waitDeadline())
	}
}

// Read implements net.Conn. If the limit was raised since the wait began, the wait is extended.
//
// The deadline was set when the wait began. Without the extension, the connection could close while
// its caller, who relies on the longer limit, is sending a request, which would get no answer. A limit
// that was lowered meanwhile applies from the next wait on.
func (c *conn) Read(b []byte) (int, error) {
	c.detectBufferedRequest(len(b))
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendWait() {
			continue
		}
		c.recordRead(b[:n], err)
		if c.isHeadRefused(b[:n]) {
			return 0, os.ErrDeadlineExceeded
		}
		return n, err
	}
}

// isHeadRefused charges bytes of a header, and reports whether the header is refused: if it is larger than the limit in force, or if
// there is no memory for it.
func (c *conn) isHeadRefused(got []byte) bool {
	c.mu.Lock()
	if c.phase != reading || c.isHTTP2 || len(got) == 0 {
		c.mu.Unlock()
		return false
	}
	cost := int64(len(got) + lineBytes*bytes.Count(got, []byte{'\n'}))
	if c.isTLS {
		cost = int64(tlsHeadFactor * len(got))
	}
	c.headBytes += int64(len(got))
	limit := c.server.limits.Load().HeaderBytes
	isTooLarge := limit > 0 && c.headBytes > limit+readAhead
	account := c.account
	c.mu.Unlock()
	if isTooLarge {
		c.refuseHead(headerTooLargeAnswer, "headers_too_large")
		return true
	}
	if err := account.Grow(cost); err != nil {
		c.refuseHead(noMemoryAnswer, "headers_refused_for_memory")
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headCharge += cost
	return false
}

func (c *conn) refuseHead(answer, counter string) {
	c.server.report.count(counter)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headRefusal = answer
}

// detectBufferedRequest begins the next request if net/http has already buffered bytes of it, which
// arrived together with the previous one. room is the free part of net/http's buffer, which its read
// for the next request offers.
func (c *conn) detectBufferedRequest(room int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferSize == 0 && !c.isTLS {
		c.bufferSize = room
	}
	held := c.bufferSize - room
	if c.phase != waiting || c.limit != idleLimit || held <= 0 || held > maxBuffered {
		return
	}
	if !isLineEnd(c.tail[maxBuffered-held:]) {
		c.beginRequest()
		c.beginWait()
	}
}

// isLineEnd reports whether bytes are line ends only. Some callers send one after a body; it belongs to
// no request.
func isLineEnd(b []byte) bool { return len(bytes.Trim(b, "\r\n")) == 0 }

// recordRead updates the state of the current request with the result of a read.
func (c *conn) recordRead(got []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(got) > 0 {
		c.inFinalRead = false
		c.recordBytes(got)
		last := got[max(0, len(got)-maxBuffered):]
		copy(c.tail[:], c.tail[len(last):])
		copy(c.tail[maxBuffered-len(last):], last)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.limitExpired = c.limit != noLimit
	case err != nil && c.readErr == nil && !errors.Is(err, net.ErrClosed):
		c.readErr = err
	}
}

// recordBytes updates the phase with bytes that were read.
func (c *conn) recordBytes(got []byte) {
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
		// After the end of a body, net/http reads one byte to notice whether the caller leaves.
		c.hasReadAhead = c.hasReadAhead || c.request != nil && c.request.bodyRead.Load()
	}
}

// extendWait moves the read deadline if the limit in force leaves time, or else allows the final read.
// It returns false if the wait is over.
func (c *conn) extendWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == noLimit || c.isInterrupted {
		return false
	}
	now, end := time.Now(), c.waitDeadline()
	if look := end.Add(-finalReadWindow); now.Before(look) {
		c.inFinalRead = false
		return c.Conn.SetReadDeadline(look) == nil
	}
	if c.inFinalRead || c.finalReads >= maxFinalReads {
		return false
	}
	c.inFinalRead = true
	c.finalReads++
	if least := now.Add(finalReadWindow); end.Before(least) {
		end = least
	}
	return c.Conn.SetReadDeadline(end) == nil
}
