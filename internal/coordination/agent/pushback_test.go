package agent

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc/peer"

	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/pushbackheader"
)

// eventStream is the way back to an entry that keeps the last event.
type eventStream struct {
	runStream
	last *wire.RunEvent
}

func (s *eventStream) Send(e *wire.RunEvent) error {
	s.last = e
	return nil
}

// TestAgentHoldsTheLimit guards against an endpoint in need that gets more runs than it accepts because
// the entries know little of each other: what exceeds the limit is refused as not run, tickets as well.
func TestAgentHoldsTheLimit(t *testing.T) {
	a := agentBeside(t, newEngine())
	a.ObserveAnswer(pushbackheader.Asks{RequestsPerSecond: 0.001}, time.Now())
	if got := a.load().RequestLimit; got != 0.001 {
		t.Errorf("the load reports a limit of %g, want 0.001", got)
	}
	tickets, err := a.MintTickets(t.Context(), &wire.MintTicketsRequest{Count: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, ticket := range []*wire.Ticket{nil, {Incarnation: tickets.GetIncarnation(), Sequence: tickets.GetFirst()}} {
		s := &eventStream{runStream: runStream{ctx: t.Context()}}
		a.Run(&wire.RunRequest{RequestId: "r", TimeoutMs: 1000, Ticket: ticket, Call: &wire.RunRequest_Prompt{Prompt: &wire.Prompt{Model: "m", Text: "chair"}}}, s)
		refused := s.last.GetRefused()
		if refused.GetCode() != CodePushback || refused.GetRan() != wire.Ran_RAN_NO || refused.GetRetryAfterMs() == 0 {
			t.Errorf("ticket %v: got %v, want a refusal as not run with a time to come back", ticket, s.last)
		}
	}
	a.ObserveAnswer(pushbackheader.Asks{}, time.Now())
	if got := a.load().RequestLimit; got != 0 {
		t.Errorf("the load reports a limit of %g after its end, want 0", got)
	}
}

// TestAgentCountsSenders guards against a load that counts entries which send nothing, or none.
func TestAgentCountsSenders(t *testing.T) {
	a := agentBeside(t, newEngine())
	a.ObserveAnswer(pushbackheader.Asks{RequestsPerSecond: 0.001}, time.Now())
	for _, from := range []string{"10.0.0.1:5", "10.0.0.2:5", "10.0.0.1:5"} {
		ctx := peer.NewContext(t.Context(), &peer.Peer{Addr: net.TCPAddrFromAddrPort(netip.MustParseAddrPort(from))})
		a.Run(&wire.RunRequest{RequestId: "r", TimeoutMs: 1000, Call: &wire.RunRequest_Prompt{Prompt: &wire.Prompt{Model: "m", Text: "chair"}}}, &eventStream{runStream: runStream{ctx: ctx}})
	}
	if got := a.load().LimitSenders; got != 2 {
		t.Errorf("the load counts %d senders, want 2", got)
	}
	if got := a.limitSenders.count(time.Now().Add(time.Minute)); got != 0 {
		t.Errorf("a minute later %d senders are counted, want 0", got)
	}
}

// TestAgentPublishesThatItsEndpointLeaves guards against runs for an endpoint whose answers say that it shuts
// down, and against one that has started again and gets none.
func TestAgentPublishesThatItsEndpointLeaves(t *testing.T) {
	a := agentBeside(t, newEngine())
	leaves := func() bool { return a.node.Table().Self().Endpoint.Leaving }
	sent := time.Now()
	a.ObserveAnswer(pushbackheader.Asks{Leaving: true}, time.Now())
	a.ObserveAnswer(pushbackheader.Asks{}, sent)
	s := &eventStream{runStream: runStream{ctx: t.Context()}}
	a.Run(&wire.RunRequest{RequestId: "r", TimeoutMs: 1000, Call: &wire.RunRequest_Prompt{Prompt: &wire.Prompt{Model: "m", Text: "chair"}}}, s)
	if refused := s.last.GetRefused(); !leaves() || refused.GetCode() != CodeLeaving || refused.GetRan() != wire.Ran_RAN_NO {
		t.Errorf("the fleet is told %v, and a run gets %v, want a leaving endpoint and a refusal", leaves(), s.last)
	}
	a.ObserveAnswer(pushbackheader.Asks{}, time.Now())
	if leaves() {
		t.Error("the endpoint still leaves although its next process answers")
	}
}

// TestEndOfALeavingEndpointIsSeen guards against a plain service that is not used any more after a planned
// restart: it answers only if it is called.
func TestEndOfALeavingEndpointIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := agentBeside(t, newEngine())
		var ended atomic.Bool
		a.HasEnded = func(context.Context) bool { return ended.Load() }
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go a.watchLeaving(ctx)
		a.ObserveAnswer(pushbackheader.Asks{Leaving: true}, time.Now())
		time.Sleep(10 * endCheckInterval)
		if !a.node.Table().Self().Endpoint.Leaving {
			t.Error("the endpoint is used while it shuts down")
		}
		ended.Store(true)
		time.Sleep(2 * endCheckInterval)
		if a.node.Table().Self().Endpoint.Leaving {
			t.Error("the endpoint is not used although it has ended")
		}
	})
}

// TestAgentRests guards against runs for an endpoint that turned one away and asked for rest.
func TestAgentRests(t *testing.T) {
	a := agentBeside(t, newEngine())
	a.ObserveAnswer(pushbackheader.Asks{RetryAfter: time.Minute}, time.Now())
	s := &eventStream{runStream: runStream{ctx: t.Context()}}
	a.Run(&wire.RunRequest{RequestId: "r", TimeoutMs: 1000, Call: &wire.RunRequest_Prompt{Prompt: &wire.Prompt{Model: "m", Text: "chair"}}}, s)
	if refused := s.last.GetRefused(); refused.GetCode() != CodePushback || refused.GetRan() != wire.Ran_RAN_NO || refused.GetRetryAfterMs() < 50_000 {
		t.Errorf("got %v, want a refusal as not run with what is left of the rest", s.last)
	}
	if got := s.last.GetLoad().GetRestMs(); got < 50_000 {
		t.Errorf("the load reports %d ms of rest, want what is left of a minute", got)
	}
}
