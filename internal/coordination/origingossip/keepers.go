package origingossip

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/coordination/streamorigin"
)

// keepers returns the processes other than self that hold the origin of a stream: of all processes, the one with the highest
// rendezvous hash for the stream, and the one with the highest among those of other failure domains, as the hosts of a domain
// may be lost together. Whoever takes up the stream finds them without knowing who began it.
func keepers(stream streamorigin.Key, self Peer, peers []Peer) []netip.Addr {
	first := highest(stream, self, peers, func(Peer) bool { return true })
	second := highest(stream, self, peers, func(p Peer) bool { return p.Domain != first.Domain })
	if second == (Peer{}) {
		second = highest(stream, self, peers, func(p Peer) bool { return p != first })
	}
	out := make([]netip.Addr, 0, 2)
	for _, keeper := range []Peer{first, second} {
		if keeper != self && keeper != (Peer{}) {
			out = append(out, keeper.Host)
		}
	}
	return out
}

// highest returns the process with the highest rendezvous hash for a stream among those that may be picked.
func highest(stream streamorigin.Key, self Peer, peers []Peer, canPick func(Peer) bool) (best Peer) {
	most := uint64(0)
	consider := func(p Peer) {
		if !canPick(p) {
			return
		}
		if hash := rendezvousHash(stream, p.Host); best == (Peer{}) || hash > most {
			best, most = p, hash
		}
	}
	consider(self)
	for _, p := range peers {
		consider(p)
	}
	return best
}

func rendezvousHash(stream streamorigin.Key, host netip.Addr) uint64 {
	var data [24]byte
	binary.LittleEndian.PutUint64(data[:], uint64(stream))
	address := host.As16()
	copy(data[8:], address[:])
	return xxhash.Sum64(data[:])
}
