package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
)

// TestStopAnswersLongQueue guards against a stop that resets the callers whose connections a slow process has not accepted yet.
func TestStopAnswersLongQueue(t *testing.T) {
	const callers = 100
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(ok)
	slow := &slowListener{&heldListener{TCPListener: l.(*net.TCPListener), stopped: make(chan struct{})}}
	served := make(chan error, 1)
	go func() { served <- s.Serve(slow) }()
	var calling sync.WaitGroup
	for _, c := range queueConnections(t, l, callers) {
		calling.Go(func() { wantLast(t, bufio.NewReader(c)) })
	}
	if err := s.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if err := <-served; err != http.ErrServerClosed {
		t.Error(err)
	}
	calling.Wait()
}

// queueConnections opens connections that send a request each.
func queueConnections(t *testing.T, l net.Listener, n int) (out []net.Conn) {
	for range n {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, getRequest)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		out = append(out, c)
	}
	return out
}

// slowListener takes a while for each connection.
type slowListener struct{ *heldListener }

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.heldListener.Accept()
	if err == nil {
		time.Sleep(2 * time.Millisecond)
	}
	return c, err
}

// TestStopBeforeServe guards against a stop that resets the callers of a listener that is open and not served yet.
func TestStopBeforeServe(t *testing.T) {
	const callers = 10
	rows := []struct {
		name string
		// isRegistered listeners are known to the server before it stops, and the stop waits for their callers.
		isRegistered bool
	}{{"registered", true}, {"unknown before the stop", false}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := newServer(ok)
			if row.isRegistered {
				s.Register(l)
			}
			conns := queueConnections(t, l, callers)
			stop := make(chan error, 1)
			go func() { stop <- s.Stop(context.Background()) }()
			if row.isRegistered {
				for !s.isDraining() {
					runtime.Gosched()
				}
			} else if err := <-stop; err != nil {
				t.Fatal(err)
			}
			served := make(chan error, 1)
			go func() { served <- s.Serve(l) }()
			if row.isRegistered {
				if err := <-stop; err != nil {
					t.Fatal(err)
				}
				s.Close()
			}
			for _, c := range conns {
				wantLast(t, bufio.NewReader(c))
			}
			if err := <-served; err != http.ErrServerClosed {
				t.Error(err)
			}
		})
	}
}

// TestStopResetsNoNewConnections guards against callers that are reset because they connect while a stop closes the listener.
func TestStopResetsNoNewConnections(t *testing.T) {
	const (
		callers = 16
		stops   = 10
	)
	for range stops {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := newServer(ok)
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		var calling sync.WaitGroup
		answered := make(chan struct{}, callers)
		for range callers {
			calling.Go(func() {
				for connectAndGet(t, l.Addr().String()) {
					select {
					case answered <- struct{}{}:
					default:
					}
				}
			})
		}
		for range callers {
			<-answered
		}
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		calling.Wait()
		if err := <-served; err != http.ErrServerClosed {
			t.Error(err)
		}
	}
}

// connectAndGet sends a request on a new connection, which must be answered if it opens. It returns false once connections
// are refused.
func connectAndGet(t *testing.T, address string) bool {
	c, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("connecting: %v, want a refusal", err)
		}
		return false
	}
	defer c.Close()
	io.WriteString(c, getRequest)
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("a caller whose connection was accepted got %v", err)
		return true
	}
	io.Copy(io.Discard, resp.Body)
	return true
}
