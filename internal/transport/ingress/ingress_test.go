package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
)

// pipes is a listener whose connections are in-memory pipes, so that tests can run
// on a fake clock.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipes() *pipes { return &pipes{make(chan net.Conn), make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.done)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (p *pipes) dial() net.Conn {
	mine, theirs := net.Pipe()
	p.conns <- theirs
	return mine
}

func newServer(handler http.Handler) *Server {
	return New(handler, Config{Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
}

// serving runs a test against a server whose handler waits until it is released.
func serving(t *testing.T, handler http.Handler, test func(s *Server, p *pipes)) {
	synctest.Test(t, func(t *testing.T) {
		s, p := newServer(handler), newPipes()
		done := make(chan error, 1)
		go func() { done <- s.Serve(p) }()
		test(s, p)
		s.Close()
		if err := <-done; err != http.ErrServerClosed {
			t.Errorf("%v", err)
		}
	})
}

var ok = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })

func get(t *testing.T, c net.Conn, r *bufio.Reader) *http.Response {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp
}

// closedAfter reads until the server closes the connection, and returns how long that took.
func closedAfter(r io.Reader) time.Duration {
	began := time.Now()
	io.Copy(io.Discard, r)
	return time.Since(began)
}

// TestIdleLimitInForce changes the limit while a connection is open.
//
// It guards against a connection that is closed on the shorter limit under which it was
// opened, while its caller reuses it up to the limit in force.
func TestIdleLimitInForce(t *testing.T) {
	serving(t, ok, func(s *Server, p *pipes) {
		s.SetLimits(routes.Limits{IdleTimeout: 5 * time.Second, HeaderTimeout: time.Second})
		c := p.dial()
		r := bufio.NewReader(c)
		get(t, c, r)
		s.SetLimits(routes.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: time.Second})
		time.Sleep(4 * time.Second)
		get(t, c, r)
		time.Sleep(16 * time.Second)
		get(t, c, r)
		if idle := closedAfter(r); idle != 20*time.Second+slack {
			t.Errorf("closed after %s", idle)
		}
	})
}

// TestLimitRaisedDuringAWait raises a limit while a connection already waits under it.
//
// The caller keeps to the new limit and sends a request after the old one has passed. It guards
// against a connection that closes on the deadline set when its wait began: the request gets no
// answer, and its caller can't know whether it ran.
func TestLimitRaisedDuringAWait(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	short := routes.Limits{IdleTimeout: 5 * time.Second, HeaderTimeout: 5 * time.Second}
	long := routes.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: 20 * time.Second}
	rows := []struct {
		name string
		// first is sent before the wait, rest after it.
		first, rest string
		wait        time.Duration
		// ends is when the connection closes without a request.
		ends time.Duration
	}{
		{"idle", request, request, 19 * time.Second, 20*time.Second + slack},
		{"within a header", request + request[:20], request[20:], 19 * time.Second, 20 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			begin := func(t *testing.T, s *Server, p *pipes) (net.Conn, *bufio.Reader) {
				s.SetLimits(short)
				c := p.dial()
				r := bufio.NewReader(c)
				go io.WriteString(c, row.first)
				if _, err := http.ReadResponse(r, nil); err != nil {
					t.Fatal(err)
				}
				r.Discard(len("ok"))
				synctest.Wait()
				s.SetLimits(long)
				return c, r
			}
			serving(t, ok, func(s *Server, p *pipes) {
				c, r := begin(t, s, p)
				time.Sleep(row.wait)
				go io.WriteString(c, row.rest)
				if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("sent after %s: %v, %v", row.wait, resp, err)
				}
				c.Close()
			})
			serving(t, ok, func(s *Server, p *pipes) {
				_, r := begin(t, s, p)
				if took := closedAfter(r); took != row.ends {
					t.Errorf("closed after %s, want %s", took, row.ends)
				}
			})
		})
	}
}

// TestLimitLoweredDuringAWait guards against a connection that stays open for longer than the limit
// under which its wait began.
func TestLimitLoweredDuringAWait(t *testing.T) {
	serving(t, ok, func(s *Server, p *pipes) {
		s.SetLimits(routes.Limits{IdleTimeout: 20 * time.Second})
		c := p.dial()
		r := bufio.NewReader(c)
		get(t, c, r)
		synctest.Wait()
		s.SetLimits(routes.Limits{IdleTimeout: 5 * time.Second})
		if idle := closedAfter(r); idle > 20*time.Second+slack {
			t.Errorf("closed after %s", idle)
		}
	})
}

func TestSlowHeader(t *testing.T) {
	serving(t, ok, func(s *Server, p *pipes) {
		s.SetLimits(routes.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: 3 * time.Second})
		c := p.dial()
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost:")
		if took := closedAfter(c); took != 3*time.Second {
			t.Errorf("closed after %s", took)
		}
	})
}

