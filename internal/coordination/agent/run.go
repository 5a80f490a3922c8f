package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpetwall/internal/coordination/contexttransfer"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/ledger"
	"limpetwall/internal/transport/engine"
	"limpetwall/internal/transport/plainservice"
	"limpetwall/internal/transport/rpc"
)

// Codes of refusals by an agent.
const (
	CodeLeaving          = "endpoint_leaving"
	CodeBusy             = "endpoint_busy"
	CodeVersion          = "weight_version_changed"
	CodeNotReached       = "endpoint_not_reached"
	CodeBroken           = "endpoint_stream_broke"
	CodeOtherIncarnation = "agent_restarted"
	CodeUnknownTicket    = "outcome_unknown"
	CodeExpired          = "key_expired"
	CodeOtherRequest     = "key_used_for_other_request"
	CodeRecordFull       = "record_full"
	CodeAnswerNotKept    = "answer_not_kept"
	CodeBadRequest       = "bad_request"
	CodeCut              = "cut_by_shutdown"
	CodePushback         = "endpoint_asks_for_less"
)

// bodyChunk is the largest size of one event of a plain answer's body, in bytes. With its envelope it fits into a grpc buffer of 32 KB;
// the next larger one takes 1 MB.
const bodyChunk = 31 << 10

// emit receives a run's events in order; an error stops the run.
type emit func(*wire.RunEvent) error

// Run implements wire.AgentServer.
func (a *Agent) Run(r *wire.RunRequest, stream wire.Agent_RunServer) error {
	a.inflight.begin()
	defer a.inflight.end()
	send := func(e *wire.RunEvent) error {
		e.RequestId, e.Attempt = r.GetRequestId(), r.GetAttempt()
		return stream.Send(e)
	}
	if refused := a.admit(r); refused != nil {
		return send(a.withLoad(refusedEvent(refused)))
	}
	if r.GetTicket() != nil {
		return a.runTicket(stream.Context(), r, send)
	}
	if refused := a.acquire(stream.Context()); refused != nil {
		return send(a.withLoad(refusedEvent(refused)))
	}
	ctx, cancel := a.runContext(stream.Context(), r)
	defer cancel()
	a.execute(ctx, r, send)
	return nil
}

// acquire counts a run against the limit that the endpoint names, or refuses it if the endpoint asks for
// fewer runs, or for none. ctx is that of the entry's call.
func (a *Agent) acquire(ctx context.Context) *wire.Refused {
	if a.asks.Load().Limit().RequestsPerSecond > 0 {
		a.limitSenders.record(ctx, time.Now())
	}
	ok, retryIn := a.asks.Load().Acquire(time.Now())
	if ok {
		return nil
	}
	return refuse(CodePushback, wire.Ran_RAN_NO, retryIn, "the endpoint asks for fewer requests, or for none")
}

// runContext ends with the request's time, its entry, or a forced shutdown.
func (a *Agent) runContext(parent context.Context, r *wire.RunRequest) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, time.Duration(r.GetTimeoutMs())*time.Millisecond)
	stop := context.AfterFunc(a.base, cancel)
	return ctx, func() { stop(); cancel() }
}

// admit refuses what surely must not start here. A ticket is let through while
// leaving: its record may hold the answer that a retry asks for.
func (a *Agent) admit(r *wire.RunRequest) *wire.Refused {
	wanted := r.GetWantIncarnation()
	switch {
	case wanted != 0 && wanted != a.ledger.Incarnation() && r.GetTicket() == nil:
		return refuse(CodeOtherIncarnation, wire.Ran_RAN_NO, 0, "the agent restarted")
	case a.leaving() && r.GetTicket() == nil:
		return refuse(CodeLeaving, wire.Ran_RAN_NO, 0, "the endpoint is leaving")
	case a.node.Table().Self().Endpoint.Loading && r.GetTicket() == nil:
		return refuse(CodeBusy, wire.Ran_RAN_NO, time.Second, "the engine is loading")
	case r.GetPrompt() == nil && r.GetPlain() == nil:
		return refuse(CodeBadRequest, wire.Ran_RAN_NO, 0, "no call in request")
	case (r.GetPrompt() != nil) != (a.engine != nil):
		return refuse(CodeBadRequest, wire.Ran_RAN_NO, 0, "the endpoint is of another kind")
	}
	return nil
}

func refuse(code string, ran wire.Ran, after time.Duration, message string) *wire.Refused {
	return &wire.Refused{Code: code, Ran: ran, RetryAfterMs: after.Milliseconds(), Message: message}
}

