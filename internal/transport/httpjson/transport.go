package httpjson

import (
	"context"
	"net"
	"net/http"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"

	"limpetwall/internal/transport/answerend"
)

// ErrBadHead means that what arrived is not the head of an answer.
const ErrBadHead = errors.ConstError("answer has no proper head")

// Transport is an http.Transport that returns only proper answers: their heads are bounded and well formed, and one that a
// reset has cut ends with an error.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings of t, which must not be used otherwise.
func NewTransport(t *http.Transport) *Transport {
	t.MaxResponseHeaderBytes = MaxHead
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return answerend.NewConn(c), nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkHead returns an error for a head that net/http accepts although it is malformed: a status below 200, or blanks in
// a name, by which it would not know "Content-Length : 5" for a length.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return errors.Annotatef(ErrBadHead, "status %d", resp.StatusCode)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Annotatef(ErrBadHead, "header name %q", name)
		}
	}
	return nil
}