// TestHeaderThatIsLate guards against a 400, after which callers don't retry, or no answer at all for
// a valid request whose header was incomplete at its limit.
func TestHeaderThatIsLate(t *testing.T) {
	for _, sent := range []string{"GET / HT", "GET / HTTP/1.1\r\n", "GET / HTTP/1.1\r\nHo", "GET / HTTP/1.1\r\nHost: h\r\n"} {
		for _, before := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
			serving(t, ok, func(s *Server, p *pipes) {
				s.SetLimits(routes.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: 3 * time.Second})
				c := p.dial()
				r := bufio.NewReader(c)
				if before != "" {
					get(t, c, r)
				}
				io.WriteString(c, sent)
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != http.StatusRequestTimeout || !resp.Close {
					t.Errorf("%q behind %q: %v %v", sent, before, resp, err)
				}
				io.Copy(io.Discard, r)
			})
		}
	}
}

// TestBlankLineBehindABody guards against a header limit that starts with the line end which some
// callers send after a body, and so closes a connection that they may reuse up to the idle limit.
func TestBlankLineBehindABody(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na"
	serving(t, readBody(time.Second), func(s *Server, p *pipes) {
		s.SetLimits(routes.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: 3 * time.Second})
		c := p.dial()
		r := bufio.NewReader(c)
		for range 3 {
			go io.WriteString(c, post)
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%v %v", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
			io.WriteString(c, "\r\n")
			time.Sleep(16 * time.Second)
		}
		if idle := closedAfter(r); idle > 20*time.Second+slack {
			t.Errorf("closed after %s", idle)
		}
	})
}

// TestLateHeaderOfACallerThatDoesNotRead guards against a 408 whose write blocks on its caller.
func TestLateHeaderOfACallerThatDoesNotRead(t *testing.T) {
	serving(t, ok, func(s *Server, p *pipes) {
		s.SetLimits(routes.Limits{HeaderTimeout: 3 * time.Second})
		c := p.dial()
		io.WriteString(c, "GET / HTTP/1.1\r\n")
		synctest.Wait()
		began := time.Now()
		s.Stop(context.Background())
		if took := time.Since(began); took > 3*time.Second+refusalWriteTimeout {
			t.Errorf("the connection closed after %s", took)
		}
	})
}

// TestStopCutsNothing stops the server while a request runs and another connection
// is idle.
//
// The request gets its whole answer with "Connection: close", the idle connection closes,
// and no connection is accepted any more.
func TestStopCutsNothing(t *testing.T) {
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(4 * time.Second)
		}
		io.WriteString(w, "ok")
	})
	serving(t, slow, func(s *Server, p *pipes) {
		idle := p.dial()
		idleReader := bufio.NewReader(idle)
		get(t, idle, idleReader)
		busy := p.dial()
		io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		s.DisableKeepAlives()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Stop(context.Background()) }()
		closedAfter(idleReader)
		resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
		if err != nil || !resp.Close {
			t.Fatalf("%+v %v", resp, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
			t.Errorf("%q %v", body, err)
		}
		busy.Close()
		if err := <-stopped; err != nil {
			t.Errorf("%v", err)
		}
	})
}

// TestHandlersOwnDeadline sets a read deadline in the handler, as for a body on a route with
// that timeout, and sends the end of the body later than any limit in force.
//
// It guards against a handler's deadline that is taken for a marker, which net/http sets by the
// same method: the idle or header limit would replace it, and the body would end early.
func TestHandlersOwnDeadline(t *testing.T) {
	const day = 24 * time.Hour
	rows := []struct{ own, late time.Duration }{
		{30 * time.Minute, 29 * time.Minute},
		{59*time.Minute + 30*time.Second, 59 * time.Minute},
		{time.Hour, 59 * time.Minute},
		{time.Hour + 30*time.Second, time.Hour},
		{time.Hour + 2*time.Minute, time.Hour},
		{2 * time.Hour, 119 * time.Minute},
		{365 * day, 364 * day},
		{40 * 365 * day, 39 * 365 * day},
	}
	for _, row := range rows {
		t.Run(row.own.String(), func(t *testing.T) {
			serving(t, readBody(row.own), func(s *Server, p *pipes) {
				s.SetLimits(routes.Limits{IdleTimeout: 5 * time.Second, HeaderTimeout: time.Second})
				c := p.dial()
				defer c.Close()
				io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
				rest := time.AfterFunc(row.late, func() { io.WriteString(c, "b") })
				defer rest.Stop()
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				if answer, err := io.ReadAll(resp.Body); err != nil || string(answer) != `"ab" <nil>` {
					t.Errorf("the handler read %s, %v", answer, err)
				}
			})
		})
	}
}