func refusedEvent(r *wire.Refused) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: r}}
}

func (a *Agent) withLoad(e *wire.RunEvent) *wire.RunEvent {
	e.Load = a.load().ToWire()
	return e
}

// runTicket runs a ticket's request once, or follows the run that it already had.
func (a *Agent) runTicket(ctx context.Context, r *wire.RunRequest, send emit) error {
	ticket := r.GetTicket()
	record, started, err := a.ledger.Begin(ticket.GetIncarnation(), ticket.GetSequence(), r.GetCustomer(), r.GetRequestDigest(), time.Now())
	if err != nil {
		return send(a.withLoad(refusedEvent(ticketRefusal(err))))
	}
	if started && a.leaving() {
		record.Abandon()
		return send(a.withLoad(refusedEvent(refuse(CodeLeaving, wire.Ran_RAN_NO, 0, "the endpoint is leaving"))))
	}
	if started {
		if refused := a.acquire(ctx); refused != nil {
			record.Abandon()
			return send(a.withLoad(refusedEvent(refused)))
		}
		a.inflight.begin()
		record.Follow() // until this caller's own follow has begun
		defer record.Unfollow()
		// The run outlives its entry: if it were cancelled with the stream, a
		// booking could stop half-way and the retry would find nothing to replay.
		release := rpc.HoldRequest(ctx)
		go func() {
			defer a.inflight.end()
			defer release()
			runCtx, cancel := a.runContext(context.Background(), r)
			defer cancel()
			a.record(runCtx, r, record)
		}()
	}
	return a.follow(ctx, record, !started, send)
}

func ticketRefusal(err error) *wire.Refused {
	switch {
	case errors.Is(err, ledger.ErrExpired):
		return refuse(CodeExpired, wire.Ran_RAN_NO, 0, err.Error())
	case errors.Is(err, ledger.ErrRequestMismatch):
		return refuse(CodeOtherRequest, wire.Ran_RAN_NO, 0, err.Error())
	case errors.Is(err, ledger.ErrFull):
		return refuse(CodeRecordFull, wire.Ran_RAN_NO, time.Second, err.Error())
	default:
		return refuse(CodeUnknownTicket, wire.Ran_RAN_UNKNOWN, 0, "the record of this request is gone; it will not be run")
	}
}

// record executes the request into its record.
func (a *Agent) record(ctx context.Context, r *wire.RunRequest, record *ledger.Record) {
	notRun := false
	a.execute(ctx, r, func(e *wire.RunEvent) error {
		refused := e.GetRefused()
		notRun = refused != nil && refused.GetRan() == wire.Ran_RAN_NO
		record.Append(e, proto.Size(e))
		return nil
	})
	if notRun {
		record.Abandon()
		return
	}
	record.Finish()
}

