// Package routing decides which endpoint serves a prompt. A decision runs
// filter, then scorers, then a picker over a few candidates; it is pure: state
// and random numbers come in, a verdict goes out.
package routing

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/fleet"
)

const (
	// scanLimit is the number of endpoints up to which a decision looks at all.
	scanLimit = 16
	// homes is the number of endpoints that computed placement gives a context.
	homes = 2
	// randomProbes is the number of random candidates beside them.
	randomProbes = 2
	// maxCandidates bounds one decision.
	maxCandidates = scanLimit + 4
	// defaultPrefillRate is assumed of an endpoint that has reported none, in
	// tokens per second.
	defaultPrefillRate = 8000
	// otherDomain is the added round trip to another failure domain.
	otherDomain = time.Millisecond
	// slowStart is how long a new endpoint's estimate is raised: the first
	// requests after a start meet cold caches, and a herd would meet them together.
	slowStart        = 10 * time.Second
	slowStartPenalty = 50 * time.Millisecond
)

// Endpoint is what a decision knows of one endpoint.
type Endpoint struct {
	fleet.Member
	// Hash of the id, for computed placement.
	Hash uint64
	// MaxConcurrent bounds the runs from this entry (0: no bound).
	MaxConcurrent int
	*Dynamic
}

// Dynamic is what changes with every run; the services that share an endpoint
// share it.
type Dynamic struct {
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
}

// Holding tells that an endpoint probably has a context's first tokens resident.
type Holding struct {
	// Endpoint is the hash of the endpoint's member id.
	Endpoint uint64
	Tokens   int
	// Chance that they are still resident, 0 to 1.
	Chance float64
	// Age since the endpoint last used them.
	Age time.Duration
}

// Request is one decision's input.
type Request struct {
	// Root names the context for computed placement: the key of its first piece,
	// or a hash of the text where it has none.
	Root uint64
	// PromptTokens is the prompt's whole length.
	PromptTokens int
	Holdings     []Holding
	Objective    config.Objective
	// Domain of the deciding entry.
	Domain string
	// WeightVersion, if set, is the only one accepted (a resumed run).
	WeightVersion string
	// Exclude lists members already tried.
	Exclude []string
	Now     time.Time
}

// Reason names why a candidate was looked at.
type Reason string

// Reasons of candidates.
const (
	ReasonHolds  Reason = "holds_context"
	ReasonHome   Reason = "home"
	ReasonRandom Reason = "random"
	ReasonAll    Reason = "all"
)

// Verdict is a decision.
type Verdict struct {
	Endpoint *Endpoint
	Reason   Reason
	// TTFT is the expected time to first token.
	TTFT time.Duration
	// CachedTokens expected to be found resident.
	CachedTokens int
	// Refusal says why there is no endpoint.
	Refusal Refusal
}

// Refusal tells why no endpoint was chosen.
type Refusal string

// The refusals.
const (
	// RefuseNone: no endpoint is usable.
	RefuseNone Refusal = "none_usable"
	// RefuseFull: the usable ones are at their bound.
	RefuseFull Refusal = "all_full"
)

// Random yields uniform numbers; *rand.Rand satisfies it.
type Random interface {
	Uint64() uint64
}

// HashID is an endpoint's place in computed placement.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// RootOf names a prompt's context.
func RootOf(keys []contextkey.Key, text string) uint64 {
	if len(keys) > 0 {
		return binary.LittleEndian.Uint64(keys[0][:])
	}
	return xxhash.Sum64String(text)
}

