package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/logging"
)

// newKeepAliveEndpoint starts an endpoint that answers any number of requests on each connection, and returns its address.
func newKeepAliveEndpoint(b *testing.B, answer func(c net.Conn, r *http.Request)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					answer(c, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// newBenchGateway returns a gateway that logs as in production and has one endpoint.
func newBenchGateway(b *testing.B, kind routes.Kind, answer func(c net.Conn, r *http.Request)) *Gateway {
	t := &testing.T{}
	s := newTestServer(t, singleRoute(kind, 1))
	out := logging.NewAsyncWriter(io.Discard, 4096)
	b.Cleanup(func() { out.Close(time.Second) })
	s.gateway.Log = logging.New(out, zap.InfoLevel)
	s.gateway.State.SetInstance(discovery.Instance{ID: "i", Revision: 9, Service: "s", Address: newKeepAliveEndpoint(b, answer), Domain: "a", Slots: 4})
	return s.gateway
}

// cpuTime returns the CPU time that this process has used, including that of the test's endpoint.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func forward(b *testing.B, g *Gateway) {
	r := httptest.NewRequest("POST", "/r/x", strings.NewReader(strings.Repeat("b", 600)))
	r.Host = "h"
	r.Header.Set(headerID, "id-1")
	r.Header.Set(headerKey, "key")
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		b.Fatalf("status %d: %s", w.Code, w.Body)
	}
}

// BenchmarkPlainRequest forwards a request of 600 bytes. Its CPU time includes the
// endpoint's, but not that of reading from the caller's connection.
func BenchmarkPlainRequest(b *testing.B) {
	body := strings.Repeat("a", 800)
	g := newBenchGateway(b, routes.NonIdempotent, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nStamp: 200\r\nContent-Length: 800\r\n\r\n%s", headerID, r.Header.Get(headerID), body)
	})
	b.ReportAllocs()
	began := cpuTime(b)
	for b.Loop() {
		forward(b, g)
	}
	b.ReportMetric(float64((cpuTime(b)-began).Microseconds())/float64(b.N), "cpu-µs/op")
}

// BenchmarkStreamEvent forwards streams of a thousand events of 65 bytes. Its CPU time
// does not include writing them to a caller's connection.
func BenchmarkStreamEvent(b *testing.B) {
	const events = 1000
	var all strings.Builder
	for i := range events {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("d", 50))
		fmt.Fprintf(&all, "%x\r\n%s\r\n", len(text), text)
	}
	g := newBenchGateway(b, routes.Streaming, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nStamp: 200\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", headerID, r.Header.Get(headerID), all.String())
	})
	b.ReportAllocs()
	began := cpuTime(b)
	for b.Loop() {
		forward(b, g)
	}
	b.ReportMetric(float64((cpuTime(b)-began).Nanoseconds())/float64(b.N)/events, "cpu-ns/event")
}