// readBody answers with what it read of the body before its own deadline.
func readBody(own time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(own))
		body, err := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%q %v", body, err)
	})
}

// TestNoLimitsInForce serves without limits, as before the first configuration.
//
// It guards against connections of callers that have left or send no header, and that would
// stay open for as long as the markers, practically forever.
func TestNoLimitsInForce(t *testing.T) {
	rows := []struct {
		name, sent string
		want       time.Duration
	}{
		{"an idle connection", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2 * time.Hour},
		{"a header that does not come", "GET / HTTP/1.1\r\nHost:", time.Hour},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			serving(t, ok, func(_ *Server, p *pipes) {
				c := p.dial()
				io.WriteString(c, row.sent)
				if took := closedAfter(c); took != row.want {
					t.Errorf("closed after %s, want %s", took, row.want)
				}
			})
		})
	}
}

// TestCutGivesLastAnswers cuts requests at the end of the time to stop.
//
// The context's cause shows a handler that its caller is still connected: its answer must reach the
// caller before the connection closes, and its log line must be written when Close returns. A handler
// that does not return must not delay the stop.
func TestCutGivesLastAnswers(t *testing.T) {
	const bound = 200 * time.Millisecond
	cause := errors.New("stopping")
	rows := []struct {
		name string
		// stuck is set if the handler writes to a caller that doesn't read.
		stuck bool
	}{
		{"a handler that answers", false},
		{"a handler that writes to a caller that does not read", true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var told error
			logged := false
			last := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				told = context.Cause(r.Context())
				w.WriteHeader(http.StatusBadGateway)
				http.NewResponseController(w).Flush()
				time.Sleep(closeWait / 2)
				logged = true
			})
			serving(t, last, func(s *Server, p *pipes) {
				c := p.dial()
				io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				synctest.Wait()
				expired, cancel := context.WithCancel(context.Background())
				cancel()
				if err := s.Stop(expired); err == nil {
					t.Error("the server stopped while a request was in flight")
				}
				answer := make(chan *http.Response, 1)
				if !row.stuck {
					go func() {
						resp, _ := http.ReadResponse(bufio.NewReader(c), nil)
						answer <- resp
						io.Copy(io.Discard, c)
					}()
				}
				ctx, done := context.WithTimeout(context.Background(), bound)
				defer done()
				began := time.Now()
				s.Cut(ctx, cause)
				s.Close()
				if took := time.Since(began); took > bound+closeWait {
					t.Errorf("the stop took %s", took)
				}
				if told != cause || !logged {
					t.Errorf("got cause %v, logged: %v", told, logged)
				}
				if row.stuck {
					return
				}
				if resp := <-answer; resp == nil || resp.StatusCode != http.StatusBadGateway {
					t.Errorf("the caller got %v", resp)
				}
			})
		})
	}
}

// TestHandlerThatDoesNotEnd guards against a stop that waits for a handler which ignores the cut.
func TestHandlerThatDoesNotEnd(t *testing.T) {
	endless := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) })
	serving(t, endless, func(s *Server, p *pipes) {
		io.WriteString(p.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		ctx, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		began := time.Now()
		s.Cut(ctx, context.Canceled)
		s.Close()
		if took := time.Since(began); took > time.Second+closeWait {
			t.Errorf("the stop took %s", took)
		}
		// The handler must end within the test's bubble.
		time.Sleep(time.Minute)
	})
}

// TestCutAnswerWithoutChunks guards against a cut answer to a caller of HTTP/1.0 that its close makes look whole.
func TestCutAnswerWithoutChunks(t *testing.T) {
	begun := make(chan struct{}, 1)
	begin := func(w http.ResponseWriter, text string) {
		io.WriteString(w, text)
		http.NewResponseController(w).Flush()
		begun <- struct{}{}
	}
	rows := []struct {
		name   string
		handle http.HandlerFunc
		// stops is set if the server is closed during the answer.
		stops, isWhole bool
	}{
		{"whole", func(w http.ResponseWriter, _ *http.Request) { begin(w, "whole") }, false, true},
		{"aborted", func(w http.ResponseWriter, _ *http.Request) { begin(w, "half"); panic(http.ErrAbortHandler) }, false, false},
		{"failed", func(w http.ResponseWriter, _ *http.Request) { begin(w, "half"); panic("failure") }, false, false},
		{"cut by the server's end", func(w http.ResponseWriter, r *http.Request) {
			begin(w, "half")
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}, true, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := newServer(row.handle)
			go s.Serve(l)
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
			<-begun
			if row.stops {
				s.Close()
			}
			got, err := io.ReadAll(c)
			if (err == nil) != row.isWhole || (row.isWhole && !strings.HasSuffix(string(got), "\r\n\r\nwhole")) {
				t.Errorf("got %q, error %v; want it to end whole: %v", got, err, row.isWhole)
			}
		})
	}
}
