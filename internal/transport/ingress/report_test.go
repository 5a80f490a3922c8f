package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/state/routes"
)

// observed is serving, and also returns the log and the counters.
func observed(t *testing.T, handler http.Handler, test func(s *Server, p *pipes)) (*observer.ObservedLogs, metrics.Registry) {
	core, lines := observer.New(zap.InfoLevel)
	registry := metrics.NewRegistry()
	serving(t, handler, func(s *Server, p *pipes) {
		s.report.log, s.report.metrics = zap.New(core), registry
		test(s, p)
	})
	return lines, registry
}

func counted(registry metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter(name, registry).Count()
}

// TestClosedUnanswered guards against a connection with an unanswered request that this process closes
// without a log line, and against a line for one that its caller has closed.
func TestClosedUnanswered(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	rows := []struct {
		name, sent string
		do         func(r *http.Request)
		// act closes the connection; nil leaves that to the server.
		act       func(s *Server, c net.Conn)
		reason    closeReason
		requestID string
	}{
		{"answered", request, nil, func(s *Server, c net.Conn) { c.Close() }, "", ""},
		{"idle at a stop", request, nil, func(s *Server, c net.Conn) { s.Close() }, "", ""},
		{"never used at a stop", "", nil, func(s *Server, c net.Conn) { s.Close() }, "", ""},
		{"the caller leaves within a header", request[:20], nil, func(s *Server, c net.Conn) { c.Close() }, "", ""},
		{"the caller leaves a handler", request, func(r *http.Request) { <-r.Context().Done() }, func(s *Server, c net.Conn) { c.Close() }, "", ""},
		{"the handler breaks off", request, func(*http.Request) { panic(http.ErrAbortHandler) }, nil, "", ""},
		{"malformed", "GET\r\n\r\n", nil, nil, "", ""},
		{"closed within a header", request[:20], nil, func(s *Server, c net.Conn) { s.Close() }, closedByStop, ""},
		{"closed under a handler", request, func(r *http.Request) { <-r.Context().Done() }, func(s *Server, c net.Conn) { s.Close() }, closedByStop, "id-1"},
		{"the header's time is over, which is answered", request[:16], nil, func(s *Server, c net.Conn) { time.Sleep(4 * time.Second) }, "", ""},
		{"panic", request, func(*http.Request) { panic("oops") }, nil, closedByPanic, "id-1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				NameRequest(r.Context(), "id-1")
				if row.do != nil {
					row.do(r)
				}
			})
			lines, registry := observed(t, handler, func(s *Server, p *pipes) {
				s.SetLimits(routes.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: 3 * time.Second})
				c := p.dial()
				go io.Copy(io.Discard, c)
				io.WriteString(c, row.sent)
				synctest.Wait()
				if row.act != nil {
					row.act(s, c)
				}
				synctest.Wait()
			})
			told := lines.FilterMessage("connection closed before its request was answered").All()
			if row.reason == "" {
				if len(told) != 0 {
					t.Errorf("told %v", told[0].ContextMap())
				}
				return
			}
			if len(told) != 1 || told[0].ContextMap()["reason"] != string(row.reason) || told[0].ContextMap()["request_id"] != row.requestID {
				t.Errorf("told %v", told)
			}
			if n := counted(registry, "ingress.closed_unanswered."+string(row.reason)); n != 1 {
				t.Errorf("counted %d", n)
			}
		})
	}
}

// TestPanicIsLogged guards against a handler's panic that is logged without the request and the
// stack.
func TestPanicIsLogged(t *testing.T) {
	lines, registry := observed(t, http.HandlerFunc(panics), func(s *Server, p *pipes) {
		c := p.dial()
		io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		io.Copy(io.Discard, c)
	})
	told := lines.FilterMessage("panic in a handler").All()
	if len(told) != 1 || counted(registry, "ingress.panics") != 1 {
		t.Fatalf("%v", lines.All())
	}
	fields := told[0].ContextMap()
	stack, _ := fields["stack"].(string)
	if fields["request_id"] != "id-1" || fields["path"] != "/a" || fields["panic"] != "oops" || !strings.Contains(stack, "ingress.panics") {
		t.Errorf("%v", fields)
	}
}

func panics(_ http.ResponseWriter, r *http.Request) {
	NameRequest(r.Context(), "id-1")
	panic("oops")
}

// TestServerErrorsAreBounded guards against callers that fill the log with net/http's own lines.
func TestServerErrorsAreBounded(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	registry := metrics.NewRegistry()
	log := newReporter(zap.New(core), registry).errorLog()
	for range 10 * linesPerSecond {
		log.Print("http: TLS handshake error")
	}
	if n := lines.FilterMessage("http server").Len(); n < linesPerSecond || n >= 2*linesPerSecond {
		t.Errorf("%d lines", n)
	}
	if n := counted(registry, "ingress.server_errors"); n != 10*linesPerSecond {
		t.Errorf("counted %d", n)
	}
}

// TestCallerEnd guards against a caller that counts as gone without a logged reason.
func TestCallerEnd(t *testing.T) {
	rows := []struct {
		name string
		err  error
		want string
	}{
		{"sending side closed", io.EOF, "end of its sending side"},
		{"reset", io.ErrClosedPipe, "read error: " + io.ErrClosedPipe.Error()},
		{"closed here", net.ErrClosed, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got := make(chan string, 1)
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				got <- CallerEnd(r.Context())
			})
			serving(t, handler, func(_ *Server, p *pipes) {
				mine, theirs := net.Pipe()
				p.conns <- &endingConn{Conn: theirs, err: row.err}
				io.WriteString(mine, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				synctest.Wait()
				mine.Close()
				if end := <-got; end != row.want {
					t.Errorf("%q, want %q", end, row.want)
				}
			})
		})
	}
	if end := CallerEnd(context.Background()); end != "" {
		t.Errorf("%q of no request", end)
	}
}

// endingConn returns the test's error from its reads.
type endingConn struct {
	net.Conn
	err error
}

func (c *endingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		err = c.err
	}
	return n, err
}

// TestInterruptedAnswerIsReported guards against a forced close during an answer that no log line
// reports.
func TestInterruptedAnswerIsReported(t *testing.T) {
	lines, registry := observed(t, ok, func(s *Server, p *pipes) {
		c := p.dial()
		defer c.Close()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		// The handler has returned, and its answer's write waits for the caller.
		s.Close()
		synctest.Wait()
	})
	if n := counted(registry, "ingress.closed_unanswered.stop"); n != 1 {
		t.Errorf("counted %d, told %v", n, lines.All())
	}
}

// TestLateHeadersAreCounted guards against refusals of late headers that no counter counts.
func TestLateHeadersAreCounted(t *testing.T) {
	_, registry := observed(t, ok, func(s *Server, p *pipes) {
		s.SetLimits(routes.Limits{HeaderTimeout: 3 * time.Second})
		for _, sent := range []string{"GET / HTTP/1.1\r\n", "GE", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
			c := p.dial()
			answer := readAnswer(c)
			io.WriteString(c, sent)
			<-answer
			c.Close()
		}
	})
	if n := counted(registry, "ingress.headers_late"); n != 2 {
		t.Errorf("counted %d", n)
	}
}
