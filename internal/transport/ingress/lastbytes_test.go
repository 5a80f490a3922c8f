package ingress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"
)

// TestWholeAnswerSurvivesClose guards against a process that exits with a whole answer in its hands and drops its end, as the
// caller reads slowly or has sent bytes behind its request.
func TestWholeAnswerSurvivesClose(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, row := range []struct {
		name string
		size int
		// behind is sent right behind the request.
		behind  string
		proto10 bool
	}{
		{"slow reader", 64 << 10, "", false},
		{"slow reader, next request behind", 64 << 10, request, false},
		{"slow reader, line end behind", 64 << 10, "\r\n", false},
		{"slow reader, version without chunks", 64 << 10, "", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			body := bytes.Repeat([]byte("x"), row.size)
			returned := make(chan struct{}, 8)
			s := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				defer func() { returned <- struct{}{} }()
				for part := range slices.Chunk(body, 1<<10) {
					if _, err := w.Write(part); err != nil {
						return
					}
				}
			}))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go s.Serve(l)
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.(*net.TCPConn).SetReadBuffer(8 << 10)
			first := request
			if row.proto10 {
				first = "GET / HTTP/1.0\r\nHost: h\r\n\r\n"
			}
			go io.WriteString(c, first+row.behind)
			time.Sleep(300 * time.Millisecond)
			whole := len(returned) > 0
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			s.Stop(ctx)
			cancel()
			ctx, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
			s.Cut(ctx, context.Canceled)
			cancel()
			s.Close()
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("handler had returned: %v; the caller got %v", whole, err)
			}
			got, err := io.ReadAll(resp.Body)
			if err != nil || len(got) != row.size {
				t.Errorf("handler had returned: %v; the caller got %d of %d bytes, error %v", whole, len(got), row.size, err)
			}
		})
	}
}

// TestStopEndsThoughCallerReadsNothing guards against callers that keep a stop waiting by never reading an answer.
func TestStopEndsThoughCallerReadsNothing(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 64<<10)
	returned := make(chan struct{})
	s := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write(body)
		close(returned)
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	defer s.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(8 << 10)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	<-returned
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	began := time.Now()
	if err := s.Stop(ctx); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > lingerTimeout+time.Second {
		t.Errorf("the stop took %v", took)
	}
}
