package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
)

const (
	// retryAfterMin and fullJitter tell callers when a full service has room again: about
	// one short run, spread so that they don't all return together.
	retryAfterMin    = 200 * time.Millisecond
	retryAfterJitter = 400 * time.Millisecond
)

// endingKind has no value for "not yet": a decision names either an ending or an endpoint.
type endingKind uint8

const (
	// endAnswered: an attempt has answered the caller.
	endAnswered endingKind = iota + 1
	// endBuffered: an endpoint's answer that was kept goes to the caller.
	endBuffered
	// endRefused: the caller gets an answer of the gateway's own, if none was begun.
	endRefused
	// endCallerLeft: the caller was gone before its answer was whole.
	endCallerLeft
)

// ending is how an exchange ends when no more is tried.
//
// Invariant: what decides on an ending writes nothing to the caller. A kept answer is written by
// run and a refusal by end, each after the last attempt. Otherwise a further attempt could meet a head that is already written,
// and its error would cut the connection with the answer still in its buffer.
type ending struct {
	kind endingKind
	// answer of endKept.
	answer *bufferedAnswer
	// refusal of endRefused, nil else.
	refusal *apierror.Error
}

func refusalEnding(e *apierror.Error) ending { return ending{kind: endRefused, refusal: e} }

// noEndpointEnding is the ending when none can be chosen.
func (x *exchange) noEndpointEnding(why routing.Refusal, sent int, last outcome) ending {
	if sent > 0 {
		return x.finalEnding(last, sent)
	}
	message := "no endpoint of the service is known"
	if why == routing.RefusalAllFull {
		message = "all endpoints of the service are full"
	}
	return notRunEnding(apierror.CodeNoEndpoint, message)
}

// notRunEnding tells a caller to come back with a request that no endpoint ran.
func notRunEnding(code, message string) ending {
	return refusalEnding(apierror.Later(http.StatusServiceUnavailable, code, message, retryAfter()))
}

// retryAfter spreads the callers that were refused together.
func retryAfter() time.Duration {
	return retryAfterMin + time.Duration(rand.Int64N(int64(retryAfterJitter)))
}

// finalEnding is the ending when nothing more is tried. Only what is proved not to have
// run is told so; all else is unknown.
func (x *exchange) finalEnding(last outcome, sent int) ending {
	if x.hasCallerLeft() {
		return ending{kind: endCallerLeft}
	}
	// First of all what an endpoint has said: it is ready and tells more than any error of the
	// gateway's own, also than that the time is up.
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

// notRunReason tells why no endpoint ran a request, and says so.
func notRunReason(sent int) (code, message string) {
	if sent == 0 {
		return apierror.CodeNoEndpoint, "no endpoint could be reached"
	}
	return apierror.CodeOverloaded, "the endpoints are full"
}

// forcedStopEnding is the ending of a request that a forced stop of this process cuts.
func (x *exchange) forcedStopEnding() ending {
	if x.hasNotRun() {
		return notRunEnding(apierror.CodeStopping, "the gateway stops, and no endpoint has run the request")
	}
	return unknownOutcomeEnding(http.StatusBadGateway, apierror.CodeOutcomeUnknown, "the gateway stopped before the answer was whole")
}

// hasNotRun tells whether no attempt can have run.
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
