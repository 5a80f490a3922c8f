package contexttransfer

import (
	"time"

	"limpetwall/internal/state/contextkey"
)

// Residency estimates which chunks are in an engine's cache. The engine's events are late and
// have gaps, so it is only a hint: a chunk wrongly taken as resident is recomputed, one wrongly
// taken as missing is imported once more.
//
// Engines evict the least recently used chunk first. The eviction of a chunk therefore implies
// that all chunks last used before it are evicted too: one eviction event makes up for lost ones
// before it.
type Residency struct {
	lastUsed map[contextkey.Key]time.Time
	// lastEvictedUse is the latest last use among the evicted chunks.
	lastEvictedUse time.Time
}

// maxTrackedChunks bounds the chunks that a Residency tracks and that a Mover has as stored.
const maxTrackedChunks = 200_000

// NewResidency returns the estimate for an empty cache.
func NewResidency() *Residency {
	return &Residency{lastUsed: map[contextkey.Key]time.Time{}}
}

// MarkUsed records that a run has used a chunk, or that it was imported.
func (r *Residency) MarkUsed(key contextkey.Key, now time.Time) {
	if len(r.lastUsed) >= maxTrackedChunks {
		r.dropEvicted()
	}
	r.lastUsed[key] = now
}

// dropEvicted removes the evicted chunks; if too many are left, it removes all.
func (r *Residency) dropEvicted() {
	for key, at := range r.lastUsed {
		if !at.After(r.lastEvictedUse) {
			delete(r.lastUsed, key)
		}
	}
	if len(r.lastUsed) >= maxTrackedChunks {
		clear(r.lastUsed)
	}
}

// MarkStored records an event that a chunk entered the cache. The last use of a known chunk stays
// as it is.
func (r *Residency) MarkStored(key contextkey.Key, now time.Time) {
	if _, known := r.lastUsed[key]; !known {
		r.MarkUsed(key, now)
	}
}

// MarkEvicted records an event that a chunk was evicted.
func (r *Residency) MarkEvicted(key contextkey.Key) {
	at, known := r.lastUsed[key]
	if !known {
		return
	}
	delete(r.lastUsed, key)
	if at.After(r.lastEvictedUse) {
		r.lastEvictedUse = at
	}
}

// Clear removes all chunks, after a swap of weights.
func (r *Residency) Clear() { clear(r.lastUsed) }

// ResidentPrefix returns the number of chunks of a context, from its start, that are probably
// resident.
func (r *Residency) ResidentPrefix(keys []contextkey.Key) int {
	for i, key := range keys {
		if at, known := r.lastUsed[key]; !known || !at.After(r.lastEvictedUse) {
			return i
		}
	}
	return len(keys)
}
