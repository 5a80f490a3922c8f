// Package hostlist is the port to the platform's host list: which hosts live
// and which are leaving, known with a lag.
package hostlist

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"limpetwall/internal/transport/httpjson"
)

// ErrUnavailable tells that the host list could not be read.
const ErrUnavailable = errors.ConstError("host list unavailable")

// State of a host.
type State string

// States a host can have.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is one row of the list.
type Host struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	State  State  `json:"state"`
	// Address is the IP and port of the limpetwall process in the host's slot.
	Address string `json:"address"`
}

// List is the platform's host list.
type List interface {
	// Hosts returns all rows, by id; ErrUnavailable if it can't be read.
	Hosts(ctx context.Context) ([]Host, error)
}

// Client is the HTTP adapter.
type Client struct {
	calls httpjson.Client
}

// NewClient returns an adapter for the host list at base ("http://ip:port").
func NewClient(base string, client *http.Client) *Client {
	return &Client{calls: httpjson.Client{Base: base, HTTP: client}}
}

// Hosts implements List.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	if err := c.calls.Do(ctx, http.MethodGet, "/v1/hosts", nil, &hosts); err != nil {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	return hosts, nil
}
