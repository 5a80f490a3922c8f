package routing

import (
	"time"

	"limpetwall/internal/state/config"
)

// Urgencies is the number of ranks of requests; 0 goes first.
const Urgencies = 10

// Holding tells that an endpoint probably has a context's first tokens resident.
type Holding struct {
	// Endpoint is the hash of the endpoint's member id.
	Endpoint uint64
	Tokens   int
	// Chance that they are still resident, 0 to 1.
	Chance float64
	// Age since the endpoint last used them.
	Age time.Duration
	// Home marks an expectation by computed placement, not by own knowledge.
	Home bool
}

// Request is one decision's input.
type Request struct {
	// Root names the context for computed placement, see RootOf; Directory sets it
	// for prompts with keys.
	Root uint64
	// PromptTokens is the prompt's whole length, ContextTokens the part of it that
	// engines keep.
	PromptTokens  int
	ContextTokens int
	// KnownTokens of the context were last seen Gap ago; the rest is new.
	KnownTokens int
	Gap         time.Duration
	Holdings    []Holding
	// HoldingsKnown: Holdings are given, from what engines say of their memory.
	HoldingsKnown bool
	// ImportChance is the share of a missing context that stores are found to
	// hold for requests like this one.
	ImportChance float64
	// ImportKnown: stores and engines have told which of the context's parts they hold,
	// as Imports says in order; ImportChance is not used then.
	ImportKnown bool
	Imports     []Import
	// Ends holds the tokens up to the end of each piece of context; nil if all have
	// the same size.
	Ends []int
	// RootKnown keeps Root as given.
	RootKnown bool
	// HeldTokens of engine memory that the run takes, and UsualTokens what runs of its kind
	// take in the mean; 0 if that is not known.
	HeldTokens, UsualTokens int
	// OtherDomainPrice is what sending the request to another failure domain weighs,
	// in seconds of waiting, beside the longer way.
	OtherDomainPrice float64
	// Urgency of the request, 0 to 9: engines serve lower ones first.
	Urgency   int
	Objective config.Objective
	// Domain of the deciding entry.
	Domain string
	// Near are the endpoints of that domain, ordered by Hash; nil does not tell them
	// apart from the others.
	Near []Endpoint
	// WeightVersion, if set, is the only one accepted (a resumed run).
	WeightVersion string
	// Exclude lists members already tried.
	Exclude []string
	Now     time.Time
}

// Import is a part of a context as stores and engines know it.
type Import struct {
	Tokens int
	// Stored tells that one of them holds the part whole: Domain is its own, and Time what
	// the transfer takes within it.
	Stored bool
	Domain string
	Time   time.Duration
}
