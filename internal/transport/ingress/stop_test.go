package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"limpetwall/internal/state/routes"
)

// stopped stops the server in the background and fails the test if the stop fails.
func stopped(t *testing.T, s *Server) (wait func()) {
	done := make(chan error, 1)
	go func() { done <- s.Stop(context.Background()) }()
	synctest.Wait()
	return func() {
		t.Helper()
		if err := <-done; err != nil {
			t.Errorf("the stop ended with %v", err)
		}
	}
}

// wantLast reads an answer, which must be complete and the last of its connection.
func wantLast(t *testing.T, r *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Errorf("the caller got %v", err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "ok" || resp.StatusCode != http.StatusOK {
		t.Errorf("the caller got %d, %q, %v", resp.StatusCode, body, err)
	}
	if !resp.Close {
		t.Error("the answer lacks Connection: close")
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection stays open: %v", err)
	}
}

// TestStopAnswersWhatItReads guards against a stop that closes a connection from which a request was
// read, wholly or in part.
func TestStopAnswersWhatItReads(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	rows := []struct {
		name string
		// used connections have had a request before.
		hadRequest bool
		// before and after the stop begins are sent.
		before, after string
		wait          time.Duration
	}{
		{"the first request of a new connection", false, "", request, 0},
		{"the same, seconds later", false, "", request, 4 * time.Second},
		{"the rest of a first header", false, request[:20], request[20:], 0},
		{"the same, seconds later", false, request[:20], request[20:], 7 * time.Second},
		{"the rest of a later header", true, request[:20], request[20:], 0},
		{"the same, seconds later", true, request[:20], request[20:], 7 * time.Second},
		{"the rest of a later method", true, request[:2], request[2:], 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			serving(t, ok, func(s *Server, p *pipes) {
				s.SetLimits(routes.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: 10 * time.Second})
				c := p.dial()
				defer c.Close()
				r := bufio.NewReader(c)
				if row.hadRequest {
					get(t, c, r)
				}
				io.WriteString(c, row.before)
				synctest.Wait()
				wait := stopped(t, s)
				time.Sleep(row.wait)
				io.WriteString(c, row.after)
				wantLast(t, r)
				wait()
			})
		})
	}
}

// TestStopAnswersWhatItReadAhead guards against a stop that drops a request whose first byte net/http
// read while it watched for the caller's end during the previous request.
func TestStopAnswersWhatItReadAhead(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	var answer chan struct{}
	held := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-answer
		io.WriteString(w, "ok")
	})
	serving(t, held, func(s *Server, p *pipes) {
		s.SetLimits(routes.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: 10 * time.Second})
		answer = make(chan struct{}, 2)
		c := p.dial()
		defer c.Close()
		r := bufio.NewReader(c)
		io.WriteString(c, request)
		synctest.Wait()
		io.WriteString(c, request[:1])
		synctest.Wait()
		answer <- struct{}{}
		if resp, err := http.ReadResponse(r, nil); err != nil || resp.Close {
			t.Fatal(resp, err)
		}
		r.Discard(len("ok"))
		synctest.Wait()
		wait := stopped(t, s)
		time.Sleep(time.Second)
		answer <- struct{}{}
		io.WriteString(c, request[1:])
		wantLast(t, r)
		wait()
	})
}

