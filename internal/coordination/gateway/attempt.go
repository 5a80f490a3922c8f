package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/ingress"
	"limpetwall/internal/transport/upstream"
)

// outcomeKind says how an attempt ended.
type outcomeKind uint8

const (
	// delivered: the whole answer was written to the caller.
	delivered outcomeKind = iota
	// notReached: no byte of the request left this process.
	notReached
	// rejected: the endpoint answered that it did not run the request.
	rejected
	// answeredFailure: the endpoint ran the request and answered with a failure.
	answeredFailure
	// broken: no complete answer arrived; the request may have run.
	broken
	// timedOut: the request's deadline passed first.
	timedOut
	// callerLeft: the caller disconnected.
	callerLeft
	// relocated: the run was copied to another endpoint and stopped here; it continues there.
	relocated
	// stopped: this process was forced to stop; the request may have run.
	stopped
	// canceledByQuarantine: the request was found to crash endpoints before this one answered.
	canceledByQuarantine
)

// String returns the name used in logs and in names of metrics.
func (k outcomeKind) String() string {
	return [...]string{"delivered", "not_reached", "rejected", "answered_failure", "broken", "timed_out", "caller_gone", "moved_on", "stopped", "called_back"}[k]
}

// outcome is how one attempt ended.
type outcome struct {
	kind outcomeKind
	// answer is a failure that the endpoint answered. It is forwarded if no later attempt
	// succeeds.
	answer *bufferedAnswer
	err    error
	// staleConnection is set if a reused connection closed before any byte of the answer arrived.
	// The endpoint may serve the request on a fresh connection.
	staleConnection bool
	// stopOrdered is set if this process had the run stopped in order to move it, or ended the attempt before it was sent.
	stopOrdered bool
	// next is where a moved run continues.
	next *continuation
}

// bufferedAnswer is an endpoint's answer held in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

const (
	// maxBufferedBytes bounds the answers that are read whole before they are forwarded. A longer one is
	// forwarded while it arrives.
	maxBufferedBytes = 256 << 10
	// freeBufferedBytes of an answer are read without being charged to its request.
	freeBufferedBytes = 16 << 10
)

// send sends the request to an endpoint and reads the status and header of the answer. The response
// is nil if there is none; the outcome then says why.
func (x *exchange) send(ctx context.Context, c routing.Choice, a Attempt) (*upstream.Response, Reply, outcome) {
	header := forwardedHeader(x.r.Header)
	x.g.Codec.EncodeAttempt(header, a)
	request := &upstream.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: header,
		Body: x.body, HasBody: x.r.Header.Get("Content-Length") != "", Matches: x.isOwnAnswer,
		// A run that goes on has no other chance, so no kept connection may end under it.
		FreshConnection: c.Member.ID == x.staleEndpoint || a.ContinueFrom != "", OpenBy: x.connectBy,
	}
	sentAt := time.Now()
	x.endEvidence = ""
	resp, err := x.g.Pool.Do(ctx, c.Member.Address, request)
	x.trace = request.Trace
	if err != nil {
		out := x.classifyError(ctx, err)
		out.staleConnection = out.kind == broken && request.Trace.Reused && !request.Trace.Answered && connectionEnded(err)
		return nil, Reply{}, out
	}
	reply := x.g.Codec.DecodeReply(resp.Status, resp.Header)
	if !x.isGenuine(resp.Status, reply) {
		resp.Close()
		return nil, Reply{}, x.classifyError(ctx, errUnsigned)
	}
	x.g.recordReply(c, reply, sentAt)
	return resp, reply, outcome{}
}

// errUnsigned is returned for an answer whose head may have been cut, although it looks whole.
const errUnsigned = errors.ConstError("answer lacks the endpoint's signature or the ID of its attempt")

// isGenuine reports whether an answer is one that an endpoint gives. Rejections need neither the ID of their attempt
// nor a signature. Failures need no signature: they promise nothing, whereas callers take any other answer as final.
func (x *exchange) isGenuine(status int, r Reply) bool {
	if r.NotRun {
		return true
	}
	return r.ID == x.call.ID && (r.Signed || status >= http.StatusInternalServerError)
}

// isOwnAnswer reports whether an answer may belong to this attempt by its ID. Rejections may leave the ID
// out; on a connection that has carried no other request they can't belong to another.
func (x *exchange) isOwnAnswer(h http.Header, fresh bool) bool {
	id := x.g.Codec.DecodeReply(0, h).ID
	return id == x.call.ID || (id == "" && fresh)
}

// classifyError returns the outcome of an attempt that failed with err before its answer was complete.
func (x *exchange) classifyError(ctx context.Context, err error) outcome {
	switch {
	case x.hasCallerLeft():
		return outcome{kind: callerLeft, err: err}
	case errors.Is(err, upstream.ErrNotSent):
		return outcome{kind: notReached, err: err, stopOrdered: ctx.Err() != nil}
	case x.isForceStopped():
		return outcome{kind: stopped, err: err}
	case errors.Is(context.Cause(ctx), errBlamed):
		return outcome{kind: canceledByQuarantine, err: errBlamed}
	case errors.Is(context.Cause(ctx), errWeightsReplaced), errors.Is(context.Cause(ctx), errWallRaised):
		return outcome{kind: broken, err: context.Cause(ctx)}
	case ctx.Err() != nil:
		return outcome{kind: timedOut, err: err}
	}
	return outcome{kind: broken, err: err}
}

