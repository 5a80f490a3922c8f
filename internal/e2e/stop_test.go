package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
