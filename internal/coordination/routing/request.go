package routing

import (
	"time"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/residency"
)

// UrgencyLevels is the number of urgencies of requests; engines serve 0 first.
const UrgencyLevels = 10

// Holding is the expectation that an endpoint's engine has a context's first tokens in
// memory.
type Holding struct {
	// Endpoint is the hash of the endpoint's member id.
	Endpoint uint64
	Tokens   int
	// Chance is the probability that they are still resident, 0 to 1.
	Chance float64
	// Age is the time since the endpoint last used them.
	Age time.Duration
	// Preferred is set if the expectation comes from the endpoint being preferred for
	// the context, not from what this process sent there.
	Preferred bool
}

// Request is the input of one decision.
type Request struct {
	// PlacementHash determines the preferred endpoints, see the function PlacementHash.
	// Directory sets it for prompts with keys, unless PlacementHashKnown.
	PlacementHash uint64
	// PromptTokens is the prompt's whole length, ContextTokens the length of the
	// prefix that engines cache.
	PromptTokens  int
	ContextTokens int
	// KnownTokens of the context were last used KnownAge ago; the rest is new.
	KnownTokens int
	KnownAge    time.Duration
	Holdings    []Holding
	// HoldingsKnown is set if Holdings are given, as engines report their memory's
	// contents.
	HoldingsKnown bool
	// ImportShare is the share of missing tokens that stores were found to hold for
	// requests like this one.
	ImportShare float64
	// SegmentsKnown is set if stores and engines have reported which of the context's
	// segments they hold. Segments lists them in order, and ImportShare is not used.
	SegmentsKnown bool
	Segments      []Segment
	// ChunkEnds holds, for each chunk of the context, the number of tokens up to its
	// end; nil if all chunks have the same size.
	ChunkEnds []int
	// PlacementHashKnown makes Directory keep PlacementHash as given.
	PlacementHashKnown bool
	// HeldTokens is the engine memory that the run occupies, and MeanHeldTokens what
	// runs of its kind occupy on average; 0 if that is not known.
	HeldTokens, MeanHeldTokens int
	// CrossDomainPenalty is the cost, in seconds of waiting, of sending the request to
	// another failure domain, in addition to the longer round trip.
	CrossDomainPenalty float64
	// Urgency is 0 to 9; engines serve lower ones first.
	Urgency   int
	Objective config.Objective
	// Domain is the failure domain of the deciding process.
	Domain string
	// Local are the endpoints of that domain, ordered by Hash; if nil, candidates are
	// sampled without regard to failure domains.
	Local []Endpoint
	// UsableLimited are the hashes of limited endpoints that this process may use now. Directory sets
	// it.
	UsableLimited []uint64
	// Residency limits the regions of the endpoint.
	Residency residency.Rule
	// WeightVersion, if set, is the only one accepted (a resumed run).
	WeightVersion string
	// SoftwarePinned restricts the choice to endpoints of SoftwareVersion, for a stream that one of them began.
	SoftwarePinned  bool
	SoftwareVersion string
	// SoftwareLimited restricts the choice to endpoints of one of SoftwareVersions.
	SoftwareLimited  bool
	SoftwareVersions []string
	// MaxWait is the longest wait with which the request is not refused, 0 if it is never refused for
	// its wait.
	MaxWait time.Duration
	// MayCrash is set if the request may crash its endpoint: it goes where fewest other requests run.
	MayCrash bool
	// Exclude lists members already tried.
	Exclude []string
	Now     time.Time
}

// Segment is one segment of a context, as stores and engines report it.
type Segment struct {
	Tokens int
	// Stored is set if a store or an engine holds the whole segment. Domain is its
	// failure domain, and TransferTime the duration of a transfer within that domain.
	Stored       bool
	Domain       string
	TransferTime time.Duration
}
