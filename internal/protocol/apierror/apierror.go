// Package apierror is the one shape of errors that callers and operators see.
// OpenAI clients read its message, type and code as usual.
package apierror

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"limpetwall/internal/state/finding"
)

// Ran says whether the request was executed. "no" is only said when it is
// proven.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Advice is what a caller should do next.
type Advice string

// The values of Advice.
const (
	// AdviceRetry: the same request may be sent again after the time given.
	AdviceRetry Advice = "retry_after"
	// AdviceSameKey: send it again with the same idempotency key only.
	AdviceSameKey Advice = "retry_same_key"
	// AdviceFix: the request must change first.
	AdviceFix Advice = "fix_request"
	// AdviceNever: it will not be run; find out by other means.
	AdviceNever Advice = "do_not_retry"
	// AdviceRestart: the stream can't be taken up; send its request again from the beginning.
	AdviceRestart Advice = "start_again"
)

// Codes of errors raised by an entry; agents add their own.
const (
	CodeUnauthorized    = "unauthorized"
	CodeForbidden       = "forbidden"
	CodeBadRequest      = "bad_request"
	CodeTooLarge        = "request_too_large"
	CodeNotFound        = "not_found"
	CodeRateLimited     = "rate_limited"
	CodeOverloaded      = "overloaded"
	CodeNoEndpoint      = "no_endpoint"
	CodeTimeout         = "timeout"
	CodeStopping        = "stopping"
	CodeNotReady        = "not_ready"
	CodePlatform        = "platform_unavailable"
	CodeOutcomeUnknown  = "outcome_unknown"
	CodeStreamLost      = "stream_lost"
	CodeKeyRequired     = "idempotency_key_malformed"
	CodeRetriesUsedUp   = "retries_used_up"
	CodeKeyStoreFull    = "key_store_full"
	CodeClientGone      = "client_gone"
	CodeInternalFailure = "internal"
	// CodeNoMemory: the memory that the process has for callers' requests is in use.
	CodeNoMemory = "no_memory"
	// CodeQuarantined: the request has crashed the endpoints that ran it.
	CodeQuarantined = "request_quarantined"
	// CodeStreamVersionGone: no endpoint is left that could go on with the stream.
	CodeStreamVersionGone = "stream_version_gone"
	// CodeStreamOriginUnknown: it is not known which software version began the stream.
	CodeStreamOriginUnknown = "stream_origin_unknown"
)

// Retry is the advice with its time.
type Retry struct {
	Advice  Advice `json:"advice"`
	AfterMS int64  `json:"after_ms,omitempty"`
}

// Error is one error answer.
type Error struct {
	Status    int               `json:"-"`
	Code      string            `json:"code"`
	Type      string            `json:"type"`
	Message   string            `json:"message"`
	Ran       Ran               `json:"ran"`
	Retry     Retry             `json:"retry"`
	RequestID string            `json:"request_id,omitempty"`
	Findings  []finding.Finding `json:"findings,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// New returns an error for a request that did not run and must change.
func New(status int, code, message string) *Error {
	return &Error{
		Status: status, Code: code, Type: typeOf(status), Message: message,
		Ran: RanNo, Retry: Retry{Advice: AdviceFix},
	}
}

// Later returns an error for a request that did not run and may come back.
func Later(status int, code, message string, after time.Duration) *Error {
	e := New(status, code, message)
	e.Retry = Retry{Advice: AdviceRetry, AfterMS: after.Milliseconds()}
	return e
}

// WithRan sets what is known about execution, and the advice that goes with it.
func (e *Error) WithRan(ran Ran, advice Advice) *Error {
	e.Ran = ran
	e.Retry.Advice = advice
	return e
}

// FromFindings returns an error that reports all findings of an input.
func FromFindings(items []finding.Finding) *Error {
	e := New(http.StatusBadRequest, CodeBadRequest, (&finding.Error{Findings: items}).Error())
	e.Findings = items
	return e
}

func typeOf(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= 500:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// Body is the JSON form.
func (e *Error) Body() []byte {
	data, _ := json.Marshal(struct {
		Error *Error `json:"error"`
	}{e})
	return append(data, '\n')
}

// Write answers a request with the error.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Limpetwall-Ran", string(e.Ran))
	if e.Retry.AfterMS > 0 && h.Get("Retry-After") == "" {
		// Whole seconds, rounded up: earlier would be turned away again.
		h.Set("Retry-After", strconv.FormatInt((e.Retry.AfterMS+999)/1000, 10))
	}
	if e.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	// The official OpenAI clients repeat 409, 429 and 5xx on their own unless
	// told not to; what must not be sent again says so in their words.
	switch e.Retry.Advice {
	case AdviceNever, AdviceFix, AdviceRestart:
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(e.Status)
	w.Write(e.Body())
}
