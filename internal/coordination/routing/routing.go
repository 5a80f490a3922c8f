// Package routing decides which endpoint serves a prompt. A decision runs
// filter, then scorers, then a picker over a few candidates; it is pure: state
// and random numbers come in, a verdict goes out.
package routing

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/fleet"
)

const (
	// scanLimit is the number of endpoints up to which a decision looks at all.
	scanLimit = 16
	// preferredCount is the number of endpoints that computed placement gives a context.
	preferredCount = 2
	// randomCandidates is the number of random candidates beside them.
	randomCandidates = 2
	// holderCandidates is the number of holders of the context that are looked at, those of
	// most of it.
	holderCandidates = 4
	// localCandidates is the number of random candidates in the deciding process's own
	// failure domain, where it is told apart.
	localCandidates = 4
	// maxCandidates bounds one decision.
	maxCandidates = scanLimit + 4
	// defaultPrefillRate is assumed of an endpoint that has reported none, in
	// tokens per second.
	defaultPrefillRate = 8000
	// assumedRunTime is used before a run of an endpoint has ended.
	assumedRunTime = 100 * time.Millisecond
	// crossDomainDelay is the added round trip to another failure domain.
	crossDomainDelay = time.Millisecond
	// slowStart is how long a new endpoint's estimate is raised: the first
	// requests after a start meet cold caches, and a herd would meet them together.
	slowStart        = 10 * time.Second
	slowStartPenalty = 50 * time.Millisecond
	// evictionCost is what bringing a token of context into an engine's memory
	// costs later, in its own computation: memory is full, so it pushes out what
	// returns elsewhere and pushes out more. The value is measured, see
	// docs/BENCHMARKS.md.
	evictionCost = 16.0
	// latenessWeight is what a second beyond the service's objective costs at least. A
	// whole second's weight would be what the caller feels, but near saturation all
	// endpoints are late, and fleeing from one to the next costs more computation
	// than it saves waiting; the value is measured, see docs/BENCHMARKS.md.
	latenessWeight = 0.25
	// fullCostAge is the time between returns from which a context pays the whole
	// price; one that returns sooner shares it among its uses.
	fullCostAge = time.Minute
)

// Endpoint is what a decision knows of one endpoint.
type Endpoint struct {
	fleet.Member
	// Hash of the id, for computed placement.
	Hash uint64
	// MaxConcurrent bounds the runs from this entry (0: no bound).
	MaxConcurrent int
	*RuntimeState
}

// RuntimeState is what changes with every run; the services that share an endpoint
// share it.
type RuntimeState struct {
	// Load as last reported.
	Load fleet.Load
	// SentTokens are prompt tokens this entry sent since the report, SentRuns runs.
	SentTokens int
	SentRuns   int
	// Running runs from this entry.
	Running int
	// EjectedUntil keeps an endpoint that failed repeatedly out of decisions.
	EjectedUntil time.Time
	// FirstSeen is when this incarnation appeared.
	FirstSeen time.Time
	// Slots is how many requests the endpoint runs at once, 0 if unknown; further
	// ones wait there.
	Slots int
	// MemoryTokens is the engine's memory for context and running requests, 0 if
	// unknown; HeldTokens is what this entry's own runs take of it.
	MemoryTokens, HeldTokens int
	// RunTime is the mean length of whole runs.
	RunTime time.Duration
	// Unread is the prompt tokens of this entry's runs that have not begun to answer,
	// by urgency. It stands for the queue where reports hold no tokens.
	Unread [UrgencyLevels]int
	// CountsOnly tells that the endpoint's reports hold counts of requests, but no
	// tokens.
	CountsOnly bool
	// ModelRate is how fast the model's engines read, and RatesSeen how often this one was
	// seen, where reports hold no rate.
	ModelRate   *modelRate
	RateSamples int
	// PeerFactor is how much of the endpoint's work this entry's own stands for: all of
	// it divided by its own.
	PeerFactor float64
	// LoadArrivedAt is when Load arrived.
	LoadArrivedAt time.Time
	// PeerWork is what other processes say that they have underway at the endpoint.
	// Shared tells that those of its failure domain, who send it most, do say so; what
	// is learned as Peers is not used then.
	PeerWork       *Work
	HasPeerReports bool
}

// Reason names why a candidate was looked at.
type Reason string

