package contexttransfer

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/residency"
)

// RankStores returns the stores for the copies of a chunk, best first, by rendezvous
// hashing of its key. This needs no table of 3.1 million contexts, every process computes the
// same result, and a lost store moves only its own chunks. The chunks of one context are on
// several stores, so that a long context uses several links, and contexts with a common prefix
// are not all on one store.
func RankStores(stores []*config.StoreHost, chunk contextkey.Key, copies int) []*config.StoreHost {
	ranked := append([]*config.StoreHost(nil), stores...)
	sort.Slice(ranked, func(i, j int) bool {
		return storeScore(ranked[i].ID, chunk) > storeScore(ranked[j].ID, chunk)
	})
	return spreadDomains(ranked, copies)
}

// allowedStores returns the stores in allowed regions.
func allowedStores(stores []*config.StoreHost, regions residency.Rule) []*config.StoreHost {
	var out []*config.StoreHost
	for _, s := range stores {
		if regions.Allows(s.Region) {
			out = append(out, s)
		}
	}
	return out
}

func storeScore(id string, chunk contextkey.Key) uint64 {
	var buf [8 + contextkey.Size]byte
	binary.LittleEndian.PutUint64(buf[:], xxhash.Sum64String(id))
	copy(buf[8:], chunk[:])
	return xxhash.Sum64(buf[:])
}

// spreadDomains puts the best store of each failure domain first, as two copies in one domain
// would be lost together, and returns as many stores as there are copies.
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
