package limitshare

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/coordination/pushback"
)

// groupCount is the number of groups of a failure domain: limits of one domain are used by several
// processes, and leases are renewed for groups with limited endpoints only.
const groupCount = 8

// groupID names the endpoints whose limits one lease covers.
type groupID struct {
	domain string
	number int
}

func groupOf(e pushback.Limited) groupID { return groupID{e.Domain, int(uint64(e.Key) % groupCount)} }

// String returns the name in the keys of leases.
func (g groupID) String() string { return g.domain + "." + strconv.Itoa(g.number) }

// rank orders hosts for a group by rendezvous hashing: losing a host moves only its own groups.
func rank(hosts []netip.Addr, g groupID) []netip.Addr {
	type ranked struct {
		host  netip.Addr
		score uint64
	}
	list := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, ranked{h, xxhash.Sum64String(h.String() + "\x00" + g.String())})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.host.Compare(b.host))
	})
	out := make([]netip.Addr, 0, len(list))
	for _, r := range list {
		out = append(out, r.host)
	}
	return out
}
