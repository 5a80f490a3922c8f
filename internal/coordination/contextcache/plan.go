package contextcache

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/residency"
)

// Segment is one segment of a prompt.
type Segment struct {
	ID     string
	Tokens int
}

const (
	// maxImportTime is the longest time that an import may take. The engine discards one that
	// is not complete by then and prefills the prompt.
	maxImportTime = 1500 * time.Millisecond
	// maxImportShare is the largest share of a prompt's objective that an import may take; the
	// rest is left for queueing and for the prefill that a failed import makes necessary.
	maxImportShare = 0.5
)

// importTimeout returns how long after the prompt is sent its import may end. objective is the
// time within which the first token is on time, 0 if none is set.
//
// A link may become slow or overloaded. With one store's link at a quarter of its rate for 5 s
// and a timeout of 1.5 s, a fifth to two fifths of all answers were late. With half of the
// objective, for objectives of 500 and 600 ms, 0.02 more of all requests were served on days
// with such a link; with 150 ms twice as many tokens were prefilled again, and with 400 ms
// slightly more answers were late.
func importTimeout(objective time.Duration) time.Duration {
	if objective <= 0 {
		return maxImportTime
	}
	return min(maxImportTime, time.Duration(maxImportShare*float64(objective)))
}

// LookupResult is what stores and engines hold of a prompt.
type LookupResult struct {
	// Segments describes for each segment whether an engine can import it, and from which source
	// Plan would take it.
	Segments []routing.Segment
	// Resident lists the engines that hold a prefix of the prompt.
	Resident []ResidentPrefix
	// EnginesKnown is set if the cache contents of at least half of this failure domain's
	// engines are known: a segment that none of them is known to hold is then treated as held
	// by none. If the domain has no engine, the engines of all domains count.
	EnginesKnown bool
}

// Prompt is a prompt whose segments may be imported.
type Prompt struct {
	// Salt is the cache salt of the prompt, see Salt.
	Salt     string
	Segments []Segment
	// StoresUntil is when imports from stores must have ended; see ReplacedUse.
	StoresUntil time.Time
}

// canImport reports whether segments may be imported from stores for some time from now on.
func (p Prompt) canImport(now time.Time, timeout time.Duration) bool {
	return !now.Add(timeout).After(p.StoresUntil)
}

// Lookup looks a prompt up in all stores and engines.
func (t *Tracker) Lookup(p Prompt) LookupResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	result := LookupResult{Resident: t.residentEngines(p.Salt, p.Segments, now), EnginesKnown: t.enginesKnown(now)}
	result.Segments = t.segmentSources(p, result.Resident, now)
	return result
}

// segmentSources computes LookupResult.Segments; t.mu is held.
func (t *Tracker) segmentSources(p Prompt, resident []ResidentPrefix, now time.Time) []routing.Segment {
	out := make([]routing.Segment, 0, len(p.Segments))
	_, engine := splitByTarget(resident, "")
	fromStores := p.canImport(now, maxImportTime)
	for i, segment := range p.Segments {
		out = append(out, routing.Segment{Tokens: segment.Tokens})
		if !t.clockOffsetKnown {
			continue
		}
		source := t.engines[engine.Address]
		if i >= engine.Segments {
			source = nil
			if fromStores {
				source = t.stores[t.findStore(SegmentKey{p.Salt, segment.ID}, segment.Tokens, now)]
			}
		}
		if source != nil {
			out[i].Stored, out[i].Domain, out[i].TransferTime = true, source.config.Domain, source.transferTime(segment.Tokens, t.tokenBytes)
		}
	}
	return out
}

// Plan holds, for each segment of a prompt, where to import it from and where to save it.
type Plan struct {
	// ImportFrom and SaveTo hold an address for each segment, "" for none.
	ImportFrom, SaveTo []string
	// StoredTokens is the length of the prompt's prefix that stores hold.
	StoredTokens int
	// ImportDeadline is when imports must end, on the endpoints' clock in Unix ms; 0 if that
	// clock is not known.
	ImportDeadline int64
	// Withheld is set if stores hold segments that are not imported from them because the prompt's
	// weights may have been replaced.
	Withheld bool
}

