package runs

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/wire"
)

// ErrStopping is the cause of contexts ended by a forced shutdown.
const ErrStopping = errors.ConstError("the process is stopping")

func ranFromWire(r wire.Ran) apierror.Ran {
	switch r {
	case wire.Ran_RAN_NO:
		return apierror.RanNo
	case wire.Ran_RAN_YES:
		return apierror.RanYes
	default:
		return apierror.RanUnknown
	}
}

// withMergedRan is the outcome with what it and another one of the same request tell together
// about execution; other may be nil.
//
// Each outcome speaks for its own attempt only. If the last one spoke for the request, an
// endpoint that refuses after another one's answer was lost would have the caller told "not
// run" of a request that may have run. "No" is kept only where both say so, and "yes" where
// either does.
func (o *outcome) withMergedRan(other *outcome) *outcome {
	if other == nil || o.done || o.ran == other.ran {
		return o
	}
	merged := *o
	merged.ran = wire.Ran_RAN_UNKNOWN
	if o.ran == wire.Ran_RAN_YES || other.ran == wire.Ran_RAN_YES {
		merged.ran = wire.Ran_RAN_YES
	}
	return &merged
}

// statusByCode maps the codes that agents raise to HTTP; others are 503 if the
// request did not run and 502 if it may have.
var statusByCode = map[string]int{
	"key_used_for_other_request": http.StatusConflict,
	"outcome_unknown":            http.StatusConflict,
	"key_expired":                http.StatusGone,
	"answer_not_kept":            http.StatusGone,
	"bad_request":                http.StatusBadRequest,
}

// retryLaterError is the answer to a repeatable request that is given up on.
func (o *outcome) retryLaterError(p *progress, why string) *apierror.Error {
	if p.started || p.headSent {
		return o.streamLostError(why)
	}
	message := o.message
	if why != "" {
		message = why + ": " + message
	}
	after := max(o.retryAfter, 200*time.Millisecond)
	status := http.StatusServiceUnavailable
	if o.ran != wire.Ran_RAN_NO {
		status = http.StatusBadGateway
	}
	e := apierror.Later(status, o.code, message, after)
	e.Ran = ranFromWire(o.ran)
	return e
}

// streamLostError is the answer after part of it has been delivered.
func (o *outcome) streamLostError(why string) *apierror.Error {
	e := apierror.Later(http.StatusBadGateway, apierror.CodeStreamLost, "the answer broke off: "+why+" "+o.message, 200*time.Millisecond)
	e.Ran = apierror.RanYes
	return e
}

// atMostOnceError is the answer to a request that may not be repeated.
func (o *outcome) atMostOnceError(p *progress, keyed bool) *apierror.Error {
	status, ok := statusByCode[o.code]
	if !ok {
		status = http.StatusBadGateway
		if o.ran == wire.Ran_RAN_NO {
			status = http.StatusServiceUnavailable
		}
	}
	e := apierror.New(status, o.code, o.message)
	switch {
	case o.code == "key_used_for_other_request" || o.code == "bad_request":
		return e.WithRan(apierror.RanNo, apierror.AdviceFix)
	case o.code == "key_expired" || o.code == "answer_not_kept" || o.code == "outcome_unknown":
		return e.WithRan(ranFromWire(o.ran), apierror.AdviceNever)
	case keyed:
		e.Retry.AfterMS = max(o.retryAfter, 500*time.Millisecond).Milliseconds()
		return e.WithRan(ranFromWire(o.ran), apierror.AdviceSameKey)
	case o.ran == wire.Ran_RAN_NO:
		e.Retry.AfterMS = max(o.retryAfter, 200*time.Millisecond).Milliseconds()
		return e.WithRan(apierror.RanNo, apierror.AdviceRetry)
	default:
		return e.WithRan(ranFromWire(o.ran), apierror.AdviceNever)
	}
}

func noEndpointError(refusal routing.Refusal, last *outcome, p *progress) *apierror.Error {
	if last != nil {
		return last.retryLaterError(p, "no other endpoint is left")
	}
	if refusal == routing.RefusalAllFull {
		return apierror.Later(http.StatusServiceUnavailable, apierror.CodeOverloaded, "all endpoints are full", 500*time.Millisecond)
	}
	return apierror.Later(http.StatusServiceUnavailable, apierror.CodeNoEndpoint, "no endpoint serves this now", time.Second)
}

// hasPrecedence tells whether the caller is told of an outcome though the request's context has
// ended meanwhile.
//
// What an endpoint has said for certain goes first: the end of the time, or of this entry,
// would only replace "not run" or "fix the request" by "unknown". A caller that left reads
// neither, and its request must not be booked as one that the service failed.
func (o *outcome) hasPrecedence(ctx context.Context, p *progress) bool {
	cause := context.Cause(ctx)
	callerWaits := errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, ErrStopping)
	return callerWaits && o.isConclusive() && !p.started && !p.headSent
}

// isConclusive tells whether an agent has said what became of the request, so that asking on
// would bring nothing else. A stream that broke at the agent is none: the same end of the
// context may have broken it.
func (o *outcome) isConclusive() bool {
	_, known := statusByCode[o.code]
	return o.refused && (o.ran == wire.Ran_RAN_NO || known)
}

// contextError is the answer when the request's time is up or its caller left.
func contextError(ctx context.Context, p *progress, ran apierror.Ran) *apierror.Error {
	if p.started || p.headSent {
		ran = apierror.RanYes
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		e := apierror.Later(http.StatusGatewayTimeout, apierror.CodeTimeout, "the request's time is up", time.Second)
		e.Ran = ran
		return e
	case errors.Is(cause, ErrStopping):
		e := apierror.Later(http.StatusServiceUnavailable, apierror.CodeStopping, "this entry stopped before the answer was whole", 200*time.Millisecond)
		e.Ran = ran
		return e
	default:
		e := apierror.New(499, apierror.CodeClientGone, "the caller left")
		e.Ran = ran
		return e
	}
}
