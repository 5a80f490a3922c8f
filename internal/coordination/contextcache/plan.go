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
	// importTime is the longest that an import may take; one that is not complete in its
	// time is thrown away by the engine, which reads the prompt. A store's parts are freed
	// only later than that.
	importTime = 1500 * time.Millisecond
	// importShare of a prompt's objective goes to an import at most; the rest is for
	// waiting and reading, which may be needed after all.
	importShare = 0.5
)

// importWithin is how long after it was sent a prompt's import may end, given the time
// within which its first token is on time (0 if none is asked for).
//
// A link may turn slow, or be asked for more than it carries. With one store's link at a
// quarter of its rate for 5 s, imports that were waited for up to 1.5 s made a fifth to two
// fifths of all answers late. With half of objectives of 500 and 600 ms 0.02 more of all
// requests were served on days with such a link; with 150 ms twice as many tokens were
// read again, and with 400 ms a little more came late.
func importWithin(objective time.Duration) time.Duration {
	if objective <= 0 {
		return importTime
	}
	return min(importTime, time.Duration(importShare*float64(objective)))
}

// LookupResult is what stores and engines hold of a prompt.
type LookupResult struct {
	// Imports tells of each part whether it can be brought to an engine, and from where
	// Plan would bring it.
	Imports []routing.Segment
	// Resident lists the engines that keep the beginning.
	Resident []ResidentPrefix
	// EnginesKnown tells whether the memory of most engines of this failure domain is known, so
	// that what none of them is said to keep is taken to be kept by none. Where the domain
	// has no engine, all count.
	EnginesKnown bool
}

// Lookup looks a prompt up in all stores and engines.
func (k *Tracker) Lookup(salt string, parts []Segment) LookupResult {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	c := LookupResult{Resident: k.resident(salt, parts, now), EnginesKnown: k.informed(now)}
	c.Imports = k.imports(salt, parts, c.Resident, now)
	return c
}

// imports needs k.mu.
func (k *Tracker) imports(salt string, parts []Segment, resident []ResidentPrefix, now time.Time) []routing.Segment {
	out := make([]routing.Segment, 0, len(parts))
	_, engine := holders(resident, "")
	for n, p := range parts {
		out = append(out, routing.Segment{Tokens: p.Tokens})
		if !k.clockKnown {
			continue
		}
		source := k.engines[engine.Address]
		if n >= engine.Segments {
			source = k.stores[k.holderOf(SegmentKey{salt, p.ID}, p.Tokens, now)]
		}
		if source != nil {
			out[n].Stored, out[n].Domain, out[n].TransferTime = true, source.config.Domain, source.transfer(p.Tokens, k.tokenBytes)
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
func (k *Tracker) Plan(salt, context string, parts []Segment, target string, objective time.Duration) Plan {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	p := Plan{ImportFrom: make([]string, len(parts)), SaveTo: make([]string, len(parts))}
	if !k.clockKnown {
		return p
	}
	p.ImportDeadline = now.Add(importWithin(objective)).UnixMilli() + k.clock
	own, other := holders(k.resident(salt, parts, now), target)
	unbroken := true
	for i, part := range parts {
		key := SegmentKey{salt, part.ID}
		holder := k.holderOf(key, part.Tokens, now)
		if holder != "" && unbroken {
			p.StoredTokens += part.Tokens
		} else {
			unbroken = false
		}
		p.ImportFrom[i] = holder
		if i < other.Segments && (i >= own || holder == "") {
			p.ImportFrom[i] = other.Address
		}
		if holder == "" {
			p.SaveTo[i] = k.keep(key, context, part.Tokens, now)
		}
	}
	return p
}

// holders tells how many of a prompt's first parts the target keeps, and which other
// engine keeps most.
func holders(resident []ResidentPrefix, target string) (own int, other ResidentPrefix) {
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

// holderOf finds a store that holds a part, one of this failure domain first.
func (k *Tracker) holderOf(key SegmentKey, tokens int, now time.Time) string {
	best := ""
	for address, s := range k.stores {
		if !s.usable(now) || !s.holds(key, tokens) {
			continue
		}
		if best == "" || s.config.Domain == k.Domain {
			best = address
		}
	}
	return best
}

// keep picks the store that a part is saved in, "" for none: all processes choose the
// same, by a hash of the context, in proportion to the stores' links. A full one is
// followed by the next in its order.
func (k *Tracker) keep(key SegmentKey, context string, tokens int, now time.Time) string {
	best, bestRank := "", 0.0
	for address, s := range k.stores {
		if !s.usable(now) || s.holds(key, 1) || !s.hasRoom(key, tokens, now) {
			continue
		}
		rank := rendezvous(address, context, s.saveWeight(k.tokenBytes))
		if best == "" || rank > bestRank {
			best, bestRank = address, rank
		}
	}
	if best == "" || !k.stores[best].maySave(key, tokens, now) {
		return ""
	}
	return best
}

// rendezvous ranks a store for a context by weighted highest random weight.
func rendezvous(address, context string, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(xxhash.Sum64String(address+"\x00"+context)>>11) + 0.5) * unit
	return weight / -math.Log(u)
}
