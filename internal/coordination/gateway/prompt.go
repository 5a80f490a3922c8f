package gateway

import (
	"crypto/sha256"
	"encoding/binary"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/contextkey"

	"github.com/cespare/xxhash/v2"
)

// promptContext names a prompt's shared context for decisions.
type promptContext struct {
	// root names the context for computed placement.
	root uint64
	// keys of the shared parts, each with all that precedes it, and the tokens up
	// to the end of each; nil for requests without prompt.
	keys []contextkey.Key
	ends []int
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
	parts := x.call.Parts
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
	}
	p.root = binary.LittleEndian.Uint64(parent[:8])
	return p
}

// place says where a send's context comes from and goes to.
func (p promptContext) place(s *Send, c routing.Choice) {}
