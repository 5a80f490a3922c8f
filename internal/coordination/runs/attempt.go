package runs

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/rpc"
)

// noMemoryPause is how long a caller should wait after an agent had no memory for its request.
const noMemoryPause = time.Second

// attempt is one attempt of a request, at one endpoint.
type attempt struct {
	runner   *Runner
	job      *Job
	choice   routing.Choice
	number   uint32
	ticket   *wire.Ticket
	progress *progress
	cancel   context.CancelCauseFunc
	// resumeTokens are the tokens, and skipBytes the number of body bytes, that the caller had
	// when the attempt was created.
	resumeTokens []string
	skipBytes    int
	// offset is the index of the next token of this attempt's stream.
	offset int
	// outputAt is when the endpoint's answer began; zero before.
	outputAt time.Time
	idle     idleTracker
}

func (a *attempt) run(ctx context.Context) *outcome {
	member := a.choice.Member
	if err := a.runner.Pool.WaitReady(ctx, member.Address); err != nil {
		return notReachedOutcome(ctx, err)
	}
	client, err := a.runner.Pool.Agent(member.Address)
	if err != nil {
		return notReachedOutcome(ctx, err)
	}
	request := a.newRunRequest(ctx)
	stream, err := client.Run(rpc.DeclareRequest(ctx, request), request)
	if err != nil {
		return a.brokenOutcome(ctx, err)
	}
	for {
		a.idle.begin(time.Now())
		event, err := stream.Recv()
		if err != nil && rpc.IsRefusedUnread(stream.Trailer()) {
			return &outcome{sent: true, refused: true, ran: wire.Ran_RAN_NO, code: apierror.CodeNoMemory, message: err.Error(), retryAfter: noMemoryPause}
		}
		if err != nil {
			return a.brokenOutcome(ctx, err)
		}
		a.idle.end(time.Now())
		if out := a.handle(event); out != nil {
			return out
		}
	}
}

// notReachedOutcome is the outcome of an attempt that sent nothing. One that was canceled while it
// connected, because the other attempt was faster, says nothing about its endpoint or the round.
func notReachedOutcome(ctx context.Context, err error) *outcome {
	if errors.Is(context.Cause(ctx), errHedgeLost) {
		return hedgeLostOutcome()
	}
	return &outcome{endpointFailed: true, ran: wire.Ran_RAN_NO, code: "endpoint_not_reached", message: err.Error(), retryAfter: time.Second}
}

func (a *attempt) newRunRequest(ctx context.Context) *wire.RunRequest {
	remaining := time.Hour
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	r := &wire.RunRequest{
		RequestId: a.job.RequestID, Attempt: a.number, Customer: a.job.Customer.ID, Service: a.job.Service.ID,
		Revision: a.runner.Store.View().Revision, TimeoutMs: max(1, remaining.Milliseconds()),
		Ticket: a.ticket, RequestDigest: a.job.Digest, WantIncarnation: a.choice.Member.Incarnation,
	}
	if a.job.Plain != nil {
		r.Call = &wire.RunRequest_Plain{Plain: a.job.Plain}
		return r
	}
	prompt := &wire.Prompt{
		Model: a.choice.Member.Endpoint.Model, Adapter: a.job.Prompt.GetAdapter(), Text: a.job.Prompt.GetText(),
		MaxTokens: a.job.Prompt.GetMaxTokens(), Seed: a.job.Prompt.GetSeed(), Priority: a.job.Prompt.GetPriority(),
		CacheSalt: a.job.Customer.Salt, Parameters: a.job.Prompt.GetParameters(),
	}
	// The version is pinned when the endpoint is chosen: an endpoint that swaps its weights
	// before the prompt arrives refuses it, and the entry chooses again.
	prompt.WeightVersion = a.choice.Member.Endpoint.WeightVersion
	if a.ticket == nil {
		prompt.ResumeTokens = a.resumeTokens
		a.offset = len(a.resumeTokens)
	}
	r.Call = &wire.RunRequest_Prompt{Prompt: prompt}
	return r
}

// brokenOutcome is the outcome of an attempt whose stream ended without a final event.
func (a *attempt) brokenOutcome(ctx context.Context, err error) *outcome {
	out := &outcome{endpointFailed: true, sent: true, ran: wire.Ran_RAN_UNKNOWN, code: "stream_broke", message: err.Error()}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errHedgeLost):
		return hedgeLostOutcome()
	case errors.Is(cause, errEndpointGone):
		out.code, out.message, out.cause = "endpoint_gone", cause.Error(), cause
	case cause != nil:
		// The caller left, the deadline passed or this entry stops: the endpoint did not fail.
		out.endpointFailed, out.message = false, cause.Error()
	case errors.Is(err, io.EOF):
		out.message = "stream ended without an answer"
	}
	return out
}

