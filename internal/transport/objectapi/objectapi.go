// Package objectapi is the port to the platform's object API: small versioned
// values with conditional updates and watches. Everything that must last lives
// there. Calls are scarce (several hundred writes and about two thousand reads
// a second for the whole fleet, a waiting watch counts as one).
package objectapi

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/logging"
)

// MaxValue is the largest value the platform takes, in bytes.
const MaxValue = 1 << 20

// Errors of the port.
const (
	ErrNotFound = errors.ConstError("object not found")
	// ErrConflict: the object is not at the expected version; nothing was written.
	ErrConflict = errors.ConstError("object version conflict")
	// ErrUnavailable: the call had no effect.
	ErrUnavailable = errors.ConstError("object API unavailable")
	// ErrOutcomeUnknown: the write may have taken effect; only a later read shows it.
	ErrOutcomeUnknown = errors.ConstError("outcome of write unknown")
	// ErrTooLarge: the value exceeds MaxValue; nothing was written.
	ErrTooLarge = errors.ConstError("value too large")
)

// Object is one stored value. Versions of a key grow, also across a delete and when the store
// comes back from an older copy; a version is never given out twice. See Revision.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// API is the platform's object API.
type API interface {
	// Get returns the object or ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object is at version (0: it must not exist).
	Put(ctx context.Context, key string, value []byte, version int64) (Object, error)
	// Delete removes the object if it is at version.
	Delete(ctx context.Context, key string, version int64) error
	// List returns the objects whose keys begin with prefix, by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object is past version or wait ends, and returns
	// the newest object; ErrNotFound if it does not exist when wait ends.
	Watch(ctx context.Context, key string, version int64, wait time.Duration) (Object, error)
	// Eras returns the store's era as known from all calls.
	Eras() *Eras
}

// EraHeader is the header in which answers name the store's era.
const EraHeader = "Object-Era"

// Client is the HTTP adapter.
type Client struct {
	calls httpjson.Client
	eras  Eras
	// Log tells of objects in lists that can't be read; set it before use.
	Log *zap.Logger
}

// NewClient returns an adapter for the object API at base ("http://ip:port").
func NewClient(base string, client *http.Client) *Client {
	return &Client{calls: httpjson.Client{Base: base, HTTP: client}, Log: zap.NewNop()}
}

var _ API = (*Client)(nil)

func objectPath(key string) string { return "/v1/objects/" + url.PathEscape(key) }

// Eras implements API.
func (c *Client) Eras() *Eras { return &c.eras }

// call makes one call, and returns the era of its answer.
func (c *Client) call(ctx context.Context, method, path string, in, out any) (era uint64, err error) {
	header, err := c.calls.Call(ctx, method, path, in, out)
	if header == nil {
		return 0, err
	}
	era, _, _, eraErr := c.eras.ObserveHeader(header.Get(EraHeader))
	if eraErr != nil {
		return 0, eraErr
	}
	return era, err
}

// read makes a call whose answer is an object.
func (c *Client) read(ctx context.Context, path string) (Object, error) {
	var o Object
	era, err := c.call(ctx, http.MethodGet, path, nil, &o)
	if err != nil {
		return Object{}, readError(err)
	}
	if o.Version == 0 {
		return Object{}, readError(errNoVersion)
	}
	return o, o.setEra(era)
}

// errNoVersion is returned for an answer without the version that is due. What else it lacks must not read as empty.
const errNoVersion = errors.ConstError("answer names no version of the object")

// setEra turns the version from the store's number into a Revision.
func (o *Object) setEra(era uint64) error {
	revision, err := NewRevision(era, uint64(o.Version))
	o.Version = int64(revision)
	return errors.Annotatef(err, "object %s", o.Key)
}

// write makes a call that changes an object at a version, or creates it if the version is 0.
func (c *Client) write(ctx context.Context, version int64, method, path string, in, out any) (era uint64, err error) {
	if err := c.eras.CheckCondition(version); err != nil {
		return 0, err
	}
	path += "?version=" + strconv.FormatUint(Revision(version).Number(), 10)
	if era, err = c.call(ctx, method, path, in, out); err != nil {
		return 0, writeError(err)
	}
	return era, CheckWritten(version, era)
}

// Get implements API.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return c.read(ctx, objectPath(key))
}

// Put implements API.
func (c *Client) Put(ctx context.Context, key string, value []byte, version int64) (Object, error) {
	if len(value) > MaxValue {
		return Object{}, errors.Annotatef(ErrTooLarge, "%s has %d bytes", key, len(value))
	}
	var o Object
	era, err := c.write(ctx, version, http.MethodPut, objectPath(key), Object{Value: value}, &o)
	if err != nil {
		return Object{}, err
	}
	if o.Version == 0 {
		return Object{}, writeError(errNoVersion)
	}
	o.Value = value
	return o, o.setEra(era)
}

// Delete implements API.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	_, err := c.write(ctx, version, http.MethodDelete, objectPath(key), nil, nil)
	return err
}

// List implements API.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var list httpjson.List[Object]
	era, err := c.call(ctx, http.MethodGet, "/v1/objects?prefix="+url.QueryEscape(prefix), nil, &list)
	if err != nil {
		return nil, readError(err)
	}
	out := make([]Object, 0, len(list.Entries))
	for _, o := range list.Entries {
		if err := o.setEra(era); err != nil {
			list.Unreadable, list.Err = list.Unreadable+1, err
			continue
		}
		out = append(out, o)
	}
	if list.Unreadable > 0 {
		c.Log.Error("objects can't be read", zap.String("prefix", prefix), zap.Int("objects", list.Unreadable), logging.Error(list.Err))
	}
	return out, nil
}

// Watch implements API. A version of an earlier era is none that the store could wait for.
func (c *Client) Watch(ctx context.Context, key string, version int64, wait time.Duration) (Object, error) {
	known := Revision(version)
	if known.Era() < c.eras.Current() {
		known = 0
	}
	query := url.Values{}
	query.Set("after", strconv.FormatUint(known.Number(), 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return c.read(ctx, objectPath(key)+"?"+query.Encode())
}

func readError(err error) error {
	var status *httpjson.StatusError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &status) && status.Status == http.StatusNotFound:
		return ErrNotFound
	default:
		return errors.WithType(err, ErrUnavailable)
	}
}

// writeError keeps apart what surely had no effect from what may have had one:
// an operator who gets "not applied" after an applied write would apply it twice.
func writeError(err error) error {
	var status *httpjson.StatusError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, httpjson.ErrNotSent):
		return errors.WithType(err, ErrUnavailable)
	case !errors.As(err, &status):
		return errors.WithType(err, ErrOutcomeUnknown)
	case status.Status == http.StatusNotFound:
		return ErrNotFound
	case status.Status == http.StatusConflict:
		return ErrConflict
	case status.Status == http.StatusTooManyRequests:
		return errors.WithType(err, ErrUnavailable)
	case status.Status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return errors.WithType(err, ErrOutcomeUnknown)
	}
}
