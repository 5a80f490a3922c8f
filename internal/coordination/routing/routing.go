// Package routing decides which endpoint serves a request. A decision filters the
// endpoints, scores a few candidates and picks the best. Decide is a pure function
// of the endpoints' state, the request and random numbers; Directory holds that
// state. A run is the execution of one request at an endpoint.
package routing

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/coordination/warmup"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/fleet"
)

const (
	// scanLimit is the number of endpoints up to which a decision considers all of them.
	scanLimit = 16
	// preferredCount is the number of preferred endpoints that consistent hashing gives
	// a context.
	preferredCount = 2
	// randomCandidates is the number of random candidates in addition to the preferred
	// endpoints.
	randomCandidates = 2
	// holderCandidates is the number of candidates among the endpoints that hold part of
	// the context: those that hold most of it.
	holderCandidates = 4
	// limitedCandidates is the number of candidates among the limited endpoints that this process may
	// use: others may not, so the endpoint would starve if it were drawn at random.
	limitedCandidates = 2
	// localCandidates is the number of random candidates in the deciding process's own
	// failure domain, for requests with Request.Local set.
	localCandidates = 4
	// pinnedCandidates is the number of candidates among the endpoints of a pinned software version.
	pinnedCandidates = 8
	// maxCandidates bounds the candidates of one decision.
	maxCandidates = scanLimit + 4
	// defaultPrefillRate, in tokens per second, is assumed of an endpoint without a
	// known prefill rate.
	defaultPrefillRate = 8000
	// assumedRunTime is used for an endpoint until one of its runs has ended.
	assumedRunTime = 100 * time.Millisecond
	// crossDomainDelay is the additional round-trip time to another failure domain.
	crossDomainDelay = time.Millisecond
	// slowStart is how long a new endpoint's estimated wait is raised, by
	// slowStartPenalty at first and then linearly less: the first requests after a
	// start find cold caches, and without it many would find them at the same time.
	slowStart        = 10 * time.Second
	slowStartPenalty = 50 * time.Millisecond
	// slowReturn takes the place of slowStart for an endpoint that asked for something until
	// then: its caches are warm, but all processes find it idle at the same time.
	slowReturn = 2 * time.Second
	// evictionCost is the later cost of bringing a token of context into an engine's
	// memory, in multiples of computing that token. Memory is full, so the token
	// evicts other context, which is then brought in elsewhere and evicts more. See
	// docs/BENCHMARKS.md.
	evictionCost = 16.0
	// latenessWeight is the least that a second beyond the service's objective costs.
	// 1 would be what the caller feels, but near saturation all endpoints are late,
	// and moving from one to the next costs more computation than it saves in waiting.
	// See docs/BENCHMARKS.md.
	latenessWeight = 0.25
	// refusalPenalty ranks endpoints with a wait beyond Request.MaxWait behind those within it, but
	// before degraded ones, unless the service is overloaded: a busy endpoint that holds a prompt's
	// context would otherwise be chosen for saving its computation, and the request be refused for the
	// wait there, while others are idle.
	refusalPenalty = 1e5
	// crashCost is what each request at an endpoint costs that another may crash, in seconds of waiting:
	// more than any prompt gains by its context, less than using a degraded endpoint.
	crashCost = 1000
	// fullCostAge is the reuse interval from which a context bears the whole
	// evictionCost; a context that is reused sooner spreads it over its uses.
	fullCostAge = time.Minute
)

// Endpoint is what a decision knows about one endpoint.
type Endpoint struct {
	fleet.Member
	// Hash is the HashID of the endpoint's id, its position on the hash ring.
	Hash uint64
	// MaxConcurrent bounds the runs from this process (0: no bound).
	MaxConcurrent int
	// ColdRate is the number of requests per second that the endpoint withstands while it is
	// cold (0: no limit).
	ColdRate float64
	*RuntimeState
}

