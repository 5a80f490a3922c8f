package routing

import (
	"math/bits"
	"time"

	"limpetwall/internal/state/contextkey"
)

const (
	// holders is the number of endpoints remembered for a piece of context.
	holders = 2
	// ageBuckets count seconds by powers of two: the last holds about a day.
	ageBuckets = 18
	// learnRate is the weight of one observation of a bucket's hit rate.
	learnRate = 0.05
)

type holder struct {
	endpoint uint64
	at       int64
}

// Index remembers where this entry last sent a context. It is a hint: an engine
// that lost the blocks recomputes them, and the index learns how often that
// happens by the age of its entries. Memory is bounded by two generations of at
// most size pieces; the older is dropped whole, without per-entry bookkeeping.
type Index struct {
	size     int
	current  map[contextkey.Key][holders]holder
	previous map[contextkey.Key][holders]holder
	hitRate  [ageBuckets]float64
	// homeRate is how much of a context its home is found to hold when this
	// entry itself has not sent it there: other entries do.
	homeRate float64
	// branches tells prefixes that many contexts share.
	branches map[contextkey.Key]branch
	// importRate is the share of missing tokens that came from stores, for
	// contexts this entry has seen before (1) and has not (0).
	importRate [2]float64
}

// NewIndex returns an empty index of at most 2*size pieces.
func NewIndex(size int) *Index {
	x := &Index{size: size, current: map[contextkey.Key][holders]holder{}, branches: map[contextkey.Key]branch{}, homeRate: 0.5}
	for i := range x.hitRate {
		x.hitRate[i] = 1 - float64(i)/ageBuckets
	}
	return x
}

func bucket(age time.Duration) int {
	return min(ageBuckets-1, bits.Len64(uint64(max(0, age)/time.Second)))
}

// Lookup appends to out where the longest prefixes of a context may be resident.
// ends holds the tokens up to the end of each key's piece; nil means that all
// pieces have contextkey.PieceTokens.
func (x *Index) Lookup(keys []contextkey.Key, ends []int, now time.Time, out []Holding) []Holding {
	for i := len(keys) - 1; i >= 0; i-- {
		for _, h := range x.holdersOf(keys[i]) {
			if h.endpoint == 0 || has(out, h.endpoint) {
				continue
			}
			age := now.Sub(time.Unix(0, h.at))
			out = append(out, Holding{
				Endpoint: h.endpoint, Tokens: tokensTo(ends, i+1), Chance: x.hitRate[bucket(age)], Age: age,
			})
		}
		if len(out) >= holders {
			break
		}
	}
	return out
}

// holdersOf is where a piece was last sent; unused places have endpoint 0.
func (x *Index) holdersOf(key contextkey.Key) [holders]holder {
	if found, ok := x.current[key]; ok {
		return found
	}
	return x.previous[key]
}

// tokensTo counts the tokens of a context's first pieces.
func tokensTo(ends []int, pieces int) int {
	switch {
	case pieces == 0:
		return 0
	case ends == nil:
		return pieces * contextkey.PieceTokens
	}
	return ends[pieces-1]
}

// branch counts how many different pieces follow a piece.
type branch struct {
	last  contextkey.Key
	count int
}

const (
	// sharedFrom different continuations a piece counts as shared by many contexts.
	sharedFrom = 8
	// keptBranches bounds the pieces whose continuations are counted.
	keptBranches = 20_000
)

// PlacementKey names a context for computed placement: its first piece that is not
// shared by many contexts. With the first piece of all, every conversation that
// begins with the same long instructions would have the same home. Entries learn
// which pieces are shared each for itself; they agree after a few prompts.
func (x *Index) PlacementKey(keys []contextkey.Key) contextkey.Key {
	for i := range len(keys) - 1 {
		b := x.branches[keys[i]]
		if b.last != keys[i+1] && b.count < sharedFrom {
			if len(x.branches) >= keptBranches {
				clear(x.branches)
			}
			b = branch{last: keys[i+1], count: b.count + 1}
			x.branches[keys[i]] = b
		}
		if b.count < sharedFrom {
			return keys[i]
		}
	}
	return keys[len(keys)-1]
}

// AddPreferred appends the expectation that a context's home holds it. All entries
// compute the same home, so a context that one of them sent there is found by
// the others without a word between them; without it each entry would build a
// copy of its own in another engine's memory.
func (x *Index) AddPreferred(home uint64, tokens int, out []Holding) []Holding {
	if tokens == 0 || has(out, home) {
		return out
	}
	return append(out, Holding{Endpoint: home, Tokens: tokens, Chance: x.homeRate, Preferred: true})
}

func has(list []Holding, endpoint uint64) bool {
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
		entry[0] = holder{endpoint: endpoint, at: now.UnixNano()}
		x.current[key] = entry
	}
	if len(x.current) >= x.size {
		x.previous, x.current = x.current, make(map[contextkey.Key][holders]holder, x.size/4)
	}
}

// RemoveEndpoint drops all that an endpoint is remembered to hold.
func (x *Index) RemoveEndpoint(endpoint uint64) {
	for _, generation := range []map[contextkey.Key][holders]holder{x.current, x.previous} {
		for key, list := range generation {
			left := [holders]holder{}
			n := 0
			for _, h := range list {
				if h.endpoint != endpoint {
					left[n] = h
					n++
				}
			}
			if left != list {
				generation[key] = left
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
	rate := &x.hitRate[bucket(h.Age)]
	if h.Preferred {
		rate = &x.homeRate
	}
	*rate += learnRate * (hit - *rate)
}

// Len is the number of pieces remembered.
func (x *Index) Len() int { return len(x.current) + len(x.previous) }

// ImportShare is the share of a context's missing tokens that stores hold.
func (x *Index) ImportShare(seen bool) float64 { return x.importRate[asIndex(seen)] }

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
	rate := &x.importRate[asIndex(seen)]
	*rate += learnRate * (min(1, float64(imported)/float64(missing)) - *rate)
}
