package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// endpoint is a server whose bytes the test writes itself. serve gets the connection, its
// number and a reader of what was sent on it.
func endpoint(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

func pool() *Pool {
	return NewPool((&Dialer{Connect: 5 * time.Second, Silence: 5 * time.Second}).Dial)
}

const idHeader = "X-Id"

func get(id string) *Request {
	return &Request{
		Method: "GET", URI: "/x?y=1", Host: "h", Header: http.Header{idHeader: {id}},
		Matches: func(h http.Header, fresh bool) bool { return h.Get(idHeader) == id },
	}
}

// ask reads one request and returns its ID.
func ask(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	io.Copy(io.Discard, req.Body)
	return req.Header.Get(idHeader)
}

func answer(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func exchange(t *testing.T, p *Pool, address, id string) (string, error) {
	t.Helper()
	resp, err := p.Do(t.Context(), address, get(id))
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func TestConnectionsAreKept(t *testing.T) {
	address := endpoint(t, func(n int, c net.Conn, r *bufio.Reader) {
		for id := ask(r); id != ""; id = ask(r) {
			answer(c, id, fmt.Sprint("connection ", n))
		}
	})
	p := pool()
	for i := range 3 {
		if body, err := exchange(t, p, address, fmt.Sprint(i)); err != nil || body != "connection 0" {
			t.Errorf("%q %v", body, err)
		}
	}
	if p.Opened.Load() != 1 {
		t.Errorf("%d connections", p.Opened.Load())
	}
}

// TestForeignAnswersAreSkipped guards against a late second answer that is taken for the answer
// to the next request, whose caller would get another's answer.
func TestForeignAnswersAreSkipped(t *testing.T) {
	address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		answer(c, ask(r), "first")
		second := ask(r)
		answer(c, "0", "first")
		io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
		answer(c, second, "second")
		ask(r)
	})
	p := pool()
	for i, want := range []string{"first", "second"} {
		if body, err := exchange(t, p, address, fmt.Sprint(i)); err != nil || body != want {
			t.Errorf("%d: %q %v", i, body, err)
		}
	}
}

// TestBytesOnAnIdleConnection guards against the reuse of a connection on which bytes arrived while
// it was idle: they could be taken for the next answer.
func TestBytesOnAnIdleConnection(t *testing.T) {
	extra := make(chan struct{})
	address := endpoint(t, func(n int, c net.Conn, r *bufio.Reader) {
		id := ask(r)
		answer(c, id, "answer")
		if n == 0 {
			answer(c, id, "answer")
			close(extra)
		}
		ask(r)
	})
	p := pool()
	exchange(t, p, address, "0")
	<-extra
	if body, err := exchange(t, p, address, "1"); err != nil || body != "answer" {
		t.Errorf("%q %v", body, err)
	}
}

func TestBrokenAnswers(t *testing.T) {
	rows := []struct {
		name   string
		serve  func(c net.Conn, id string)
		body   string
		broken bool
	}{
		{"cut inside the declared length", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 10\r\n\r\nhalf", idHeader, id)
		}, "half", true},
		{"cut inside a chunk", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf", idHeader, id)
		}, "half", true},
		{"without length, ended", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nwhole", idHeader, id)
		}, "whole", false},
		{"without length, reset", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nhalf", idHeader, id)
			c.(*net.TCPConn).SetLinger(0)
		}, "", true},
		{"chunks of a version without them", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.0 200 OK\r\n%s: %s\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", idHeader, id)
		}, "", true},
		{"an older version, ended", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.0 200 OK\r\n%s: %s\r\nA: b\r\n Transfer-Encoding: chunked\r\n\r\nwhole", idHeader, id)
		}, "whole", false},
		{"no answer at all", func(net.Conn, string) {}, "", true},
		{"bytes that are no answer", func(c net.Conn, _ string) { io.WriteString(c, "garbage\r\n\r\n") }, "", true},
		{"a status that does not exist", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 099 X\r\n%s: %s\r\nContent-Length: 1\r\n\r\na", idHeader, id)
		}, "", true},
		{"an answer to another request", func(c net.Conn, _ string) { answer(c, "other", "x") }, "", true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) { row.serve(c, ask(r)) })
			body, err := exchange(t, pool(), address, "1")
			if (err != nil) != row.broken || (row.body != "" && body != row.body) {
				t.Errorf("%q %v", body, err)
			}
			if errors.Is(err, ErrNotSent) {
				t.Error("a request that was sent counts as not sent")
			}
		})
	}
}

func TestNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	if _, err := exchange(t, pool(), address, "1"); !errors.Is(err, ErrNotSent) {
		t.Errorf("%v", err)
	}
}

// TestEarlyAnswer guards against the reuse of a connection whose endpoint has answered before it read
// the whole body: it would read the next request as the rest of that body.
func TestEarlyAnswer(t *testing.T) {
	address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer(c, req.Header.Get(idHeader), "early")
		r.ReadByte()
		<-t.Context().Done()
	})
	p := pool()
	for i := range 2 {
		request := get(fmt.Sprint(i))
		request.Method, request.Body = "POST", [][]byte{[]byte(strings.Repeat("x", 32<<20))}
		resp, err := p.Do(t.Context(), address, request)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp); err != nil || string(body) != "early" {
			t.Errorf("%q %v", body, err)
		}
		resp.Close()
	}
	if p.Opened.Load() != 2 {
		t.Errorf("%d connections", p.Opened.Load())
	}
}

// TestEndOfTheCallerReachesTheEndpoint guards against an endpoint that keeps working on a canceled request.
func TestEndOfTheCallerReachesTheEndpoint(t *testing.T) {
	asked, ended := make(chan struct{}), make(chan error, 1)
	address := endpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		ask(r)
		close(asked)
		_, err := r.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := pool().Do(ctx, address, get("1"))
		failed <- err
	}()
	<-asked
	cancel()
	if err := <-failed; err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("%v", err)
	}
	if err := <-ended; err == nil {
		t.Error("the endpoint's connection is still open")
	}
}

func TestIdleConnectionsEnd(t *testing.T) {
	rows := []struct {
		header string
		want   time.Duration
	}{
		{"", standardIdle}, {"Keep-Alive: timeout=3\r\n", 2 * time.Second}, {"Keep-Alive: max=5, timeout=9\r\n", 8 * time.Second},
		{"Keep-Alive: timeout=1\r\n", 0}, {"Connection: close\r\n", 0},
	}
	for _, row := range rows {
		address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", idHeader, ask(r), row.header)
			ask(r)
		})
		p := pool()
		exchange(t, p, address, "1")
		idle := p.idle[address]
		switch {
		case row.want == 0 && len(idle) != 0:
			t.Errorf("%q: kept", row.header)
		case row.want > 0 && (len(idle) != 1 || idle[0].idleFor != row.want):
			t.Errorf("%q: %d kept", row.header, len(idle))
		}
		p.Sweep(time.Now().Add(row.want))
		if len(p.idle) != 0 {
			t.Errorf("%q: still there after its time", row.header)
		}
	}
}

// deafConn is a connection whose writes fail once it is deaf, as after a reset that was not noticed.
type deafConn struct {
	*net.TCPConn
	deaf *atomic.Bool
}

func (c deafConn) Write(b []byte) (int, error) {
	if c.deaf.Load() {
		return 0, syscall.EPIPE
	}
	return c.TCPConn.Write(b)
}

