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

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/transport/upstream"
)

// streamState is what the caller already has of a stream.
type streamState struct {
	// last is the id of the last event passed on, number its value.
	last   string
	number int64
	// unresumable tells that the caller has bytes behind the last event with an id, or of an
	// answer that is no stream: nothing can be joined to them.
	unresumable bool
}

// errTorn marks a stream that ended inside an event.
const errTorn = errors.ConstError("stream ended inside an event")

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// streamAttempt runs a request whose answer is a stream, and passes its events on
// as they come, each whole and once. After a broken attempt the next goes on
// behind the last event passed on.
func (x *exchange) streamAttempt(ctx context.Context, c routing.Choice, s Attempt) outcome {
	x.firstEventAt = time.Time{}
	if x.stream.last != "" {
		s.LastEvent = x.stream.last
	}
	request := ctx
	ctx, stop := x.withBeginDeadline(request, c)
	defer stop()
	resp, reply, out := x.send(ctx, c, s)
	if resp == nil {
		return out
	}
	defer resp.Close()
	if reply.NotRun {
		return x.rejectedBy(c, s, reply)
	}
	if resp.Status != http.StatusOK || isDocument(resp.Header) {
		return x.takeAnswer(ctx, resp)
	}
	x.g.Directory.RecordSent(c, x.startedAt)
	x.relocation = x.watchRelocation(ctx, stop, c, s)
	out = x.relay(ctx, c, resp)
	next, moved := x.relocation.outcome()
	switch {
	case !moved:
		return x.relocation.judge(out, resp)
	case request.Err() != nil:
		x.abandon(next)
		out = x.classifyError(request, request.Err())
		out.stopOrdered = true
		return out
	}
	return outcome{kind: relocated, next: next}
}

// isDocument tells a whole answer from a stream. Other types don't tell: a server that names none has one guessed.
func isDocument(h http.Header) bool {
	mediaType, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return mediaType == "application/json"
}

// errReplacedWeights ends an attempt that has not begun when its endpoint's weights
// may not be used any more.
const errReplacedWeights = errors.ConstError("the endpoint's weights were replaced before it began")

// withBeginDeadline ends an attempt that has not begun when its request turns out to crash endpoints, and one at replaced
// weights that does not begin before their time is up. Endpoints that load others are the fullest: a request may wait in one
// for seconds longer than was foreseen, and its answer would be worth nothing.
func (x *exchange) withBeginDeadline(ctx context.Context, c routing.Choice) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unwatch := x.callBackWhenBlamed(cancel)
	x.onStreamBegun = unwatch
	if left, limited := x.g.State.BeginLeft(c.Member.ID); limited {
		timer := time.AfterFunc(max(0, left), func() { cancel(errReplacedWeights) })
		x.onStreamBegun = func() {
			timer.Stop()
			unwatch()
		}
	}
	return ctx, func() {
		x.onStreamBegun()
		cancel(nil)
	}
}

// relay passes events on until the stream ends.
func (x *exchange) relay(ctx context.Context, c routing.Choice, resp *upstream.Response) outcome {
	reader := bufio.NewReader(resp)
	flush := http.NewResponseController(x.w)
	for {
		event, err := readEvent(reader)
		if err == io.EOF {
			return x.endOfStream(resp)
		}
		if err != nil {
			return x.classifyError(ctx, err)
		}
		if !x.stream.take(event) {
			continue
		}
		if x.firstEventAt.IsZero() {
			x.firstEventAt = time.Now()
			x.onStreamBegun()
			x.g.Directory.RecordFirstToken(c, x.firstEventAt)
			if !x.headWritten {
				metrics.GetOrRegisterTimer("gateway.first_event", x.g.Metrics).UpdateSince(x.startedAt)
			}
		}
		x.relocation.begun.Store(true)
		x.beginStream(resp)
		if _, err := x.w.Write(event); err != nil {
			return outcome{kind: callerLeft, err: err}
		}
		if err := flush.Flush(); err != nil {
			return outcome{kind: callerLeft, err: err}
		}
	}
}

// beginStream passes the head on with the first event: until then another
// endpoint may still be asked as if nothing had happened.
func (x *exchange) beginStream(resp *upstream.Response) {
	if x.headWritten {
		return
	}
	x.writeHead(resp.Status, resp.Header, -1)
}

func (x *exchange) endOfStream(resp *upstream.Response) outcome {
	x.beginStream(resp)
	return outcome{kind: delivered}
}

// take tells whether an event is new to the caller, and counts it as passed on.
func (st *streamState) take(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		st.unresumable = st.unresumable || !isComment(event)
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	if err == nil {
		if st.last != "" && number <= st.number {
			return false
		}
		st.number = number
	}
	st.last, st.unresumable = id, false
	return true
}

// isComment tells whether an event carries nothing: such lines only keep a connection busy.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID finds an event's id field.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// readEvent reads one whole event with the blank line that ends it; io.EOF comes
// only between events.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for len(event) <= maxEvent {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(event) > 0:
			return nil, errTorn
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && endsLine(event, line) {
			return event, nil
		}
	}
	return nil, errors.New("event is too large")
}

// endsLine tells whether line, the end of event, is a line of its own and not the
// tail of one that did not fit the buffer.
func endsLine(event, line []byte) bool {
	before := event[:len(event)-len(line)]
	return len(before) == 0 || before[len(before)-1] == '\n'
}
