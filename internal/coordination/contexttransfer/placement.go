package contexttransfer

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
)

// RankStores ranks the stores for a piece of context, best first, by rendezvous
// hashing of its key. No table of 3.1 million contexts is needed, every process
// computes the same answer, and a lost store moves only its own pieces. The
// pieces of one context lie on several stores, so that a long one uses several
// links, and a prefix that many contexts share does not draw them all to one.
func RankStores(stores []*config.StoreHost, chunk contextkey.Key, copies int) []*config.StoreHost {
	ranked := append([]*config.StoreHost(nil), stores...)
	sort.Slice(ranked, func(i, j int) bool {
		return storeScore(ranked[i].ID, chunk) > storeScore(ranked[j].ID, chunk)
	})
	return spreadDomains(ranked, copies)
}

func storeScore(id string, chunk contextkey.Key) uint64 {
	var buf [8 + contextkey.Size]byte
	binary.LittleEndian.PutUint64(buf[:], xxhash.Sum64String(id))
	copy(buf[8:], chunk[:])
	return xxhash.Sum64(buf[:])
}

// spreadDomains takes the best store of each failure domain first: two copies
// in one domain would be lost together.
func spreadDomains(ranked []*config.StoreHost, copies int) []*config.StoreHost {
	var chosen, rest []*config.StoreHost
	used := map[string]bool{}
	for _, s := range ranked {
		if used[s.Domain] {
			rest = append(rest, s)
			continue
		}
		used[s.Domain] = true
		chosen = append(chosen, s)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(copies, len(chosen))]
}
