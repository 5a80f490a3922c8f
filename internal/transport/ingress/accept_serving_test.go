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
	"time"
)

// TestStopWhileServingAcceptsDespite guards against a stop that resets queued connections because Accept of a server that
// serves failed.
func TestStopWhileServingAcceptsDespite(t *testing.T) {
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
			served, accepting := make(chan error, 1), make(chan struct{})
			go func() {
				failing := &failingListener{heldListener: held, fails: row.fails, late: row.late}
				served <- s.Serve(&acceptingListener{failingListener: failing, accepting: accepting})
			}()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, getRequest)
			<-accepting
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

// acceptingListener closes accepting at the first Accept.
type acceptingListener struct {
	*failingListener
	accepting chan struct{}
	first     sync.Once
}

func (l *acceptingListener) Accept() (net.Conn, error) {
	l.first.Do(func() { close(l.accepting) })
	return l.failingListener.Accept()
}
