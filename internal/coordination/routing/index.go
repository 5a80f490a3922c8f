package routing

import (
	"math/bits"
	"time"

	"limpetwall/internal/state/contextkey"
)

const (
	// holdersPerChunk is the number of endpoints remembered for a chunk of context.
	holdersPerChunk = 2
	// ageBuckets is the number of buckets of ages, by powers of two in seconds; the last
	// is for ages of about a day.
	ageBuckets = 18
	// learningRate is the weight of one observation of a bucket's hit rate.
	learningRate = 0.05
)

type holder struct {
	endpoint uint64
	usedAt   int64
}

// Index records where this process last sent a context. It is a hint: an engine that
// has evicted the context recomputes it, and the index learns how often that happens
// by the age of its records. Memory is bounded by two generations of at most size chunks;
// the older generation is dropped whole, without bookkeeping for each record.
type Index struct {
	size     int
	current  map[contextkey.Key][holdersPerChunk]holder
	previous map[contextkey.Key][holdersPerChunk]holder
	hitRate  [ageBuckets]float64
	// preferredHitRate is the share of a context that its preferred endpoint is found to
	// hold when this process has not sent it there itself, because others did.
	preferredHitRate float64
	// branches detects prefixes that many contexts share.
	branches map[contextkey.Key]branch
	// importShare is the share of missing tokens that came from stores, for contexts
	// that this process has not seen before (0) and has seen (1).
	importShare [2]float64
}

// NewIndex returns an empty index of at most 2*size chunks.
func NewIndex(size int) *Index {
	x := &Index{size: size, current: map[contextkey.Key][holdersPerChunk]holder{}, branches: map[contextkey.Key]branch{}, preferredHitRate: 0.5}
	for i := range x.hitRate {
		x.hitRate[i] = 1 - float64(i)/ageBuckets
	}
	return x
}

func ageBucket(age time.Duration) int {
	return min(ageBuckets-1, bits.Len64(uint64(max(0, age)/time.Second)))
}

// Lookup appends to out where the longest prefixes of a context may be resident.
// ends holds the number of tokens up to the end of each key's chunk; nil means that all
// chunks have contextkey.ChunkTokens.
func (x *Index) Lookup(keys []contextkey.Key, ends []int, now time.Time, out []Holding) []Holding {
	for i := len(keys) - 1; i >= 0; i-- {
		for _, h := range x.holdersOf(keys[i]) {
			if h.endpoint == 0 || hasEndpoint(out, h.endpoint) {
				continue
			}
			age := now.Sub(time.Unix(0, h.usedAt))
			out = append(out, Holding{
				Endpoint: h.endpoint, Tokens: tokensUpTo(ends, i+1), Chance: x.hitRate[ageBucket(age)], Age: age,
			})
		}
		if len(out) >= holdersPerChunk {
			break
		}
	}
	return out
}

// holdersOf returns the endpoints that a chunk was last sent to; unused elements have
// endpoint 0.
func (x *Index) holdersOf(key contextkey.Key) [holdersPerChunk]holder {
	if found, ok := x.current[key]; ok {
		return found
	}
	return x.previous[key]
}

// tokensUpTo counts the tokens of a context's first chunks.
func tokensUpTo(ends []int, chunks int) int {
	switch {
	case chunks == 0:
		return 0
	case ends == nil:
		return chunks * contextkey.ChunkTokens
	}
	return ends[chunks-1]
}

// branch counts how often the chunk that follows a chunk changes.
type branch struct {
	last  contextkey.Key
	count int
}

const (
	// minSharedBranches is the count from which a chunk is regarded as shared by many
	// contexts.
	minSharedBranches = 8
	// maxBranches bounds the number of chunks whose followers are counted.
	maxBranches = 20_000
)

// PlacementKey returns the key that determines a context's preferred endpoints: that of
// its first chunk that is not shared by many contexts. By the first chunk alone, all
// conversations that begin with the same long instructions would have the same preferred
// endpoints. Each process learns by itself which chunks are shared; they agree after a few
// prompts.
func (x *Index) PlacementKey(keys []contextkey.Key) contextkey.Key {
	for i := range len(keys) - 1 {
		b := x.branches[keys[i]]
		if b.last != keys[i+1] && b.count < minSharedBranches {
			if len(x.branches) >= maxBranches {
				clear(x.branches)
			}
			b = branch{last: keys[i+1], count: b.count + 1}
			x.branches[keys[i]] = b
		}
		if b.count < minSharedBranches {
			return keys[i]
		}
	}
	return keys[len(keys)-1]
}

// AddPreferred appends the expectation that a context's preferred endpoint holds it. All
// processes compute the same preferred endpoint, so a context that one of them sent there
// is found by the others without communication. Without the expectation, each process would
// build a copy of its own in another engine's memory.
func (x *Index) AddPreferred(preferred uint64, tokens int, out []Holding) []Holding {
	if tokens == 0 || hasEndpoint(out, preferred) {
		return out
	}
	return append(out, Holding{Endpoint: preferred, Tokens: tokens, Chance: x.preferredHitRate, Preferred: true})
}

func hasEndpoint(list []Holding, endpoint uint64) bool {
	for _, h := range list {
		if h.Endpoint == endpoint {
			return true
		}
	}
	return false
}

// Add records that an endpoint has computed or imported a context.
func (x *Index) Add(keys []contextkey.Key, endpoint uint64, now time.Time) {
	for _, key := range keys {
		entry, ok := x.current[key]
		if !ok {
			entry = x.previous[key]
		}
		if entry[0].endpoint != endpoint {
			entry[1] = entry[0]
		}
		entry[0] = holder{endpoint: endpoint, usedAt: now.UnixNano()}
		x.current[key] = entry
	}
	if len(x.current) >= x.size {
		x.previous, x.current = x.current, make(map[contextkey.Key][holdersPerChunk]holder, x.size/4)
	}
}

// RemoveEndpoint removes all records of an endpoint.
func (x *Index) RemoveEndpoint(endpoint uint64) {
	for _, generation := range []map[contextkey.Key][holdersPerChunk]holder{x.current, x.previous} {
		for key, list := range generation {
			remaining := [holdersPerChunk]holder{}
			n := 0
			for _, h := range list {
				if h.endpoint != endpoint {
					remaining[n] = h
					n++
				}
			}
			if remaining != list {
				generation[key] = remaining
			}
		}
	}
}

// ObserveHit updates the expected hit rate with what the engine found of a holding.
func (x *Index) ObserveHit(h Holding, cachedTokens int) {
	if h.Tokens == 0 {
		return
	}
	hit := min(1, float64(cachedTokens)/float64(h.Tokens))
	rate := &x.hitRate[ageBucket(h.Age)]
	if h.Preferred {
		rate = &x.preferredHitRate
	}
	*rate += learningRate * (hit - *rate)
}

// Len returns the number of chunks in both generations.
func (x *Index) Len() int { return len(x.current) + len(x.previous) }

// ImportShare returns the expected share of a context's missing tokens that stores hold,
// for contexts that this process has seen before or not.
func (x *Index) ImportShare(seen bool) float64 { return x.importShare[boolToInt(seen)] }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ObserveImport updates the expected import share with how many of the missing tokens came
// from a store.
func (x *Index) ObserveImport(seen bool, missing, imported int) {
	if missing <= 0 {
		return
	}
	rate := &x.importShare[boolToInt(seen)]
	*rate += learningRate * (min(1, float64(imported)/float64(missing)) - *rate)
}
