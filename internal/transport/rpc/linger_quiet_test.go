package rpc_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"limpetwall/internal/transport/rpc"
)

// TestSlowReaderIsWaitedFor guards against an answer that is thrown away while its peer still reads it, and against a connection
// that stays open for a peer that does not.
func TestSlowReaderIsWaitedFor(t *testing.T) {
	const quiet = 300 * time.Millisecond
	// It fits the server's socket, and not the peer's.
	answer := strings.Repeat("a", 60_000)
	for name, reads := range map[string]bool{"reads on": true, "is quiet": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			served := make(chan error, 1)
			go func() { served <- serveAndClose(rpc.Linger(l, quiet), answer) }()
			peer, err := (&net.Dialer{Control: smallReceiveBuffer}).DialContext(t.Context(), "tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			if !reads {
				if err := <-served; !errors.Is(err, net.ErrClosed) {
					t.Errorf("the connection ended with %v", err)
				}
				return
			}
			// Five times as long as a quiet peer is waited for.
			const pieces = 10
			got := 0
			for range pieces {
				time.Sleep(quiet / 2)
				n, err := io.CopyN(io.Discard, peer, int64(len(answer)/pieces))
				got += int(n)
				if err == nil {
					_, err = peer.Write([]byte("window update"))
				}
				if err != nil {
					t.Fatalf("after %d bytes: %v", got, err)
				}
			}
			rest, err := io.Copy(io.Discard, peer)
			if got += int(rest); err != nil || got != len(answer) {
				t.Errorf("%d of %d bytes, %v", got, len(answer), err)
			}
		})
	}
}

// serveAndClose writes an answer to the first connection, closes it and reads until that is over.
func serveAndClose(l net.Listener, answer string) error {
	c, err := l.Accept()
	if err != nil {
		return err
	}
	if _, err := io.WriteString(c, answer); err != nil {
		return err
	}
	c.Close()
	for {
		if _, err := c.Read(make([]byte, 100)); err != nil {
			return err
		}
	}
}
