package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/httpjson"
)

const (
	// maxEventLine bounds one line of an answer stream, in bytes.
	maxEventLine = 1 << 20
	// maxBlock bounds the body of an answer, in bytes; a block's content is the largest.
	maxBlock = 64 << 20
)

// Client is the HTTP adapter: JSON calls, answers as one JSON event a line.
type Client struct {
	calls httpjson.Client
}

// NewClient returns an adapter for the engine at base ("http://ip:port").
func NewClient(base string, client *http.Client) *Client {
	return &Client{calls: httpjson.Client{Base: base, HTTP: client, MaxBody: maxBlock}}
}

var _ Engine = (*Client)(nil)

// Generate implements Engine.
func (c *Client) Generate(ctx context.Context, r Request) (Stream, error) {
	resp, err := c.calls.DoStream(ctx, http.MethodPost, "/generate", r)
	if err != nil {
		return nil, callError(err)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventLine)
	return &stream{body: resp.Body, lines: lines}, nil
}

func callError(err error) error {
	var status *httpjson.StatusError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, httpjson.ErrNotSent):
		return errors.WithType(err, ErrNotSent)
	case !errors.As(err, &status):
		return errors.Trace(err)
	case status.Status == http.StatusServiceUnavailable:
		return errors.WithType(err, ErrBusy)
	case status.Status == http.StatusConflict:
		return errors.WithType(err, ErrVersion)
	case status.Status == http.StatusPreconditionFailed:
		return errors.WithType(err, ErrStaleFence)
	case status.Status == http.StatusNotFound:
		return errors.WithType(err, ErrNoBlock)
	default:
		return errors.Trace(err)
	}
}

type stream struct {
	body  io.ReadCloser
	lines *bufio.Scanner
}

func (s *stream) Next() (Event, error) {
	if !s.lines.Scan() {
		return Event{}, errors.Annotatef(ErrBroken, "%v", s.lines.Err())
	}
	return DecodeEvent(s.lines.Bytes())
}

func (s *stream) Close() error { return s.body.Close() }

// DecodeEvent reads one line of an answer stream; ErrBroken if it is malformed.
func DecodeEvent(line []byte) (Event, error) {
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		return Event{}, errors.Annotatef(ErrBroken, "%v", err)
	}
	if e.Started == nil && e.Tokens == nil && e.Finish == "" {
		return Event{}, errors.Annotate(ErrBroken, "event has no known field")
	}
	return e, nil
}

// Status implements Engine.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.calls.Do(ctx, http.MethodGet, "/status", nil, &s)
	return s, callError(err)
}

// Events implements Engine.
func (c *Client) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.calls.Do(ctx, http.MethodGet, "/events?after="+strconv.FormatUint(after, 10), nil, &events)
	return events, callError(err)
}

// blockBody carries a block's content as base64 JSON.
type blockBody struct {
	Content []byte `json:"content"`
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, block contextkey.Key) ([]byte, error) {
	var b blockBody
	err := c.calls.Do(ctx, http.MethodGet, "/blocks/"+block.String(), nil, &b)
	if err == nil && len(b.Content) == 0 {
		return nil, errNoContent
	}
	return b.Content, callError(err)
}

// errNoContent is returned for a block without content. Another engine would import it as the block's context.
const errNoContent = errors.ConstError("answer holds no content of the block")

// Import implements Engine.
func (c *Client) Import(ctx context.Context, block contextkey.Key, content []byte) error {
	err := c.calls.Do(ctx, http.MethodPut, "/blocks/"+block.String(), blockBody{Content: content}, nil)
	return callError(err)
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o Order) error {
	return callError(c.calls.Do(ctx, http.MethodPost, "/order", o, nil))
}