// TestKeptConnectionTakesNoByte guards against an endpoint that counts as unreachable because a reused connection to it had ended.
func TestKeptConnectionTakesNoByte(t *testing.T) {
	address := endpoint(t, func(n int, c net.Conn, r *bufio.Reader) {
		for id := ask(r); id != ""; id = ask(r) {
			answer(c, id, fmt.Sprint("connection ", n))
		}
	})
	var first atomic.Bool
	deaf := &first
	p := NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		defer func() { deaf = &atomic.Bool{} }()
		return deafConn{c.(*net.TCPConn), deaf}, nil
	})
	for n, want := range []string{"connection 0", "connection 1"} {
		request := get(fmt.Sprint(n))
		resp, err := p.Do(t.Context(), address, request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp)
		if err != nil || string(body) != want || request.Trace.Reused {
			t.Errorf("%q %v, %+v; want %q", body, err, request.Trace, want)
		}
		resp.Close()
		first.Store(true)
	}
}

// TestEndedRequestsLeaveOthersAlone guards against the end of a request, or the closing of idle connections, that
// interrupts the answer to another request.
func TestEndedRequestsLeaveOthersAlone(t *testing.T) {
	address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := ask(r); id != ""; id = ask(r) {
			answer(c, id, id)
		}
	})
	p := pool()
	done := make(chan struct{})
	var closers, callers sync.WaitGroup
	closers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			default:
			}
			if n%2 == 0 {
				p.Forget(address)
			} else {
				p.Sweep(time.Now().Add(time.Hour))
			}
			runtime.Gosched()
		}
	})
	for caller := range 4 {
		callers.Go(func() {
			for n := range 200 {
				id := fmt.Sprint(caller, "-", n)
				// Every second request is canceled as its answer arrives.
				ctx, cancel := context.WithCancel(t.Context())
				ends := n%2 == 0
				var ended sync.WaitGroup
				resp, err := p.Do(ctx, address, get(id))
				if err != nil {
					t.Errorf("%s: %v", id, err)
					cancel()
					continue
				}
				if ends {
					ended.Go(cancel)
				}
				body, err := io.ReadAll(resp)
				if !ends && (err != nil || string(body) != id) {
					t.Errorf("%s: %q %v", id, body, err)
				}
				if err == nil && string(body) != id {
					t.Errorf("%s: %q looks complete", id, body)
				}
				resp.Close()
				ended.Wait()
				cancel()
			}
		})
	}
	callers.Wait()
	close(done)
	closers.Wait()
}

// TestSlowToReadIsNotSilent guards against an answer that is lost because its endpoint reads a long body later than the timeout for silent peers.
func TestSlowToReadIsNotSilent(t *testing.T) {
	const silence = 900 * time.Millisecond
	address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		// The endpoint is busy for longer than the timeout for silent peers.
		time.Sleep(3 * silence)
		n, _ := io.Copy(io.Discard, req.Body)
		answer(c, req.Header.Get(idHeader), fmt.Sprint(n))
	})
	p := NewPool(Dialer{Connect: 5 * time.Second, Silence: silence}.Dial)
	const size = 32 << 20
	request := get("1")
	request.Method, request.Body = "POST", [][]byte{make([]byte, size)}
	resp, err := p.Do(t.Context(), address, request)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if body, err := io.ReadAll(resp); err != nil || string(body) != fmt.Sprint(size) {
		t.Errorf("%q %v", body, err)
	}
}

func TestPeersThatAreAlive(t *testing.T) {
	rows := []struct {
		name  string
		info  unix.TCPInfo
		alive bool
	}{
		{"acknowledges", unix.TCPInfo{Last_ack_recv: 20, Unacked: 3}, true},
		{"window closed, probes answered", unix.TCPInfo{Last_ack_recv: 2000}, true},
		{"window closed, a probe underway", unix.TCPInfo{Last_ack_recv: 2000, Probes: 1}, true},
		{"window closed, probes unanswered", unix.TCPInfo{Last_ack_recv: 2000, Probes: 2}, false},
		{"bytes unanswered", unix.TCPInfo{Last_ack_recv: 400, Unacked: 3}, false},
	}
	for _, row := range rows {
		if got := (&unreadWatch{limit: 900}).isAlive(&row.info); got != row.alive {
			t.Errorf("%s: %v", row.name, got)
		}
	}
}
