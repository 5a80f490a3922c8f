package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/ingress"
	"limpetwall/internal/transport/upstream"
)

// streamState records what the caller has received of a stream.
type streamState struct {
	// lastID is the id of the last event that the caller has and that has one, lastNumber its value if numeric.
	lastID     string
	lastNumber int64
	// firstID is the id of the first event of the last attempt, and skipped counts its events that the caller had.
	firstID string
	skipped int
	// isEndMarked is set if the last event says that it is the last.
	isEndMarked bool
	// unresumable is set if the caller has received data after the last event with an id, or part
	// of an answer that is not a stream. Nothing can be appended to either.
	unresumable bool
	// origin is the service and the software version that began the stream, nil before its first event.
	origin *streamorigin.Origin
	// isResumption is set if an earlier attempt of the caller brought the first event.
	isResumption bool
	// isOriginKnown is set if the origin of a resumed stream was found, and not only its service's version.
	isOriginKnown bool
	// keys are those under which the origin is recorded, nil before.
	keys []streamorigin.Key
}

// errTruncatedEvent is returned when a stream ends inside an event.
const errTruncatedEvent = errors.ConstError("stream ended inside an event")

// errEmptyStream is returned when the connection ends a stream that is not delimited otherwise before its first event.
const errEmptyStream = errors.ConstError("stream ended before its first event")

// streamAttempt makes an attempt whose answer is a stream. Each event is forwarded as soon as it is
// complete, and only once. An attempt after a broken one resumes after the last event forwarded.
func (x *exchange) streamAttempt(ctx context.Context, c routing.Choice, a Attempt) outcome {
	// What a run has shown before a move still holds where it goes on.
	x.firstEventAt, x.ranWell = time.Time{}, x.ranWell && a.ContinueFrom != ""
	x.stream.firstID, x.stream.skipped, x.stream.isEndMarked = "", 0, false
	if x.isResumable() {
		x.stream.resumeAfter(x.call.LastEvent)
	}
	if x.stream.lastID != "" {
		a.LastEvent = x.stream.lastID
	}
	requestCtx := ctx
	ctx, stop := x.withBeginDeadline(requestCtx, c, a.ContinueFrom != "")
	defer stop()
	resp, reply, out := x.send(ctx, c, a)
	if resp == nil {
		return out
	}
	defer resp.Close()
	if reply.NotRun {
		return x.handleRejection(c, a, reply)
	}
	if resp.Status != http.StatusOK || isJSON(resp.Header) {
		return x.handleAnswer(ctx, resp)
	}
	x.g.Directory.RecordSent(c, x.startedAt)
	x.relocation = x.watchRelocation(ctx, stop, c, a)
	out = x.relayEvents(ctx, c, resp)
	next, moved := x.relocation.finish()
	switch {
	case !moved && x.relocation.retained != nil:
		return x.endStoppedRun(requestCtx, x.relocation.correctOutcome(out, resp), x.relocation.retained)
	case !moved:
		return x.relocation.correctOutcome(out, resp)
	case requestCtx.Err() != nil:
		x.abandon(next)
		out = x.classifyError(requestCtx, requestCtx.Err())
		out.stopOrdered = true
		return out
	}
	if x.g.hasLeft(next.choice) {
		x.g.Directory.Release(next.choice)
		return x.returnToSource(next, outcome{kind: broken, err: errRunStopped, stopOrdered: true})
	}
	return outcome{kind: relocated, next: next}
}

// isJSON reports whether the content type is JSON, so that the answer is a document and not a stream.
// Other types are no evidence: if a server names none, its HTTP library guesses one.
func isJSON(h http.Header) bool {
	mediaType, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return mediaType == "application/json"
}

// errWeightsReplaced is the cause when an attempt that has not begun is canceled because its
// endpoint's weights may no longer be used.
const errWeightsReplaced = errors.ConstError("the endpoint's weights were replaced before it began")

const (
	// errWallRaised is the cause when an attempt that has not begun is canceled because a customer was
	// isolated with which it would share context.
	errWallRaised = errors.ConstError("a customer was isolated before it began")
	// wallGrace is how long an attempt that was sent before a customer was isolated may still begin. Few
	// wait longer, and each that is canceled spends from the retry budget.
	wallGrace = 500 * time.Millisecond
)

// withBeginDeadline returns a context that is canceled while the stream has not begun, if the request is
// found to crash endpoints, if the endpoint's replaced weights may no longer be used, or if it would use
// context across a new wall. Endpoints that
// are about to load other weights are the fullest: a request may wait there for seconds longer than
// predicted, and its answer would be useless. A run that goes on has begun. The returned function releases the context.
func (x *exchange) withBeginDeadline(ctx context.Context, c routing.Choice, isContinued bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unwatch := func() {}
	if !x.ranWell {
		unwatch = x.cancelWhenBlamed(cancel)
	}
	waiting, endWait := context.WithCancel(ctx)
	if !isContinued {
		shared := x.sharedTable
		if !x.canResume() || len(x.attempts)+1 >= x.route.MaxAttempts {
			// It could not be sent again.
			shared = nil
		}
		go x.cancelWhenReplaced(waiting, cancel, c.Member.Endpoint, shared)
	}
	x.onStreamBegun = func() {
		endWait()
		unwatch()
	}
	return ctx, func() {
		x.onStreamBegun()
		cancel(nil)
	}
}

