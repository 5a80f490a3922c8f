package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/transport/ingress"
)

// stopPause is when to come back after a stop, in which time the balancer finds another entry.
const stopPause = time.Second

// readBody reads a request's body within a time, and no longer than the request's context lasts.
// The server's own read timeout would go on after the body and end the long streams of answers
// with it.
func readBody(w http.ResponseWriter, r *http.Request, within time.Duration) ([]byte, *apierror.Error) {
	control := http.NewResponseController(w)
	end := time.Now().Add(within)
	control.SetReadDeadline(end)
	release := endReads(r.Context(), control)
	body, err := readWhole(r)
	release()
	if ingress.IsRefused(err) {
		// The deadline stays, as below.
		return nil, noMemory(err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The deadline stays: before it answers, net/http reads the rest of a body, and would
		// wait for it.
		return nil, bodyBrokenOff(r.Context(), end, within)
	}
	control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, apierror.New(http.StatusRequestEntityTooLarge, apierror.CodeTooLarge,
			"the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	case err != nil:
		return nil, apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "the body could not be read: "+err.Error())
	}
	return body, nil
}

func readWhole(r *http.Request) ([]byte, error) {
	pieces, err := ingress.ReadAll(r)
	if err != nil {
		return nil, err
	}
	return pieces.Join(r.Context())
}

// noMemory refuses a request that has not been sent to any endpoint.
func noMemory(err error) *apierror.Error {
	return apierror.Later(http.StatusServiceUnavailable, apierror.CodeNoMemory, err.Error(), noMemoryPause)
}

// noMemoryPause is about as long as an entry takes to close the requests that hold most.
const noMemoryPause = time.Second

// PromptFactor is how many times the size of its body a prompt takes, with what is decoded of it and sent on; callFactor is that
// of a plain call.
const (
	PromptFactor = 6
	callFactor   = 3
)

// holdDecoded charges what is made of a body besides it.
func (c *call) holdDecoded(body []byte, factor int) *apierror.Error {
	if err := ingress.Hold(c.r.Context(), (factor-1)*len(body)); err != nil {
		return noMemory(err)
	}
	return nil
}

// endReads has the end of a context end the reads of a body, which only a deadline does. Its
// release waits for a deadline that is being set: with HTTP/2, setting one for a request whose
// handler has returned panics.
func endReads(ctx context.Context, control *http.ResponseController) (release func()) {
	set := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(set)
		control.SetReadDeadline(time.Unix(1, 0))
	})
	return func() {
		if !stop() {
			<-set
		}
	}
}

// bodyBrokenOff returns why a read of a body ended on a deadline. net/http ends the context, too,
// when a body is late, so the time decides.
func bodyBrokenOff(ctx context.Context, end time.Time, within time.Duration) *apierror.Error {
	switch {
	case !time.Now().Before(end):
		return apierror.New(http.StatusRequestTimeout, apierror.CodeTimeout, "the body did not come within "+within.String())
	case errors.Is(context.Cause(ctx), runs.ErrStopping):
		return apierror.Later(http.StatusServiceUnavailable, apierror.CodeStopping, "this entry stopped before the body was whole", stopPause)
	}
	return apierror.New(499, apierror.CodeClientGone, "the caller left")
}

// readBody reads the call's body.
func (c *call) readBody() ([]byte, *apierror.Error) {
	body, refused := readBody(c.w, c.r, c.bodyTime)
	c.bodyLate = refused != nil && (refused.Code == apierror.CodeTimeout || refused.Code == apierror.CodeNoMemory)
	return body, refused
}

// decodeStrict reads an operator's JSON body; a misspelt field is an error.
func (e *Entry) decodeStrict(w http.ResponseWriter, r *http.Request, into any) *apierror.Error {
	data, refused := readBody(w, r, e.cfg.BodyTime)
	if refused != nil {
		return refused
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "malformed JSON: "+err.Error())
	}
	return nil
}
