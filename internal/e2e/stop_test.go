package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestEntryAnswersHalfReadRequests guards against an entry that, told to stop, closes a connection
// from which it has read a part of a request.
func TestEntryAnswersHalfReadRequests(t *testing.T) {
	const request = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
	s := newSite(t)
	s.platform()
	entry := s.entry("entry-1", "domain-a")
	c, err := net.Dial("tcp", entry.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	r := bufio.NewReader(c)
	answer := func() *http.Response {
		t.Helper()
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("the caller got %v", err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("the caller got %d, %v", resp.StatusCode, err)
		}
		return resp
	}
	io.WriteString(c, request)
	answer()
	io.WriteString(c, request[:20])
	s.signal("entry-1", syscall.SIGTERM)
	s.eventually("the listener closes", func() bool {
		other, err := net.Dial("tcp", entry.listen)
		if err == nil {
			other.Close()
		}
		return err != nil
	})
	io.WriteString(c, request[20:])
	if resp := answer(); !resp.Close {
		t.Error("the caller is not told that its connection ends")
	}
	<-entry.exited
}

// TestForcedStopAnswersHalfReadBodies guards against an entry that, told to stop twice, closes a connection whose body it reads.
func TestForcedStopAnswersHalfReadBodies(t *testing.T) {
	for _, row := range []struct{ name, key, path string }{
		{"an operator's", operatorKey, "/v1/plans"},
		{"a customer's", customerKey, "/v1/completions"},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t)
			s.platform()
			entry := s.entry("entry-1", "domain-a")
			s.configure("entry-1")
			s.eventually("the customer is known", func() bool { return s.revision("entry-1") == 1 })
			c, err := net.Dial("tcp", entry.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			r := bufio.NewReader(c)
			io.WriteString(c, "POST "+row.path+" HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+row.key+
				"\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n")
			// net/http says this when the handler begins to read the body.
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusContinue {
				t.Fatalf("the caller got %v, %v, want 100", resp, err)
			}
			io.WriteString(c, "{")
			logged := func(text string) func() bool {
				return func() bool { return strings.Contains(entry.lines(), text) }
			}
			s.signal("entry-1", syscall.SIGTERM)
			s.eventually("the stop begins", logged(`"msg":"stopping"`))
			s.signal("entry-1", syscall.SIGTERM)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("the caller got %v", err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), `"code":"stopping"`) {
				t.Errorf("the caller got %d, %q, %v", resp.StatusCode, body, err)
			}
			<-entry.exited
			s.eventually("the stop ends", logged(`"msg":"stopped"`))
			if !logged(`"cut":1`)() || logged("connection closed before its request was answered")() {
				t.Errorf("the log does not tell of one request that was cut and answered")
			}
		})
	}
}

// TestEntryStoppedSoonAfterStartResetsNobody guards against callers that are reset because an entry is told to stop while it
// opens its listener.
func TestEntryStoppedSoonAfterStartResetsNobody(t *testing.T) {
	const (
		starts  = 4
		callers = 4
	)
	s := newSite(t)
	s.platform()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for n := range starts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		l.Close()
		args := append([]string{"limpetwall", "entry"}, s.common(fmt.Sprint("entry-", n), "domain-a")...)
		p := &proc{cmd: &exec.Cmd{Path: self, Args: append(args, "-listen", address, "-drain-delay", "0s")}, exited: make(chan struct{})}
		if err := p.cmd.Start(); err != nil {
			t.Fatal(err)
		}
		go func() {
			p.cmd.Wait()
			close(p.exited)
		}()
		var calling sync.WaitGroup
		var once sync.Once
		for range callers {
			calling.Go(func() {
				for connectAndGet(t, address, p.exited, func() { once.Do(func() { p.cmd.Process.Signal(syscall.SIGTERM) }) }) {
				}
			})
		}
		calling.Wait()
	}
}

// connectAndGet sends a request on a new connection, which must be answered if it opens. It returns false once the process has
// ended.
func connectAndGet(t *testing.T, address string, exited <-chan struct{}, connected func()) bool {
	select {
	case <-exited:
		return false
	default:
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		return true
	}
	defer c.Close()
	connected()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Errorf("a caller whose connection opened got %v", err)
	}
	return true
}