// Reasons of candidates.
const (
	ReasonHoldsContext Reason = "holds_context"
	ReasonPreferred    Reason = "home"
	ReasonRandom       Reason = "random"
	ReasonAll          Reason = "all"
)

// Decision is a decision.
type Decision struct {
	Endpoint *Endpoint
	Reason   Reason
	// TTFT is the expected time to first token, Wait the part of it before the
	// endpoint begins with the request.
	TTFT, Wait time.Duration
	// CapacityWait is the part of Wait that is for a slot and memory.
	CapacityWait time.Duration
	// CachedTokens expected to be found resident.
	CachedTokens int
	// WorkTokens expected to be computed.
	WorkTokens int
	// Refusal says why there is no endpoint.
	Refusal Refusal
}

// Refusal tells why no endpoint was chosen.
type Refusal string

// The refusals.
const (
	// RefusalNoneUsable: no endpoint is usable.
	RefusalNoneUsable Refusal = "none_usable"
	// RefusalAllFull: the usable ones are at their bound.
	RefusalAllFull Refusal = "all_full"
)

// Random yields uniform numbers; *rand.Rand satisfies it.
type Random interface {
	Uint64() uint64
}

// HashID is an endpoint's place in computed placement.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// PlacementHash names a prompt's context: the key of its first piece, or a hash of the
// text where it has none.
func PlacementHash(keys []contextkey.Key, text string) uint64 {
	if len(keys) > 0 {
		return binary.LittleEndian.Uint64(keys[0][:])
	}
	return xxhash.Sum64String(text)
}

// isEligible tells whether an endpoint may serve a request at all.
func isEligible(e *Endpoint, r *Request) bool {
	if r.WeightVersion != "" && e.Endpoint.WeightVersion != r.WeightVersion {
		return false
	}
	for _, id := range r.Exclude {
		if id == e.ID {
			return false
		}
	}
	return true
}

func isFull(e *Endpoint) bool {
	return e.MaxConcurrent > 0 && e.Running >= e.MaxConcurrent
}

// Decide picks an endpoint. Large fleets are not scanned: candidates are the
// holders of the context, its homes by rendezvous hashing and some random ones.
// Entries that decide on the same report draw different random candidates, so
// they do not all meet at the endpoint that looked idle.
func Decide(endpoints []Endpoint, r *Request, random Random) Decision {
	var set candidateSet
	if len(endpoints) <= scanLimit {
		for i := range endpoints {
			set.add(&endpoints[i], ReasonAll, r)
		}
	} else {
		set.sample(endpoints, r, random)
		if set.n == 0 {
			// Everything chosen is filtered out: look at all rather than refuse.
			set.addAll(endpoints, r)
		}
	}
	return set.pick(r, random)
}

type candidate struct {
	endpoint *Endpoint
	reason   Reason
}

type candidateSet struct {
	list      [maxCandidates]candidate
	n         int
	fullCount int
}

func (c *candidateSet) add(e *Endpoint, reason Reason, r *Request) {
	if c.n == len(c.list) || !isEligible(e, r) {
		return
	}
	if isFull(e) {
		c.fullCount++
		return
	}
	for i := range c.n {
		if c.list[i].endpoint == e {
			return
		}
	}
	c.list[c.n] = candidate{e, reason}
	c.n++
}

func (c *candidateSet) addAll(endpoints []Endpoint, r *Request) {
	for i := range endpoints {
		c.add(&endpoints[i], ReasonAll, r)
	}
}

// sample needs endpoints ordered by Hash.
func (c *candidateSet) sample(endpoints []Endpoint, r *Request, random Random) {
	c.addHolders(endpoints, r, random)
	ring := endpoints
	if len(r.Local) > 0 {
		ring = r.Local
		c.addRandom(r.Local, localCandidates, r, random)
	}
	for _, preferred := range preferredEndpoints(ring, r.PlacementHash) {
		c.add(preferred, ReasonPreferred, r)
	}
	if len(r.Local) == 0 {
		c.addRandom(endpoints, randomCandidates, r, random)
	} else if !c.hasHealthy(r) {
		c.addHealthy(endpoints, localCandidates, r, random)
	}
}