// RuntimeState is the state of an endpoint that changes with every run. Services that
// use the same endpoint share it.
type RuntimeState struct {
	// Load as last reported.
	Load fleet.Load
	// SentTokens and SentRuns count the prompt tokens and runs that this process sent
	// after Load was taken.
	SentTokens int
	SentRuns   int
	// Running counts the runs from this process.
	Running int
	// EjectedUntil is until when the endpoint is used only if there is no other,
	// because it failed, was unreachable or refused a run.
	EjectedUntil time.Time
	// OnProbation is set from an ejection until an answer begins or a run ends well. Meanwhile the
	// endpoint gets one request at a time, a probe, unless there is no other.
	OnProbation bool
	// Probes is the number of probes from this process that are under way.
	Probes int
	// FirstSeen is when this process first saw this incarnation of the endpoint. For
	// those found at its own start it is slowStart earlier.
	FirstSeen time.Time
	// Slots is how many requests the endpoint runs at once, 0 if unknown; further
	// ones wait there.
	Slots int
	// MemoryTokens is the engine's memory for context and running requests, 0 if
	// unknown; HeldTokens is what this process's runs occupy of it.
	MemoryTokens, HeldTokens int
	// RunTime is the moving average of how long whole runs take.
	RunTime time.Duration
	// CallTime is the mean time of the plain calls of the endpoint's service, nil if it runs a model.
	CallTime *callTime
	// Unread is the prompt tokens, by urgency, of this process's runs that have not
	// begun to answer. It replaces the reported queue where reports hold no tokens.
	Unread [UrgencyLevels]int
	// CountsOnly is set if the endpoint's reports hold counts of requests, but no
	// tokens and no rates.
	CountsOnly bool
	// ModelRate is the mean prefill rate of the model's engines, and RateSamples how
	// many observations of this engine's own rate count, for reports without rates.
	ModelRate   *modelRate
	RateSamples int
	// PeerFactor is the ratio of all runs at the endpoint to those of this process, 0 if
	// unknown.
	PeerFactor float64
	// LoadArrivedAt is when Load arrived.
	LoadArrivedAt time.Time
	// PeerWork is what other processes report to have in flight at the endpoint.
	// HasPeerReports is set if processes of the endpoint's failure domain, which send
	// it most of its work, do report; PeerFactor is not used then.
	PeerWork       *Work
	HasPeerReports bool
	// Warmup limits the requests to the endpoint while it is cold; nil allows none.
	Warmup *warmup.Window
	// Pushback is what the endpoint asks for.
	Pushback *pushback.Endpoint
}

// Reason is why an endpoint became a candidate.
type Reason string

// Reasons of candidates.
const (
	ReasonHoldsContext Reason = "holds_context"
	ReasonPreferred    Reason = "home"
	ReasonRandom       Reason = "random"
	ReasonAll          Reason = "all"
	// ReasonLimited: the endpoint limits its requests, and few processes may use it.
	ReasonLimited Reason = "limited"
)

// Decision is the result of Decide: an endpoint with the expected cost, or a refusal.
type Decision struct {
	Endpoint *Endpoint
	Reason   Reason
	// TTFT is the expected time to first token, Wait the part of it before the
	// endpoint starts on the request.
	TTFT, Wait time.Duration
	// CapacityWait is the part of Wait that is for a slot and memory.
	CapacityWait time.Duration
	// CachedTokens is how many prompt tokens are expected to be in the engine's memory.
	CachedTokens int
	// WorkTokens is how many prompt tokens are expected to be computed.
	WorkTokens int
	// Refusal is why there is no endpoint.
	Refusal Refusal
	// RetryIn is set with RefusalAllCold and RefusalPushback: when the first of the endpoints may be
	// usable.
	RetryIn time.Duration
}

// Refusal is why no endpoint was chosen.
type Refusal string

// The refusals.
const (
	// RefusalNoneUsable: no endpoint is usable.
	RefusalNoneUsable Refusal = "none_usable"
	// RefusalAllFull: the usable ones are at their MaxConcurrent.
	RefusalAllFull Refusal = "all_full"
	// RefusalAllCold: the usable ones are cold.
	RefusalAllCold Refusal = "all_cold"
	// RefusalPushback: the usable ones ask for fewer requests than this process has, or for none.
	RefusalPushback Refusal = "pushback"
)

// Random yields uniform numbers; *rand.Rand satisfies it.
type Random interface {
	Uint64() uint64
}

// HashID returns the position of an endpoint's id on the hash ring.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// PlacementHash returns the hash that determines a prompt's preferred endpoints: the
// first 8 bytes of the key of its first chunk, or a hash of the text if it has no keys.
func PlacementHash(keys []contextkey.Key, text string) uint64 {
	if len(keys) > 0 {
		return binary.LittleEndian.Uint64(keys[0][:])
	}
	return xxhash.Sum64String(text)
}

