// Package plainservice is the port to a service that is no model engine. Some
// of its calls may not be repeated; only the agent beside it calls it.
package plainservice

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/juju/errors"

	"limpetwall/internal/transport/answerend"
	"limpetwall/internal/transport/httpjson"
)

// Errors of the port.
const (
	// ErrNotSent: no connection was made, the call did not run.
	ErrNotSent = errors.ConstError("service not reached")
	// ErrOutcomeUnknown: the call may have run.
	ErrOutcomeUnknown = errors.ConstError("outcome of call unknown")
)

// Call is one request to a service.
type Call struct {
	RequestID string
	Method    string
	// Path is the path below the service's root, with its query.
	Path    string
	Headers http.Header
	Body    []byte
}

// Answer is a service's response; the caller closes Body.
type Answer struct {
	Status  int
	Headers http.Header
	Body    io.ReadCloser
	// End is set if only the end of the connection delimits the body: one that a crash cuts looks complete. After io.EOF
	// it returns what is known of the service's process.
	End func(ctx context.Context) answerend.Evidence
}

// Service is one endpoint of a plain service.
type Service interface {
	// Call sends a request once; it is never retried inside.
	Call(ctx context.Context, c Call) (Answer, error)
}

// RequestIDHeader carries the request id to the service.
const RequestIDHeader = "X-Request-Id"

// Client is the HTTP adapter.
type Client struct {
	base      string
	http      *http.Client
	witnesses *answerend.Witnesses
}

// NewTransport returns a transport that never repeats a request: net/http
// re-sends a request on a fresh connection when a kept-alive one breaks before
// the answer, and a booking would run twice. Without keep-alive there is none
// to break.
func NewTransport() *httpjson.Transport {
	return httpjson.NewTransport(&http.Transport{DisableKeepAlives: true})
}

// NewClient returns an adapter for the service at base ("http://ip:port") that calls it through a
// transport, for example that of NewTransport.
func NewClient(base string, transport http.RoundTripper) *Client {
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base: base, http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		witnesses: answerend.NewWitnesses((&net.Dialer{}).DialContext),
	}
}

// Call implements Service.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, errors.WithType(err, ErrNotSent)
	}
	for name, values := range call.Headers {
		req.Header[name] = values
	}
	req.Header.Set(RequestIDHeader, call.RequestID)
	var conn *answerend.Conn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { conn, _ = i.Conn.(*answerend.Conn) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return Answer{}, classify(err)
	}
	answer := Answer{Status: resp.StatusCode, Headers: resp.Header, Body: resp.Body}
	// A body that net/http has decompressed has an end of its own.
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed || resp.Body == http.NoBody {
		return answer, nil
	}
	if conn == nil {
		// Nothing is known of the process behind another kind of connection.
		answer.End = func(context.Context) answerend.Evidence { return answerend.Evidence{} }
		return answer, nil
	}
	watch := c.witnesses.Start(conn, conn.RemoteAddr().String())
	answer.Body, answer.End = watchedBody{resp.Body, watch}, watch.Evidence
	return answer, nil
}

// watchedBody is a body whose end is watched until it is closed.
type watchedBody struct {
	io.ReadCloser
	watch *answerend.Watch
}

// Close implements io.Closer.
func (b watchedBody) Close() error {
	b.watch.Stop()
	return b.ReadCloser.Close()
}

func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.WithType(err, ErrNotSent)
	}
	return errors.WithType(err, ErrOutcomeUnknown)
}