// addHolders adds the endpoints that hold most of the context. Where all prompts of a kind begin
// alike, every endpoint holds their beginning: 36 of them filled a decision's candidates, so
// that the one with the whole context was left out as often as not, and so were homes and random
// ones. All processes then chose the least busy of the same endpoints: the busiest had 2.7 of
// the mean's work.
func (c *candidateSet) addHolders(endpoints []Endpoint, r *Request, random Random) {
	n := len(r.Holdings)
	if n == 0 {
		return
	}
	// A random start decides between those that hold as much.
	start := int(random.Uint64() % uint64(n))
	var added [holderCandidates]int
	for k := range min(n, holderCandidates) {
		best := -1
		for i := range n {
			at := (start + i) % n
			if !slices.Contains(added[:k], at) && (best < 0 || r.Holdings[at].Tokens > r.Holdings[best].Tokens) {
				best = at
			}
		}
		added[k] = best
		if e := findByHash(endpoints, r.Holdings[best].Endpoint); e != nil {
			c.add(e, ReasonHoldsContext, r)
		}
	}
}

// addHealthy adds n endpoints that are not avoided, from a random one on.
func (c *candidateSet) addHealthy(endpoints []Endpoint, n int, r *Request, random Random) {
	start := int(random.Uint64() % uint64(len(endpoints)))
	for i := range endpoints {
		e := &endpoints[(start+i)%len(endpoints)]
		if e.isDegraded(r.Now) {
			continue
		}
		c.add(e, ReasonRandom, r)
		if n--; n == 0 {
			return
		}
	}
}

// hasHealthy tells whether a candidate is neither ejected nor suspect.
func (c *candidateSet) hasHealthy(r *Request) bool {
	for i := range c.n {
		if !c.list[i].endpoint.isDegraded(r.Now) {
			return true
		}
	}
	return false
}

func (c *candidateSet) addRandom(endpoints []Endpoint, n int, r *Request, random Random) {
	for range n {
		c.add(&endpoints[random.Uint64()%uint64(len(endpoints))], ReasonRandom, r)
	}
}

// ringProbes is the number of places on the ring that a context is hashed to.
const ringProbes = 21

// preferredEndpoints gives a context its homes: of several places that its root hashes to
// on the ring of endpoints, those closest before an endpoint. A single place
// would follow the uneven gaps of the ring (with nine endpoints one may own a
// third of it); the closest of 21 evens them out without a table of virtual
// points. A lost endpoint moves only its own contexts.
func preferredEndpoints(endpoints []Endpoint, placementHash uint64) [preferredCount]*Endpoint {
	var found [preferredCount]*Endpoint
	var distance [preferredCount]uint64
	position := placementHash
	for range ringProbes {
		position = splitMix64(position)
		e := &endpoints[searchHash(endpoints, position)%len(endpoints)]
		gap := e.Hash - position
		switch {
		case found[0] == nil || (gap < distance[0] && e != found[0]):
			found[1], distance[1] = found[0], distance[0]
			found[0], distance[0] = e, gap
		case e == found[0]:
			distance[0] = min(distance[0], gap)
		case found[1] == nil || gap < distance[1]:
			found[1], distance[1] = e, gap
		}
	}
	if found[1] == nil {
		found[1] = found[0]
	}
	return found
}

// splitMix64 is the finalizer of SplitMix64 after one step of its sequence.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func searchHash(endpoints []Endpoint, hash uint64) int {
	low, high := 0, len(endpoints)
	for low < high {
		middle := (low + high) / 2
		if endpoints[middle].Hash < hash {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func findByHash(endpoints []Endpoint, hash uint64) *Endpoint {
	if i := searchHash(endpoints, hash); i < len(endpoints) && endpoints[i].Hash == hash {
		return &endpoints[i]
	}
	return nil
}

func (c *candidateSet) pick(r *Request, random Random) Decision {
	best := Decision{Refusal: RefusalNoneUsable}
	if c.fullCount > 0 {
		best.Refusal = RefusalAllFull
	}
	bestScore := 0.0
	// A random start decides between equals.
	start := 0
	if c.n > 0 {
		start = int(random.Uint64() % uint64(c.n))
	}
	price := c.meanQueueDepth(r)
	for i := range c.n {
		cand := c.list[(start+i)%c.n]
		e := evaluate(cand.endpoint, r, price)
		if best.Endpoint == nil || e.score < bestScore {
			best = Decision{Endpoint: cand.endpoint, Reason: cand.reason, TTFT: e.ttft, Wait: e.wait, CapacityWait: e.capacityWait, CachedTokens: e.cached, WorkTokens: e.recomputed}
			bestScore = e.score
		}
	}
	return best
}