// isEligible reports whether an endpoint may serve a request at all, whether it was tried or not.
func isEligible(e *Endpoint, r *Request) bool {
	if r.WeightVersion != "" && e.Endpoint.WeightVersion != r.WeightVersion {
		return false
	}
	if r.SoftwarePinned && e.Endpoint.SoftwareVersion != r.SoftwareVersion {
		return false
	}
	if r.SoftwareLimited && !slices.Contains(r.SoftwareVersions, e.Endpoint.SoftwareVersion) {
		return false
	}
	return r.Residency.Allows(e.Region)
}

// isCold reports whether the endpoint has just started and may crash under its usual load.
func (e *Endpoint) isCold(now time.Time) bool {
	return e.ColdRate > 0 && now.Before(e.Member.Endpoint.ColdUntil)
}

// isTooCold reports whether the endpoint is cold and this process may not send it a request now:
// the limit is one for all processes, and only the one that has claimed the endpoint sends to it.
func (e *Endpoint) isTooCold(now time.Time) bool {
	return e.isCold(now) && !e.Warmup.HasRoom(now)
}

// acceptsRequests reports whether the endpoint has asked for nothing that forbids this process to
// send it a request now.
func (e *Endpoint) acceptsRequests(now time.Time) bool {
	ok, _ := e.Pushback.Allows(now)
	return ok
}

func isFull(e *Endpoint) bool {
	return e.MaxConcurrent > 0 && e.Running >= e.MaxConcurrent
}

