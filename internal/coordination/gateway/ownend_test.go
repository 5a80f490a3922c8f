package gateway

import (
	"context"
	"testing"

	"github.com/juju/errors"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/upstream"
)

// TestOwnEndBeforeSendingEjectsNoEndpoint guards against a sound endpoint that is ejected as one that can't be reached, as the
// time of a request, or this process's reason to send it, ended while a connection was opened.
func TestOwnEndBeforeSendingEjectsNoEndpoint(t *testing.T) {
	for _, cause := range []error{context.DeadlineExceeded, errWeightsReplaced, errWallRaised, errBlamed, nil} {
		s := newTestServer(t, singleRoute(routes.Idempotent, 1), closeConn)
		x := &exchange{g: s.gateway, r: s.newRequest("GET", "/r/x", "")}
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		if cause != nil {
			cancel(cause)
		}
		out := x.classifyError(ctx, errors.WithType(errors.New("dial"), upstream.ErrNotSent))
		if out.kind != notReached {
			t.Errorf("%v: got %v, want not_reached, as nothing was sent", cause, out.kind)
		}
		if isUsed := isChosenAfter(t, out); isUsed != (cause != nil) {
			t.Errorf("%v: the endpoint is still used: %v", cause, isUsed)
		}
	}
}
