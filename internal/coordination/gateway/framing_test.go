package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"limpetwall/internal/state/routes"
)

// respondRaw answers with the given status, header lines and body bytes, unchanged.
func respondRaw(status, lines, rest string) responder {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\nStamp: 1\r\n%s\r\n%s", status, headerID, r.Header.Get(headerID), lines, rest)
	}
}

// respondThen writes an answer and then calls do with the connection.
func respondThen(answer responder, do func(c *net.TCPConn)) responder {
	return func(c net.Conn, r *http.Request) {
		answer(c, r)
		do(c.(*net.TCPConn))
	}
}

// respondRepeatedly answers all requests on one connection, until it closes.
func respondRepeatedly(answer responder) responder {
	return func(c net.Conn, r *http.Request) {
		reader := bufio.NewReader(c)
		for err := error(nil); err == nil; r, err = http.ReadRequest(reader) {
			answer(c, r)
		}
	}
}

// TestAnswerFraming covers the ways in which HTTP delimits an answer. It guards against complete answers that are
// lost and truncated ones that look complete.
func TestAnswerFraming(t *testing.T) {
	long := strings.Repeat("b", maxBufferedBytes)
	closeTCP := func(c *net.TCPConn) { c.Close() }
	reset := func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}
	chunked := func(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }
	rows := []struct {
		name   string
		method string
		answer responder
		// status 0 means that the caller's connection breaks before the answer is complete.
		status int
		body   string
	}{
		{"length", "GET", respondRaw("200 OK", "Content-Length: 5\r\n", "whole"), 200, "whole"},
		{"length and close", "GET", respondRaw("200 OK", "Content-Length: 5\r\nConnection: close\r\n", "whole"), 200, "whole"},
		{"length twice, the same", "GET", respondRaw("200 OK", "Content-Length: 5\r\nContent-Length: 5\r\n", "whole"), 200, "whole"},
		{"length twice, different", "GET", respondRaw("200 OK", "Content-Length: 5\r\nContent-Length: 4\r\n", "whole"), 502, ""},
		{"length 0", "GET", respondRaw("200 OK", "Content-Length: 0\r\n", ""), 200, ""},
		{"more than the length", "GET", respondRaw("200 OK", "Content-Length: 5\r\n", "whole and more"), 200, "whole"},
		{"cut inside the length", "GET", respondThen(respondRaw("200 OK", "Content-Length: 5\r\n", "who"), closeTCP), 502, ""},
		{"no length, ended", "GET", respondThen(respondRaw("200 OK", "", "whole"), closeTCP), 200, "whole"},
		{"no length, empty, ended", "GET", respondThen(respondRaw("200 OK", "", ""), closeTCP), 200, ""},
		{"no length, reset", "GET", respondThen(respondRaw("200 OK", "", "half"), reset), 502, ""},
		{"chunked", "GET", respondRaw("200 OK", "Transfer-Encoding: chunked\r\n", chunked("whole")+lastChunk), 200, "whole"},
		{"chunked, empty", "GET", respondRaw("200 OK", "Transfer-Encoding: chunked\r\n", lastChunk), 200, ""},
		{"chunked, cut between chunks", "GET", respondThen(respondRaw("200 OK", "Transfer-Encoding: chunked\r\n", chunked("half")), closeTCP), 502, ""},
		{"chunked, cut in the last chunk", "GET", respondThen(respondRaw("200 OK", "Transfer-Encoding: chunked\r\n", chunked("half")+"0\r\n"), closeTCP), 502, ""},
		{"interim answer first", "GET", respondRaw("103 Early Hints", "\r\nHTTP/1.1 200 OK\r\n"+headerID+": id-1\r\nStamp: 1\r\nContent-Length: 5\r\n", "whole"), 200, "whole"},
		{"HEAD with a length", "HEAD", respondRaw("200 OK", "Content-Length: 5\r\n", ""), 200, ""},
		{"HEAD without a length", "HEAD", respondRaw("200 OK", "", ""), 200, ""},
		{"HEAD chunked", "HEAD", respondRaw("200 OK", "Transfer-Encoding: chunked\r\n", ""), 200, ""},
		{"204", "GET", respondRaw("204 No Content", "", ""), 204, ""},
		{"204 with a length", "GET", respondRaw("204 No Content", "Content-Length: 0\r\n", ""), 204, ""},
		{"304", "GET", respondRaw("304 Not Modified", "", ""), 304, ""},
		{"304 with the length of the resource", "GET", respondRaw("304 Not Modified", "Content-Length: 5\r\n", ""), 304, ""},
		{"205", "GET", respondRaw("205 Reset Content", "Content-Length: 0\r\n", ""), 205, ""},
		{"status without a reason", "GET", respondRaw("299", "Content-Length: 5\r\n", "whole"), 299, "whole"},
		{"status of four digits", "GET", respondRaw("2000 OK", "Content-Length: 5\r\n", "whole"), 502, ""},
		{"status 101", "GET", respondThen(respondRaw("101 Switching Protocols", "Upgrade: x\r\nConnection: upgrade\r\n", ""), closeTCP), 502, ""},
		{"as long as the buffer", "GET", respondRaw("200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(long)), long), 200, long},
		{"as long as the buffer, no length", "GET", respondThen(respondRaw("200 OK", "", long), closeTCP), 200, long},
		{"longer, no length", "GET", respondThen(respondRaw("200 OK", "", long+"more"), closeTCP), 200, long + "more"},
		{"longer, chunked", "GET", respondRaw("200 OK", "Transfer-Encoding: chunked\r\n", chunked(long)+chunked("more")+lastChunk), 200, long + "more"},
		{"longer, length", "GET", respondRaw("200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(long)+4), long+"more"), 200, long + "more"},
		{"longer, cut inside the length", "GET", respondThen(respondRaw("200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(long)+5), long+"more"), closeTCP), 0, ""},
		{"longer, chunked and cut", "GET", respondThen(respondRaw("200 OK", "Transfer-Encoding: chunked\r\n", chunked(long)+chunked("more")), closeTCP), 0, ""},
	}
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent} {
		for _, row := range rows {
			t.Run(kind.String()+" "+row.name, func(t *testing.T) {
				s := newTestServer(t, singleRoute(kind, 1), respondRepeatedly(row.answer))
				c, err := net.Dial("tcp", s.server.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				reader := bufio.NewReader(c)
				// The second request on the same connection checks that the first answer ended in the right place.
				for n := range 2 {
					fmt.Fprintf(c, "%s /r/x HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n%s: key\r\n\r\n", row.method, headerID, headerKey)
					resp, err := http.ReadResponse(reader, &http.Request{Method: row.method})
					if err != nil {
						t.Fatalf("request %d: %v", n, err)
					}
					body, err := io.ReadAll(resp.Body)
					if row.status == 0 {
						if err == nil {
							t.Errorf("got %d bytes that look complete, want an error", len(body))
						}
						return
					}
					if err != nil || resp.StatusCode != row.status || (row.status != 502 && string(body) != row.body) {
						t.Errorf("request %d: got %v, %d bytes, error %v; want status %d", n, resp.Status, len(body), err, row.status)
					}
					if stamped := resp.Header.Get("Stamp") == "1"; stamped == (row.status == 502) {
						t.Errorf("request %d: got an endpoint's stamp: %v", n, stamped)
					}
					if resp.Close {
						t.Errorf("request %d: the caller's connection is to close, want it kept open", n)
					}
				}
			})
		}
	}
}
