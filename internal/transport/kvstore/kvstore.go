// Package kvstore is the port to a store host: memory or disk that keeps
// exported context blocks behind a limited link. A block is written in parts
// and becomes readable when it is sealed.
package kvstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/httpjson"
)

// Errors of the port.
const (
	ErrNotFound = errors.ConstError("block not found")
	// ErrFull: the store has no room; the caller chooses another or recomputes.
	ErrFull = errors.ConstError("store is full")
	// ErrGeneration: the slot was freed or reused meanwhile.
	ErrGeneration = errors.ConstError("slot has another generation")
	// ErrUnavailable: the store did not answer.
	ErrUnavailable = errors.ConstError("store unavailable")
)

// Slot is a reserved place. A free or a reuse raises the generation, so a
// writer or reader that was overtaken is refused.
type Slot struct {
	ID         uint64 `json:"id"`
	Generation uint64 `json:"generation"`
}

// Status holds a store's used and total memory, in bytes.
type Status struct {
	Capacity int64 `json:"capacity"`
	Used     int64 `json:"used"`
}

// Store is one store host.
type Store interface {
	// Reserve takes a slot of size bytes for a block, or ErrFull.
	Reserve(ctx context.Context, key contextkey.Key, size int) (Slot, error)
	// Write fills a part of a reserved slot, or ErrGeneration.
	Write(ctx context.Context, slot Slot, offset int, part []byte) error
	// Seal makes the block readable under its key, or ErrGeneration.
	Seal(ctx context.Context, slot Slot) error
	// Read returns a sealed block's bytes, or ErrNotFound. The caller verifies
	// them: a store can be wrong.
	Read(ctx context.Context, key contextkey.Key) ([]byte, error)
	// Free drops a block; freeing a missing one is no error.
	Free(ctx context.Context, key contextkey.Key) error
	// Status returns the store's room.
	Status(ctx context.Context) (Status, error)
}

// Client is the HTTP adapter.
type Client struct {
	calls httpjson.Client
}

// maxPart bounds the body of an answer, in bytes; a part's content is the largest.
const maxPart = 64 << 20

// NewClient returns an adapter for the store at base ("http://ip:port").
func NewClient(base string, client *http.Client) *Client {
	return &Client{calls: httpjson.Client{Base: base, HTTP: client, MaxBody: maxPart}}
}

var _ Store = (*Client)(nil)

// Part is the body of block transfers.
type Part struct {
	Data []byte `json:"data"`
}

// Reserve implements Store.
func (c *Client) Reserve(ctx context.Context, key contextkey.Key, size int) (Slot, error) {
	var slot Slot
	path := "/blocks/" + key.String() + "/slots?size=" + strconv.Itoa(size)
	err := c.calls.Do(ctx, http.MethodPost, path, nil, &slot)
	return slot, callError(err)
}

func slotQuery(slot Slot) url.Values {
	return url.Values{"generation": {strconv.FormatUint(slot.Generation, 10)}}
}

func slotPath(slot Slot) string { return "/slots/" + strconv.FormatUint(slot.ID, 10) }

// Write implements Store.
func (c *Client) Write(ctx context.Context, slot Slot, offset int, part []byte) error {
	query := slotQuery(slot)
	query.Set("offset", strconv.Itoa(offset))
	err := c.calls.Do(ctx, http.MethodPut, slotPath(slot)+"?"+query.Encode(), Part{Data: part}, nil)
	return callError(err)
}

// Seal implements Store.
func (c *Client) Seal(ctx context.Context, slot Slot) error {
	path := slotPath(slot) + "/seal?" + slotQuery(slot).Encode()
	return callError(c.calls.Do(ctx, http.MethodPost, path, nil, nil))
}

// Read implements Store.
func (c *Client) Read(ctx context.Context, key contextkey.Key) ([]byte, error) {
	var p Part
	err := c.calls.Do(ctx, http.MethodGet, "/blocks/"+key.String(), nil, &p)
	return p.Data, callError(err)
}

// Free implements Store.
func (c *Client) Free(ctx context.Context, key contextkey.Key) error {
	return callError(c.calls.Do(ctx, http.MethodDelete, "/blocks/"+key.String(), nil, nil))
}

// Status implements Store.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.calls.Do(ctx, http.MethodGet, "/status", nil, &s)
	return s, callError(err)
}

func callError(err error) error {
	var status *httpjson.StatusError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &status):
		return errors.WithType(err, ErrUnavailable)
	case status.Status == http.StatusNotFound:
		return ErrNotFound
	case status.Status == http.StatusInsufficientStorage:
		return ErrFull
	case status.Status == http.StatusConflict:
		return ErrGeneration
	default:
		return errors.WithType(err, ErrUnavailable)
	}
}
