package origingossip

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"limpetwall/internal/coordination/streamorigin"
)

// TestKeepersAreAgreed guards against a process that asks others for a stream than those which its origin was sent to, and
// against keepers that a failure domain takes with it.
func TestKeepersAreAgreed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{3, 29, 370}).Draw(rt, "size")
		count := rapid.IntRange(1, 5).Draw(rt, "domains")
		stream := streamorigin.Key(rapid.Uint64().Draw(rt, "stream"))
		var all []Peer
		for n := range size {
			all = append(all, Peer{netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), fmt.Sprint(n % count)})
		}
		var agreed []netip.Addr
		for _, self := range all {
			for _, keeper := range keepers(stream, self, slices.DeleteFunc(slices.Clone(all), func(p Peer) bool { return p == self })) {
				if keeper == self.Host {
					rt.Fatalf("%v sends to itself", self)
				}
				if !slices.Contains(agreed, keeper) {
					agreed = append(agreed, keeper)
				}
			}
		}
		domainOf := func(host netip.Addr) string {
			return all[slices.IndexFunc(all, func(p Peer) bool { return p.Host == host })].Domain
		}
		if len(agreed) != 2 || (count > 1 && domainOf(agreed[0]) == domainOf(agreed[1])) {
			rt.Fatalf("the processes know %v as keepers, want two of different domains if there are any", agreed)
		}
	})
}

func BenchmarkKeepers(b *testing.B) {
	var peers []Peer
	for n := range 369 {
		peers = append(peers, Peer{netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), fmt.Sprint(n % domains)})
	}
	self := Peer{netip.AddrFrom4([4]byte{10, 1, 0, 0}), "0"}
	b.ReportAllocs()
	for i := range b.N {
		keepers(streamorigin.Key(i), self, peers)
	}
}