// cancelWhenReplaced cancels an attempt once the weights that it was sent for may no longer be used, until
// ctx ends. They may be replaced, or turn out to have been replaced earlier, while the request waits. It does
// so, too, if a customer is isolated that was not so in the configuration shared, nil if that does not matter.
func (x *exchange) cancelWhenReplaced(ctx context.Context, cancel context.CancelCauseFunc, sentTo fleet.Endpoint, shared *routes.Table) {
	version, err := strconv.ParseInt(sentTo.WeightVersion, 10, 64)
	if err != nil {
		return
	}
	var wallEnd <-chan time.Time
	for {
		changed, walls := x.g.State.NamingsChanged(), x.g.State.WallsRaised()
		if shared != nil && wallEnd == nil {
			if isolated, _, _ := x.g.State.Routes().WallsChanged(shared); len(isolated) > 0 {
				wallEnd = time.After(wallGrace)
			}
		}
		var end <-chan time.Time
		if left, limited := x.g.State.TimeLeftToBegin(sentTo.Model, version); limited {
			end = time.After(max(0, left))
		}
		select {
		case <-end:
			if ctx.Err() == nil {
				cancel(errWeightsReplaced)
			}
			return
		case <-wallEnd:
			if ctx.Err() == nil {
				cancel(errWallRaised)
			}
			return
		case <-changed:
		case <-walls:
		case <-ctx.Done():
			return
		}
	}
}

// relayEvents forwards events until the stream ends.
func (x *exchange) relayEvents(ctx context.Context, c routing.Choice, resp *upstream.Response) outcome {
	reader := &eventReader{ctx: ctx, r: bufio.NewReaderSize(resp, eventReadSize)}
	defer reader.release()
	controller := http.NewResponseController(x.w)
	for {
		event, err := reader.next()
		if err == io.EOF {
			return x.finishStream(ctx, resp)
		}
		if ingress.IsRefused(err) {
			return outcome{kind: callerLeft, err: err}
		}
		if err != nil {
			return x.classifyError(ctx, err)
		}
		if !x.stream.advance(event) {
			continue
		}
		if x.firstEventAt.IsZero() {
			x.firstEventAt = time.Now()
			x.onStreamBegun()
			x.recordOrigin(c)
			x.g.Directory.RecordFirstToken(c, x.firstEventAt)
			if !x.headWritten {
				metrics.GetOrRegisterTimer("gateway.first_event", x.g.Metrics).UpdateSince(x.startedAt)
			}
		}
		x.recordEvent(c, time.Now())
		if quarantine.HasRunWell(time.Since(x.firstEventAt)) {
			x.recordRanWell(x.firstEventAt)
		}
		x.relocation.hasOutput.Store(true)
		x.writeStreamHead(resp)
		if err := x.writeEvent(controller, event); err != nil {
			return outcome{kind: callerLeft, err: err}
		}
	}
}

// writeEvent writes an event to the caller.
func (x *exchange) writeEvent(controller *http.ResponseController, event []byte) error {
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	return controller.Flush()
}

// writeStreamHead writes the status and header to the caller unless that is done already. It is called
// with the first event, or at the end of an empty stream: until then, another endpoint may still be tried
// from scratch.
func (x *exchange) writeStreamHead(resp *upstream.Response) {
	if x.headWritten {
		return
	}
	x.writeHead(resp.Status, resp.Header, -1)
}

// finishStream ends a stream that was read to its end.
func (x *exchange) finishStream(ctx context.Context, resp *upstream.Response) outcome {
	isEmpty := x.firstEventAt.IsZero() && x.stream.lastID == "" && x.call.LastEvent == ""
	switch {
	case x.stream.isEndMarked:
	case resp.EndsWithConnection && isEmpty:
		return outcome{kind: broken, err: errEmptyStream}
	default:
		if err := x.checkEnd(ctx, resp); err != nil {
			return x.classifyError(ctx, err)
		}
	}
	x.writeStreamHead(resp)
	return outcome{kind: delivered}
}

// resumeAfter records the last event that the caller has received elsewhere, unless events were forwarded since. An id that is no number
// does not tell which events come before it.
func (st *streamState) resumeAfter(id string) {
	if st.lastID != "" {
		return
	}
	if number, err := strconv.ParseInt(id, 10, 64); err == nil {
		st.lastID, st.lastNumber = id, number
	}
}

// advance reports whether an event is new to the caller, and if so records it as forwarded.
func (st *streamState) advance(event []byte) bool {
	st.isEndMarked = isEndMark(event)
	id, ok := eventID(event)
	if !ok {
		st.unresumable = st.unresumable || !isComment(event)
		return true
	}
	if st.firstID == "" {
		st.firstID = id
	}
	number, err := strconv.ParseInt(id, 10, 64)
	if err == nil {
		if st.lastID != "" && number <= st.lastNumber {
			st.skipped++
			return false
		}
		st.lastNumber = number
	}
	st.lastID, st.unresumable = id, false
	return true
}

// isComment reports whether an event consists of comment lines only, which keep a connection alive.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// endMark is the data of the event that ends a stream of the OpenAI API.
const endMark = "[DONE]"

// isEndMark reports whether an event says that no other follows.
func isEndMark(event []byte) bool {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return string(bytes.TrimSpace(data)) == endMark
		}
	}
	return false
}

// eventID returns the value of an event's id field and whether there is one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
