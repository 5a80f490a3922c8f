package gateway

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/ingress"
)

var (
	answeredSeed     = flag.Uint64("answered.seed", 1, "seed of TestKeptConnectionsAreAnswered")
	answeredRequests = flag.Int("answered.requests", 300, "requests of each caller in TestKeptConnectionsAreAnswered")
)

// faults are ways in which an endpoint answers; an endpoint draws one for each request.
func faults() []responder {
	return []responder{
		respond(200, "whole"), respond(200, "whole"), respond(500, "sorry"), respond(500, "sorry"), respond(500, ""), respond(503, "busy"),
		respond(429, "busy"), respond(408, ""), respond(421, "", headerNotRun+": 1"), respond(599, "odd"), respond(304, ""), respond(204, ""), reject, closeConn,
		respond(500, "sorry", "Content-Encoding: gzip", "Trailer: X", "Keep-Alive: timeout=1"), respondRaw("500 X", "", "sorry"), respondRaw("200 OK", "", "whole"),
		func(c net.Conn, _ *http.Request) { io.WriteString(c, "no answer in the protocol\r\n\r\n") },
		func(c net.Conn, _ *http.Request) { io.WriteString(c, "HTTP/1.1 500 X\r\nConte") },
		func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 500 X\r\n%s: %s\r\nContent-Length: 9\r\n\r\nsor", headerID, r.Header.Get(headerID))
		},
		func(c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			respond(500, "sorry")(c, r)
		},
		func(c net.Conn, r *http.Request) {
			respond(500, "sorry")(c, r)
			respond(200, "whole")(c, r)
		},
		func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 500 X\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsorry\r\n0\r\n\r\n", headerID, r.Header.Get(headerID))
		},
		func(c net.Conn, r *http.Request) {
			respond(500, strings.Repeat("b", maxBufferedBytes+1))(c, r)
		},
		func(c net.Conn, _ *http.Request) {
			respond(500, "sorry")(c, &http.Request{Header: http.Header{headerID: {"another"}}})
		},
		func(c net.Conn, _ *http.Request) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
	}
}

// TestKeptConnectionsAreAnswered guards against a kept connection that is closed without an answer to a request that was read
// from it, when endpoints fail in all ways while the configuration and the endpoints change.
func TestKeptConnectionsAreAnswered(t *testing.T) {
	const callers = 8
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent, routes.Streaming} {
		for _, endpoints := range []int{1, 2, 3} {
			t.Run(fmt.Sprint(kind, " ", endpoints), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				random, ways := rand.New(rand.NewPCG(*answeredSeed, uint64(endpoints))), faults()
				draw := func(n int) int {
					mu.Lock()
					defer mu.Unlock()
					return random.IntN(n)
				}
				answer := func(c net.Conn, r *http.Request) { ways[draw(len(ways))](c, r) }
				var answers []responder
				for range endpoints {
					answers = append(answers, answer)
				}
				s := newTestServer(t, singleRoute(kind, 2), answers...)
				s.gateway.ContextTracker, s.gateway.Copier = newContextTracker(), &flakyCopier{}
				s.gateway.RetryBudget = runs.NewRetryBudget(0.1, 3)
				s.addGuard()
				server := ingress.New(s.gateway, ingress.Config{Log: zap.NewNop(), Metrics: s.gateway.Metrics})
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				go server.Serve(l)
				defer server.Close()
				done := make(chan struct{})
				var changers, calling sync.WaitGroup
				changers.Go(func() {
					changer := &stateChanger{server: s, kind: kind, revision: 100}
					for n := 0; ; n++ {
						select {
						case <-done:
							return
						default:
						}
						changer.change(draw(1000))
						server.SetLimits(routes.Limits{IdleTimeout: time.Duration(20+draw(20)) * time.Second, HeaderTimeout: time.Duration(5+draw(20)) * time.Second})
						if e := s.endpoints[draw(len(s.endpoints))]; draw(4) == 0 {
							for _, m := range s.gateway.Directory.UsableMembers("s", time.Now()) {
								if m.ID == e.id {
									s.gateway.Directory.Pushback.Endpoint(m.ID, m.Incarnation, "a").Observe(pushback.Signal{RetryAfter: time.Duration(draw(20)) * time.Millisecond}, time.Now(), time.Now())
								}
							}
						}
						time.Sleep(time.Duration(draw(3000)) * time.Microsecond)
					}
				})
				for caller := range callers {
					calling.Go(func() { keepCalling(t, l.Addr().String(), fmt.Sprint("id-", caller), *answeredRequests) })
				}
				calling.Wait()
				close(done)
				changers.Wait()
			})
		}
	}
}

// keepCalling sends requests on a connection that it keeps until an answer ends it. Each must get the head of an answer.
func keepCalling(t *testing.T, address, name string, requests int) {
	var c net.Conn
	var r *bufio.Reader
	for n := range requests {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", address); err != nil {
				t.Error(err)
				return
			}
			r = bufio.NewReader(c)
		}
		id := fmt.Sprint(name, "-", n)
		c.SetDeadline(time.Now().Add(30 * time.Second))
		switch n % 3 {
		case 0:
			fmt.Fprintf(c, "GET /r/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: key\r\n%s: 2000\r\n\r\n", headerID, id, headerKey, headerTimeLeft)
		case 1:
			fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: key\r\nContent-Length: 5\r\n\r\norder", headerID, id, headerKey)
		case 2:
			fmt.Fprintf(c, "GET /r/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: key\r\nContent-Length: 0\r\n\r\n", headerID, id, headerKey)
		}
		request := &http.Request{Method: []string{"GET", "POST", "GET"}[n%3]}
		resp, err := http.ReadResponse(r, request)
		if err != nil {
			t.Errorf("%s: got %v, want an answer", id, err)
			c.Close()
			c = nil
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil || resp.Close {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}
