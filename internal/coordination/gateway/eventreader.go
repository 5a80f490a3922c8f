package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"

	"github.com/juju/errors"

	"limpetwall/internal/transport/ingress"
)

const (
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 256 << 10
	// eventReadSize is how much of an event is read at once, and freeEventBytes what is read of it without a large buffer, in bytes.
	eventReadSize  = 2 << 10
	freeEventBytes = 8 << 10
)

// eventReader reads the events of a stream one by one. An event beyond freeEventBytes is in one of the process's few
// large buffers, so that callers that do not read cannot make it hold many large events.
type eventReader struct {
	// ctx is the context of the attempt.
	ctx context.Context
	r   *bufio.Reader
	// event is what was read of the current event. isLarge is set if it is in a large buffer.
	event   []byte
	isLarge bool
}

// next returns the next event up to and including the blank line that ends it, valid until the next call. It returns io.EOF only if
// the stream ends between events.
func (e *eventReader) next() ([]byte, error) {
	e.release()
	for len(e.event) <= maxEventBytes {
		line, err := e.r.ReadSlice('\n')
		if err := e.append(line); err != nil {
			return nil, err
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(e.event) > 0:
			return nil, errTruncatedEvent
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && isWholeLine(e.event, line) {
			return e.event, nil
		}
	}
	return nil, errors.New("event is too large")
}

// append adds bytes to the event. It may wait for a large buffer.
func (e *eventReader) append(b []byte) error {
	if size := len(e.event) + len(b); !e.isLarge && size > freeEventBytes {
		buf, err := ingress.TakeBuffer(e.ctx)
		if err != nil {
			return err
		}
		e.event, e.isLarge = buf[:copy(buf, e.event)], true
	}
	e.event = append(e.event, b...)
	return nil
}

// release ends the use of the last event.
func (e *eventReader) release() {
	if e.isLarge {
		ingress.ReturnBuffer(e.ctx, e.event[:cap(e.event)])
	}
	if e.isLarge || cap(e.event) > eventReadSize {
		e.event = nil
	}
	e.event, e.isLarge = e.event[:0], false
}

// isWholeLine reports whether line, the end of event, is a complete line and not the rest of one that
// did not fit into the buffer.
func isWholeLine(event, line []byte) bool {
	before := event[:len(event)-len(line)]
	return len(before) == 0 || before[len(before)-1] == '\n'
}
