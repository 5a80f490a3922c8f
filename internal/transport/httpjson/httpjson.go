// Package httpjson provides the JSON-over-HTTP calls that the adapters of external
// systems share.
package httpjson

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"
)

const (
	// MaxHead bounds the head of a response with all informational ones before it, in bytes.
	MaxHead = 64 << 10
	// defaultMaxBody bounds a response body, in bytes: a page of the platform's lists, and what a kept store lists of
	// 300,000 parts.
	defaultMaxBody = 16 << 20
)

// ErrTooLarge is returned for a response body beyond the client's bound.
const ErrTooLarge = errors.ConstError("response body is too large")

// ErrNotSent is returned when no connection was made, so that the call had no effect.
const ErrNotSent = errors.ConstError("request was not sent")

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Status int
	Header http.Header
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Body
}

// BodyDecoder is implemented by what decodes a response body itself.
type BodyDecoder interface {
	// DecodeBody decodes a body, of which it may keep parts.
	DecodeBody(body []byte) error
}

// Client calls one server.
type Client struct {
	Base string
	HTTP *http.Client
	// MaxBody bounds a response body in bytes; 0 is a bound that fits lists.
	MaxBody int64
}

// Do sends in as JSON and decodes the response into out, a BodyDecoder or any value that
// encoding/json decodes into; either may be nil. It returns
// ErrNotSent when the connection could not be made, a *StatusError, or another error,
// after which the call may have taken effect.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	_, err := c.Call(ctx, method, path, in, out)
	return err
}

// Call is like Do, and also returns the response's header, whatever its status; nil if there
// was no response.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) (http.Header, error) {
	resp, err := c.DoStream(ctx, method, path, in)
	if err != nil {
		var status *StatusError
		if errors.As(err, &status) {
			return status.Header, err
		}
		return nil, err
	}
	defer resp.Body.Close()
	data, err := readBody(resp.Body, cmp.Or(c.MaxBody, defaultMaxBody))
	if err != nil {
		return resp.Header, errors.Annotatef(err, "reading answer of %s %s", method, path)
	}
	if out == nil {
		return resp.Header, nil
	}
	return resp.Header, errors.Annotatef(decodeBody(data, out), "answer of %s %s", method, path)
}

func decodeBody(data []byte, out any) error {
	if d, ok := out.(BodyDecoder); ok {
		return d.DecodeBody(data)
	}
	return json.Unmarshal(data, out)
}

// readBody reads a body to its end, which must come within limit bytes.
func readBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, err
}

// DoStream is like Do, but returns the response, for a body that is read as a stream.
// The caller closes the body.
func (c *Client) DoStream(ctx context.Context, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Trace(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	if resp.StatusCode/100 != 2 {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
		return nil, &StatusError{Status: resp.StatusCode, Header: resp.Header, Body: string(text)}
	}
	return resp, nil
}

func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.WithType(err, ErrNotSent)
	}
	return errors.Trace(err)
}

// Write writes a response with the given status and value as its JSON body.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}

// Read decodes the JSON body of a request, reading at most limit bytes.
func Read(r *http.Request, limit int64, value any) error {
	return json.NewDecoder(io.LimitReader(r.Body, limit)).Decode(value)
}
