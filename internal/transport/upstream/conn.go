package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/answerend"
)

// Errors of an exchange. Any other error means that the request may have reached
// the endpoint.
const (
	// ErrNotSent: no byte of the request left this process.
	ErrNotSent = errors.ConstError("request was not sent")
	// ErrForeign: what arrived on the connection is not an answer to the request.
	ErrForeign = errors.ConstError("answer belongs to no request")
)

const (
	// readBuffer is enough for an answer's header and one or two events.
	readBuffer = 8 << 10
	// maxInlineBody is the largest body that is written before the answer is read: it
	// fits a peer's receive window. Longer bodies are written concurrently, as an endpoint
	// that answers early without reading the body would block the writer forever.
	maxInlineBody = 16 << 10
	// maxForeign is the number of foreign answers skipped in a row, of at most maxForeignBody bytes each.
	maxForeign     = 4
	maxForeignBody = 1 << 20
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Body in pieces.
	Body [][]byte
	// HasBody is set if the caller declared a length, even if Body is empty.
	HasBody bool
	// Matches reports whether an answer's header belongs to this request. fresh is set if
	// the connection has carried no other request.
	Matches func(h http.Header, fresh bool) bool
	// FreshConnection requires a connection that has carried no other request.
	FreshConnection bool
	// OpenBy bounds the wait for a new connection, zero if only the dialer does.
	OpenBy time.Time
	// Trace is filled in by Pool.Do.
	Trace Trace
}

func (r *Request) bodySize() (size int) {
	for _, piece := range r.Body {
		size += len(piece)
	}
	return size
}

// Trace describes how far a request got on its connection.
type Trace struct {
	// Reused is set if the connection had carried another request before.
	Reused bool
	// Answered is set once a byte of an answer arrived.
	Answered bool
}

// conn is one connection. It carries one exchange at a time.
type conn struct {
	*answerend.Conn
	reader *bufio.Reader
	// served is the number of exchanges begun.
	served int
	// idleSince and idleFor bound its reuse.
	idleSince time.Time
	idleFor   time.Duration
	// writing is closed when the write of the current request ends; wrote is its error.
	writing chan struct{}
	wrote   error
	// hasGrown is set if the reader has grown beyond readBuffer.
	hasGrown bool
}

func newConn(c net.Conn) *conn {
	wrapped := answerend.NewConn(c)
	return &conn{Conn: wrapped, reader: bufio.NewReaderSize(wrapped, readBuffer)}
}

// isUsable reports whether an idle connection may carry another request. It may not if
// bytes arrived while it was idle, which belong to no request, or if the endpoint closed
// it. Neither check waits.
func (c *conn) isUsable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleFor || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// send writes a request. A long body is written in the background while the answer is read.
func (c *conn) send(r *Request) error {
	c.served++
	c.writing, c.wrote = make(chan struct{}), nil
	head := r.head()
	if r.bodySize() <= maxInlineBody {
		for _, piece := range r.Body {
			head = append(head, piece...)
		}
		n, err := c.Write(head)
		c.wrote = err
		close(c.writing)
		if err != nil && n == 0 {
			return errors.WithType(err, ErrNotSent)
		}
		// The endpoint may have answered early and closed; that answer is still to be read.
		return nil
	}
	if n, err := c.Write(head); err != nil {
		c.wrote = err
		close(c.writing)
		if n == 0 {
			return errors.WithType(err, ErrNotSent)
		}
		return nil
	}
	c.watchUnread()
	go func(done chan struct{}) {
		defer close(done)
		for _, piece := range r.Body {
			if _, c.wrote = c.Write(piece); c.wrote != nil {
				return
			}
		}
	}(c.writing)
	return nil
}

// isWritten reports whether the whole request has been written.
func (c *conn) isWritten() bool {
	select {
	case <-c.writing:
		return c.wrote == nil
	default:
		return false
	}
}

func (r *Request) head() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	r.Header.Write(&b)
	if size := r.bodySize(); size > 0 || r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// answer reads the head of the answer to r. It skips interim and foreign answers: an
// endpoint may send a second answer to an earlier request late, and one caller would
// otherwise get another's answer.
func (c *conn) answer(r *Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	interim := 0
	for skipped := 0; skipped <= maxForeign; {
		// The time before the first byte of a head is the endpoint's to work in.
		if _, err := c.reader.Peek(1); err == io.EOF {
			return nil, errors.Trace(io.ErrUnexpectedEOF)
		} else if err != nil {
			return nil, errors.Trace(err)
		}
		r.Trace.Answered = true
		resp, err := c.readHead(asked)
		if err != nil {
			return nil, err
		}
		switch resp.StatusCode / 100 {
		case 0:
			// net/http reads such a status and panics on writing it: the caller's connection
			// would break without an answer, and the run would still be counted at the endpoint.
			return nil, ErrForeign
		case 1:
			if interim++; interim > maxInterim {
				return nil, errors.Annotate(ErrBadHead, "too many informational answers")
			}
			continue
		}
		if r.Matches(resp.Header, c.served == 1) {
			return resp, nil
		}
		skipped++
		if resp.Close {
			break
		}
		if !c.discard(resp.Body) {
			break
		}
	}
	return nil, ErrForeign
}

// discard reads the body of a foreign answer to its end, and reports whether it came within its bounds.
func (c *conn) discard(body io.Reader) bool {
	c.SetReadDeadline(time.Now().Add(foreignTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxForeignBody))
	return err == nil && n < maxForeignBody && c.SetReadDeadline(time.Time{}) == nil
}

// keepAlive returns how long an endpoint keeps an idle connection.
func keepAlive(h http.Header, standard time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return standard
}