// follow delivers a record's events as they come.
func (a *Agent) follow(ctx context.Context, record *ledger.Record, replayed bool, send emit) error {
	record.Follow()
	defer record.Unfollow()
	sent := 0
	for {
		events, done, cut, changed := record.EventsFrom(sent)
		for _, event := range events {
			e := proto.Clone(event.(*wire.RunEvent)).(*wire.RunEvent)
			if f := e.GetFinished(); f != nil {
				f.Replayed = replayed
			}
			if h := e.GetPlainHead(); h != nil {
				h.Replayed = replayed
			}
			if err := send(e); err != nil {
				return err
			}
		}
		sent += len(events)
		if len(events) > 0 {
			continue
		}
		if cut {
			return send(refusedEvent(refuse(CodeAnswerNotKept, wire.Ran_RAN_YES, 0, "the request ran; its answer was too large to keep")))
		}
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *Agent) execute(ctx context.Context, r *wire.RunRequest, send emit) {
	started := time.Now()
	noting := func(e *wire.RunEvent) error {
		refused := e.GetRefused()
		switch {
		case refused == nil:
		case a.base.Err() != nil:
			recordCut(refused)
		case ctx.Err() == nil:
			a.recordCrash(refused, started)
		}
		return send(e)
	}
	if p := r.GetPrompt(); p != nil {
		a.executePrompt(ctx, r, p, noting)
	} else {
		a.executePlain(ctx, r, r.GetPlain(), noting)
	}
	metrics.GetOrRegisterTimer("agent.run", a.metrics).UpdateSince(started)
}

// place is a prompt's place beside the engine: waiting until its first event,
// running from then on.
type place struct {
	agent   *Agent
	tokens  int64
	running bool
}

func (a *Agent) admitRun(tokens int) *place {
	a.waiting.Add(1)
	a.waitingTokens.Add(int64(tokens))
	return &place{agent: a, tokens: int64(tokens)}
}

func (p *place) start() {
	if p.running {
		return
	}
	p.running = true
	p.agent.waiting.Add(-1)
	p.agent.waitingTokens.Add(-p.tokens)
	p.agent.running.Add(1)
}

func (p *place) leave() {
	p.start()
	p.agent.running.Add(-1)
}

func (a *Agent) executePrompt(ctx context.Context, r *wire.RunRequest, p *wire.Prompt, send emit) {
	before := int(a.waitingTokens.Load())
	place := a.admitRun(contextkey.EstimateTokens(p.GetText()))
	defer place.leave()
	request := a.engineRequest(r, p)
	move, movable := a.movable(r, request, before)
	imported := 0
	if movable {
		imported = a.mover.ImportContext(ctx, move)
	}
	stream, err := a.engine.Generate(ctx, request)
	if err != nil {
		send(a.withLoad(refusedEvent(engineRefusal(err))))
		return
	}
	defer stream.Close()
	started := func(s *engine.Started) error {
		if movable {
			a.mover.RecordComputed(move)
		}
		return send(a.withLoad(startedEvent(s, imported)))
	}
	if err := a.relay(stream, uint32(len(p.GetResumeTokens())), place, started, send); err != nil {
		a.zap.Info("run cancelled by its entry", zap.String("request_id", r.GetRequestId()), zap.Uint32("attempt", r.GetAttempt()))
	}
}

// relay passes an engine's events on; it fails when the entry is gone.
func (a *Agent) relay(stream engine.Stream, offset uint32, place *place, started func(*engine.Started) error, send emit) error {
	for {
		event, err := stream.Next()
		if err != nil {
			return send(a.withLoad(refusedEvent(refuse(CodeBroken, wire.Ran_RAN_YES, 0, err.Error()))))
		}
		place.start()
		switch {
		case event.Started != nil:
			err = started(event.Started)
		case event.Tokens != nil:
			err = send(tokensEvent(offset, event.Tokens))
			offset += uint32(len(event.Tokens))
		default:
			return send(a.withLoad(finishedEvent(event.Finish, offset)))
		}
		if err != nil {
			return err
		}
	}
}

// movable describes a run to the mover. A customer or service that this agent
// does not know yet is served without moving anything.
func (a *Agent) movable(r *wire.RunRequest, request engine.Request, waiting int) (contexttransfer.Prompt, bool) {
	view := a.store.View()
	customer, knownCustomer := view.Customers[r.GetCustomer()]
	service, knownService := view.Services[r.GetService()]
	a.mu.Lock()
	status := a.status
	a.mu.Unlock()
	p := contexttransfer.Prompt{
		Customer: customer, Service: service, Keys: request.Blocks, Status: status,
		QueuedTokens: max(0, waiting), RequestID: request.RequestID,
	}
	return p, knownCustomer && knownService && len(view.StoreHosts) > 0 && len(request.Blocks) > 0
}

// recordCut notes in a refusal that the agent's stop has ended the run, and not its endpoint.
func recordCut(r *wire.Refused) {
	if r.GetCode() == CodeBroken || r.GetCode() == CodeNotReached {
		r.Code, r.Message, r.RetryAfterMs = CodeCut, "the agent's shutdown deadline passed", 0
	}
}

// engineRequest pins the weight version the agent last saw if the entry pinned
// none: the engine refuses if it has swapped since, so blocks of another version
// are never matched by the keys computed here.
func (a *Agent) engineRequest(r *wire.RunRequest, p *wire.Prompt) engine.Request {
	version := p.GetWeightVersion()
	if version == "" {
		a.mu.Lock()
		version = a.status.WeightVersion
		a.mu.Unlock()
	}
	scope := contextkey.Scope{Salt: p.GetCacheSalt(), Model: p.GetModel(), WeightVersion: version, Adapter: p.GetAdapter()}
	return engine.Request{
		RequestID: r.GetRequestId(), Model: p.GetModel(), WeightVersion: version, Adapter: p.GetAdapter(),
		Text: p.GetText(), Blocks: contextkey.ChunkKeys(scope, p.GetText()), MaxTokens: int(p.GetMaxTokens()),
		Seed: p.GetSeed(), Priority: int(p.GetPriority()), ResumeTokens: p.GetResumeTokens(),
		Parameters: p.GetParameters(),
	}
}

func engineRefusal(err error) *wire.Refused {
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return refuse(CodeNotReached, wire.Ran_RAN_NO, time.Second, "the engine was not reached")
	case errors.Is(err, engine.ErrBusy):
		return refuse(CodeBusy, wire.Ran_RAN_NO, 500*time.Millisecond, "the engine is full")
	case errors.Is(err, engine.ErrVersion):
		return refuse(CodeVersion, wire.Ran_RAN_NO, 0, "the engine serves another model or weight version")
	default:
		return refuse(CodeBroken, wire.Ran_RAN_UNKNOWN, 0, err.Error())
	}
}

