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
)

// promptContext names a prompt's shared context for decisions.
type promptContext struct {
	// root names the context for computed placement.
	root uint64
	// keys of the shared parts, each with all that precedes it, and the tokens up
	// to the end of each; nil for requests without prompt.
	keys []contextkey.Key
	ends []int
	// parts are the shared parts as their makers name them.
	parts []contextcache.Segment
	// wall separates contexts of customers that share none.
	wall string
}

// sharedWall is the wall of all customers that are not isolated.
const sharedWall = "shared"

// promptContext derives the context from the call's parts. The last part is the
// request's own and returns to nobody, unless it is the only one.
func (x *exchange) promptContext() promptContext {
	p := promptContext{wall: sharedWall}
	if x.customer != nil && x.customer.Isolated {
		p.wall = "customer " + x.customer.Name
	}
	parts := x.call.Segments
	if len(parts) > 1 {
		parts = parts[:len(parts)-1]
	}
	if len(parts) == 0 {
		p.root = xxhash.Sum64String(x.call.ID)
		return p
	}
	parent := sha256.Sum256([]byte(p.wall + "\x00" + x.call.Model))
	tokens := 0
	for _, part := range parts {
		h := sha256.New()
		h.Write(parent[:])
		h.Write([]byte(part.ID))
		h.Sum(parent[:0])
		tokens += part.Tokens
		p.keys = append(p.keys, contextkey.Key(parent[:contextkey.Size]))
		p.ends = append(p.ends, tokens)
		p.parts = append(p.parts, contextcache.Segment(part))
	}
	p.root = binary.LittleEndian.Uint64(parent[:8])
	return p
}

// know tells a decision what stores and engines hold of a prompt.
func (x *exchange) know(r *routing.Request, p promptContext) {
	weights := discovery.VersionName(x.g.weightsOf(x.call.Model))
	if len(p.parts) == 0 || x.g.ContextTracker == nil || weights == "" {
		return
	}
	salt := contextcache.Salt(p.wall, x.call.Model, weights)
	contents := x.g.ContextTracker.Lookup(salt, p.parts)
	r.Segments, r.HoldingsKnown = contents.Imports, contents.EnginesKnown
	if !r.HoldingsKnown {
		return
	}
	members := *x.g.engineHashes.Load()
	r.Holdings = r.Holdings[:0]
	for _, e := range contents.Resident {
		if hash, ok := members[e.Address]; ok {
			r.Holdings = append(r.Holdings, routing.Holding{Endpoint: hash, Tokens: e.Tokens, Chance: 1})
		}
	}
}

// place says where a send's context comes from and goes to. Without a known
// version of weights nothing is shared: what an engine keeps may be of any.
func (x *exchange) place(s *Attempt, p promptContext, c routing.Choice) {
	weights, err := strconv.ParseInt(c.Member.Endpoint.WeightVersion, 10, 64)
	if err != nil || x.g.ContextTracker == nil {
		return
	}
	s.Weights, s.CacheSalt = weights, contextcache.Salt(p.wall, x.call.Model, c.Member.Endpoint.WeightVersion)
	plan := x.g.ContextTracker.Plan(s.CacheSalt, strconv.FormatUint(p.root, 36), p.parts, c.Member.Address, x.route.Objective)
	s.ImportFrom, s.ExportTo = x.forAllParts(plan.ImportFrom), x.forAllParts(plan.SaveTo)
	if strings.Join(plan.ImportFrom, "") != "" {
		s.ImportUntil = plan.ImportDeadline
	}
	x.storedTokens = plan.StoredTokens
}

// forAllParts adds the parts that belong to the request alone: they come from
// nowhere and go nowhere.
func (x *exchange) forAllParts(addresses []string) []string {
	for len(addresses) < len(x.call.Segments) {
		addresses = append(addresses, "")
	}
	return addresses
}