// TestStopBetweenReadAndParse guards against a stop that takes a connection for idle while
// net/http has bytes of a request that it has not parsed.
func TestStopBetweenReadAndParse(t *testing.T) {
	serving(t, ok, func(s *Server, p *pipes) {
		mine, theirs := net.Pipe()
		gate := &gatedConn{Conn: theirs, reached: make(chan struct{}), open: make(chan struct{})}
		p.conns <- gate
		r := bufio.NewReader(mine)
		get(t, mine, r)
		synctest.Wait()
		gate.armed.Store(true)
		io.WriteString(mine, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		<-gate.reached
		wait := stopped(t, s)
		close(gate.open)
		wantLast(t, r)
		wait()
	})
}

// gatedConn delays, once armed, the first read that has returned bytes.
type gatedConn struct {
	net.Conn
	armed         atomic.Bool
	reached, open chan struct{}
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.armed.CompareAndSwap(true, false) {
		close(c.reached)
		<-c.open
	}
	return n, err
}

// TestStopReadsWhatHasArrived guards against a stop that resets an idle connection with an unread
// request in its receive buffer.
func TestStopReadsWhatHasArrived(t *testing.T) {
	serving(t, ok, func(s *Server, p *pipes) {
		mine, theirs := net.Pipe()
		slow := &lateConn{Conn: theirs}
		p.conns <- slow
		r := bufio.NewReader(mine)
		get(t, mine, r)
		synctest.Wait()
		// The bytes have arrived, but the blocked read has not returned them.
		slow.arrive("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		wait := stopped(t, s)
		wantLast(t, r)
		wait()
	})
}

// lateConn returns bytes only to reads that begin after their arrival.
type lateConn struct {
	net.Conn
	mu      sync.Mutex
	arrived []byte
	passed  bool
}

func (c *lateConn) arrive(bytes string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = []byte(bytes)
}

func (c *lateConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.passed = !t.IsZero() && !time.Now().Before(t)
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *lateConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if len(c.arrived) > 0 {
		defer c.mu.Unlock()
		if c.passed {
			return 0, os.ErrDeadlineExceeded
		}
		n := copy(b, c.arrived)
		c.arrived = c.arrived[n:]
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(b)
}

// TestLimitReadsWhatHasArrived guards against a limit that closes a connection although bytes arrived
// in time, because the process was paused.
func TestLimitReadsWhatHasArrived(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	rows := []struct{ name, before, arrived, rest string }{
		{"a request, at the idle limit", request, request, ""},
		{"its first byte, at the idle limit", request, request[:1], request[1:]},
		{"the rest of a first header, at its limit", request[:20], request[20:], ""},
		{"the rest of a later header, at its limit", request + request[:20], request[20:], ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			serving(t, ok, func(s *Server, p *pipes) {
				s.SetLimits(routes.Limits{IdleTimeout: 5 * time.Second, HeaderTimeout: 5 * time.Second})
				mine, theirs := net.Pipe()
				slow := &lateConn{Conn: theirs}
				p.conns <- slow
				r := bufio.NewReader(mine)
				go io.WriteString(mine, row.before)
				if len(row.before) >= len(request) {
					if resp, err := http.ReadResponse(r, nil); err != nil || resp.Close {
						t.Fatal(resp, err)
					}
					r.Discard(len("ok"))
				}
				synctest.Wait()
				slow.arrive(row.arrived)
				time.Sleep(5*time.Second + slack)
				io.WriteString(mine, row.rest)
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("the caller got %v, %v", resp, err)
				}
				mine.Close()
			})
		})
	}
}

// TestStopEndsWaits guards against a stop that waits for callers that send nothing.
func TestStopEndsWaits(t *testing.T) {
	rows := []struct {
		name       string
		hadRequest bool
		sent       string
		// since the connection was opened.
		since time.Duration
		most  time.Duration
	}{
		{"idle", true, "", 0, time.Second},
		{"new", false, "", 0, newConnTimeout},
		{"opened long ago and never used", false, "", time.Minute, time.Second},
		{"a header that does not come", true, "GET / HTTP/1.1\r\n", 0, 10 * time.Second},
		{"a method that does not come", true, "GE", 0, 10 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			serving(t, ok, func(s *Server, p *pipes) {
				s.SetLimits(routes.Limits{IdleTimeout: time.Hour, HeaderTimeout: 10 * time.Second})
				if row.since > 0 {
					s.SetLimits(routes.Limits{IdleTimeout: time.Hour})
				}
				c := p.dial()
				defer c.Close()
				r := bufio.NewReader(c)
				if row.hadRequest {
					get(t, c, r)
				}
				io.WriteString(c, row.sent)
				time.Sleep(row.since)
				synctest.Wait()
				go io.Copy(io.Discard, r)
				began := time.Now()
				stopped(t, s)()
				if took := time.Since(began); took > row.most {
					t.Errorf("the stop took %s", took)
				}
			})
		})
	}
}