// filter tells whether an endpoint may serve a request at all.
func filter(e *Endpoint, r *Request) bool {
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

func full(e *Endpoint) bool {
	return e.MaxConcurrent > 0 && e.Running >= e.MaxConcurrent
}

// Decide picks an endpoint. Large fleets are not scanned: candidates are the
// holders of the context, its homes by rendezvous hashing and some random ones.
// Entries that decide on the same report draw different random candidates, so
// they do not all meet at the endpoint that looked idle.
func Decide(endpoints []Endpoint, r *Request, random Random) Verdict {
	var set candidates
	if len(endpoints) <= scanLimit {
		for i := range endpoints {
			set.add(&endpoints[i], ReasonAll, r)
		}
	} else {
		set.choose(endpoints, r, random)
		if set.n == 0 {
			// Everything chosen is filtered out: look at all rather than refuse.
			set.scan(endpoints, r)
		}
	}
	return set.pick(r, random)
}

type candidate struct {
	endpoint *Endpoint
	reason   Reason
}

type candidates struct {
	list [maxCandidates]candidate
	n    int
	full int
}

func (c *candidates) add(e *Endpoint, why Reason, r *Request) {
	if c.n == len(c.list) || !filter(e, r) {
		return
	}
	if full(e) {
		c.full++
		return
	}
	for i := range c.n {
		if c.list[i].endpoint == e {
			return
		}
	}
	c.list[c.n] = candidate{e, why}
	c.n++
}

func (c *candidates) scan(endpoints []Endpoint, r *Request) {
	for i := range endpoints {
		c.add(&endpoints[i], ReasonAll, r)
	}
}

// choose needs endpoints ordered by Hash.
func (c *candidates) choose(endpoints []Endpoint, r *Request, random Random) {
	for _, h := range r.Holdings {
		if e := find(endpoints, h.Endpoint); e != nil {
			c.add(e, ReasonHolds, r)
		}
	}
	// Homes are the successors of the root on the ring of hashes: a search in
	// place of scoring every endpoint, and a lost endpoint moves only its own.
	at := search(endpoints, r.Root)
	for step, found := 0, 0; step < scanLimit && found < homes; step++ {
		before := c.n
		c.add(&endpoints[(at+step)%len(endpoints)], ReasonHome, r)
		found += c.n - before
	}
	for range randomProbes {
		c.add(&endpoints[random.Uint64()%uint64(len(endpoints))], ReasonRandom, r)
	}
}

func search(endpoints []Endpoint, hash uint64) int {
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

func find(endpoints []Endpoint, hash uint64) *Endpoint {
	if i := search(endpoints, hash); i < len(endpoints) && endpoints[i].Hash == hash {
		return &endpoints[i]
	}
	return nil
}

func (c *candidates) pick(r *Request, random Random) Verdict {
	best := Verdict{Refusal: RefuseNone}
	if c.full > 0 {
		best.Refusal = RefuseFull
	}
	bestScore := 0.0
	// A random start decides between equals.
	start := 0
	if c.n > 0 {
		start = int(random.Uint64() % uint64(c.n))
	}
	for i := range c.n {
		cand := c.list[(start+i)%c.n]
		ttft, cached, score := evaluate(cand.endpoint, r)
		if best.Endpoint == nil || score < bestScore {
			best = Verdict{Endpoint: cand.endpoint, Reason: cand.reason, TTFT: ttft, CachedTokens: cached}
			bestScore = score
		}
	}
	return best
}

// ejectedScore ranks ejected endpoints behind all others, but before a refusal:
// when every endpoint has failed lately, one of them is still the best try.
const ejectedScore = 1e6

func evaluate(e *Endpoint, r *Request) (ttft time.Duration, cached int, score float64) {
	cached = expectedCached(e, r)
	ttft = expectedTTFT(e, r, cached)
	recomputed := float64(r.PromptTokens - cached)
	score = r.Objective.WeightTTFT*ttft.Seconds() + r.Objective.WeightRecompute*recomputed/1000
	if e.EjectedUntil.After(r.Now) || e.State == fleet.Suspect {
		score += ejectedScore
	}
	return ttft, cached, score
}

func expectedCached(e *Endpoint, r *Request) int {
	for _, h := range r.Holdings {
		if h.Endpoint == e.Hash {
			return min(r.PromptTokens, int(float64(h.Tokens)*h.Chance))
		}
	}
	return 0
}

// expectedTTFT is the time to work off what waits before the prompt, its own
// prefill, and the way there.
func expectedTTFT(e *Endpoint, r *Request, cached int) time.Duration {
	rate := e.Load.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	// A report is old when it is read: what this entry sent since is added.
	tokens := e.Load.QueuedTokens + e.SentTokens + r.PromptTokens - cached
	ttft := time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
	if e.Domain != r.Domain {
		ttft += otherDomain
	}
	if age := r.Now.Sub(e.FirstSeen); age < slowStart {
		ttft += time.Duration(float64(slowStartPenalty) * (1 - float64(age)/float64(slowStart)))
	}
	// Runs that decode share the engine with the prefill; each costs a little.
	ttft += time.Duration(e.Load.Running+e.SentRuns) * 100 * time.Microsecond
	return ttft
}
