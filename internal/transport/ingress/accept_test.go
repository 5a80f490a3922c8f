package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestStopAcceptsDespite guards against a stop that resets queued connections because Accept failed.
func TestStopAcceptsDespite(t *testing.T) {
	rows := []struct {
		name string
		// fails is what Accept returns first once the server stops.
		fails error
		// late tells that the stop's deadline is over when Accept comes to look.
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
