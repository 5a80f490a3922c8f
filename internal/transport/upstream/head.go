package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// Bounds of an answer's head. An endpoint may send bytes that are no answer, without end.
const (
	// maxHeadBytes is four times what callers may usually send in a head.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the header fields, each of which takes many times its bytes in memory.
	maxHeadLines = 256
	// maxInterim is the number of informational answers before a final one: one a second for a minute, as a sign of
	// life during a long prompt.
	maxInterim = 64
	// headTimeout is the time from the first byte of a head to its end. Endpoints write a head at once, and a lost
	// segment is sent again after 200 and 400 ms. The time before the first byte, in which the endpoint is at work, is
	// not bounded here.
	headTimeout = 600 * time.Millisecond
	// lateRead is the time to read what arrived before the timeout but was not read, as this process was paused.
	lateRead = 50 * time.Millisecond
	// foreignTimeout bounds reading the body of a foreign answer that is skipped.
	foreignTimeout = headTimeout
)

// ErrBadHead means that what arrived is not the head of an answer or exceeds the bounds of one.
const ErrBadHead = errors.ConstError("answer has no proper head")

var (
	httpPrefix = []byte("HTTP/")
	// firstCoded is the first version of the protocol whose answers may have a transfer coding.
	firstCoded     = []byte("HTTP/1.1")
	transferCoding = []byte("Transfer-Encoding")
)

// readHead reads the head of one answer, whose first byte has arrived, within the bounds. The body is then read
// from c.reader.
func (c *conn) readHead(asked *http.Request) (*http.Response, error) {
	if err := c.awaitHead(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, asked)
	return resp, errors.Trace(err)
}

// awaitHead waits until c.reader has buffered a whole head.
func (c *conn) awaitHead() error {
	var head headScan
	var deadline time.Time
	for isLate := false; ; {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		isWhole, err := head.scan(buffered)
		switch {
		case err != nil:
			return err
		case isWhole && deadline.IsZero():
			return nil
		case isWhole:
			return errors.Trace(c.SetReadDeadline(time.Time{}))
		case isLate:
			return errors.Annotate(ErrBadHead, "its end is late")
		}
		if deadline.IsZero() {
			deadline = time.Now().Add(headTimeout)
			c.SetReadDeadline(deadline)
		}
		if len(buffered) == c.reader.Size() {
			c.growReader(buffered)
		}
		_, err = c.reader.Peek(len(buffered) + 1)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			isLate = true
			c.SetReadDeadline(time.Now().Add(lateRead))
			c.reader.Peek(len(buffered) + 1)
		case err == io.EOF:
			return errors.Trace(io.ErrUnexpectedEOF)
		case err != nil:
			return errors.Trace(err)
		}
	}
}

// growReader replaces a reader whose buffer is full by one that holds the longest head allowed.
func (c *conn) growReader(buffered []byte) {
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.Conn)
	c.reader = bufio.NewReaderSize(rest, maxHeadBytes)
	c.reader.Peek(len(buffered))
	c.hasGrown = true
}

// headScan looks for the end of a head in its first bytes, and checks its bounds.
type headScan struct {
	// scanned bytes are whole lines.
	scanned, lines int
	// isUncoded is set if the answer's version of the protocol has no transfer codings.
	isUncoded bool
}

// scan reports whether buffered, which begins with what was scanned before, holds a whole head.
func (s *headScan) scan(buffered []byte) (isWhole bool, err error) {
	if n := min(len(buffered), len(httpPrefix)); !bytes.Equal(buffered[:n], httpPrefix[:n]) {
		return false, errors.Annotate(ErrBadHead, "it does not begin with a status line")
	}
	for {
		length := bytes.IndexByte(buffered[s.scanned:], '\n') + 1
		if length == 0 {
			break
		}
		line := buffered[s.scanned : s.scanned+length]
		s.scanned += length
		if s.lines++; s.lines > maxHeadLines+2 {
			return false, errors.Annotate(ErrBadHead, "too many header lines")
		}
		if len(line) == 1 || (len(line) == 2 && line[0] == '\r') {
			return true, nil
		}
		switch {
		case s.lines == 1 && !isStatusLine(line):
			return false, errors.Annotate(ErrBadHead, "its status line is malformed")
		case s.lines == 1:
			s.isUncoded = bytes.Compare(line, firstCoded) < 0
		case !isFieldLine(line):
			return false, errors.Annotate(ErrBadHead, "a header line is malformed")
		case s.isUncoded && hasName(line, transferCoding):
			// net/http ignores it there, and would take the sizes of the chunks for a part of the body.
			return false, errors.Annotate(ErrBadHead, "its version of the protocol has no transfer codings")
		}
	}
	if len(buffered) >= maxHeadBytes {
		return false, errors.Annotate(ErrBadHead, "too many bytes")
	}
	return false, nil
}

// isStatusLine reports whether a line is "HTTP/" version, a blank, a status of three digits from 100 on, and a reason, as
// RFC 9112, section 4 has it; the blank before an empty reason may be missing.
func isStatusLine(line []byte) bool {
	line = trimLineEnd(line)
	const version, status = len("HTTP/1.1"), len("HTTP/1.1 200")
	if len(line) < status || line[version] != ' ' || line[version+1] < '1' {
		return false
	}
	for _, at := range [...]int{version - 3, version - 1, version + 1, version + 2, version + 3} {
		if line[at] < '0' || line[at] > '9' {
			return false
		}
	}
	reason := line[status:]
	return line[version-2] == '.' && (len(reason) == 0 || reason[0] == ' ') && httpguts.ValidHeaderFieldValue(string(reason))
}

// isFieldLine reports whether a line is a header field, or the continuation of one, as RFC 9112, section 5 has it. net/http
// accepts blanks in names, and would not know "Content-Length : 5" for a length.
func isFieldLine(line []byte) bool {
	line = trimLineEnd(line)
	if line[0] == ' ' || line[0] == '\t' {
		return httpguts.ValidHeaderFieldValue(string(line))
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	return found && httpguts.ValidHeaderFieldName(string(name)) && httpguts.ValidHeaderFieldValue(string(value))
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// hasName reports whether a header line is that of a field.
func hasName(line, field []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return bytes.EqualFold(name, field)
}
