package ingress

import (
	"net/http"
	"time"
)

const (
	// minEvictionAge is how long a connection is spared that waits for its first request, or whose request is incomplete.
	minEvictionAge = 100 * time.Millisecond
	// blockedEviction is how long a caller may leave its answer unread before its connection can be evicted.
	blockedEviction = time.Second
	// unfinishedEvictions bounds the evicted connections that are not closed yet: one in so many of the limit.
	unfinishedEvictions = 8
)

// admit adds a connection. At the limit it evicts another, and reports false if there is none: all have complete requests.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	conns := len(s.conns)
	if s.maxConns <= 0 || conns < s.maxConns {
		s.add(c)
		s.mu.Unlock()
		return true
	}
	var victim *conn
	var since time.Time
	if conns < s.maxConns+max(1, s.maxConns/unfinishedEvictions) {
		victim, since = s.longestWithoutWork()
	}
	if victim == nil {
		s.mu.Unlock()
		s.report.rejected(c.RemoteAddr(), conns)
		return false
	}
	s.add(c)
	s.mu.Unlock()
	victim.evict()
	s.report.evicted(victim, time.Since(since), conns)
	return true
}

func (s *Server) countConns() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.conns))
}

// longestWithoutWork returns the connection that has been without a complete request for longest, and since when; nil if there is
// none. s.mu is held.
func (s *Server) longestWithoutWork() (found *conn, since time.Time) {
	spared := time.Now().Add(-minEvictionAge)
	for c := range s.conns {
		if at, ok := c.withoutWorkSince(); ok && at.Before(spared) && (found == nil || at.Before(since)) {
			found, since = c, at
		}
	}
	return found, since
}

// beginWork records that a request on the connection is complete, and endWork that its handler has returned.
func (c *conn) beginWork() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.working++
}

func (c *conn) endWork(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.bodyRead.Load() {
		c.working--
	}
	c.lastWork = time.Now()
	if c.isHTTP2 {
		q.account.Close()
		return
	}
	// net/http keeps the header until the connection closes or is idle.
	q.account.Finish(q.headCharge)
}

// withoutWorkSince returns since when the connection has had no complete request, or its caller has not read an answer.
// It reports false if it has a request, or is evicted already.
func (c *conn) withoutWorkSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isEvicted:
		return time.Time{}, false
	case c.isBlocked():
		return c.writingSince, true
	}
	return c.lastWork, c.working == 0 && !c.isWriting
}

// isBlocked reports whether the caller has not read an answer for some time; c.mu is held.
func (c *conn) isBlocked() bool { return c.isWriting && time.Since(c.writingSince) >= blockedEviction }

// evict has the connection closed. An incomplete request is refused first; one that has become complete is spared.
func (c *conn) evict() {
	c.mu.Lock()
	if c.working > 0 && !c.isBlocked() {
		c.mu.Unlock()
		return
	}
	c.isEvicted = true
	account := c.account
	c.mu.Unlock()
	if account.Revoke() {
		c.interrupt()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isEvicted = false
}

// interrupt ends the reads from the caller, and a write that its caller does not read.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isInterrupted {
		c.isInterrupted, c.interruptedAt = true, time.Now()
	}
	if c.isBlocked() {
		c.isWriteCut = true
		c.Conn.SetWriteDeadline(past)
	}
	c.Conn.SetReadDeadline(past)
	if c.isHTTP2 {
		// It has no request that could be refused.
		c.Conn.SetDeadline(past)
	}
}

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// interruptReads returns a function that ends the reads of a request's body, until its handler has returned.
func interruptReads(w http.ResponseWriter, q *request) func() {
	control := http.NewResponseController(w)
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		// With HTTP/2, setting a deadline after the handler has returned panics.
		if !q.hasEnded {
			control.SetReadDeadline(past)
		}
	}
}

func (q *request) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hasEnded = true
}
