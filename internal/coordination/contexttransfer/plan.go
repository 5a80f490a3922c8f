// Package contexttransfer decides how an engine gets the context of a prompt that has been sent
// before: it is resident in the engine, imported from a store host over a limited link, or
// recomputed. The package also decides which contexts are worth a copy on a store, and performs
// the imports and exports.
package contexttransfer

import (
	"time"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
)

// ImportInput is the input of PlanImport. Chunks are counted from the context's start.
type ImportInput struct {
	// Chunks is the length of the context; the first Resident of them are in the engine.
	Chunks, Resident int
	// StoredProbability is the probability that a missing chunk is on its store.
	StoredProbability float64
	// ChunkBytes is a chunk's size on the link, LinkRate the link's rate in bytes a second.
	ChunkBytes int64
	LinkRate   float64
	// LinkBacklog is the number of bytes in flight on the link before this transfer.
	LinkBacklog int64
	// PrefillRate is the engine's rate in tokens a second, PrefillTokens its queue.
	PrefillRate   int
	PrefillTokens int
	Objective     config.Objective
}

// Plan is what to import: chunks [From, To). The chunks after To are recomputed.
type Plan struct {
	From, To int
	// Cost is the cost of this plan, CostRecompute that of recomputing all, in the objective's
	// units.
	Cost, CostRecompute float64
}

// HasImport reports whether the plan imports anything.
func (p Plan) HasImport() bool { return p.To > p.From }

// assumedPrefillRate is used for an engine that reports no rate, in tokens a second.
const assumedPrefillRate = 8000

// PlanImport chooses how many of the missing chunks to import. An import must end before the
// prefill of the chunks after it begins, but it runs while the engine works through the queue
// before this prompt: that time is free.
//
// The cost of importing n chunks is piecewise linear in n, with one bend where the transfer
// starts to take longer than the engine's queue. So the best n is at an end or at the bend, and
// three candidates besides n = 0 are enough.
func PlanImport(in ImportInput) Plan {
	missing := in.Chunks - in.Resident
	recomputeAll := in.cost(0)
	best := Plan{From: in.Resident, To: in.Resident, Cost: recomputeAll, CostRecompute: recomputeAll}
	if missing <= 0 || in.LinkRate <= 0 || in.ChunkBytes <= 0 || in.StoredProbability <= 0 {
		return best
	}
	free := in.queueTime() - time.Duration(float64(in.LinkBacklog)/in.LinkRate*float64(time.Second))
	bend := int(free.Seconds() * in.LinkRate / float64(in.ChunkBytes))
	for _, n := range [...]int{min(missing, max(0, bend)), min(missing, max(0, bend)+1), missing} {
		if cost := in.cost(n); cost < best.Cost {
			best.To, best.Cost = in.Resident+n, cost
		}
	}
	return best
}

func (in ImportInput) prefillRate() float64 {
	if in.PrefillRate > 0 {
		return float64(in.PrefillRate)
	}
	return assumedPrefillRate
}

func (in ImportInput) queueTime() time.Duration {
	return time.Duration(float64(in.PrefillTokens) / in.prefillRate() * float64(time.Second))
}

// cost returns the expected cost of importing n chunks: those that are not on their store are
// recomputed after the failed lookup.
func (in ImportInput) cost(n int) float64 {
	hit := float64(n) * in.StoredProbability
	recomputed := (float64(in.Chunks-in.Resident) - hit) * contextkey.ChunkTokens
	bytes := hit * float64(in.ChunkBytes)
	transfer := 0.0
	if n > 0 {
		transfer = (float64(in.LinkBacklog) + bytes) / in.LinkRate
	}
	ttft := max(transfer, in.queueTime().Seconds()) + recomputed/in.prefillRate()
	importedTokens := hit * contextkey.ChunkTokens
	return in.Objective.WeightTTFT*ttft + in.Objective.WeightRecompute*recomputed/1000 + in.Objective.WeightLink*importedTokens/1000
}

// CopyCandidate describes a context that could be copied to a store.
type CopyCandidate struct {
	// ReturnProbability is the probability that the context is used again after the engine
	// evicted it.
	ReturnProbability float64
	ChunkBytes        int64
	PrefillRate       int
	Objective         config.Objective
	// LinkRate is the rate of the store's link in bytes a second.
	LinkRate float64
}

// BenefitRatio returns the gain of copying one chunk divided by the cost: above 1 the copy pays.
// The gain is the recomputation saved when the context is used again, minus its import over the
// link; the cost is the link's time and use for the copy.
func BenefitRatio(c CopyCandidate) float64 {
	if c.LinkRate <= 0 || c.ChunkBytes <= 0 {
		return 0
	}
	in := ImportInput{PrefillRate: c.PrefillRate}
	seconds := float64(c.ChunkBytes) / c.LinkRate
	recomputeCost := c.Objective.WeightTTFT*contextkey.ChunkTokens/in.prefillRate() + c.Objective.WeightRecompute*contextkey.ChunkTokens/1000
	linkCost := c.Objective.WeightLink * contextkey.ChunkTokens / 1000
	returnCost := c.Objective.WeightTTFT*seconds + linkCost
	// No caller waits for an upload: its time has a tenth of the weight of a caller's time.
	const uploadWeight = 0.1
	cost := c.Objective.WeightTTFT*seconds*uploadWeight + linkCost
	if cost <= 0 {
		cost = 1e-9
	}
	return c.ReturnProbability * max(0, recomputeCost-returnCost) / cost
}
