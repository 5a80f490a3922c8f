package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"limpetwall/internal/transport/memquota"
)

const (
	// lineBytes is what a header line takes in memory beside its text, in bytes: the entries in maps, and slices.
	lineBytes = 192
	// listBytes is what each entry of a header's list takes once it is decoded, in bytes.
	listBytes = 64
	// tlsHeadFactor is how many bytes of memory a byte of a header is charged while it is read over TLS, where its lines are not
	// seen: some short lines.
	tlsHeadFactor = 16
	// firstPiece and largestPiece bound the size of a body's pieces, in bytes.
	firstPiece   = 4 << 10
	largestPiece = 64 << 10
)

// Body is a request's body in pieces, so that none of it is copied while it grows.
type Body [][]byte

// Len returns the number of bytes.
func (b Body) Len() (n int) {
	for _, piece := range b {
		n += len(piece)
	}
	return n
}

// IsRefused reports whether an error means that the memory for callers' requests does not suffice for a request. It has not
// run, and the process has taken nothing of it.
func IsRefused(err error) bool {
	return errors.Is(err, memquota.ErrExhausted) || errors.Is(err, memquota.ErrRevoked)
}

// Admit charges a request's header. If IsRefused holds for its error, the request must be refused.
func Admit(r *http.Request) error {
	q, ok := r.Context().Value(requestKey{}).(*request)
	if !ok || q.account == nil {
		return nil
	}
	cost := headCost(r)
	// What is charged so far was an estimate.
	if err := q.account.Grow(cost - q.headCharge); err != nil {
		return q.refused(err)
	}
	q.account.Shrink(q.headCharge - cost)
	q.headCharge = cost
	if r.Body == http.NoBody {
		return q.refused(q.account.Seal())
	}
	return nil
}

// SetCustomer sets whose request a context belongs to. One customer's requests may hold a part of the memory only.
func SetCustomer(ctx context.Context, name string) {
	if q, ok := ctx.Value(requestKey{}).(*request); ok {
		q.account.Join(name)
	}
}

// headCost returns the memory that a header takes with the copies that are made of it, in bytes.
func headCost(r *http.Request) int64 {
	size, lines, entries := len(r.Method)+len(r.RequestURI)+len(r.Host), 1, 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			lines++
			entries += strings.Count(v, ",")
		}
	}
	return int64(2*(size+lines*lineBytes) + entries*listBytes)
}

// ReadAll reads a request's body, charged to the request, until its end. If IsRefused holds for its error, the request must
// be refused.
func ReadAll(r *http.Request) (Body, error) {
	q, _ := r.Context().Value(requestKey{}).(*request)
	var body Body
	size := firstPiece
	for {
		piece, err := q.newPiece(pieceSize(size, r.ContentLength, int64(body.Len())))
		if err != nil {
			q.release(body)
			return nil, q.refused(err)
		}
		n, err := fill(piece, r.Body)
		if n > 0 {
			body = append(body, piece[:n])
		}
		switch err {
		case nil:
			size = min(2*size, largestPiece)
			continue
		case io.EOF:
			if err := q.seal(); err != nil {
				q.release(body)
				return nil, err
			}
			return body, nil
		}
		q.release(body)
		if q != nil && q.account.IsRevoked() {
			return nil, q.refused(memquota.ErrRevoked)
		}
		return nil, err
	}
}

// fill reads until a piece is full. Unlike io.ReadFull, it returns the reader's own error.
func fill(piece []byte, r io.Reader) (n int, err error) {
	for n < len(piece) && err == nil {
		var read int
		read, err = r.Read(piece[n:])
		n += read
	}
	return n, err
}

// pieceSize returns the size of the next piece of a body of which have bytes were read.
func pieceSize(size int, contentLength, have int64) int {
	if contentLength < 0 {
		return size
	}
	return int(min(largestPiece, max(1, contentLength-have)))
}

// newPiece charges and allocates a piece.
func (q *request) newPiece(size int) ([]byte, error) {
	if q != nil {
		if err := q.account.Grow(int64(size)); err != nil {
			return nil, err
		}
	}
	return make([]byte, size), nil
}

// release frees what a body has been charged.
func (q *request) release(b Body) {
	if q == nil {
		return
	}
	for _, piece := range b {
		q.account.Shrink(int64(cap(piece)))
	}
}

// seal records that the request is complete.
func (q *request) seal() error {
	if q == nil {
		return nil
	}
	return q.refused(q.account.Seal())
}

// refused counts and logs a request for which there is no memory.
func (q *request) refused(err error) error {
	if IsRefused(err) && q != nil {
		q.conn.server.report.refusedForMemory(q.conn, q.requestID(), err)
	}
	return err
}

// Join returns the body in one piece, charged to the request besides the pieces.
func (b Body) Join(ctx context.Context) ([]byte, error) {
	if len(b) == 1 {
		return b[0], nil
	}
	if err := Hold(ctx, b.Len()); err != nil {
		return nil, err
	}
	return bytes.Join(b, nil), nil
}

// Hold charges n bytes to the request of a context until it ends. If IsRefused holds for its error, the caller must do without
// them.
func Hold(ctx context.Context, n int) error {
	q, ok := ctx.Value(requestKey{}).(*request)
	if !ok {
		return nil
	}
	return q.account.Grow(int64(n))
}

// Release takes back n bytes of a Hold.
func Release(ctx context.Context, n int) {
	if q, ok := ctx.Value(requestKey{}).(*request); ok {
		q.account.Shrink(int64(n))
	}
}

// TakeBuffer returns a buffer of memquota.BufferSize for a part of an answer, for the time until it has been passed on. It may wait
// until one is free or ctx, which belongs to the request, ends.
func TakeBuffer(ctx context.Context) ([]byte, error) {
	q, ok := ctx.Value(requestKey{}).(*request)
	if !ok {
		return make([]byte, memquota.BufferSize), nil
	}
	if buf := q.account.TryTakeBuffer(); buf != nil {
		return buf, nil
	}
	q.conn.server.report.waitedForBuffer(q.conn, q.requestID())
	return q.account.TakeBuffer(ctx)
}

// ReturnBuffer ends the use of a buffer.
func ReturnBuffer(ctx context.Context, buf []byte) {
	if q, ok := ctx.Value(requestKey{}).(*request); ok {
		q.account.ReturnBuffer(buf)
	}
}
