package ingress

import (
	"bufio"
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
	"limpetwall/internal/transport/memquota"
)

// servingLimited runs a test against a server with limits, whose handler reads bodies and counts their bytes.
func servingLimited(t *testing.T, c Config, test func(t *testing.T, s *Server, p *pipes)) {
	synctest.Test(t, func(t *testing.T) {
		c.Log, c.Metrics = zap.NewNop(), metrics.NewRegistry()
		s, p := New(http.HandlerFunc(countBytes), c), newPipes()
		s.SetLimits(routes.Limits{HeaderBytes: 8 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
		done := make(chan error, 1)
		go func() { done <- s.Serve(p) }()
		test(t, s, p)
		// net/http waits a little before it closes a connection with an unread body.
		time.Sleep(lingerTimeout)
		s.Close()
		<-done
	})
}

// countBytes answers with the size of a request's body, and waits a while first if the path says so.
func countBytes(w http.ResponseWriter, r *http.Request) {
	err := Admit(r)
	var body Body
	if err == nil {
		body, err = ReadAll(r)
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/slow" {
		time.Sleep(10 * time.Second)
	}
	fmt.Fprint(w, body.Len())
}

const post = "POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"

// send sends text in the background and returns a function that reads the status of the answer, 0 if there is none.
func send(c net.Conn, text string) (status func() int) {
	go io.WriteString(c, text)
	return func() int {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
}

// TestLimitOfConnectionsClosesOneWithoutRequest guards against a limit at which new callers are refused while others hold
// connections without a request, and against one that cuts requests that run.
func TestLimitOfConnectionsClosesOneWithoutRequest(t *testing.T) {
	for _, row := range []struct{ name, held string }{
		{"nothing sent", ""},
		{"part of a header", "GET / HT"},
		{"part of a body", fmt.Sprintf(post, "slow", 10, "12345")},
		{"an answered request", fmt.Sprintf(post, "", 1, "1")},
	} {
		t.Run(row.name, func(t *testing.T) {
			servingLimited(t, Config{MaxConns: 2, Memory: memquota.New(1<<20, 0)}, func(t *testing.T, s *Server, p *pipes) {
				idle := p.dial()
				held := send(idle, row.held)
				if row.name == "an answered request" {
					held()
				}
				synctest.Wait()
				time.Sleep(time.Second)
				running := send(p.dial(), fmt.Sprintf(post, "slow", 1, "1"))
				synctest.Wait()
				if status := send(p.dial(), fmt.Sprintf(post, "", 3, "123"))(); status != http.StatusOK {
					t.Errorf("a new connection got %d", status)
				}
				if status := running(); status != http.StatusOK {
					t.Errorf("the running request got %d", status)
				}
				if row.name == "part of a body" {
					if status := held(); status != http.StatusServiceUnavailable {
						t.Errorf("the incomplete request got %d, want 503", status)
					}
				}
				if wait := closedAfter(idle); wait > lingerTimeout {
					t.Errorf("the connection without a request closed after %v", wait)
				}
				if n := counted(s.report.metrics, "ingress.conns_evicted"); n != 1 {
					t.Errorf("%d connections evicted, want 1", n)
				}
			})
		})
	}
}

// TestLimitOfConnectionsThatAllRun guards against requests that are cut, or connections without number, when all callers have
// requests that run.
func TestLimitOfConnectionsThatAllRun(t *testing.T) {
	servingLimited(t, Config{MaxConns: 2, Memory: memquota.New(1<<20, 0)}, func(t *testing.T, s *Server, p *pipes) {
		var running []func() int
		for range 2 {
			running = append(running, send(p.dial(), fmt.Sprintf(post, "slow", 1, "1")))
		}
		synctest.Wait()
		time.Sleep(time.Second)
		if wait := closedAfter(p.dial()); wait > 0 {
			t.Errorf("the third connection closed after %v, want at once", wait)
		}
		for _, status := range running {
			if got := status(); got != http.StatusOK {
				t.Errorf("a running request got %d", got)
			}
		}
		if n := counted(s.report.metrics, "ingress.conns_refused"); n != 1 {
			t.Errorf("%d connections refused, want 1", n)
		}
	})
}

// TestMemoryOfBodies guards against bodies without an end that take the memory of a process: the largest is refused.
func TestMemoryOfBodies(t *testing.T) {
	servingLimited(t, Config{Memory: memquota.New(1<<20, 0)}, func(t *testing.T, s *Server, p *pipes) {
		large := send(p.dial(), fmt.Sprintf(post, "", 1<<20, strings.Repeat("x", 700<<10)))
		synctest.Wait()
		complete := send(p.dial(), fmt.Sprintf(post, "slow", 100<<10, strings.Repeat("x", 100<<10)))
		synctest.Wait()
		if status := send(p.dial(), fmt.Sprintf(post, "", 400<<10, strings.Repeat("x", 400<<10)))(); status != http.StatusOK {
			t.Errorf("a smaller request got %d", status)
		}
		if status := large(); status != http.StatusServiceUnavailable {
			t.Errorf("the largest request got %d, want 503", status)
		}
		if status := complete(); status != http.StatusOK {
			t.Errorf("the complete request got %d", status)
		}
		synctest.Wait()
		if held := s.memory.Held(); held != 0 {
			t.Errorf("%d bytes held in the end", held)
		}
	})
}

// TestMemoryOfHeaders guards against headers that take the memory of a process before they are complete.
func TestMemoryOfHeaders(t *testing.T) {
	for _, row := range []struct {
		name, text string
		status     int
		counter    string
	}{
		{"larger than the limit", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 64<<10), http.StatusRequestHeaderFieldsTooLarge, "ingress.headers_too_large"},
		{"many short lines", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1000), http.StatusServiceUnavailable, "ingress.headers_refused_for_memory"},
	} {
		t.Run(row.name, func(t *testing.T) {
			servingLimited(t, Config{Memory: memquota.New(100<<10, 0)}, func(t *testing.T, s *Server, p *pipes) {
				if status := send(p.dial(), row.text)(); status != row.status {
					t.Errorf("status %d, want %d", status, row.status)
				}
				if n := counted(s.report.metrics, row.counter); n != 1 {
					t.Errorf("%s is %d, want 1", row.counter, n)
				}
			})
		})
	}
}

// TestUnreadAnswerEnds guards against callers that keep a connection for good by not reading its answer.
func TestUnreadAnswerEnds(t *testing.T) {
	servingLimited(t, Config{}, func(t *testing.T, s *Server, p *pipes) {
		c := p.dial()
		io.WriteString(c, fmt.Sprintf(post, "", 1, "1"))
		began := time.Now()
		for {
			synctest.Wait()
			s.mu.Lock()
			open := len(s.conns)
			s.mu.Unlock()
			if open == 0 {
				break
			}
			time.Sleep(time.Second)
		}
		if took := time.Since(began); took < writeTimeout || took > writeTimeout+maxLinger {
			t.Errorf("closed after %v, want %v", took, writeTimeout)
		}
		if n := counted(s.report.metrics, "ingress.answers_unread"); n != 1 {
			t.Errorf("%d answers unread, want 1", n)
		}
	})
}

// TestBodyInPieces guards against bodies that are changed on their way into pieces.
func TestBodyInPieces(t *testing.T) {
	for _, size := range []int{0, 1, firstPiece - 1, firstPiece, firstPiece + 1, 3 * firstPiece, 5*largestPiece + 7} {
		text := strings.Repeat("0123456789", size/10+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			r, _ := http.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader(text)))
			r.ContentLength = length
			body, err := ReadAll(r)
			if err != nil || body.Len() != size {
				t.Fatalf("%d bytes: %d, %v", size, body.Len(), err)
			}
			if joined, err := body.Join(t.Context()); err != nil || string(joined) != text {
				t.Errorf("%d bytes differ, %v", size, err)
			}
		}
	}
}

// TestLimitInForceSetsTheMemory guards against a limit of bodies that was raised beyond what the memory for requests allows.
func TestLimitInForceSetsTheMemory(t *testing.T) {
	servingLimited(t, Config{Memory: memquota.New(1<<20, 16<<20)}, func(t *testing.T, s *Server, p *pipes) {
		body := strings.Repeat("x", 4<<20)
		if status := send(p.dial(), fmt.Sprintf(post, "", len(body), body))(); status != http.StatusServiceUnavailable {
			t.Errorf("before: status %d, want 503", status)
		}
		s.SetLimits(routes.Limits{BodyBytes: 4 << 20})
		if status := send(p.dial(), fmt.Sprintf(post, "", len(body), body))(); status != http.StatusOK {
			t.Errorf("after: status %d, want 200", status)
		}
	})
}
