package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// TestStopAcceptsDespite guards against a stop that resets queued connections because Accept failed.
func TestStopAcceptsDespite(t *testing.T) {
	rows := []struct {
		name string
		// fails is what Accept returns first once the server stops.
		fails error
		// late is set if the stop's deadline has passed before Accept is called.
		late bool
	}{
		{"too many open files", &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}, false},
		{"a process that was held up", nil, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := newServer(ok)
			held := &heldListener{TCPListener: l.(*net.TCPListener), stopped: make(chan struct{})}
			served := make(chan error, 1)
			go func() { served <- s.Serve(&failingListener{heldListener: held, fails: row.fails, late: row.late}) }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, getRequest)
			done := make(chan error, 1)
			go func() { done <- s.Stop(context.Background()) }()
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			wantLast(t, bufio.NewReader(c))
			if err := <-done; err != nil {
				t.Error(err)
			}
			if err := <-served; err != http.ErrServerClosed {
				t.Error(err)
			}
		})
	}
}

// failingListener fails its first Accept, or has its first deadline in the past.
type failingListener struct {
	*heldListener
	fails error
	late  bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.fails; err != nil {
		<-l.stopped
		l.fails = nil
		return nil, err
	}
	return l.heldListener.Accept()
}

func (l *failingListener) SetDeadline(t time.Time) error {
	if l.late {
		l.late = false
		t = time.Unix(1, 0)
	}
	return l.heldListener.SetDeadline(t)
}

// TestStopEndsUnderNewConnections guards against a listener that new connections keep open during a stop.
func TestStopEndsUnderNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := newServer(ok), &steadyListener{pipes: newPipes()}
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		synctest.Wait()
		ctx, done := context.WithTimeout(context.Background(), 20*time.Second)
		defer done()
		if err := s.Stop(ctx); err != nil {
			t.Errorf("the stop ended with %v", err)
		}
		s.Close()
		if err := <-served; err != http.ErrServerClosed {
			t.Error(err)
		}
	})
}

// steadyListener has a new connection, whose caller has left, every few milliseconds.
type steadyListener struct {
	*pipes
	mu       sync.Mutex
	deadline time.Time
}

func (l *steadyListener) SetDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = t
	return nil
}

func (l *steadyListener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
		return nil, net.ErrClosed
	case <-time.After(7 * time.Millisecond):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.deadline.IsZero() && !time.Now().Before(l.deadline) {
		return nil, os.ErrDeadlineExceeded
	}
	mine, theirs := net.Pipe()
	mine.Close()
	return theirs, nil
}
