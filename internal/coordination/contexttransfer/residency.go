package contexttransfer

import (
	"time"

	"limpetwall/internal/state/contextkey"
)

// Residency is what an agent believes to be in its engine's memory. The engine's
// events are late and have gaps, so it is a hint: a piece wrongly thought resident
// is recomputed, one wrongly thought missing is imported once more.
//
// Engines evict the least recently used piece first. A piece that is seen to be
// gone therefore tells that all pieces last used before it are gone too: one
// eviction event makes up for the lost ones before it.
type Residency struct {
	lastUsed map[contextkey.Key]time.Time
	// lastEvictedUse is the newest last use among the pieces seen to be lastEvictedUse.
	lastEvictedUse time.Time
}

// maxTrackedChunks bounds the pieces remembered.
const maxTrackedChunks = 200_000

// NewResidency returns a belief in an empty memory.
func NewResidency() *Residency {
	return &Residency{lastUsed: map[contextkey.Key]time.Time{}}
}

// MarkUsed tells that a run has used a piece, or that it was brought in.
func (r *Residency) MarkUsed(key contextkey.Key, now time.Time) {
	if len(r.lastUsed) >= maxTrackedChunks {
		r.dropEvicted()
	}
	r.lastUsed[key] = now
}

// dropEvicted makes room; if nothing is known to be gone, all is forgotten.
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

// MarkStored tells of an event that a piece entered memory.
func (r *Residency) MarkStored(key contextkey.Key, now time.Time) {
	if _, known := r.lastUsed[key]; !known {
		r.MarkUsed(key, now)
	}
}

// MarkEvicted tells that a piece has left memory.
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

// Clear forgets everything, after a swap of weights.
func (r *Residency) Clear() { clear(r.lastUsed) }

// ResidentPrefix is the number of pieces of a context, from its start, that are
// probably resident.
func (r *Residency) ResidentPrefix(keys []contextkey.Key) int {
	for i, key := range keys {
		if at, known := r.lastUsed[key]; !known || !at.After(r.lastEvictedUse) {
			return i
		}
	}
	return len(keys)
}