func startedEvent(s *engine.Started, imported int) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Started{Started: &wire.Started{
		WeightVersion: s.WeightVersion, CachedTokens: uint32(s.CachedTokens), PromptTokens: uint32(s.PromptTokens),
		ImportedTokens: uint32(imported), SoftwareVersion: s.SoftwareVersion,
	}}}
}

func tokensEvent(offset uint32, tokens []string) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Tokens{Tokens: &wire.Tokens{Offset: offset, Tokens: tokens}}}
}

func finishedEvent(reason string, tokens uint32) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Finished{Finished: &wire.Finished{Reason: reason, CompletionTokens: tokens}}}
}

func (a *Agent) executePlain(ctx context.Context, r *wire.RunRequest, p *wire.PlainCall, send emit) {
	a.running.Add(1)
	defer a.running.Add(-1)
	headers := http.Header{}
	for _, h := range p.GetHeaders() {
		headers[h.GetName()] = h.GetValues()
	}
	answer, err := a.plain.Call(ctx, plainservice.Call{
		RequestID: r.GetRequestId(), Method: p.GetMethod(), Path: p.GetPath(), Headers: headers, Body: p.GetBody(),
	})
	if err != nil {
		send(a.withLoad(refusedEvent(plainRefusal(err))))
		return
	}
	defer answer.Body.Close()
	head := &wire.PlainHead{Status: int32(answer.Status)}
	for name, values := range answer.Headers {
		head.Headers = append(head.Headers, &wire.Header{Name: name, Values: values})
	}
	if send(a.withLoad(&wire.RunEvent{Event: &wire.RunEvent_PlainHead{PlainHead: head}})) != nil {
		return
	}
	a.copyBody(r.GetRequestId(), answer, send)
}

func plainRefusal(err error) *wire.Refused {
	if errors.Is(err, plainservice.ErrNotSent) {
		return refuse(CodeNotReached, wire.Ran_RAN_NO, time.Second, "the service was not reached")
	}
	return refuse(CodeBroken, wire.Ran_RAN_UNKNOWN, 0, err.Error())
}

// endTimeout bounds the wait for the evidence about the end of an answer without a length.
const endTimeout = time.Second

// checkEnd returns the error at the end of an answer that ended with its connection: io.EOF if its service is known to
// have been alive after that. A crash closes connections as the end of an answer does.
func (a *Agent) checkEnd(requestID string, answer plainservice.Answer) error {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	evidence := answer.End(ctx)
	if evidence.IsWhole() {
		return io.EOF
	}
	a.zap.Warn("answer without a length may be cut", zap.String("request_id", requestID), zap.Stringer("answer_end", evidence))
	return io.ErrUnexpectedEOF
}

// copyBody passes the body of the answer to a request on.
func (a *Agent) copyBody(requestID string, answer plainservice.Answer, send emit) {
	total := int64(0)
	buf := make([]byte, bodyChunk)
	for {
		n, err := answer.Body.Read(buf)
		total += int64(n)
		if total > a.cfg.MaxPlainAnswer {
			send(refusedEvent(refuse(CodeBroken, wire.Ran_RAN_YES, 0, "the service's answer is too large")))
			return
		}
		// A copy of its size: the record keeps the event.
		if n > 0 && send(&wire.RunEvent{Event: &wire.RunEvent_PlainBody{PlainBody: bytes.Clone(buf[:n])}}) != nil {
			return
		}
		if err == io.EOF && answer.End != nil {
			err = a.checkEnd(requestID, answer)
		}
		if err == io.EOF {
			send(a.withLoad(finishedEvent("stop", 0)))
			return
		}
		if err != nil {
			send(refusedEvent(refuse(CodeBroken, wire.Ran_RAN_YES, 0, err.Error())))
			return
		}
	}
}
