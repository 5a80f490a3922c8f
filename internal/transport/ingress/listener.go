package ingress

import (
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxFinalAccept bounds the time in which a stopping listener accepts what is in the kernel's queue.
	maxFinalAccept = time.Second
	// queueWindow is the time given to accept connections that are in the queue already.
	queueWindow = 5 * time.Millisecond
)

// listener accepts callers' connections. When the server stops, it closes only after the connections
// in the kernel's queue were accepted: closing it earlier would reset them.
type listener struct {
	net.Listener
	server *Server
	secure bool
	closed sync.Once
	// finalSince is when the final accepts of a stop began, zero before.
	finalSince time.Time
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
	for {
		c, err := l.acceptAny()
		if err != nil {
			return nil, err
		}
		if l.server.admit(c) {
			return c, nil
		}
		c.Conn.Close()
	}
}

// acceptAny accepts a connection that the server may have no room for.
func (l *listener) acceptAny() (*conn, error) {
	inner, err := l.Listener.Accept()
	for errors.Is(err, os.ErrDeadlineExceeded) && l.canAcceptMore() {
		inner, err = l.Listener.Accept()
	}
	switch {
	case err == nil:
	case l.server.isDraining() && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)):
		// Closing it at once, and not when net/http returns, leaves fewer connections the time to begin.
		l.Close()
		return nil, http.ErrServerClosed
	default:
		return nil, err
	}
	return &conn{Conn: inner, server: l.server, isTLS: l.secure, inHandshake: l.secure, lastWork: time.Now()}, nil
}

// canAcceptMore lets Accept continue after its deadline: once in any case, as the process may have
// been paused since the stop, and then while the kernel's queue holds connections, which closing the
// listener would reset. Callers that never stop connecting can't extend it beyond maxFinalAccept.
func (l *listener) canAcceptMore() bool {
	if l.finalSince.IsZero() {
		l.finalSince = time.Now()
		l.refuseConnections()
		return l.setAcceptWindow(finalReadWindow)
	}
	return time.Since(l.finalSince) < maxFinalAccept && l.hasQueued() && l.setAcceptWindow(queueWindow)
}

// setAcceptWindow sets a deadline in the near future, so that the next Accept takes connections from
// the kernel's queue. With a deadline in the past it would not, and the process may have been paused
// since the stop.
func (l *listener) setAcceptWindow(window time.Duration) bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(window)) == nil
}

// stop lets the listener accept the connections in the kernel's queue before it closes.
func (l *listener) stop() {
	if !l.setAcceptWindow(finalReadWindow) {
		l.Close()
	}
}

// noInterface is the index of no network interface.
const noInterface = math.MaxInt32

// refuseConnections has the kernel refuse new connections, as if the listener were closed already,
// while those that have begun are still accepted: it binds the listener to a network interface that
// does not exist. Where the kernel does not allow that, a connection that begins between the last
// Accept and Close is reset.
func (l *listener) refuseConnections() {
	// The error is ignored: the listener closes without it, too.
	l.control(func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface) })
}

// hasQueued reports whether the kernel's queue holds connections.
func (l *listener) hasQueued() bool {
	ready := 0
	err := l.control(func(fd int) (err error) {
		ready, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err
	})
	return err == nil && ready > 0
}

// errNoDescriptor is returned for listeners without a file descriptor.
const errNoDescriptor = errors.ConstError("the listener has no file descriptor")

func (l *listener) control(f func(fd int) error) error {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return errNoDescriptor
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	if outer := raw.Control(func(fd uintptr) { err = f(int(fd)) }); outer != nil {
		return outer
	}
	return err
}
