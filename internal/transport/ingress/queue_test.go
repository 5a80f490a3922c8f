package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

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
