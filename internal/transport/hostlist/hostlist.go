// Package hostlist defines access to the platform's host list, which states for each
// host whether it is live or leaving. Changes appear in the list with a delay.
package hostlist

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/logging"
)

// ErrUnavailable is returned when the host list could not be read.
const ErrUnavailable = errors.ConstError("host list unavailable")

// State of a host.
type State string

// States of a host.
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
	// Hosts returns all rows, sorted by ID, or ErrUnavailable if the list can't be read.
	Hosts(ctx context.Context) ([]Host, error)
}

// Client reads the host list over HTTP.
type Client struct {
	calls httpjson.Client
	// Log tells of rows that can't be read; set it before use.
	Log *zap.Logger
}

// NewClient returns a client of the host list at the URL base ("http://ip:port").
func NewClient(base string, client *http.Client) *Client {
	return &Client{calls: httpjson.Client{Base: base, HTTP: client}, Log: zap.NewNop()}
}

// Hosts implements List.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts httpjson.List[Host]
	if err := c.calls.Do(ctx, http.MethodGet, "/v1/hosts", nil, &hosts); err != nil {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	if hosts.Unreadable > 0 {
		c.Log.Error("rows of the host list can't be read", zap.Int("rows", hosts.Unreadable), logging.Error(hosts.Err))
	}
	return hosts.Entries, nil
}