// Decide picks an endpoint. Large fleets are not scanned: the candidates are the
// endpoints that hold the context, its preferred endpoints by consistent hashing and
// some random ones. Processes that decide on the same load report draw different
// random candidates, so that they do not all choose the endpoint that looked idle.
func Decide(endpoints []Endpoint, r *Request, random Random) Decision {
	var set candidateSet
	switch {
	case len(endpoints) <= scanLimit:
		for i := range endpoints {
			set.add(&endpoints[i], ReasonAll, r)
		}
	case r.SoftwarePinned:
		set.addFrom(int(random.Uint64()%uint64(len(endpoints))), endpoints, pinnedCandidates, r)
	default:
		set.sample(endpoints, r, random)
		if set.n == 0 {
			// All sampled endpoints are filtered out: consider all rather than refuse.
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
	// warmAt is when the first of the cold endpoints will be warm, zero if none is cold.
	warmAt time.Time
	// pushbackCount is the number of endpoints that may not get a request now by what they asked for,
	// and allowedIn the shortest time until one may.
	pushbackCount int
	allowedIn     time.Duration
	// triedCount is the number of endpoints that the request has been sent to and that ask for nothing.
	triedCount int
}

func (c *candidateSet) add(e *Endpoint, reason Reason, r *Request) {
	if c.n == len(c.list) || !isEligible(e, r) {
		return
	}
	if ok, retryIn := e.Pushback.Allows(r.Now); !ok {
		if c.pushbackCount == 0 || retryIn < c.allowedIn {
			c.allowedIn = retryIn
		}
		c.pushbackCount++
		return
	}
	if slices.Contains(r.Exclude, e.ID) {
		c.triedCount++
		return
	}
	if isFull(e) {
		c.fullCount++
		return
	}
	if e.isTooCold(r.Now) {
		if until := e.Member.Endpoint.ColdUntil; c.warmAt.IsZero() || until.Before(c.warmAt) {
			c.warmAt = until
		}
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

// sample adds candidates of a fleet that is too large to scan; endpoints must be
// ordered by Hash.
func (c *candidateSet) sample(endpoints []Endpoint, r *Request, random Random) {
	c.addHolders(endpoints, r, random)
	c.addLimited(endpoints, r, random)
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

// addHolders adds the endpoints that hold most of the context. Where all prompts of a kind share
// a prefix, every endpoint holds that prefix. Without the limit, 36 such endpoints filled the
// candidate set: the one with the whole context was left out about half of the time, and so were
// preferred and random endpoints. All processes then chose the least busy of the same endpoints,
// and the busiest had 2.7 times the mean work.
func (c *candidateSet) addHolders(endpoints []Endpoint, r *Request, random Random) {
	n := len(r.Holdings)
	if n == 0 {
		return
	}
	// A random start breaks ties between endpoints that hold equally much.
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

// addLimited adds limited endpoints that this process may use.
func (c *candidateSet) addLimited(endpoints []Endpoint, r *Request, random Random) {
	n := len(r.UsableLimited)
	if n == 0 {
		return
	}
	start := int(random.Uint64() % uint64(n))
	for k := range min(n, limitedCandidates) {
		if e := findByHash(endpoints, r.UsableLimited[(start+k)%n]); e != nil {
			c.add(e, ReasonLimited, r)
		}
	}
}

// addFrom adds up to n endpoints in their order, from a position on. Few endpoints may have the pinned software version:
// a sample would miss most of them.
func (c *candidateSet) addFrom(start int, endpoints []Endpoint, n int, r *Request) {
	for i := range endpoints {
		if c.n == n {
			return
		}
		c.add(&endpoints[(start+i)%len(endpoints)], ReasonAll, r)
	}
}

// addHealthy adds up to n endpoints that are not degraded, starting at a random one.
func (c *candidateSet) addHealthy(endpoints []Endpoint, n int, r *Request, random Random) {
	start := int(random.Uint64() % uint64(len(endpoints)))
	for i := range endpoints {
		e := &endpoints[(start+i)%len(endpoints)]
		if e.isDegraded(r.Now) || e.isTooCold(r.Now) || !isEligible(e, r) || slices.Contains(r.Exclude, e.ID) || !e.acceptsRequests(r.Now) {
			continue
		}
		c.add(e, ReasonRandom, r)
		if n--; n == 0 {
			return
		}
	}
}

// hasHealthy reports whether any candidate is not degraded.
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

// ringProbes is the number of positions on the hash ring that a context is hashed to.
const ringProbes = 21

// preferredEndpoints returns the preferred endpoints of a context by multi-probe
// consistent hashing: the placement hash gives ringProbes positions on the ring of
// endpoints, and the endpoints that follow most closely after a position are preferred.
// A single position would reproduce the uneven gaps of the ring (with nine endpoints, one
// may own a third of it); the closest of 21 evens them out without a table of virtual
// nodes. Losing an endpoint moves only its own contexts.
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

// splitMix64 returns SplitMix64's output after one step from state x.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// searchHash returns the index of the first endpoint with at least the given hash, or
// len(endpoints).
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

// isMostlyWithinWait reports whether at least half of the candidates would start within the request's
// MaxWait. Where most would not, the service is overloaded: to compute a context again at one of the
// others would delay all requests there, so a request that is cheap only at a busy endpoint is refused.
func (c *candidateSet) isMostlyWithinWait(r *Request, queueDepth float64) bool {
	if r.MaxWait <= 0 {
		return false
	}
	within := 0
	for i := range c.n {
		if evaluate(c.list[i].endpoint, r, queueDepth).wait <= r.MaxWait {
			within++
		}
	}
	return 2*within >= c.n
}

func (c *candidateSet) pick(r *Request, random Random) Decision {
	best := Decision{Refusal: RefusalNoneUsable}
	switch {
	case c.fullCount > 0:
		best.Refusal = RefusalAllFull
	case c.pushbackCount > 0 && c.triedCount == 0:
		best.Refusal, best.RetryIn = RefusalPushback, c.allowedIn
	case !c.warmAt.IsZero():
		best.Refusal, best.RetryIn = RefusalAllCold, c.warmAt.Sub(r.Now)
	}
	bestScore := 0.0
	// A random start breaks ties between equal scores.
	start := 0
	if c.n > 0 {
		start = int(random.Uint64() % uint64(c.n))
	}
	queueDepth := c.meanQueueDepth(r)
	avoidsRefusal := c.isMostlyWithinWait(r, queueDepth)
	for i := range c.n {
		cand := c.list[(start+i)%c.n]
		e := evaluate(cand.endpoint, r, queueDepth)
		if avoidsRefusal && e.wait > r.MaxWait {
			e.score += refusalPenalty
		}
		if r.MayCrash {
			e.score += crashCost * float64(cand.endpoint.requestCount(r.Now))
		}
		if best.Endpoint == nil || e.score < bestScore {
			best = Decision{Endpoint: cand.endpoint, Reason: cand.reason, TTFT: e.ttft, Wait: e.wait, CapacityWait: e.capacityWait, CachedTokens: e.cached, WorkTokens: e.recomputed}
			bestScore = e.score
		}
	}
	return best
}
