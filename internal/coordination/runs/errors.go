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

// ErrStopping is the cancellation cause of contexts that a forced shutdown ends.
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

// withMergedRan returns the outcome with ran merged from it and from another outcome of the same
// request; other may be nil.
//
// Each outcome reports on its own attempt only. If the last one were reported for the whole
// request, a refusal by one endpoint after another one's answer was lost would become "not run"
// for a request that may have run. The merged value is "no" only if both are, and "yes" if either
// is.
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

// statusByCode maps codes of agents' refusals to HTTP status codes. Other codes are 503 if the
// request did not run and 502 if it may have.
var statusByCode = map[string]int{
	"key_used_for_other_request": http.StatusConflict,
	"outcome_unknown":            http.StatusConflict,
	"key_expired":                http.StatusGone,
	"answer_not_kept":            http.StatusGone,
	"bad_request":                http.StatusBadRequest,
}

// retryLaterError is the final error with the advice to retry after a delay. It is for services
// whose requests may be repeated, and for requests that provably did not run.
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

// streamLostError is the final error once the answer has begun.
func (o *outcome) streamLostError(why string) *apierror.Error {
	e := apierror.Later(http.StatusBadGateway, apierror.CodeStreamLost, "the answer broke off: "+why+" "+o.message, 200*time.Millisecond)
	e.Ran = apierror.RanYes
	return e
}

// atMostOnceError is the final error of a request that must not be repeated.
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

func noEndpointError(c routing.Choice, last *outcome, p *progress) *apierror.Error {
	if last != nil {
		return last.retryLaterError(p, "no other endpoint is left")
	}
	if c.Refusal == routing.RefusalAllFull {
		return apierror.Later(http.StatusServiceUnavailable, apierror.CodeOverloaded, "all endpoints are full", 500*time.Millisecond)
	}
	if c.Refusal == routing.RefusalPushback {
		return apierror.Later(http.StatusServiceUnavailable, apierror.CodeOverloaded, "all endpoints ask for fewer requests, or for none", max(c.RetryIn, 200*time.Millisecond))
	}
	return apierror.Later(http.StatusServiceUnavailable, apierror.CodeNoEndpoint, "no endpoint serves this now", time.Second)
}

// hasPrecedence reports whether the caller receives this outcome although the request's context
// has ended meanwhile.
//
// A conclusive report from an endpoint takes precedence: the error for the deadline, or for this
// entry's shutdown, would only replace "not run" or "fix the request" by "unknown". A caller that
// left reads neither, and its request must not be counted as one that the service failed.
func (o *outcome) hasPrecedence(ctx context.Context, p *progress) bool {
	cause := context.Cause(ctx)
	callerWaits := errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, ErrStopping)
	return callerWaits && o.isConclusive() && !p.started && !p.headSent
}

// isConclusive reports whether an agent has reported what became of the request, so that asking
// again would change nothing. A stream that broke at the agent is not conclusive: the end of the
// same context may have broken it.
func (o *outcome) isConclusive() bool {
	_, known := statusByCode[o.code]
	return o.refused && (o.ran == wire.Ran_RAN_NO || known)
}

// contextError is the final error of a request whose context has ended: its deadline passed, this
// entry is stopping, or its caller left.
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