// handleRejection returns the outcome of an attempt that the endpoint did not run. After a misdirected
// attempt that required weights, the endpoint is asked for its weights; after any other misdirected
// attempt, discovery learns that another instance answers at the address.
func (x *exchange) handleRejection(c routing.Choice, a Attempt, r Reply) outcome {
	switch {
	case r.Misdirected && a.Weights > 0:
		x.g.enqueueWeightQuery(c.Member.ID)
	case r.Misdirected:
		x.g.State.MarkMisdirected(c.Member.ID)
	}
	return outcome{kind: rejected}
}

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader returns a copy of a header without its hop-by-hop fields.
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

// plainAttempt makes an attempt whose answer is not a stream. The answer is forwarded once it is
// complete, so that the request can be retried if it breaks off.
func (x *exchange) plainAttempt(ctx context.Context, c routing.Choice, a Attempt) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer x.cancelWhenBlamed(cancel)()
	if x.route.Kind == routes.Idempotent {
		// When an answer that is not a stream began is not known.
		go x.cancelWhenReplaced(ctx, cancel, c.Member.Endpoint, nil)
	}
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

// handleAnswer forwards an answer that is not a stream. A failure is buffered instead, as another
// endpoint may succeed, unless it is too long for the buffer.
//
// The status is checked before the length: a long 503 for a request that ran would promise, just as
// falsely as a short one, that it did not run.
func (x *exchange) handleAnswer(ctx context.Context, resp *upstream.Response) outcome {
	body, isWhole, err := x.bufferAnswer(resp)
	if err == nil && isWhole {
		err = x.checkEnd(ctx, resp)
	}
	if err != nil {
		return x.classifyError(ctx, err)
	}
	answer := &bufferedAnswer{status: resp.Status, header: resp.Header, body: body}
	switch {
	case x.headWritten || !x.canForwardStatus(resp.Status):
		return outcome{kind: answeredFailure, answer: answer}
	case !isWhole:
		return x.forwardLongAnswer(ctx, answer, resp)
	case resp.Status >= http.StatusInternalServerError:
		return outcome{kind: answeredFailure, answer: answer}
	}
	x.writeAnswer(answer)
	return outcome{kind: delivered}
}

// bufferAnswer reads an answer until its end, up to maxBufferedBytes, or as long as there is memory for it.
func (x *exchange) bufferAnswer(resp *upstream.Response) (body []byte, isWhole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(resp, freeBufferedBytes))
	if err != nil || len(body) < freeBufferedBytes {
		return body, true, err
	}
	if ingress.Hold(x.r.Context(), maxBufferedBytes) != nil {
		return body, false, nil
	}
	body = append(make([]byte, 0, maxBufferedBytes), body...)
	for len(body) < maxBufferedBytes {
		n, err := resp.Read(body[len(body):maxBufferedBytes])
		body = body[:len(body)+n]
		switch err {
		case nil:
		case io.EOF:
			return body, len(body) < maxBufferedBytes, nil
		default:
			return nil, false, err
		}
	}
	return body, false, nil
}

// forwardLongAnswer forwards an answer that is too long to be buffered while it arrives. a holds the
// part read so far.
func (x *exchange) forwardLongAnswer(ctx context.Context, a *bufferedAnswer, rest *upstream.Response) outcome {
	x.writeHead(a.status, a.header, rest.Length)
	x.stream.unresumable = true
	if _, err := x.w.Write(a.body); err != nil {
		return outcome{kind: callerLeft, err: err}
	}
	caller := &callerWriter{Writer: x.w}
	// The rest goes through a part of the same buffer: a caller that does not read holds no other.
	_, err := io.CopyBuffer(caller, rest, a.body[:freeBufferedBytes])
	if caller.err != nil {
		return outcome{kind: callerLeft, err: caller.err}
	}
	if err == nil {
		err = x.checkEnd(ctx, rest)
	}
	if err != nil {
		return x.classifyError(ctx, err)
	}
	return outcome{kind: delivered}
}

// callerWriter records the error of a write to the caller. The error that io.Copy returns doesn't
// distinguish it from an error while reading from the endpoint.
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

// canForwardStatus reports whether a status may be forwarded for a request that has run. Some
// statuses promise that it has not; they are forwarded only for idempotent requests.
func (x *exchange) canForwardStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return x.route.Kind == routes.Idempotent
	}
	return true
}

func (x *exchange) writeAnswer(a *bufferedAnswer) {
	x.writeHead(a.status, a.header, int64(len(a.body)))
	// A caller that has left is noticed by the request's context, so the error is ignored.
	x.w.Write(a.body)
}

// writeHead writes an answer's status and header to the caller. With a negative length, net/http
// chooses the framing.
func (x *exchange) writeHead(status int, header http.Header, length int64) {
	out := x.w.Header()
	for name, values := range forwardedHeader(header) {
		out[name] = values
	}
	if _, typed := out["Content-Type"]; !typed {
		// Without this, net/http would guess a type that the endpoint did not send.
		out["Content-Type"] = nil
	}
	if length >= 0 && x.r.Method != http.MethodHead {
		out.Set("Content-Length", itoa(length))
	}
	x.headWritten, x.status = true, status
	x.w.WriteHeader(status)
}

// recordReply records the weights and the load that an endpoint reports in its answer, and what it asks
// for. The answer of a misdirected attempt may be another instance's, and a rejection need not repeat a
// limit.
func (g *Gateway) recordReply(c routing.Choice, r Reply, sentAt time.Time) {
	if !r.Misdirected && (!r.NotRun || r.Pushback != (pushback.Signal{})) {
		g.Directory.ObservePushback(c, r.Pushback, sentAt, time.Now())
	}
	if r.Weights > 0 {
		g.State.ObserveWeights(c.Member.ID, r.Weights)
	}
	if r.HasLoad {
		g.Directory.ObserveLoad(c, loadOf(r.Load), time.Now())
	}
}
