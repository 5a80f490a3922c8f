package ingress

import (
	"context"
	"maps"
	"slices"
	"time"
)

// Stop closes the listeners and the connections that wait for a request. Until ctx ends, it answers
// every request of which a byte was read, and the first requests of new connections.
//
// It does not use http.Server.Shutdown, which closes connections while it reads their requests and
// drops requests that it has read.
func (s *Server) Stop(ctx context.Context) error {
	s.DisableKeepAlives()
	for _, c := range s.beginDrain() {
		c.drain()
	}
	return s.waitDrained(ctx)
}

// beginDrain stops the listeners and returns the open connections. Connections that are accepted later
// drain from the start.
func (s *Server) beginDrain() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for _, l := range s.listeners {
		l.stop()
	}
	s.checkDrained()
	return slices.Collect(maps.Keys(s.conns))
}

func (s *Server) waitDrained(ctx context.Context) error {
	select {
	case <-s.drained:
		return nil
	default:
	}
	again := time.NewTicker(goAwayInterval)
	defer again.Stop()
	for {
		// Repeated for connections that were in their handshake before.
		s.goAway(ctx)
		select {
		case <-s.drained:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-again.C:
		}
	}
}

// checkDrained closes s.drained once a stop has no listener or connection left. s.mu is held.
func (s *Server) checkDrained() {
	if !s.draining || len(s.conns) > 0 || len(s.listeners) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// add adds a connection; s.mu is held.
func (s *Server) add(c *conn) {
	s.conns[c] = struct{}{}
	if s.draining {
		c.drainingSince = time.Now()
	}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.checkDrained()
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