// TestCutAnswersHalfReadHeaders guards against a forced stop that closes a connection with a partly read
// request without an answer: it has not run, so the caller may retry.
func TestCutAnswersHalfReadHeaders(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	rows := []struct {
		name, sent string
		status     int
	}{
		{"a part of a line", request[:20], http.StatusRequestTimeout},
		{"whole lines", request[:16], http.StatusRequestTimeout},
		{"nothing", "", 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			serving(t, ok, func(s *Server, p *pipes) {
				c := p.dial()
				answer := readAnswer(c)
				io.WriteString(c, row.sent)
				synctest.Wait()
				expired, cancel := context.WithCancel(context.Background())
				cancel()
				s.Stop(expired)
				ctx, done := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer done()
				if err := s.Cut(ctx, context.Canceled); err != nil {
					t.Error(err)
				}
				s.Close()
				if resp := <-answer; (row.status == 0) != (resp == nil) || resp != nil && resp.StatusCode != row.status {
					t.Errorf("the caller got %v", resp)
				}
			})
		})
	}
}

// TestStopAcceptsWhatIsQueued guards against a stop that resets connections in the kernel's accept
// queue.
func TestStopAcceptsWhatIsQueued(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(ok)
	held := &heldListener{TCPListener: l.(*net.TCPListener), stopped: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- s.Serve(held) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
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
}

// heldListener accepts nothing until it is stopped.
type heldListener struct {
	*net.TCPListener
	once    sync.Once
	stopped chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.stopped
	return l.TCPListener.Accept()
}

func (l *heldListener) SetDeadline(t time.Time) error {
	defer l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(t)
}

func (l *heldListener) Close() error {
	defer l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.Close()
}

// TestCloseUnderAHandler guards against a panic in a handler whose connection was closed.
func TestCloseUnderAHandler(t *testing.T) {
	var goOn chan struct{}
	serving(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-goOn }), func(s *Server, p *pipes) {
		goOn = make(chan struct{})
		io.WriteString(p.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		s.Close()
		close(goOn)
		synctest.Wait()
		if n := counted(s.report.metrics, "ingress.server_errors"); n != 0 {
			t.Errorf("%d lines of net/http", n)
		}
	})
}

// TestStopWaitsForTheClose guards against a stop, and a process, that ends before the last connection is closed.
func TestStopWaitsForTheClose(t *testing.T) {
	serving(t, ok, func(s *Server, p *pipes) {
		mine, theirs := net.Pipe()
		held := &closeHeldConn{Conn: theirs, goOn: make(chan struct{})}
		p.conns <- held
		get(t, mine, bufio.NewReader(mine))
		done := make(chan error, 1)
		go func() { done <- s.Stop(context.Background()) }()
		time.Sleep(time.Second)
		synctest.Wait()
		select {
		case <-done:
			t.Error("the stop ended with a connection open")
			done <- nil
		default:
		}
		close(held.goOn)
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// closeHeldConn delays its close.
type closeHeldConn struct {
	net.Conn
	goOn chan struct{}
}

func (c *closeHeldConn) Close() error {
	<-c.goOn
	return c.Conn.Close()
}

// TestCutAlone guards against a cut without a stop that waits until its deadline.
func TestCutAlone(t *testing.T) {
	serving(t, ok, func(s *Server, p *pipes) {
		c := p.dial()
		r := bufio.NewReader(c)
		get(t, c, r)
		go io.Copy(io.Discard, r)
		ctx, done := context.WithTimeout(context.Background(), 10*time.Second)
		defer done()
		began := time.Now()
		if err := s.Cut(ctx, context.Canceled); err != nil {
			t.Errorf("the cut ended with %v after %s", err, time.Since(began))
		}
	})
}
