package rpc_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"limpetwall/internal/transport/rpc"
)

// quiet is how long the tests' server waits for a quiet peer.
const quiet = 300 * time.Millisecond

// TestSlowReaderIsWaitedFor guards against an answer that is thrown away while its peer still reads it, and against a connection
// that stays open for a peer that does not.
func TestSlowReaderIsWaitedFor(t *testing.T) {
	for _, row := range []struct {
		name string
		// sendsEvery is the number of pieces read between two window updates.
		sendsEvery int
	}{
		{"reads on", 1},
		// The time between two of its window updates is twice as long as a quiet peer is waited for.
		{"reads on and seldom sends", 4},
	} {
		t.Run(row.name, func(t *testing.T) {
			// A peer that the machine lets read too late is quiet indeed: what it sees says nothing.
			const tries = 5
			for range tries {
				got, late, err := readSlowly(t, row.sendsEvery)
				if late >= quiet*2/3 {
					t.Logf("the peer did not read for %v; %d bytes, %v", late, got, err)
					continue
				}
				if err != nil || got != answerLength {
					t.Errorf("%d of %d bytes, %v", got, answerLength, err)
				}
				return
			}
			t.Errorf("the peer read too late in %d tries", tries)
		})
	}
	t.Run("is quiet", func(t *testing.T) {
		_, served := lingering(t)
		if err := <-served; !errors.Is(err, net.ErrClosed) {
			t.Errorf("the connection ended with %v", err)
		}
	})
}

// answerLength fits the server's socket, and not the peer's.
const answerLength = 60_000

// lingering returns a peer whose server has written an answer and closes the connection, and how that ends.
func lingering(t *testing.T) (peer net.Conn, served <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ended := make(chan error, 1)
	go func() { ended <- serveAndClose(rpc.Linger(l, quiet), strings.Repeat("a", answerLength)) }()
	peer, err = (&net.Dialer{Control: smallReceiveBuffer}).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return peer, ended
}

// readSlowly reads an answer for five times as long as a quiet peer is waited for, and returns how much arrived and the longest
// time between two reads.
func readSlowly(t *testing.T, sendsEvery int) (got int, late time.Duration, err error) {
	const pieces = 10
	peer, _ := lingering(t)
	defer peer.Close()
	elapsed, stop := runTime()
	defer stop()
	last := elapsed()
	for piece := range pieces {
		time.Sleep(quiet / 2)
		now := elapsed()
		late, last = max(late, now-last), now
		n, err := io.CopyN(io.Discard, peer, answerLength/pieces)
		got += int(n)
		if err == nil && (piece+1)%sendsEvery == 0 {
			_, err = peer.Write([]byte("window update"))
		}
		if err != nil {
			return got, late, err
		}
	}
	rest, err := io.Copy(io.Discard, peer)
	return got + int(rest), late, err
}

// runTime returns a clock that stands while this process is paused.
func runTime() (elapsed func() time.Duration, stop func()) {
	const tick = 5 * time.Millisecond
	var ticks atomic.Int64
	ticker, done := time.NewTicker(tick), make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				ticks.Add(1)
			case <-done:
				return
			}
		}
	}()
	return func() time.Duration { return time.Duration(ticks.Load()) * tick }, func() { ticker.Stop(); close(done) }
}

// TestPauseIsNotTakenForSilence guards against a server that was paused itself, and then takes its peer for quiet.
func TestPauseIsNotTakenForSilence(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	child := exec.CommandContext(t.Context(), self, "-test.v", "-test.run", "^TestSlowReaderIsWaitedFor$/^reads_on$")
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	log := bufio.NewReader(out)
	for line := ""; !strings.Contains(line, "reads_on"); {
		if line, err = log.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	// Each pause is longer than the time for which a quiet peer is waited for.
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		child.Process.Signal(syscall.SIGSTOP)
		time.Sleep(400 * time.Millisecond)
		child.Process.Signal(syscall.SIGCONT)
	}
	rest, _ := io.ReadAll(log)
	if err := child.Wait(); err != nil {
		t.Errorf("%v\n%s", err, rest)
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
