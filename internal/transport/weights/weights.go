// Package weights is the port to the platform's rate-limited weight store.
// Engines fetch the weights themselves; the system asks what exists and how
// long a fetch would wait, before it orders one.
package weights

import (
	"context"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"limpetwall/internal/transport/httpjson"
)

// Errors of the port.
const (
	ErrNotFound    = errors.ConstError("weights not found")
	ErrUnavailable = errors.ConstError("weight store unavailable")
)

// Info describes the weights of one model version.
type Info struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	// WaitMS is how long a fetch begun now would wait, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// Store is the platform's weight store.
type Store interface {
	// Describe returns a version's size and wait, or ErrNotFound.
	Describe(ctx context.Context, model, version string) (Info, error)
}

// Client is the HTTP adapter.
type Client struct {
	calls httpjson.Client
}

// NewClient returns an adapter for the weight store at base ("http://ip:port").
func NewClient(base string, client *http.Client) *Client {
	return &Client{calls: httpjson.Client{Base: base, HTTP: client}}
}

// Describe implements Store.
func (c *Client) Describe(ctx context.Context, model, version string) (Info, error) {
	var info Info
	path := "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	err := c.calls.Do(ctx, http.MethodGet, path, nil, &info)
	var status *httpjson.StatusError
	switch {
	case err == nil:
		return info, nil
	case errors.As(err, &status) && status.Status == http.StatusNotFound:
		return Info{}, ErrNotFound
	default:
		return Info{}, errors.WithType(err, ErrUnavailable)
	}
}
