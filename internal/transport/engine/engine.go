// Package engine is the port to a model engine: one server that batches
// prompts, caches their prefixes in limited memory and takes orders. Only the
// agent beside an endpoint uses it.
package engine

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"limpetwall/internal/state/contextkey"
)

// Errors of the port.
const (
	// ErrNotSent: the engine was not reached; nothing ran.
	ErrNotSent = errors.ConstError("engine not reached")
	// ErrBusy: the engine refused; nothing ran.
	ErrBusy = errors.ConstError("engine is full")
	// ErrVersion: the engine holds another model or weight version; nothing ran.
	ErrVersion = errors.ConstError("engine holds another weight version")
	// ErrStaleFence: an order carried an old fencing number and was refused.
	ErrStaleFence = errors.ConstError("fencing number is old")
	// ErrNoBlock: the engine does not hold the block.
	ErrNoBlock = errors.ConstError("no such block")
	// ErrBroken: the stream ended before the answer was whole.
	ErrBroken = errors.ConstError("engine stream broke")
)

// Request is one prompt.
type Request struct {
	RequestID     string           `json:"request_id"`
	Model         string           `json:"model"`
	WeightVersion string           `json:"weight_version"`
	Adapter       string           `json:"adapter"`
	Text          string           `json:"text"`
	Blocks        []contextkey.Key `json:"blocks"`
	MaxTokens     int              `json:"max_tokens"`
	Seed          int64            `json:"seed"`
	Priority      int              `json:"priority"`
	// ResumeTokens are the tokens the caller already has.
	ResumeTokens []string `json:"resume_tokens,omitempty"`
	// Parameters are sampling fields in the OpenAI API's names, a JSON object.
	Parameters json.RawMessage `json:"parameters,omitempty"`
}

// Started is the first event of a stream.
type Started struct {
	WeightVersion string `json:"weight_version"`
	CachedTokens  int    `json:"cached_tokens"`
	PromptTokens  int    `json:"prompt_tokens"`
	// SoftwareVersion is the version of the engine's own software, empty if it names none.
	SoftwareVersion string `json:"software_version,omitempty"`
}

// Event is one step of an answer; exactly one field is set.
type Event struct {
	Started *Started `json:"started,omitempty"`
	Tokens  []string `json:"tokens,omitempty"`
	// Finish is the reason the answer ended ("stop", "length"); no event follows.
	Finish string `json:"finish,omitempty"`
}

// Stream yields an answer's events in order.
type Stream interface {
	// Next waits for an event; ErrBroken when the stream ends without Finish.
	Next() (Event, error)
	// Close cancels the run if it has not finished.
	Close() error
}

// Status is an engine's own report; it lags.
type Status struct {
	Model         string `json:"model"`
	WeightVersion string `json:"weight_version"`
	Adapter       string `json:"adapter"`
	Role          string `json:"role"`
	Fence         uint64 `json:"fence"`
	Loading       bool   `json:"loading"`
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	QueuedTokens  int    `json:"queued_tokens"`
	// PrefillRate is in tokens per second.
	PrefillRate int `json:"prefill_rate"`
	// PieceBytes is the size of one exported piece of context.
	PieceBytes int64 `json:"piece_bytes"`
	// SoftwareVersion is the version of the engine's own software, empty if it names none.
	SoftwareVersion string `json:"software_version,omitempty"`
}

// Order changes what an engine serves.
type Order struct {
	Fence         uint64 `json:"fence"`
	Model         string `json:"model"`
	WeightVersion string `json:"weight_version"`
	Adapter       string `json:"adapter"`
	Role          string `json:"role"`
}

// CacheEvent is the entry or removal of a block in the engine's memory. Events are
// late and have gaps: sequence numbers show what is missing.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Block    contextkey.Key `json:"block"`
	Stored   bool           `json:"stored"`
}

// Engine is one model server.
type Engine interface {
	// Generate runs a prompt; ctx cancels it. Errors: ErrNotSent, ErrBusy,
	// ErrVersion (nothing ran in all three), otherwise it may have run.
	Generate(ctx context.Context, r Request) (Stream, error)
	// Status returns the engine's report.
	Status(ctx context.Context) (Status, error)
	// Events returns cache events after a sequence number.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Export returns a resident block's content, or ErrNoBlock.
	Export(ctx context.Context, block contextkey.Key) ([]byte, error)
	// Import makes a block resident.
	Import(ctx context.Context, block contextkey.Key, content []byte) error
	// Order changes model, version, adapter or role; ErrStaleFence where the
	// engine checks fencing numbers.
	Order(ctx context.Context, o Order) error
}
