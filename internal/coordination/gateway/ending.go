package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
)

const (
	// fullPause and fullJitter tell callers when a full service has room again: about
	// one short run, spread so that they don't all return together.
	fullPause  = 200 * time.Millisecond
	fullJitter = 400 * time.Millisecond
)

// endingKind has no value for "not yet": a decision names either an ending or an endpoint.
type endingKind uint8

const (
	// endAnswered: an attempt has answered the caller.
	endAnswered endingKind = iota + 1
	// endKept: an endpoint's answer that was kept goes to the caller.
	endKept
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
	how endingKind
	// answer of endKept.
	answer *bufferedAnswer
	// refusal of endRefused, nil else.
	refusal *apierror.Error
}

func refuseWith(e *apierror.Error) ending { return ending{how: endRefused, refusal: e} }

// noEndpoint is the ending when none can be chosen.
func (x *exchange) noEndpoint(why routing.Refusal, sent int, last outcome) ending {
	if sent > 0 {
		return x.finalEnding(last, sent)
	}
	message := "no endpoint of the service is known"
	if why == routing.RefusalAllFull {
		message = "all endpoints of the service are full"
	}
	return notRun(apierror.CodeNoEndpoint, message)
}

// notRun tells a caller to come back with a request that no endpoint ran.
func notRun(code, message string) ending {
	return refuseWith(apierror.Later(http.StatusServiceUnavailable, code, message, comeBack()))
}

// comeBack spreads the callers that were refused together.
func comeBack() time.Duration {
	return fullPause + time.Duration(rand.Int64N(int64(fullJitter)))
}

// finalEnding is the ending when nothing more is tried. Only what is proved not to have
// run is told so; all else is unknown.
func (x *exchange) finalEnding(last outcome, sent int) ending {
	if x.hasCallerLeft() {
		return ending{how: endCallerLeft}
	}
	// First of all what an endpoint has said: it is ready and tells more than any error of the
	// gateway's own, also than that the time is up.
	if x.lastFailure != nil && !x.headWritten {
		return ending{how: endKept, answer: x.lastFailure}
	}
	if x.isForceStopped() {
		return x.cutShort()
	}
	switch last.kind {
	case notReached, rejected:
		// The last attempt did not run, but an earlier one may have.
		if x.noneRan() {
			return notRun(refusalCode(sent))
		}
	case timedOut:
		return unknownOutcome(http.StatusGatewayTimeout, apierror.CodeTimeout, "the request's time is up")
	case canceledByQuarantine:
		return unknownOutcome(http.StatusBadGateway, apierror.CodeOutcomeUnknown, "the run was called back: "+errBlamed.Error())
	}
	return unknownOutcome(http.StatusBadGateway, apierror.CodeOutcomeUnknown, "the endpoint's answer was lost")
}

// refusalCode tells why no endpoint ran a request, and says so.
func refusalCode(sent int) (code, message string) {
	if sent == 0 {
		return apierror.CodeNoEndpoint, "no endpoint could be reached"
	}
	return apierror.CodeOverloaded, "the endpoints are full"
}

// cutShort is the ending of a request that a forced stop of this process cuts.
func (x *exchange) cutShort() ending {
	if x.noneRan() {
		return notRun(apierror.CodeStopping, "the gateway stops, and no endpoint has run the request")
	}
	return unknownOutcome(http.StatusBadGateway, apierror.CodeOutcomeUnknown, "the gateway stopped before the answer was whole")
}

// noneRan tells whether no attempt can have run.
func (x *exchange) noneRan() bool {
	for _, t := range x.tries {
		if t.Outcome != rejected.String() && t.Outcome != notReached.String() {
			return false
		}
	}
	return true
}

func unknownOutcome(status int, code, message string) ending {
	return refuseWith(apierror.New(status, code, message).WithRan(apierror.RanUnknown, apierror.AdviceNever))
}
