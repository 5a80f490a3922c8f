package agent

import (
	"testing"
	"time"

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
		if refused.GetCode() != CodeLimited || refused.GetRan() != wire.Ran_RAN_NO || refused.GetRetryAfterMs() == 0 {
			t.Errorf("ticket %v: got %v, want a refusal as not run with a time to come back", ticket, s.last)
		}
	}
	a.ObserveAnswer(pushbackheader.Asks{}, time.Now())
	if got := a.load().RequestLimit; got != 0 {
		t.Errorf("the load reports a limit of %g after its end, want 0", got)
	}
}
