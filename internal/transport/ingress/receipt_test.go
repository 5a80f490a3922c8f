package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	getRequest  = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	postRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na"
	// longAnswer fits into a send buffer, but not into a receive buffer of smallBuffer.
	longAnswer  = 3 << 20
	smallBuffer = 16 << 10
)

// endListener reports the connections whose sending side the server has closed.
type endListener struct {
	net.Listener
	ended chan struct{}
}

func (l endListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &endConn{TCPConn: c.(*net.TCPConn), ended: l.ended}, nil
}

type endConn struct {
	*net.TCPConn
	once  sync.Once
	ended chan struct{}
}

func (c *endConn) signalEnd() { c.once.Do(func() { c.ended <- struct{}{} }) }

func (c *endConn) CloseWrite() error {
	defer c.signalEnd()
	return c.TCPConn.CloseWrite()
}

func (c *endConn) Close() error {
	defer c.signalEnd()
	return c.TCPConn.Close()
}

// servingTCP runs a server that closes each connection after its answer.
func servingTCP(t *testing.T, handler http.Handler) (s *Server, ended <-chan struct{}, dial func() net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = newServer(handler)
	s.DisableKeepAlives()
	ends := make(chan struct{}, 1000)
	go s.Serve(endListener{l, ends})
	t.Cleanup(func() { s.Close() })
	return s, ends, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
}

// TestAnswerSurvivesBytesBehindItsRequest guards against a close that resets the connection and drops
// the unsent part of an answer because more bytes follow the request.
func TestAnswerSurvivesBytesBehindItsRequest(t *testing.T) {
	rows := []struct{ name, sent, during, behind string }{
		{"nothing", getRequest, "", ""},
		{"a line end behind a body", postRequest + "\r\n", "", ""},
		{"more requests than net/http reads at a time", getRequest + strings.Repeat(getRequest, 400), "", ""},
		{"the next request, while the handler runs", getRequest, getRequest, ""},
		{"a line end, while the handler runs", postRequest, "\r\n", ""},
		{"the next request, behind the answer", getRequest, "", getRequest},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			begun, goOn := make(chan struct{}), make(chan struct{})
			s, ended, dial := servingTCP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				close(begun)
				<-goOn
				w.Header().Set("Content-Length", fmt.Sprint(longAnswer))
				w.Write(make([]byte, longAnswer))
			}))
			c := dial()
			c.(*net.TCPConn).SetReadBuffer(smallBuffer)
			io.WriteString(c, row.sent)
			<-begun
			io.WriteString(c, row.during)
			close(goOn)
			<-ended
			io.WriteString(c, row.behind)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != longAnswer {
				t.Errorf("the caller got %d of %d bytes, %v", n, longAnswer, err)
			}
			if err := s.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestStopDoesNotWaitForCallersThatDoNotClose guards against a close that waits until the caller closes
// its side, or without limit for a caller that does not read.
func TestStopDoesNotWaitForCallersThatDoNotClose(t *testing.T) {
	rows := []struct {
		name    string
		callers int
		size    int
		most    time.Duration
	}{
		{"many that have their answers", 100, 2, lingerTimeout / 2},
		{"one that does not read", 1, longAnswer, lingerTimeout + time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s, ended, dial := servingTCP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Write(make([]byte, row.size))
			}))
			for range row.callers {
				c := dial()
				c.(*net.TCPConn).SetReadBuffer(smallBuffer)
				io.WriteString(c, getRequest)
			}
			for range row.callers {
				<-ended
			}
			began := time.Now()
			if err := s.Stop(context.Background()); err != nil {
				t.Error(err)
			}
			if took := time.Since(began); took > row.most {
				t.Errorf("the stop took %s", took)
			}
		})
	}
}
