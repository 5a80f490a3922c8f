package rpc_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"

	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/rpc"
)

// behindPeer is a connection whose reader falls behind; what it sends goes out.
type behindPeer struct {
	net.Conn
	mu sync.Mutex
	// held is closed when the reader may go on, behind when it waits for that.
	held, behind chan struct{}
	// drained is closed when the peer has answered the server's announcement of its end.
	drained chan struct{}
	once    sync.Once
}

// Write implements net.Conn.
func (p *behindPeer) Write(b []byte) (int, error) {
	const kindAt, flagsAt, kindPing, flagAnswer = 3, 4, 6, 1
	if len(b) > flagsAt && b[kindAt] == kindPing && b[flagsAt] == flagAnswer {
		p.once.Do(func() { close(p.drained) })
	}
	return p.Conn.Write(b)
}

func (p *behindPeer) hold() (behind <-chan struct{}, release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := make(chan struct{})
	p.held, p.behind = held, make(chan struct{})
	return p.behind, func() { close(held) }
}

// Read implements net.Conn. Data that arrives while the reader is held stays in the socket.
func (p *behindPeer) Read(b []byte) (int, error) {
	p.mu.Lock()
	held, behind := p.held, p.behind
	p.behind = nil
	p.mu.Unlock()
	if behind != nil {
		close(behind)
	}
	if held != nil {
		<-held
	}
	return p.Conn.Read(b)
}

// smallReceiveBuffer lets most of an answer wait in the server's socket while its reader is held.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10)
	})
	return errors.Join(err, failed)
}

// streamingAgent sends one token, and the rest of an answer when it is told to.
type streamingAgent struct {
	wire.UnimplementedAgentServer
	goOn chan struct{}
	// word is each token of the rest.
	word string
}

const restOfAnswer = 100

func (a *streamingAgent) Run(_ *wire.RunRequest, s wire.Agent_RunServer) error {
	for n := range restOfAnswer + 1 {
		if err := s.Send(&wire.RunEvent{Event: &wire.RunEvent_Tokens{Tokens: &wire.Tokens{Tokens: []string{a.word}}}}); err != nil {
			return err
		}
		if n == 0 {
			<-a.goOn
		}
	}
	return nil
}

// behindStream starts a server and returns it with a stream of which the first event has arrived, and the connection of
// its peer.
func behindStream(t *testing.T, word string) (*grpc.Server, *streamingAgent, wire.Agent_RunClient, *behindPeer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent := &streamingAgent{goOn: make(chan struct{}), word: word}
	server := rpc.NewServer(nil)
	wire.RegisterAgentServer(server, agent)
	go server.Serve(rpc.Linger(listener, 5*time.Second))
	t.Cleanup(server.Stop)
	peer := make(chan *behindPeer, 1)
	pool := rpc.NewPool(nil, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{Control: smallReceiveBuffer}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		p := &behindPeer{Conn: c, drained: make(chan struct{})}
		peer <- p
		return p, nil
	}))
	t.Cleanup(pool.Close)
	client, err := pool.Agent(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	run, err := client.Run(t.Context(), &wire.RunRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := run.Recv(); err != nil {
		t.Fatal(err)
	}
	return server, agent, run, <-peer
}

// checkRest reads the rest of a stream.
func checkRest(t *testing.T, run wire.Agent_RunClient) {
	t.Helper()
	got := 0
	for {
		_, err := run.Recv()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatalf("after %d of %d events: %v", got, restOfAnswer, err)
		}
		got++
	}
	if got != restOfAnswer {
		t.Errorf("%d of %d events, and then the end", got, restOfAnswer)
	}
}

// TestStoppedServerWaitsForItsReaders stops a server gracefully while a peer is behind with a stream.
//
// The callers behind that peer saw their streams cut: a second after its last write the server closed
// the connection, the peer sent something more, and the reset that answered it threw away the
// stream's end, which had not left the server's socket yet. The peer must get the whole stream.
func TestStoppedServerWaitsForItsReaders(t *testing.T) {
	server, agent, run, p := behindStream(t, strings.Repeat("w", 1000))
	stopped := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(stopped)
	}()
	<-p.drained
	behind, release := p.hold()
	close(agent.goOn)
	<-behind
	// Over the second after which grpc closes a connection: nothing else tells of that moment.
	time.Sleep(1500 * time.Millisecond)
	// The peer sends one frame more.
	const ping = "\x00\x00\x08\x06\x00\x00\x00\x00\x00" + "8 bytes."
	if _, err := io.WriteString(p.Conn, ping); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	release()
	checkRest(t, run)
	<-stopped
}

// TestSlowPeerIsNotGone guards against a connection that is closed with all its streams, as its peer is seconds behind in
// reading, and so in answering a ping.
func TestSlowPeerIsNotGone(t *testing.T) {
	// The rest of the answer is larger than what may be in flight.
	_, agent, run, p := behindStream(t, strings.Repeat("w", 10_000))
	behind, release := p.hold()
	close(agent.goOn)
	<-behind
	time.Sleep(6 * time.Second)
	release()
	checkRest(t, run)
}
