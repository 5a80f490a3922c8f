package rpc_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/memquota"
	"limpetwall/internal/transport/rpc"
)

// heldAgent answers a call once its test lets it.
type heldAgent struct {
	wire.UnimplementedAgentServer
	begun chan string
	end   chan struct{}
	// outlive is set if a request's memory is needed beyond its call.
	outlive bool
	release func()
}

func (a *heldAgent) Run(r *wire.RunRequest, stream wire.Agent_RunServer) error {
	if a.outlive {
		a.release = rpc.HoldRequest(stream.Context())
	}
	a.begun <- r.GetRequestId()
	<-a.end
	return stream.Send(&wire.RunEvent{RequestId: r.GetRequestId()})
}

// serveHeld serves an agent with a quota of requests.
func serveHeld(t *testing.T, agent *heldAgent, quota *memquota.Quota) wire.AgentClient {
	agent.begun, agent.end = make(chan string, 8), make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer(nil, rpc.LimitRequests(quota, zap.NewNop(), metrics.NewRegistry()))
	wire.RegisterAgentServer(server, agent)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	pool := rpc.NewPool(nil)
	t.Cleanup(pool.Close)
	client, err := pool.Agent(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return client
}

func plainRequest(id string, size int) *wire.RunRequest {
	return &wire.RunRequest{RequestId: id, Call: &wire.RunRequest_Plain{Plain: &wire.PlainCall{Body: []byte(strings.Repeat("x", size))}}}
}

// call begins a call whose size is declared as that of another request.
func call(t *testing.T, client wire.AgentClient, request, declared *wire.RunRequest) wire.Agent_RunClient {
	ctx := context.Context(t.Context())
	if declared != nil {
		ctx = rpc.DeclareRequest(ctx, declared)
	}
	stream, err := client.Run(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// TestRequestsBeyondMemoryAreNotRun guards against an agent that receives more requests than it has memory for, and against a refused
// one that ran or does not say that it did not.
func TestRequestsBeyondMemoryAreNotRun(t *testing.T) {
	const large = 1 << 20
	for _, row := range []struct {
		name     string
		size     int
		declared *wire.RunRequest
		refused  bool
	}{
		{"large", large, plainRequest("", large), true},
		{"large, not declared", large, nil, true},
		{"large, declared as small", large, plainRequest("", 1), true},
		{"small", 1000, plainRequest("", 1000), false},
	} {
		t.Run(row.name, func(t *testing.T) {
			agent := &heldAgent{}
			quota := memquota.New(4*large, 0)
			client := serveHeld(t, agent, quota)
			first := call(t, client, plainRequest("first", large), plainRequest("first", large))
			if id := <-agent.begun; id != "first" {
				t.Fatal(id)
			}
			next := call(t, client, plainRequest("next", row.size), row.declared)
			if row.refused {
				_, err := next.Recv()
				if status.Code(err) != codes.ResourceExhausted || !rpc.IsRefusedUnread(next.Trailer()) {
					t.Errorf("%v, refused unread %v; want ResourceExhausted, true", err, rpc.IsRefusedUnread(next.Trailer()))
				}
			} else if id := <-agent.begun; id != "next" {
				t.Error(id)
			}
			close(agent.end)
			if _, err := first.Recv(); err != nil {
				t.Error(err)
			}
			first.Recv()
			after := call(t, client, plainRequest("after", large), plainRequest("after", large))
			if _, err := after.Recv(); err != nil {
				t.Errorf("once the memory is free: %v", err)
			}
			if rest := len(agent.begun); rest != 1 {
				t.Errorf("%d requests ran besides, want 1", rest)
			}
		})
	}
}

// TestHeldRequestKeepsItsMemory guards against a run that outlives its call, and whose request nobody counts any more.
func TestHeldRequestKeepsItsMemory(t *testing.T) {
	const large = 1 << 20
	agent := &heldAgent{outlive: true}
	quota := memquota.New(4*large, 0)
	client := serveHeld(t, agent, quota)
	close(agent.end)
	stream := call(t, client, plainRequest("first", large), plainRequest("first", large))
	if _, err := stream.Recv(); err != nil {
		t.Fatal(err)
	}
	stream.Recv()
	if held := quota.Held(); held < 2*large {
		t.Errorf("%d bytes held, want %d", held, 2*large)
	}
	agent.release()
	for quota.Held() > 0 {
		// The server ends the call after its answer was read.
		select {
		case <-t.Context().Done():
			t.Fatal("the memory is not free")
		default:
		}
	}
}
