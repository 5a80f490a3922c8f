package ingress

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// listener accepts callers' connections. When the server stops, it closes only after the connections
// in the kernel's queue were accepted: closing it earlier would reset them.
type listener struct {
	net.Listener
	server *Server
	secure bool
	closed sync.Once
	// hadFinalAccept is set once Accept has had its final window after the stop. New connections must
	// not extend it.
	hadFinalAccept bool
}

// register returns the server's listener for l, which it adds if it is new.
func (s *Server) register(l net.Listener) *listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.listeners[l]; known != nil {
		return known
	}
	added := &listener{Listener: l, server: s}
	s.listeners[l] = added
	if s.draining {
		added.stop()
	}
	return added
}

func (s *Server) removeListener(l *listener) {
	l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l.Listener)
	s.checkDrained()
}

// closeListeners closes the listeners that are not served yet as well, which net/http does not know.
func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.Close()
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	err := net.ErrClosed
	l.closed.Do(func() { err = l.Listener.Close() })
	return err
}

// Accept implements net.Listener. After a temporary error such as too many open files, a stopping
// server goes on: the kernel's queue may hold connections that callers have already opened.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && !l.hadFinalAccept && l.allowFinalAccept() {
		l.hadFinalAccept = true
		inner, err = l.Listener.Accept()
	}
	switch {
	case err == nil:
	case l.server.isDraining() && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)):
		return nil, http.ErrServerClosed
	default:
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server, isTLS: l.secure, inHandshake: l.secure}
	l.server.add(c)
	return c, nil
}

// allowFinalAccept sets a deadline in the near future, so that the next Accept takes connections from
// the kernel's queue. With a deadline in the past it would not, and the process may have been paused
// since the stop.
func (l *listener) allowFinalAccept() bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(finalReadWindow)) == nil
}

// stop lets the listener accept the connections in the kernel's queue before it closes.
func (l *listener) stop() {
	if !l.allowFinalAccept() {
		l.Close()
	}
}
