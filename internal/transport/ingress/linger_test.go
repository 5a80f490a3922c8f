package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// slowBody is sent in parts with a pause after each, before its caller reads.
const (
	slowBodySize  = 1 << 20
	slowBodyParts = 16
	slowBodyPause = 60 * time.Millisecond
)

var unauthorized = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "no", http.StatusUnauthorized)
})

// readAnswer reads an answer in the background.
func readAnswer(c net.Conn) <-chan *http.Response {
	answer := make(chan *http.Response, 1)
	go func() {
		resp, _ := http.ReadResponse(bufio.NewReader(c), nil)
		if resp != nil {
			io.Copy(io.Discard, resp.Body)
		}
		answer <- resp
		io.Copy(io.Discard, c)
	}()
	return answer
}

// TestRefusalSurvivesUnreadBody guards against a close that resets the connection of a caller which
// still sends its body: the caller's write fails, or the reset takes the refusal from its receive buffer.
func TestRefusalSurvivesUnreadBody(t *testing.T) {
	rows := []struct {
		name, framing string
		stopping      bool
	}{
		{"with a length", fmt.Sprintf("Content-Length: %d\r\n\r\n", slowBodySize), false},
		{"with a length, at a stop", fmt.Sprintf("Content-Length: %d\r\n\r\n", slowBodySize), true},
		{"in chunks", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", slowBodySize), false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			serving(t, unauthorized, func(s *Server, p *pipes) {
				if row.stopping {
					s.DisableKeepAlives()
				}
				c := p.dial()
				answer := readAnswer(c)
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s", row.framing)
				for range slowBodyParts {
					time.Sleep(slowBodyPause)
					if _, err := c.Write(make([]byte, slowBodySize/slowBodyParts)); err != nil {
						t.Errorf("sending the body: %v", err)
						break
					}
				}
				c.Close()
				if resp := <-answer; resp == nil || resp.StatusCode != http.StatusUnauthorized || !resp.Close {
					t.Errorf("the caller got %v", resp)
				}
			})
		})
	}
}

// TestLingerEnds guards against callers that keep a connection or a stop waiting by never finishing
// the body of a refused request.
func TestLingerEnds(t *testing.T) {
	serving(t, unauthorized, func(s *Server, p *pipes) {
		c := p.dial()
		defer c.Close()
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", slowBodySize)
		<-readAnswer(c)
		synctest.Wait()
		began := time.Now()
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > lingerTimeout+time.Second {
			t.Errorf("the stop took %s", took)
		}
	})
	serving(t, unauthorized, func(s *Server, p *pipes) {
		c := p.dial()
		defer c.Close()
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", slowBodySize)
		<-readAnswer(c)
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		began := time.Now()
		s.Close()
		if took := time.Since(began); took > 0 {
			t.Errorf("an immediate close took %s", took)
		}
	})
}

// TestRefusalDoesNotWaitForItsBody guards against a refusal that is delayed until its caller has sent
// the whole body.
func TestRefusalDoesNotWaitForItsBody(t *testing.T) {
	for _, framing := range []string{"Content-Length: 10\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n5\r\nab"} {
		serving(t, unauthorized, func(_ *Server, p *pipes) {
			c := p.dial()
			defer c.Close()
			answer := readAnswer(c)
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s", framing)
			select {
			case resp := <-answer:
				if resp == nil || resp.StatusCode != http.StatusUnauthorized {
					t.Errorf("the caller got %v", resp)
				}
			case <-time.After(2 * unreadBodyTimeout):
				t.Error("the caller waits")
			}
		})
	}
}
