package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/fault"
)

// TestNoiseInsteadOfAHead guards against bytes without end that are no head: requests waited for their whole time, and what
// came was kept in memory.
func TestNoiseInsteadOfAHead(t *testing.T) {
	for _, noise := range fault.HeadNoises() {
		t.Run(string(noise), func(t *testing.T) {
			t.Parallel()
			open := make(chan time.Duration, 1)
			address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
				open <- noise.Write(c, http.Header{idHeader: {ask(r)}})
			})
			began := time.Now()
			if body, err := exchange(t, pool(), address, "1"); !errors.Is(err, ErrBadHead) && !errors.Is(err, ErrForeign) {
				t.Errorf("got %.20q, %v, want an error", body, err)
			}
			if took := max(time.Since(began), <-open); took > time.Second {
				t.Errorf("got the connection closed after %v, want a second at most", took)
			}
		})
	}
}

// TestNoiseEndsAtTheLimit guards against a limit that is checked late or begins again with each byte.
func TestNoiseEndsAtTheLimit(t *testing.T) {
	// The noise has this pause between two bytes, and meets the closed connection behind it.
	const pause = 20 * time.Millisecond
	for _, noise := range fault.HeadNoises() {
		t.Run(string(noise), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				open := make(chan time.Duration, 1)
				dial := func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						defer far.Close()
						// Without a limit the noise would last for ever.
						defer time.AfterFunc(time.Minute, func() { far.Close() }).Stop()
						open <- noise.Write(far, http.Header{idHeader: {ask(bufio.NewReader(far))}})
					}()
					return near, nil
				}
				began := time.Now()
				if body, err := exchange(t, NewPool(dial), "", "1"); !errors.Is(err, ErrBadHead) && !errors.Is(err, ErrForeign) {
					t.Errorf("got %.20q, %v, want an error", body, err)
				}
				took, limit := max(time.Since(began), <-open), headTimeout+lateRead+pause
				if took > limit {
					t.Errorf("got the connection closed after %v, want %v at most", took, limit)
				}
			})
		})
	}
}

// TestHeadsWithinTheBounds guards against bounds that break sound answers, among them one after a long silence.
func TestHeadsWithinTheBounds(t *testing.T) {
	for name, parts := range map[string][]string{
		"longer than the buffer":       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nA: " + strings.Repeat("a", 5*readBuffer) + "\r\nContent-Length: 2\r\n\r\nok"},
		"as many lines as are allowed": {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + strings.Repeat("A: a\r\n", maxHeadLines-2) + "Content-Length: 2\r\n\r\nok"},
		"in parts":                     {"H", "TTP/1.1 200 OK\r\nX-Id: 1\r", "\nContent-Length: 2\r\n\r", "\nok"},
		"bare line ends":               {"HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok"},
		"a folded line":                {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nA: b\r\n \r\n c\r\nContent-Length: 2\r\n\r\nok"},
		"interim answers":              {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim), "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
				ask(r)
				// Longer than a head may take: the endpoint is at work.
				time.Sleep(headTimeout + headTimeout/4)
				for _, part := range parts {
					io.WriteString(c, part)
					time.Sleep(10 * time.Millisecond)
				}
			})
			if body, err := exchange(t, pool(), address, "1"); body != "ok" || err != nil {
				t.Errorf("got %q, %v, want the answer", body, err)
			}
		})
	}
}

// TestNoiseOnAnIdleConnection guards against a kept connection that takes in bytes as long as no request uses it.
func TestNoiseOnAnIdleConnection(t *testing.T) {
	closed := make(chan time.Duration, 1)
	address := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id := ask(r)
		answer(c, id, "answer")
		time.Sleep(50 * time.Millisecond)
		closed <- fault.Noise("head bytes").Write(c, nil)
	})
	p := pool()
	if body, err := exchange(t, p, address, "1"); body != "answer" || err != nil {
		t.Fatalf("got %q, %v", body, err)
	}
	for {
		select {
		case open := <-closed:
			if open > time.Second {
				t.Errorf("got the connection closed after %v, want a second at most", open)
			}
			return
		case <-time.After(10 * time.Millisecond):
			p.Sweep(time.Now())
		}
	}
}

// FuzzHead reads any bytes as an answer: a head that is taken ends where net/http finds its end, within the bounds.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nrest", "HTTP/1.1 200 OK\nA: b\n c\n\n", "HTTP/1.0 103\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0;x\r\nA: b\r\n\r\n", "\r\n\r\n", "HTTP/\r\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var head headScan
		isWhole, err := head.scan(data)
		if !isWhole || err != nil {
			return
		}
		if head.lines > maxHeadLines+2 {
			t.Fatalf("got a head of %d lines", head.lines)
		}
		r := bufio.NewReaderSize(bytes.NewReader(data), max(len(data), 16))
		if _, err := http.ReadResponse(r, &http.Request{Method: "GET"}); err != nil {
			return
		}
		if read := len(data) - r.Buffered(); read > head.scanned {
			t.Errorf("got %d bytes read as the head, want at most %d", read, head.scanned)
		}
	})
}
