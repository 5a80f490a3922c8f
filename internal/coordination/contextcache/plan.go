package contextcache

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/coordination/routing"
)

// Segment is one part of a prompt.
type Segment struct {
	ID     string
	Tokens int
}

const (
	// maxImportTime is the longest that an import may take; one that is not complete in its
	// time is thrown away by the engine, which reads the prompt. A store's parts are freed
	// only later than that.
	maxImportTime = 1500 * time.Millisecond
	// maxImportShare of a prompt's objective goes to an import at most; the rest is for
	// waiting and reading, which may be needed after all.
	maxImportShare = 0.5
)

// importTimeout is how long after it was sent a prompt's import may end, given the time
// within which its first token is on time (0 if none is asked for).
//
// A link may turn slow, or be asked for more than it carries. With one store's link at a
// quarter of its rate for 5 s, imports that were waited for up to 1.5 s made a fifth to two
// fifths of all answers late. With half of objectives of 500 and 600 ms 0.02 more of all
// requests were served on days with such a link; with 150 ms twice as many tokens were
// read again, and with 400 ms a little more came late.
func importTimeout(objective time.Duration) time.Duration {
	if objective <= 0 {
		return maxImportTime
	}
	return min(maxImportTime, time.Duration(maxImportShare*float64(objective)))
}

// LookupResult is what stores and engines hold of a prompt.
type LookupResult struct {
	// Segments tells of each part whether it can be brought to an engine, and from where
	// Plan would bring it.
	Segments []routing.Segment
	// Resident lists the engines that keep the beginning.
	Resident []ResidentPrefix
	// EnginesKnown tells whether the memory of most engines of this failure domain is known, so
	// that what none of them is said to keep is taken to be kept by none. Where the domain
	// has no engine, all count.
	EnginesKnown bool
}

// Lookup looks a prompt up in all stores and engines.
func (t *Tracker) Lookup(salt string, segments []Segment) LookupResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	result := LookupResult{Resident: t.residentEngines(salt, segments, now), EnginesKnown: t.enginesKnown(now)}
	result.Segments = t.segmentSources(salt, segments, result.Resident, now)
	return result
}

// segmentSources needs k.mu.
func (t *Tracker) segmentSources(salt string, segments []Segment, resident []ResidentPrefix, now time.Time) []routing.Segment {
	out := make([]routing.Segment, 0, len(segments))
	_, engine := splitByTarget(resident, "")
	for i, segment := range segments {
		out = append(out, routing.Segment{Tokens: segment.Tokens})
		if !t.clockOffsetKnown {
			continue
		}
		source := t.engines[engine.Address]
		if i >= engine.Segments {
			source = t.stores[t.findStore(SegmentKey{salt, segment.ID}, segment.Tokens, now)]
		}
		if source != nil {
			out[i].Stored, out[i].Domain, out[i].TransferTime = true, source.config.Domain, source.transferTime(segment.Tokens, t.tokenBytes)
		}
	}
	return out
}

// Plan says for each part of a prompt where it comes from and goes to.
type Plan struct {
	// ImportFrom and SaveTo hold an address for each part, "" for none.
	ImportFrom, SaveTo []string
	// StoredTokens tokens, from the first part on, are held by stores.
	StoredTokens int
	// ImportDeadline is the end of imports by the endpoints' clock, 0 if it is not known.
	ImportDeadline int64
}

// Plan decides where a prompt's parts are imported from and where they are saved.
// target is the address of the engine that the prompt is sent to, objective the time within
// which its first token is on time, 0 if none is asked for. Another engine is a
// source before a store is: its link is faster and less asked for.
//
// Parts that the target is said to keep have a source too. It uses none for what it
// still keeps; but a crowded engine replaces its memory within a second or two, faster
// than its events come, and a first part that is gone makes it read all behind, imports
// included. With 12 engines whose running requests fill most of 52,000 tokens, shared
// tokens read again fell from 3.1 to 0.4 million of 8.8 on the heaviest day.
func (t *Tracker) Plan(salt, context string, segments []Segment, target string, objective time.Duration) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	p := Plan{ImportFrom: make([]string, len(segments)), SaveTo: make([]string, len(segments))}
	if !t.clockOffsetKnown {
		return p
	}
	p.ImportDeadline = now.Add(importTimeout(objective)).UnixMilli() + t.clockOffset
	own, other := splitByTarget(t.residentEngines(salt, segments, now), target)
	contiguous := true
	for i, segment := range segments {
		key := SegmentKey{salt, segment.ID}
		holder := t.findStore(key, segment.Tokens, now)
		if holder != "" && contiguous {
			p.StoredTokens += segment.Tokens
		} else {
			contiguous = false
		}
		p.ImportFrom[i] = holder
		if i < other.Segments && (i >= own || holder == "") {
			p.ImportFrom[i] = other.Address
		}
		if holder == "" {
			p.SaveTo[i] = t.chooseSaveStore(key, context, segment.Tokens, now)
		}
	}
	return p
}

// splitByTarget tells how many of a prompt's first parts the target keeps, and which other
// engine keeps most.
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

// findStore finds a store that holds a part, one of this failure domain first.
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

// chooseSaveStore picks the store that a part is saved in, "" for none: all processes choose the
// same, by a hash of the context, in proportion to the stores' links. A full one is
// followed by the next in its order.
func (t *Tracker) chooseSaveStore(key SegmentKey, context string, tokens int, now time.Time) string {
	best, bestScore := "", 0.0
	for address, s := range t.stores {
		if !s.usable(now) || s.holds(key, 1) || !s.hasCapacity(key, tokens, now) {
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

// rendezvousScore ranks a store for a context by weighted highest random weight.
func rendezvousScore(address, context string, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(xxhash.Sum64String(address+"\x00"+context)>>11) + 0.5) * unit
	return weight / -math.Log(u)
}