// Plan decides where a prompt's segments are imported from and where they are saved.
// target is the address of the engine that the prompt is sent to, objective the time within
// which its first token is on time, 0 if none is set. Segments are saved only in regions that
// rule allows. Another engine is preferred to a store
// as a source: its link is faster and less loaded.
//
// Segments that the target is known to hold get a source too. The target does not import what
// it still holds; but a busy engine replaces its cache within a second or two, before its
// events arrive, and if it has evicted the first segment it must prefill all that follow, even
// imported ones. With 12 engines whose running requests fill most of 52,000 tokens, these
// sources reduced the shared tokens that were prefilled again from 3.1 to 0.4 million of 8.8 on
// the heaviest day.
func (t *Tracker) Plan(prompt Prompt, context, target string, objective time.Duration, rule residency.Rule) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, segments := t.Now(), prompt.Segments
	p := Plan{ImportFrom: make([]string, len(segments)), SaveTo: make([]string, len(segments))}
	if !t.clockOffsetKnown {
		return p
	}
	timeout := importTimeout(objective)
	p.ImportDeadline = now.Add(timeout).UnixMilli() + t.clockOffset
	fromStores := prompt.canImport(now, timeout)
	own, other := splitByTarget(t.residentEngines(prompt.Salt, segments, now), target)
	contiguous := true
	for i, segment := range segments {
		key := SegmentKey{prompt.Salt, segment.ID}
		holder := t.findStore(key, segment.Tokens, now)
		if holder != "" && contiguous {
			p.StoredTokens += segment.Tokens
		} else {
			contiguous = false
		}
		if fromStores {
			p.ImportFrom[i] = holder
		} else if holder != "" {
			p.Withheld = true
		}
		if i < other.Segments && (i >= own || p.ImportFrom[i] == "") {
			p.ImportFrom[i] = other.Address
		}
		if holder == "" {
			p.SaveTo[i] = t.chooseSaveStore(key, context, segment.Tokens, now, rule)
		}
	}
	return p
}

// splitByTarget returns how many of a prompt's first segments the target holds, and which
// other engine holds most.
func splitByTarget(resident []ResidentPrefix, target string) (own int, other ResidentPrefix) {
	for _, r := range resident {
		switch {
		case r.Address == target:
			own = r.Segments
		case r.Segments > other.Segments:
			other = r
		}
	}
	return own, other
}

// findStore returns a store that holds a segment, preferably one of this failure domain, and ""
// if there is none.
func (t *Tracker) findStore(key SegmentKey, tokens int, now time.Time) string {
	best := ""
	for address, s := range t.stores {
		if !s.usable(now) || !s.holds(key, tokens) {
			continue
		}
		if best == "" || s.config.Domain == t.Domain {
			best = address
		}
	}
	return best
}

// chooseSaveStore returns the store to save a segment in, "" for none. It ranks the stores by a
// hash of the context, weighted by saveWeight, so that all processes choose the same one. A full
// store is skipped for the next in rank. The save counts as in flight.
func (t *Tracker) chooseSaveStore(key SegmentKey, context string, tokens int, now time.Time, rule residency.Rule) string {
	best, bestScore := "", 0.0
	for address, s := range t.stores {
		if !s.usable(now) || s.holds(key, 1) || !s.hasCapacity(key, tokens, now) || !rule.Allows(t.Regions[s.config.Domain]) {
			continue
		}
		score := rendezvousScore(address, context, s.saveWeight(t.tokenBytes))
		if best == "" || score > bestScore {
			best, bestScore = address, score
		}
	}
	if best == "" || !t.stores[best].tryBeginSave(key, tokens, now) {
		return ""
	}
	return best
}

// rendezvousScore ranks a store for a context by weighted rendezvous hashing (highest random
// weight).
func rendezvousScore(address, context string, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(xxhash.Sum64String(address+"\x00"+context)>>11) + 0.5) * unit
	return weight / -math.Log(u)
}
