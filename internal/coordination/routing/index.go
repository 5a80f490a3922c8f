package routing

import (
	"math/bits"
	"time"

	"limpetwall/internal/state/contextkey"
)

const (
	// holdersPerChunk is the number of endpoints remembered for a piece of context.
	holdersPerChunk = 2
	// ageBuckets count seconds by powers of two: the last holds about a day.
	ageBuckets = 18
	// learningRate is the weight of one observation of a bucket's hit rate.
	learningRate = 0.05
)

type holder struct {
	endpoint uint64
	usedAt   int64
}

// Index remembers where this entry last sent a context. It is a hint: an engine
// that lost the blocks recomputes them, and the index learns how often that
// happens by the age of its entries. Memory is bounded by two generations of at
// most size pieces; the older is dropped whole, without per-entry bookkeeping.
type Index struct {
	size     int
	current  map[contextkey.Key][holdersPerChunk]holder
	previous map[contextkey.Key][holdersPerChunk]holder
	hitRate  [ageBuckets]float64
	// preferredHitRate is how much of a context its home is found to hold when this
	// entry itself has not sent it there: other entries do.
	preferredHitRate float64
	// branches tells prefixes that many contexts share.
	branches map[contextkey.Key]branch
	// importShare is the share of missing tokens that came from stores, for
	// contexts this entry has seen before (1) and has not (0).
	importShare [2]float64
}

// NewIndex returns an empty index of at most 2*size pieces.
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
// ends holds the tokens up to the end of each key's piece; nil means that all
// pieces have contextkey.PieceTokens.
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

// holdersOf is where a piece was last sent; unused places have endpoint 0.
func (x *Index) holdersOf(key contextkey.Key) [holdersPerChunk]holder {
	if found, ok := x.current[key]; ok {
		return found
	}
	return x.previous[key]
}

// tokensUpTo counts the tokens of a context's first pieces.
func tokensUpTo(ends []int, chunks int) int {
	switch {
	case chunks == 0:
		return 0
	case ends == nil:
		return chunks * contextkey.PieceTokens
	}
	return ends[chunks-1]
}

// branch counts how many different pieces follow a piece.
type branch struct {
	last  contextkey.Key
	count int
}

const (
	// minSharedBranches different continuations a piece counts as shared by many contexts.
	minSharedBranches = 8
	// maxBranches bounds the pieces whose continuations are counted.
	maxBranches = 20_000
)

// PlacementKey names a context for computed placement: its first piece that is not
// shared by many contexts. With the first piece of all, every conversation that
// begins with the same long instructions would have the same home. Entries learn
// which pieces are shared each for itself; they agree after a few prompts.
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

// AddPreferred appends the expectation that a context's home holds it. All entries
// compute the same home, so a context that one of them sent there is found by
// the others without a word between them; without it each entry would build a
// copy of its own in another engine's memory.
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

// Add records that an endpoint has computed or read a context.
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

// RemoveEndpoint drops all that an endpoint is remembered to hold.
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

// ObserveHit compares what was expected of a holding with what the engine found.
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

// Len is the number of pieces remembered.
func (x *Index) Len() int { return len(x.current) + len(x.previous) }

// ImportShare is the share of a context's missing tokens that stores hold.
func (x *Index) ImportShare(seen bool) float64 { return x.importShare[asIndex(seen)] }

func asIndex(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ObserveImport compares what was missing with what came from a store.
func (x *Index) ObserveImport(seen bool, missing, imported int) {
	if missing <= 0 {
		return
	}
	rate := &x.importShare[asIndex(seen)]
	*rate += learningRate * (min(1, float64(imported)/float64(missing)) - *rate)
}
