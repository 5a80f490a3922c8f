package gateway

import (
	"net/http"
	"time"

	"limpetwall/internal/coordination/pushback"
)

// Segment is one part of a prompt, with the ID that its author gave it.
type Segment struct {
	ID     string
	Tokens int
}

// Call is the content of a caller's header.
type Call struct {
	// ID of this attempt of the caller.
	ID string
	// Key is the caller's API key.
	Key string
	// Deadline is how long the caller will wait, 0 if it sets no limit.
	Deadline time.Duration
	Model    string
	// PromptTokens and OutputTokens bound the work. Both are 0 for requests without a prompt.
	PromptTokens, OutputTokens int
	// Segments are the prompt's segments in order. The last belongs to this request alone.
	Segments []Segment
	// LastEvent is the ID of the last event of a stream that the caller has received.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that this
	// attempt takes up, empty if it takes up none.
	Resumes string
}

// Attempt is what the gateway adds to the caller's header for one attempt at an endpoint.
type Attempt struct {
	// Instance is the ID of the only instance that may run the request.
	Instance string
	// Customer is the customer whose key the caller presented, empty on public routes.
	Customer string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Weights is the version of the model's weights that the endpoint must have, 0 for any.
	Weights int64
	// CacheSalt separates cached contexts: endpoints reuse only segments with the same salt.
	CacheSalt string
	// ImportFrom and ExportTo hold an address for each segment, "" for none.
	ImportFrom, ExportTo []string
	// ImportUntil is the time, by the endpoints' clock, after which an incomplete import is
	// discarded; 0 for no limit.
	ImportUntil int64
	// Urgency is the scheduling priority at the endpoint: 0 runs first, 9 last.
	Urgency int
	// ContinueFrom names the copied run to continue, empty for a new run.
	ContinueFrom string
	// LastEvent is the ID of the event after which the stream resumes, empty for the whole stream.
	LastEvent string
}

// Load is the number of requests that an endpoint reports, and its slots.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes at the endpoint, 0 if it does not say.
	Slowdown float64
}

// Reply is the metadata in the header of an endpoint's answer.
type Reply struct {
	// ID is the ID of the attempt that is answered.
	ID string
	// Signed is set if the answer bears the endpoint's signature. Only rejections and failures may lack it.
	Signed bool
	// NotRun is set if the endpoint did not run the request and never will.
	NotRun bool
	// Misdirected is set if the endpoint is not the instance that the request names, or
	// has other weights.
	Misdirected bool
	// Load is valid only if HasLoad is set.
	Load    Load
	HasLoad bool
	// Weights is the version of the weights that answered, 0 if the answer does not name it.
	Weights int64
	// Pushback is what the endpoint asks for.
	Pushback pushback.Signal
}

// Codec translates between headers and the types of this package. The platform implements it.
type Codec interface {
	// DecodeCall reads a caller's header. Its error names the invalid header.
	DecodeCall(h http.Header) (Call, error)
	// EncodeAttempt prepares a header for an endpoint: it removes the headers that only the
	// system may set, then sets those of the attempt.
	EncodeAttempt(h http.Header, a Attempt)
	// DecodeReply reads the header of an endpoint's answer.
	DecodeReply(status int, h http.Header) Reply
	// EncodeRetryAfter sets the time after which the caller should retry.
	EncodeRetryAfter(h http.Header, after time.Duration)
	// EncodeID sets the ID of the caller's attempt in an answer that the gateway itself gives.
	EncodeID(h http.Header, id string)
}
