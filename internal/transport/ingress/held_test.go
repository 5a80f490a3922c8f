package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"limpetwall/internal/state/routes"
)

// TestStopAnswersBytesHeldFromBefore guards against a stop that drops bytes which arrived with the previous request.
func TestStopAnswersBytesHeldFromBefore(t *testing.T) {
	const request = getRequest
	for n := 1; n <= 5; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			serving(t, ok, func(s *Server, p *pipes) {
				s.SetLimits(routes.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: 10 * time.Second})
				c := p.dial()
				defer c.Close()
				r := bufio.NewReader(c)
				go io.WriteString(c, request+request[:n])
				if resp, err := http.ReadResponse(r, nil); err != nil || resp.Close {
					t.Fatal(resp, err)
				}
				r.Discard(len("ok"))
				synctest.Wait()
				wait := stopped(t, s)
				time.Sleep(time.Second)
				io.WriteString(c, request[n:])
				wantLast(t, r)
				wait()
			})
		})
	}
}

// TestStopAnswersBytesBehindAnUnreadBody guards against a stop that drops bytes after a body that net/http read.
func TestStopAnswersBytesBehindAnUnreadBody(t *testing.T) {
	const request = getRequest
	serving(t, ok, func(s *Server, p *pipes) {
		s.SetLimits(routes.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: 10 * time.Second})
		c := p.dial()
		defer c.Close()
		r := bufio.NewReader(c)
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
		synctest.Wait()
		io.WriteString(c, "a")
		io.WriteString(c, request[:1])
		if resp, err := http.ReadResponse(r, nil); err != nil || resp.Close {
			t.Fatal(resp, err)
		}
		r.Discard(len("ok"))
		synctest.Wait()
		wait := stopped(t, s)
		time.Sleep(time.Second)
		io.WriteString(c, request[1:])
		wantLast(t, r)
		wait()
	})
}

// TestHeldLineEndBeginsNoRequest guards against a header limit that starts with a line end after a body.
func TestHeldLineEndBeginsNoRequest(t *testing.T) {
	for _, behind := range []string{"\r\n", "\n"} {
		serving(t, readBody(time.Second), func(s *Server, p *pipes) {
			s.SetLimits(routes.Limits{IdleTimeout: 20 * time.Second, HeaderTimeout: 3 * time.Second})
			c := p.dial()
			defer c.Close()
			r := bufio.NewReader(c)
			go io.WriteString(c, postRequest+behind)
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%v %v", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
			time.Sleep(16 * time.Second)
			get(t, c, r)
		})
	}
}
