package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/upstream"
)

// outcomeKind tells what became of an attempt.
type outcomeKind uint8

const (
	// delivered: the answer is with the caller.
	delivered outcomeKind = iota
	// notReached: no byte of the request left this process.
	notReached
	// rejected: the endpoint says that it did not run the request.
	rejected
	// answeredFailure: the endpoint ran the request and says that it failed.
	answeredFailure
	// broken: the answer did not come whole; the request may have run.
	broken
	// timedOut: the request's time ended first.
	timedOut
	// callerLeft: the caller left.
	callerLeft
	// relocated: the run was copied to another endpoint and stopped; it goes on there.
	relocated
	// stopped: this process was forced to stop; the request may have run.
	stopped
	// canceledByQuarantine: the request crashes endpoints, and this one had not answered yet.
	canceledByQuarantine
)

// String gives the verdict's name for logs.
func (v outcomeKind) String() string {
	return [...]string{"delivered", "not_reached", "rejected", "answered_failure", "broken", "timed_out", "caller_gone", "moved_on", "stopped", "called_back"}[v]
}

// outcome is how one attempt ended.
type outcome struct {
	kind outcomeKind
	// answer is a failure that the endpoint gave, to be passed on if no other
	// attempt does better.
	answer *bufferedAnswer
	err    error
	// staleConnection: a kept connection ended before anything came back. The endpoint may serve the
	// request on a fresh one.
	staleConnection bool
	// stopOrdered: this process had the run stopped, to move it.
	stopOrdered bool
	// next is where a run that was moved goes on.
	next *continuation
}

// bufferedAnswer is a whole answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// maxBufferedBytes bounds the answers that are read whole before they are passed on;
// a longer one is passed on as it comes.
const maxBufferedBytes = 256 << 10

// send makes one attempt up to the head of the answer.
func (x *exchange) send(ctx context.Context, c routing.Choice, a Attempt) (*upstream.Response, Reply, outcome) {
	header := forwardedHeader(x.r.Header)
	x.g.Codec.EncodeAttempt(header, a)
	request := &upstream.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: header,
		Body: x.body, HasBody: x.r.Header.Get("Content-Length") != "", Matches: x.isOwnAnswer,
		FreshConnection: c.Member.ID == x.staleEndpoint,
	}
	resp, err := x.g.Pool.Do(ctx, c.Member.Address, request)
	x.trace = request.Trace
	if err != nil {
		out := x.classifyError(ctx, err)
		out.staleConnection = out.kind == broken && request.Trace.Reused && !request.Trace.Answered && connectionEnded(err)
		return nil, Reply{}, out
	}
	reply := x.g.Codec.DecodeReply(resp.Status, resp.Header)
	x.g.recordReply(c, reply)
	return resp, reply, outcome{}
}

// isOwnAnswer accepts the answers that name this attempt. Refusals may leave the name
// out; on a connection that carried nothing else they can be no other's.
func (x *exchange) isOwnAnswer(h http.Header, fresh bool) bool {
	id := x.g.Codec.DecodeReply(0, h).ID
	return id == x.call.ID || (id == "" && fresh)
}

// classifyError tells apart why an exchange brought no answer.
func (x *exchange) classifyError(ctx context.Context, err error) outcome {
	switch {
	case x.hasCallerLeft():
		return outcome{kind: callerLeft, err: err}
	case errors.Is(err, upstream.ErrNotSent):
		return outcome{kind: notReached, err: err}
	case x.isForceStopped():
		return outcome{kind: stopped, err: err}
	case errors.Is(context.Cause(ctx), errBlamed):
		return outcome{kind: canceledByQuarantine, err: errBlamed}
	case errors.Is(context.Cause(ctx), errWeightsReplaced):
		return outcome{kind: broken, err: errWeightsReplaced}
	case ctx.Err() != nil:
		return outcome{kind: timedOut, err: err}
	}
	return outcome{kind: broken, err: err}
}

