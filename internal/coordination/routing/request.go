package routing

import (
	"time"

	"limpetwall/internal/state/config"
)

// UrgencyLevels is the number of ranks of requests; 0 goes first.
const UrgencyLevels = 10

// Holding tells that an endpoint probably has a context's first tokens resident.
type Holding struct {
	// Endpoint is the hash of the endpoint's member id.
	Endpoint uint64
	Tokens   int
	// Chance that they are still resident, 0 to 1.
	Chance float64
	// Age since the endpoint last used them.
	Age time.Duration
	// Preferred marks an expectation by computed placement, not by own knowledge.
	Preferred bool
}

// Request is one decision's input.
type Request struct {
	// PlacementHash names the context for computed placement, see RootOf; Directory sets it
	// for prompts with keys.
	PlacementHash uint64
	// PromptTokens is the prompt's whole length, ContextTokens the part of it that
	// engines keep.
	PromptTokens  int
	ContextTokens int
	// KnownTokens of the context were last seen Gap ago; the rest is new.
	KnownTokens int
	KnownAge    time.Duration
	Holdings    []Holding
	// HoldingsKnown: Holdings are given, from what engines say of their memory.
	HoldingsKnown bool
	// ImportShare is the share of a missing context that stores are found to
	// hold for requests like this one.
	ImportShare float64
	// SegmentsKnown: stores and engines have told which of the context's parts they hold,
	// as Imports says in order; ImportChance is not used then.
	SegmentsKnown bool
	Segments      []Segment
	// ChunkEnds holds the tokens up to the end of each piece of context; nil if all have
	// the same size.
	ChunkEnds []int
	// PlacementHashKnown keeps Root as given.
	PlacementHashKnown bool
	// HeldTokens of engine memory that the run takes, and MeanHeldTokens what runs of its kind
	// take in the mean; 0 if that is not known.
	HeldTokens, MeanHeldTokens int
	// CrossDomainPenalty is what sending the request to another failure domain weighs,
	// in seconds of waiting, beside the longer way.
	CrossDomainPenalty float64
	// Urgency of the request, 0 to 9: engines serve lower ones first.
	Urgency   int
	Objective config.Objective
	// Domain of the deciding entry.
	Domain string
	// Local are the endpoints of that domain, ordered by Hash; nil does not tell them
	// apart from the others.
	Local []Endpoint
	// WeightVersion, if set, is the only one accepted (a resumed run).
	WeightVersion string
	// Exclude lists members already tried.
	Exclude []string
	Now     time.Time
}

// Segment is a part of a context as stores and engines know it.
type Segment struct {
	Tokens int
	// Stored tells that one of them holds the part whole: Domain is its own, and Time what
	// the transfer takes within it.
	Stored       bool
	Domain       string
	TransferTime time.Duration
}
