package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/answerend"
)

const (
	// standardIdle is how long an idle connection is reused if its endpoint sets no limit.
	standardIdle = 4 * time.Second
	// idleMargin is subtracted from the endpoint's idle limit: a request that is sent while
	// the endpoint closes the connection has an unknown outcome.
	idleMargin = time.Second
	// maxIdle is the number of idle connections kept for one address.
	maxIdle = 24
)

// Pool keeps idle connections to endpoints. Safe for concurrent use.
type Pool struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	witnesses *answerend.Witnesses

	mu   sync.Mutex
	idle map[string][]*conn

	// Opened is the number of connections opened so far.
	Opened atomic.Int64
}

// NewPool returns an empty pool.
func NewPool(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Pool {
	return &Pool{dial: dial, witnesses: answerend.NewWitnesses(dial), idle: map[string][]*conn{}}
}

// Response is an answer whose body is read as it arrives.
type Response struct {
	Status int
	Header http.Header
	// Length of the body, -1 if it is not declared.
	Length int64
	// EndsWithConnection is set if only the end of the connection delimits the body: a body
	// that an orderly close truncates looks complete. EndEvidence then shows whether it is.
	EndsWithConnection bool

	body io.ReadCloser
	conn *conn
	// watch is nil unless EndsWithConnection.
	watch *answerend.Watch
	pool  *Pool
	stop  func() bool
	addr  string
	err   error
}

// Do sends a request and returns the head of its answer. When ctx ends, the connection
// is closed, on which the endpoint stops working on the request. The caller
// must Close the response.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	r.Trace = Trace{}
	if c := p.popUsable(address, r); c != nil {
		r.Trace.Reused = true
		resp, err := p.exchange(ctx, address, c, r)
		if !errors.Is(err, ErrNotSent) || ctx.Err() != nil {
			return resp, err
		}
		// The endpoint closed the connection after it was found usable. It may still be
		// reachable.
		r.Trace.Reused = false
	}
	opening := ctx
	if !r.OpenBy.IsZero() {
		var cancel context.CancelFunc
		opening, cancel = context.WithDeadline(ctx, r.OpenBy)
		defer cancel()
	}
	c, err := p.open(opening, address)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	return p.exchange(ctx, address, c, r)
}

// exchange sends a request on a connection and reads the head of its answer.
func (p *Pool) exchange(ctx context.Context, address string, c *conn, r *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	err := c.send(r)
	var head *http.Response
	if err == nil {
		head, err = c.answer(r)
	}
	if err != nil {
		stop()
		c.Close()
		return nil, err
	}
	resp := &Response{
		Status: head.StatusCode, Header: head.Header, Length: head.ContentLength,
		EndsWithConnection: head.ContentLength < 0 && len(head.TransferEncoding) == 0 && head.Body != http.NoBody,
		body:               head.Body, conn: c, pool: p, stop: stop, addr: address,
		err: checkReusable(head, c),
	}
	if resp.EndsWithConnection {
		resp.watch = p.witnesses.Start(c.Conn, address)
	}
	return resp, nil
}

// errNotReusable is returned for a connection that can't be used again.
const errNotReusable = errors.ConstError("connection ends with this answer")

func checkReusable(head *http.Response, c *conn) error {
	c.idleFor = keepAlive(head.Header, standardIdle+idleMargin) - idleMargin
	if head.Close || c.idleFor <= 0 || c.hasGrown {
		return errNotReusable
	}
	return nil
}

// Read implements io.Reader. It returns io.EOF only after a complete body, unless EndsWithConnection is set.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err != nil {
		r.finish(err)
	}
	return n, err
}

// EndEvidence returns what is known of the process that sent the answer after Read has returned io.EOF, if
// EndsWithConnection is set.
func (r *Response) EndEvidence(ctx context.Context) answerend.Evidence {
	return r.watch.Evidence(ctx)
}

// finish returns the connection to the pool after a complete body, and closes it otherwise.
func (r *Response) finish(err error) {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	// The end of the request's context must not close a connection that the next request uses.
	alive := r.stop()
	// Bytes behind the body belong to no request.
	if err != io.EOF || r.err != nil || !alive || !c.isWritten() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	r.pool.put(r.addr, c)
}

// Close ends the exchange. It closes the connection unless the body was read to its end.
func (r *Response) Close() {
	r.finish(io.ErrUnexpectedEOF)
	if r.watch != nil {
		r.watch.Stop()
	}
}

// popUsable removes and returns a usable idle connection, or nil.
func (p *Pool) popUsable(address string, r *Request) *conn {
	if r.FreshConnection {
		return nil
	}
	now := time.Now()
	for c := p.pop(address); c != nil; c = p.pop(address) {
		if c.isUsable(now) {
			return c
		}
		c.Close()
	}
	return nil
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.Opened.Add(1)
	return newConn(raw), nil
}

// pop removes and returns the connection that was used last, so that surplus connections
// expire.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(address string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= maxIdle {
		list[0].Close()
		list = list[1:]
	}
	p.idle[address] = append(list, c)
}

// Forget closes the idle connections of an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Sweep closes connections that have been idle too long, that their endpoints closed or on which bytes came that
// belong to no request.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if !c.isUsable(now) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}
