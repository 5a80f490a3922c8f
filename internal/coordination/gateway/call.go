package gateway

import (
	"net/http"
	"time"
)

// Segment is one piece of a prompt, named by whoever made it.
type Segment struct {
	ID     string
	Tokens int
}

// Call is what a caller's header says.
type Call struct {
	// ID of this attempt of the caller.
	ID string
	// Key that the caller presents.
	Key string
	// Deadline is how long the caller will wait, 0 if it does not say.
	Deadline time.Duration
	Model    string
	// PromptTokens and OutputTokens bound the work; 0 for plain calls.
	PromptTokens, OutputTokens int
	// Segments of the prompt in order; the last is the request's own.
	Segments []Segment
	// LastEvent is the last event of a stream that the caller already has.
	LastEvent string
}

// Attempt is what one attempt at an endpoint says besides the caller's own header.
type Attempt struct {
	// Instance is the only one that may run the request.
	Instance string
	// Customer that the caller's key belongs to, empty on public routes.
	Customer string
	// TimeLeft of the caller's time.
	TimeLeft time.Duration
	// Weights is the version of the model that the endpoint must have; 0 if any.
	Weights int64
	// CacheSalt separates contexts: endpoints reuse only parts under the same one.
	CacheSalt string
	// ImportFrom and ExportTo are addresses for each part, "" for none.
	ImportFrom, ExportTo []string
	// ImportUntil is the time, by the endpoints' clock, after which an import that
	// is not complete is thrown away; 0 for none.
	ImportUntil int64
	// Urgency 0 goes first, 9 last.
	Urgency int
	// ContinueFrom names the copy of a run that goes on, empty for one that begins.
	ContinueFrom string
	// LastEvent to go on after, empty for the whole stream.
	LastEvent string
}

// Load is an endpoint's own count of requests.
type Load struct {
	Running, Waiting, Slots int
}

// Reply is what an endpoint's answer says besides the answer itself.
type Reply struct {
	// ID of the attempt that it answers.
	ID string
	// NotRun tells that the endpoint did not run the request and never will.
	NotRun bool
	// Misdirected tells that the endpoint is not the instance that the request names, or
	// has other weights.
	Misdirected bool
	// Load, if HasLoad.
	Load    Load
	HasLoad bool
	// Weights that answered, 0 if the answer does not say.
	Weights int64
}

// Codec translates headers; it is the platform's.
type Codec interface {
	// DecodeCall reads a caller's header; its error names the place.
	DecodeCall(h http.Header) (Call, error)
	// EncodeAttempt changes a header for an endpoint: it takes out what only the system
	// may say and sets what it says.
	EncodeAttempt(h http.Header, a Attempt)
	// DecodeReply reads an answer's header.
	DecodeReply(status int, h http.Header) Reply
	// EncodeRetryAfter tells a caller when to come back.
	EncodeRetryAfter(h http.Header, after time.Duration)
	// EncodeID names the attempt in an answer of the system's own.
	EncodeID(h http.Header, id string)
}
