package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/coordination/contextcache"
	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/routes"
)

// promptContext identifies the shared context of a prompt for routing and for transfers between caches.
type promptContext struct {
	// placementHash identifies the context for computed placement.
	placementHash uint64
	// keys are those of the shared segments, each hashed with all that precede it; ends are the
	// tokens up to the end of each. Both are nil for requests without a prompt.
	keys []contextkey.Key
	ends []int
	// segments are the shared segments with the IDs that the caller gave.
	segments []contextcache.Segment
	// sharingGroup separates the contexts of customers that must not share any.
	sharingGroup string
}

// maxSegmentID is the longest ID, in bytes, by which a segment is saved and imported. IDs are kept until saves are confirmed.
const maxSegmentID = 256

// promptContext derives the context from the call's segments. The last segment is left out
// unless it is the only one: it belongs to this request and is not used again.
func (x *exchange) promptContext() promptContext {
	p := promptContext{sharingGroup: x.sharingGroup()}
	segments := x.call.Segments
	if len(segments) > 1 {
		segments = segments[:len(segments)-1]
	}
	if len(segments) == 0 {
		p.placementHash = xxhash.Sum64String(x.call.ID)
		return p
	}
	parent := sha256.Sum256([]byte(p.sharingGroup + "\x00" + x.call.Model))
	tokens, hasLongID := 0, false
	for _, segment := range segments {
		h := sha256.New()
		h.Write(parent[:])
		h.Write([]byte(segment.ID))
		h.Sum(parent[:0])
		tokens += segment.Tokens
		p.keys = append(p.keys, contextkey.Key(parent[:contextkey.Size]))
		p.ends = append(p.ends, tokens)
		p.segments = append(p.segments, contextcache.Segment(segment))
		hasLongID = hasLongID || len(segment.ID) > maxSegmentID
	}
	if hasLongID {
		p.segments = nil
	}
	p.placementHash = binary.LittleEndian.Uint64(parent[:8])
	return p
}

// sharingGroup returns the group of customers that share contexts with the request's customer. The
// configuration in force decides, not the one with which the request began: while it waited, a
// customer whose context it would use may have been isolated. A customer that was isolated when the
// request began keeps its own group. On public routes a key that comes with the request counts, too.
func (x *exchange) sharingGroup() string { return x.sharingGroupIn(x.g.State.Routes()) }

func (x *exchange) sharingGroupIn(table *routes.Table) string {
	customer := x.customer
	if customer == nil && x.call.Key != "" {
		customer, _ = table.CustomerOf(x.call.Key)
	}
	return table.SharingGroup(customer)
}

// beginGroup returns the sharing group of an attempt. A run that goes on brings along what it has
// read; if walls have changed since it began, that must neither be kept for others nor be read
// from what others left, so the rest of the run shares with none.
func (x *exchange) beginGroup(isContinued bool) string {
	table := x.g.State.Routes()
	group := x.sharingGroupIn(table)
	if !isContinued {
		x.runGroup = group
	}
	if x.sharedTable = nil; group == table.SharingGroup(nil) {
		x.sharedTable = table
	}
	if group != x.runGroup {
		return group + " run " + x.call.ID + " " + strconv.Itoa(len(x.attempts))
	}
	return group
}

// setHoldings adds to a routing request what stores and engines hold of the prompt.
func (x *exchange) setHoldings(r *routing.Request, p promptContext) {
	weights := x.g.newestWeights(x.call.Model)
	if len(p.segments) == 0 || x.g.ContextTracker == nil || weights == 0 {
		return
	}
	contents := x.g.ContextTracker.Lookup(x.cachePrompt(p, x.call.Model, weights))
	r.Segments, r.HoldingsKnown = contents.Segments, contents.EnginesKnown
	if !r.HoldingsKnown {
		return
	}
	endpoints := *x.g.engineHashes.Load()
	r.Holdings = r.Holdings[:0]
	for _, e := range contents.Resident {
		if hash, ok := endpoints[e.Address]; ok {
			r.Holdings = append(r.Holdings, routing.Holding{Endpoint: hash, Tokens: e.Tokens, Chance: 1})
		}
	}
}

// setPrompt derives the prompt's context and sets in a routing request what depends on it.
func (x *exchange) setPrompt(r *routing.Request) promptContext {
	p := x.promptContext()
	r.PlacementHash, r.PlacementHashKnown, r.ChunkEnds = p.placementHash, true, p.ends
	x.setHoldings(r, p)
	return p
}

// planTransfers sets the salt of an attempt, and where it imports context from and exports it to.
// Nothing is shared unless the weight version is known: cached context may be of any version.
func (x *exchange) planTransfers(a *Attempt, p promptContext, c routing.Choice, isContinued bool) {
	weights, err := strconv.ParseInt(c.Member.Endpoint.WeightVersion, 10, 64)
	if err != nil || x.g.ContextTracker == nil {
		return
	}
	p.sharingGroup = x.beginGroup(isContinued)
	prompt := x.cachePrompt(p, c.Member.Endpoint.Model, weights)
	a.Weights, a.CacheSalt = weights, prompt.Salt
	plan := x.g.ContextTracker.Plan(prompt, strconv.FormatUint(p.placementHash, 36), c.Member.Address, x.route.Objective, x.residency)
	a.ImportFrom, a.ExportTo = x.padToSegments(plan.ImportFrom), x.padToSegments(plan.SaveTo)
	if strings.Join(plan.ImportFrom, "") != "" {
		a.ImportUntil = plan.ImportDeadline
	}
	x.importsWithheld = plan.Withheld
	if plan.Withheld {
		x.g.count("context_imports_withheld")
	}
	x.storedTokens = plan.StoredTokens
}

// cachePrompt returns the prompt as caches know it under a version of a model's weights.
func (x *exchange) cachePrompt(p promptContext, model string, weights int64) contextcache.Prompt {
	return contextcache.Prompt{
		Salt: contextcache.Salt(p.sharingGroup, x.call.Model, discovery.VersionName(weights)), Segments: p.segments,
		StoresUntil: x.g.State.CurrentAsOf(model, weights).Add(contextcache.ReplacedUse),
	}
}

// padToSegments appends empty addresses for the segments that belong to the request alone:
// they are neither imported nor exported.
func (x *exchange) padToSegments(addresses []string) []string {
	for len(addresses) < len(x.call.Segments) {
		addresses = append(addresses, "")
	}
	return addresses
}
