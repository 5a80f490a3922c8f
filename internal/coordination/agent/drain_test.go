package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"google.golang.org/grpc"

	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/engine"
	"limpetwall/internal/transport/plainservice"
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

// waitingEngine keeps prompts waiting, or streams without an event if begins is set.
type waitingEngine struct {
	engine.Engine
	asked  chan struct{}
	begins bool
}

// Generate implements engine.Engine.
func (w waitingEngine) Generate(ctx context.Context, _ engine.Request) (engine.Stream, error) {
	if w.begins {
		return waitingStream{ctx, w.asked}, nil
	}
	close(w.asked)
	<-ctx.Done()
	return nil, ctx.Err()
}

type waitingStream struct {
	ctx   context.Context
	asked chan struct{}
}

// Next implements engine.Stream.
func (w waitingStream) Next() (engine.Event, error) {
	close(w.asked)
	<-w.ctx.Done()
	return engine.Event{}, w.ctx.Err()
}

// Close implements engine.Stream.
func (waitingStream) Close() error { return nil }

// begunStream signals the first bytes of a plain answer.
type begunStream struct {
	answersStream
	begun chan struct{}
}

func (s *begunStream) Send(e *wire.RunEvent) error {
	if e.GetPlainBody() != nil {
		close(s.begun)
	}
	return s.answersStream.Send(e)
}

// TestCutRunsSayThatTheAgentStops guards against runs that an agent cuts as it exits and reports as those of an engine that broke:
// going on elsewhere then needs retry budget, and the engine counts as failed.
func TestCutRunsSayThatTheAgentStops(t *testing.T) {
	plain := &wire.RunRequest{RequestId: "r", TimeoutMs: 5000, Call: &wire.RunRequest_Plain{Plain: &wire.PlainCall{Method: "POST", Path: "/x"}}}
	prompt := &wire.RunRequest{RequestId: "r", TimeoutMs: 5000, Call: &wire.RunRequest_Prompt{Prompt: &wire.Prompt{Model: "m", Text: "chair"}}}
	for _, row := range []struct {
		name    string
		request *wire.RunRequest
		// answer is what a plain service has sent before the cut.
		answer string
		ran    wire.Ran
	}{
		{"call without an answer", plain, "", wire.Ran_RAN_UNKNOWN},
		{"call with half an answer", plain, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nha", wire.Ran_RAN_YES},
		{"prompt that waits", prompt, "", wire.Ran_RAN_UNKNOWN},
		{"stream", prompt, "", wire.Ran_RAN_YES},
	} {
		t.Run(row.name, func(t *testing.T) {
			asked := make(chan struct{})
			a := agentBeside(t, newEngine())
			if row.request == prompt {
				a.engine = waitingEngine{a.engine, asked, row.name == "stream"}
			} else {
				service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					c, _, _ := w.(http.Hijacker).Hijack()
					defer c.Close()
					io.WriteString(c, row.answer)
					close(asked)
					io.Copy(io.Discard, c)
				}))
				defer service.Close()
				a.engine, a.plain = nil, plainservice.NewClient(service.URL, plainservice.NewTransport())
			}
			s := &begunStream{answersStream{eventStream: eventStream{runStream: runStream{ctx: t.Context()}}}, make(chan struct{})}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				a.Run(row.request, s)
			}()
			<-asked
			if row.answer != "" {
				<-s.begun
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			a.Drain(ctx)
			<-ended
			if refused := s.last.GetRefused(); refused.GetCode() != CodeCut || refused.GetRan() != row.ran {
				t.Errorf("got %v at the end, want %s and %v", s.last, CodeCut, row.ran)
			}
		})
	}
}
