package agent

import (
	"context"
	"sync"
	"testing"

	"google.golang.org/grpc"

	"limpetwall/internal/protocol/wire"
)

// runStream is the way back to an entry that reads nothing.
type runStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (s runStream) Context() context.Context    { return s.ctx }
func (s runStream) Send(e *wire.RunEvent) error { return nil }

// TestRunsThatArriveWhileItDrains guards against an agent that ends in the middle of its drain, with the last events of
// its runs unsent, as a run arrives when the last one ends.
func TestRunsThatArriveWhileItDrains(t *testing.T) {
	a := agentBeside(t, newEngine())
	a.Leave()
	done := make(chan struct{})
	var entries sync.WaitGroup
	for range 4 {
		entries.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					a.Run(&wire.RunRequest{RequestId: "r"}, runStream{ctx: t.Context()})
				}
			}
		})
	}
	for range 3000 {
		if left := a.Drain(t.Context()); left != 0 {
			t.Errorf("%d runs were cut", left)
		}
	}
	close(done)
	entries.Wait()
}
