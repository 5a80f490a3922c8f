package ingress

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// slowReads reads some 50 KB a second once slow is closed: each record of TLS takes several reads.
type slowReads struct {
	net.Conn
	slow <-chan struct{}
}

func (c slowReads) Read(b []byte) (int, error) {
	select {
	case <-c.slow:
		time.Sleep(25 * time.Millisecond)
	default:
	}
	return c.Conn.Read(b[:min(len(b), 4<<10)])
}

// TestWholeHTTP2AnswerSurvivesStop guards against a stop that closes an HTTP/2 connection on which a whole answer is still on its
// way to a caller that reads slowly: its window updates meet a closed connection, and the reset drops what is unsent.
func TestWholeHTTP2AnswerSurvivesStop(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 600<<10)
	slow := make(chan struct{})
	returned := make(chan struct{}, 1)
	s := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(slow)
		w.Write(body)
		returned <- struct{}{}
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	certificates := httptest.NewTLSServer(nil)
	certificates.Close()
	go s.ServeTLS(l, &tls.Config{Certificates: certificates.TLS.Certificates})
	defer s.Close()
	transport := &http.Transport{ForceAttemptHTTP2: true, DialTLSContext: func(context.Context, string, string) (net.Conn, error) {
		raw, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return nil, err
		}
		raw.(*net.TCPConn).SetReadBuffer(8 << 10)
		c := tls.Client(slowReads{raw, slow}, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
		return c, c.Handshake()
	}}
	type answer struct {
		n   int
		err error
	}
	got := make(chan answer, 1)
	go func() {
		resp, err := (&http.Client{Transport: transport}).Get("https://h/")
		if err != nil {
			got <- answer{0, err}
			return
		}
		data, err := io.ReadAll(resp.Body)
		got <- answer{len(data), err}
	}()
	select {
	case <-returned:
	case <-time.After(2 * time.Second):
		t.Log("the answer waits for its caller")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	began := time.Now()
	stopErr := s.Stop(ctx)
	t.Logf("the stop took %v, error %v", time.Since(began), stopErr)
	if a := <-got; a.err != nil || a.n != len(body) {
		t.Errorf("the caller got %d of %d bytes, error %v", a.n, len(body), a.err)
	}
}
