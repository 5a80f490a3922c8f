// Package contexttransfer decides where a returning prompt's context comes from and
// moves it: resident in the engine, imported from a store host over a limited
// link, or recomputed; and which contexts are worth a copy on a store.
package contexttransfer

import (
	"time"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
)

// ImportInput is one decision's input. Pieces are counted from the context's start.
type ImportInput struct {
	// Chunks of the context in all; the first Resident are in the engine.
	Chunks, Resident int
	// StoredProbability that the next pieces are on the store, 0 to 1.
	StoredProbability float64
	// ChunkBytes on the link, and the link's rate now, in bytes a second.
	ChunkBytes int64
	LinkRate   float64
	// LinkBacklog is what waits on the link before this transfer, in bytes.
	LinkBacklog int64
	// PrefillRate of the engine in tokens a second, and what waits before it.
	PrefillRate   int
	PrefillTokens int
	Objective     config.Objective
}

// Plan says what to import: pieces [From, To). What follows is recomputed.
type Plan struct {
	From, To int
	// Cost of this plan and of recomputing all, in the objective's units.
	Cost, CostRecompute float64
}

// HasImport tells whether the plan imports anything.
func (p Plan) HasImport() bool { return p.To > p.From }

// assumedPrefillRate stands in for an engine that reports none, tokens a second.
const assumedPrefillRate = 8000

// PlanImport chooses how many of the missing pieces to import. An import must end
// before the prefill of what follows it begins, but it runs while the engine
// works off what waits before this prompt: that time is free.
//
// The cost of importing n pieces falls and rises linearly in parts, with one
// bend where the transfer outlasts the engine's queue; so the best n is at an
// end or at the bend, and three candidates are enough.
func PlanImport(s ImportInput) Plan {
	missing := s.Chunks - s.Resident
	recomputeAll := s.cost(0)
	best := Plan{From: s.Resident, To: s.Resident, Cost: recomputeAll, CostRecompute: recomputeAll}
	if missing <= 0 || s.LinkRate <= 0 || s.ChunkBytes <= 0 || s.StoredProbability <= 0 {
		return best
	}
	free := s.queueTime() - time.Duration(float64(s.LinkBacklog)/s.LinkRate*float64(time.Second))
	bend := int(free.Seconds() * s.LinkRate / float64(s.ChunkBytes))
	for _, n := range [...]int{min(missing, max(0, bend)), min(missing, max(0, bend)+1), missing} {
		if cost := s.cost(n); cost < best.Cost {
			best.To, best.Cost = s.Resident+n, cost
		}
	}
	return best
}

func (s ImportInput) prefillRate() float64 {
	if s.PrefillRate > 0 {
		return float64(s.PrefillRate)
	}
	return assumedPrefillRate
}

func (s ImportInput) queueTime() time.Duration {
	return time.Duration(float64(s.PrefillTokens) / s.prefillRate() * float64(time.Second))
}

// cost of importing n pieces: the chance that they are not there is paid as
// recomputing them after a failed look-up.
func (s ImportInput) cost(n int) float64 {
	hit := float64(n) * s.StoredProbability
	recomputed := (float64(s.Chunks-s.Resident) - hit) * contextkey.PieceTokens
	bytes := hit * float64(s.ChunkBytes)
	transfer := 0.0
	if n > 0 {
		transfer = (float64(s.LinkBacklog) + bytes) / s.LinkRate
	}
	ttft := max(transfer, s.queueTime().Seconds()) + recomputed/s.prefillRate()
	importedTokens := hit * contextkey.PieceTokens
	return s.Objective.WeightTTFT*ttft + s.Objective.WeightRecompute*recomputed/1000 + s.Objective.WeightLink*importedTokens/1000
}

// CopyCandidate describes a context that could be copied to a store.
type CopyCandidate struct {
	// ReturnProbability that the context comes back after it left the engine.
	ReturnProbability float64
	ChunkBytes        int64
	PrefillRate       int
	Objective         config.Objective
	// LinkRate is the rate that uploads may use, in bytes a second.
	LinkRate float64
}

// BenefitRatio is the gain of copying one piece per unit of its cost: above 1 the copy
// pays. The gain is the recomputation saved when the context returns, less the
// way back over the link; the cost is the link's time and use now.
func BenefitRatio(c CopyCandidate) float64 {
	if c.LinkRate <= 0 || c.ChunkBytes <= 0 {
		return 0
	}
	s := ImportInput{PrefillRate: c.PrefillRate}
	seconds := float64(c.ChunkBytes) / c.LinkRate
	recomputeCost := c.Objective.WeightTTFT*contextkey.PieceTokens/s.prefillRate() + c.Objective.WeightRecompute*contextkey.PieceTokens/1000
	linkCost := c.Objective.WeightLink * contextkey.PieceTokens / 1000
	returnCost := c.Objective.WeightTTFT*seconds + linkCost
	// Uploads keep nobody waiting: their time weighs a tenth of a caller's.
	const uploadWeight = 0.1
	cost := c.Objective.WeightTTFT*seconds*uploadWeight + linkCost
	if cost <= 0 {
		cost = 1e-9
	}
	return c.ReturnProbability * max(0, recomputeCost-returnCost) / cost
}