// handleRejection ends an attempt that the endpoint did not run.
func (x *exchange) handleRejection(c routing.Choice, a Attempt, r Reply) outcome {
	switch {
	case r.Misdirected && a.Weights > 0:
		x.g.enqueueWeightQuery(c.Member.ID)
	case r.Misdirected:
		x.g.State.Misdirected(c.Member.ID)
	}
	return outcome{kind: rejected}
}

// hopByHop headers concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader copies a header without what concerns one connection only.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range splitList(list) {
			out.Del(name)
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// plainAttempt runs a request whose answer is short: it is passed on when it is
// whole, so that a broken one can be asked for again.
func (x *exchange) plainAttempt(ctx context.Context, c routing.Choice, a Attempt) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer x.cancelWhenBlamed(cancel)()
	resp, reply, out := x.send(ctx, c, a)
	if resp == nil {
		return out
	}
	defer resp.Close()
	if reply.NotRun {
		return x.handleRejection(c, a, reply)
	}
	return x.handleAnswer(ctx, resp)
}

// handleAnswer takes an answer that is no stream. A failure is kept, as another endpoint may do
// better, unless it is too long for that.
//
// Whether a status may be passed on is asked before the length is: a long 503 of a request
// that ran would promise just as falsely that it did not.
func (x *exchange) handleAnswer(ctx context.Context, resp *upstream.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(resp, maxBufferedBytes))
	if err != nil {
		return x.classifyError(ctx, err)
	}
	answer := &bufferedAnswer{status: resp.Status, header: resp.Header, body: body}
	switch {
	case x.headWritten || !x.canForwardStatus(resp.Status):
		return outcome{kind: answeredFailure, answer: answer}
	case len(body) == maxBufferedBytes:
		return x.forwardLongAnswer(ctx, answer, resp)
	case resp.Status >= http.StatusInternalServerError:
		return outcome{kind: answeredFailure, answer: answer}
	}
	x.writeAnswer(answer)
	return outcome{kind: delivered}
}

// forwardLongAnswer delivers an answer that is too long to be kept.
func (x *exchange) forwardLongAnswer(ctx context.Context, a *bufferedAnswer, rest *upstream.Response) outcome {
	x.writeHead(a.status, a.header, rest.Length)
	x.stream.unresumable = true
	if _, err := x.w.Write(a.body); err != nil {
		return outcome{kind: callerLeft, err: err}
	}
	caller := &callerWriter{Writer: x.w}
	_, err := io.Copy(caller, rest)
	switch {
	case caller.err != nil:
		return outcome{kind: callerLeft, err: caller.err}
	case err != nil:
		return x.classifyError(ctx, err)
	}
	return outcome{kind: delivered}
}

// callerWriter keeps the error of a write to the caller, which a copy's result doesn't tell from one of the endpoint.
type callerWriter struct {
	io.Writer
	err error
}

// Write implements io.Writer.
func (w *callerWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.err = err
	return n, err
}

// canForwardStatus tells whether a status may be passed on for a request that has
// run: some promise that it did not.
func (x *exchange) canForwardStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return x.route.Kind == routes.Idempotent
	}
	return true
}

func (x *exchange) writeAnswer(a *bufferedAnswer) {
	x.writeHead(a.status, a.header, int64(len(a.body)))
	// A caller that has left is seen by the request's context.
	x.w.Write(a.body)
}

// writeHead passes on an answer's head; length -1 leaves the framing open.
func (x *exchange) writeHead(status int, header http.Header, length int64) {
	out := x.w.Header()
	for name, values := range forwardedHeader(header) {
		out[name] = values
	}
	if _, typed := out["Content-Type"]; !typed {
		// Without this net/http would guess one that the endpoint never gave.
		out["Content-Type"] = nil
	}
	if length >= 0 && x.r.Method != http.MethodHead {
		out.Set("Content-Length", itoa(length))
	}
	x.headWritten, x.status = true, status
	x.w.WriteHeader(status)
}

// recordReply takes in what an endpoint's answer tells of it.
func (g *Gateway) recordReply(c routing.Choice, r Reply) {
	if r.Weights > 0 {
		g.State.Observe(c.Member.ID, r.Weights)
	}
	if r.HasLoad {
		g.Directory.ObserveLoad(c, loadOf(r.Load), time.Now())
	}
}