// handle processes one event; a non-nil outcome ends the attempt.
func (a *attempt) handle(e *wire.RunEvent) *outcome {
	if e.GetRequestId() != a.job.RequestID || e.GetAttempt() != a.number {
		// A late or misdirected event belongs to another attempt and must never reach this
		// caller.
		return nil
	}
	if l := e.GetLoad(); l != nil {
		a.runner.Directory.ObserveReport(a.choice, fleet.LoadFromWire(l), time.Now())
	}
	if e.GetRefused() == nil && !a.progress.claim(a) {
		return hedgeLostOutcome()
	}
	if a.outputAt.IsZero() && (e.GetTokens() != nil || e.GetPlainHead() != nil) {
		a.outputAt = time.Now()
	}
	switch event := e.GetEvent().(type) {
	case *wire.RunEvent_Started:
		return a.handleStarted(event.Started)
	case *wire.RunEvent_Tokens:
		return a.handleTokens(event.Tokens)
	case *wire.RunEvent_PlainHead:
		return a.handleHead(event.PlainHead)
	case *wire.RunEvent_PlainBody:
		return a.handleBody(event.PlainBody)
	case *wire.RunEvent_Finished:
		return a.handleFinished(event.Finished)
	case *wire.RunEvent_Refused:
		return refusedOutcome(event.Refused)
	}
	return nil
}

func hedgeLostOutcome() *outcome {
	return &outcome{sent: true, ran: wire.Ran_RAN_UNKNOWN, code: "hedge_lost", message: errHedgeLost.Error(), cause: errHedgeLost}
}

func refusedOutcome(r *wire.Refused) *outcome {
	return &outcome{
		sent: true, refused: true, ran: r.GetRan(), code: r.GetCode(), message: r.GetMessage(), crashedIncarnation: r.GetCrashed(),
		endpointFailed: r.GetCode() == "endpoint_not_reached" || r.GetCode() == "endpoint_stream_broke",
		retryAfter:     time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}

func clientGoneOutcome(err error) *outcome {
	return &outcome{sent: true, clientGone: true, ran: wire.Ran_RAN_UNKNOWN, code: "client_gone", message: err.Error()}
}

func (a *attempt) handleStarted(s *wire.Started) *outcome {
	p := a.progress
	a.runner.Directory.RecordCachedTokens(a.choice, int(s.GetCachedTokens()), int(s.GetImportedTokens()), time.Now())
	if p.started && s.GetSoftwareVersion() != p.softwareVersion {
		// The engine behind the agent was replaced after the agent last read its status.
		return &outcome{sent: true, ran: wire.Ran_RAN_YES, code: "software_version_changed", message: "the engine has another software version than the one that began the answer"}
	}
	if p.started {
		return nil
	}
	p.started, p.weightVersion, p.softwareVersion = true, s.GetWeightVersion(), s.GetSoftwareVersion()
	if err := p.sink.Started(s.GetWeightVersion(), int(s.GetPromptTokens()), int(s.GetCachedTokens())); err != nil {
		return clientGoneOutcome(err)
	}
	return nil
}

// handleTokens delivers each token once and in order. A resumed or replayed stream may repeat
// tokens that the caller has. A gap means that tokens were lost: the attempt fails, so that the
// caller does not get an answer with tokens missing.
func (a *attempt) handleTokens(t *wire.Tokens) *outcome {
	p := a.progress
	if int(t.GetOffset()) != a.offset {
		return &outcome{endpointFailed: true, sent: true, ran: wire.Ran_RAN_YES, code: "token_gap", message: "the stream skipped tokens"}
	}
	a.offset += len(t.GetTokens())
	have := len(p.tokens) - int(t.GetOffset())
	if have >= len(t.GetTokens()) {
		return nil
	}
	fresh := t.GetTokens()[max(0, have):]
	p.tokens = append(p.tokens, fresh...)
	if err := p.sink.Tokens(fresh); err != nil {
		return clientGoneOutcome(err)
	}
	return nil
}

func (a *attempt) handleHead(h *wire.PlainHead) *outcome {
	// A replay from the agent's record repeats the head, marked as replayed; the caller has one
	// already.
	if a.progress.headSent && (a.ticket != nil || a.progress.bodyBytes > 0) {
		return nil
	}
	a.progress.headSent = true
	if err := a.progress.sink.Head(h); err != nil {
		return clientGoneOutcome(err)
	}
	return nil
}

func (a *attempt) handleBody(data []byte) *outcome {
	p := a.progress
	skip := min(a.skipBytes, len(data))
	a.skipBytes -= skip
	data = data[skip:]
	if len(data) == 0 {
		return nil
	}
	p.bodyBytes += len(data)
	if err := p.sink.Body(data); err != nil {
		return clientGoneOutcome(err)
	}
	return nil
}

// handleFinished accepts the end of an answer only if all of its tokens have arrived.
func (a *attempt) handleFinished(f *wire.Finished) *outcome {
	if a.job.Prompt != nil && int(f.GetCompletionTokens()) != len(a.progress.tokens) {
		return &outcome{endpointFailed: true, sent: true, ran: wire.Ran_RAN_YES, code: "token_gap", message: "the answer ended before all its tokens arrived"}
	}
	return &outcome{done: true, finished: f}
}
