package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
)

const (
	// retryAfterMin and retryAfterJitter set the Retry-After for a request that no endpoint ran:
	// a full service has free capacity again after about one short run, and the jitter keeps
	// callers from all returning together.
	retryAfterMin    = 200 * time.Millisecond
	retryAfterJitter = 400 * time.Millisecond
)

// endingKind says how an exchange ends. It has no value for "not yet": each decision yields either
// an ending or an endpoint.
type endingKind uint8

const (
	// endAnswered: an attempt has answered the caller.
	endAnswered endingKind = iota + 1
	// endBuffered: a buffered answer of an endpoint is sent to the caller.
	endBuffered
	// endRefused: the gateway itself answers with an error, unless an answer has begun.
	endRefused
	// endCallerLeft: the caller disconnected before its answer was complete.
	endCallerLeft
)

// ending is how an exchange ends after its last attempt.
//
// Invariant: code that decides on an ending writes nothing to the caller. A buffered answer is written
// by run and a refusal by finish, both after the last attempt. Otherwise another attempt could start
// with the head already written, and its error would cut the connection while the answer is still
// in the write buffer.
type ending struct {
	kind endingKind
	// answer is set for endBuffered only.
	answer *bufferedAnswer
	// refusal is set for endRefused only.
	refusal *apierror.Error
}

func refusalEnding(e *apierror.Error) ending { return ending{kind: endRefused, refusal: e} }

// noEndpointEnding returns the ending when no endpoint can be chosen.
func (x *exchange) noEndpointEnding(c routing.Choice, sent int, last outcome) ending {
	if sent > 0 && !x.isOnlyPushedBack(c) {
		return x.finalEnding(last, sent)
	}
	message := "no endpoint of the service is known"
	switch c.Refusal {
	case routing.RefusalNoneUsable:
		if o := x.stream.origin; o != nil && !x.g.State.HasSoftware(o.Service, o.Version) {
			return refusalEnding(versionGone(*o))
		}
	case routing.RefusalAllFull:
		message = "all endpoints of the service are full"
	case routing.RefusalAllCold:
		message = "all endpoints of the service have just started"
		return refusalEnding(apierror.Later(http.StatusServiceUnavailable, apierror.CodeNoEndpoint, message, c.RetryIn+retryAfter()))
	case routing.RefusalPushback:
		message = "all endpoints of the service ask for fewer requests, or for none"
		return refusalEnding(apierror.Later(http.StatusServiceUnavailable, apierror.CodeOverloaded, message, c.RetryIn+retryAfter()))
	}
	return notRunEnding(apierror.CodeNoEndpoint, message)
}

// isOnlyPushedBack reports whether no endpoint has run the request, and those that are left ask for fewer
// requests, or for none: their time is the one at which the caller should come back.
func (x *exchange) isOnlyPushedBack(c routing.Choice) bool {
	return c.Refusal == routing.RefusalPushback && x.hasNotRun() && !x.hasCallerLeft() && !x.isForceStopped()
}

// notRunEnding returns a refusal that asks the caller to retry a request that no endpoint ran.
func notRunEnding(code, message string) ending {
	return refusalEnding(apierror.Later(http.StatusServiceUnavailable, code, message, retryAfter()))
}

// tooLateEnding returns the refusal of a request that could be cut when the process exits.
func tooLateEnding() ending {
	return notRunEnding(apierror.CodeStopping, "the gateway stops before the request's time is up")
}

// retryAfter returns a Retry-After with jitter, which spreads the retries of callers refused together.
func retryAfter() time.Duration {
	return retryAfterMin + time.Duration(rand.Int64N(int64(retryAfterJitter)))
}

// finalEnding returns the ending after the last attempt. It says that a request did not run only if
// that is certain; otherwise the outcome is unknown.
func (x *exchange) finalEnding(last outcome, sent int) ending {
	if x.hasCallerLeft() {
		return ending{kind: endCallerLeft}
	}
	// A buffered failure of an endpoint goes first: it is available and says more than any error of
	// the gateway's own, including that the deadline has passed.
	if x.lastFailure != nil && !x.headWritten {
		return ending{kind: endBuffered, answer: x.lastFailure}
	}
	if x.isForceStopped() {
		return x.forcedStopEnding()
	}
	switch last.kind {
	case notReached, rejected:
		// The last attempt did not run, but an earlier one may have.
		if x.hasNotRun() {
			return notRunEnding(notRunReason(sent))
		}
	case timedOut:
		return unknownOutcomeEnding(http.StatusGatewayTimeout, apierror.CodeTimeout, "the request's time is up")
	case canceledByQuarantine:
		return unknownOutcomeEnding(http.StatusBadGateway, apierror.CodeOutcomeUnknown, "the run was called back: "+errBlamed.Error())
	}
	return unknownOutcomeEnding(http.StatusBadGateway, apierror.CodeOutcomeUnknown, "the endpoint's answer was lost")
}

// notRunReason returns the error code and message for a request that no endpoint ran. sent counts the
// attempts that reached an endpoint.
func notRunReason(sent int) (code, message string) {
	if sent == 0 {
		return apierror.CodeNoEndpoint, "no endpoint could be reached"
	}
	return apierror.CodeOverloaded, "the endpoints are full"
}

// forcedStopEnding returns the ending of a request that is cut off by a forced stop of this process.
func (x *exchange) forcedStopEnding() ending {
	if x.hasNotRun() {
		return notRunEnding(apierror.CodeStopping, "the gateway stops, and no endpoint has run the request")
	}
	return unknownOutcomeEnding(http.StatusBadGateway, apierror.CodeOutcomeUnknown, "the gateway stopped before the answer was whole")
}

// hasNotRun reports whether no attempt can have run on an endpoint.
func (x *exchange) hasNotRun() bool {
	for _, t := range x.attempts {
		if t.Outcome != rejected.String() && t.Outcome != notReached.String() {
			return false
		}
	}
	return true
}

func unknownOutcomeEnding(status int, code, message string) ending {
	return refusalEnding(apierror.New(status, code, message).WithRan(apierror.RanUnknown, apierror.AdviceNever))
}
