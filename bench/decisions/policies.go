package main

import (
	"limpetwall/internal/coordination/contexttransfer"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/contextkey"
)

// policy chooses an engine and a source for each request.
type policy struct {
	name   string
	choose func(w *world, entry int, keys []contextkey.Key) (engine int, done func(cached, imported int))
	// source returns the first piece to import and how many.
	source  func(w *world, r *run) (from, n int)
	exports bool
	// always copies whatever the budget allows.
	always bool
}

var policies = []policy{
	{name: "oracle", choose: chooseOracle, source: sourceOracle, exports: true},
	{name: "limpetwall", choose: chooseOurs, source: sourceOurs, exports: true},
	{name: "ours, always recompute", choose: chooseOurs, source: sourceNone},
	{name: "ours, always import", choose: chooseOurs, source: sourceAll, exports: true, always: true},
	{name: "random", choose: chooseRandom, source: sourceOurs, exports: true},
	{name: "round-robin", choose: chooseRoundRobin, source: sourceOurs, exports: true},
	{name: "least-loaded", choose: chooseLeastLoaded, source: sourceOurs, exports: true},
	{name: "prefix hash", choose: chooseHash, source: sourceOurs, exports: true},
}

func nothing(int, int) {}

func chooseRandom(w *world, _ int, _ []contextkey.Key) (int, func(int, int)) {
	return w.random.IntN(engines), nothing
}

func chooseRoundRobin(w *world, _ int, _ []contextkey.Key) (int, func(int, int)) {
	w.roundRobin++
	return w.roundRobin % engines, nothing
}

// chooseLeastLoaded goes by the last report the entry has.
func chooseLeastLoaded(w *world, entry int, _ []contextkey.Key) (int, func(int, int)) {
	best, least := w.random.IntN(engines), 1<<62
	for i, e := range w.engines {
		if r, ok := w.tables[entry].ReportOf(e.id); ok && r.Load.QueuedTokens < least {
			best, least = i, r.Load.QueuedTokens
		}
	}
	return best, nothing
}

func chooseHash(_ *world, _ int, keys []contextkey.Key) (int, func(int, int)) {
	return int(routing.PlacementHash(keys, "") % engines), nothing
}

// chooseOurs asks the product's directory of the entry.
func chooseOurs(w *world, entry int, keys []contextkey.Key) (int, func(int, int)) {
	d := w.dirs[entry]
	r := &routing.Request{
		PlacementHash: routing.PlacementHash(keys, ""), PromptTokens: len(keys)*contextkey.ChunkTokens + newTokens,
		Objective: w.site.objective, Domain: w.tables[entry].Self().Domain, Now: w.clock(),
	}
	c := d.Choose("s", keys, r)
	index := int(c.Member.Incarnation) - 1
	return index, func(cached, imported int) {
		d.RecordCachedTokens(c, cached*contextkey.ChunkTokens, imported*contextkey.ChunkTokens, w.clock())
		d.ObserveLoad(c, w.loadOf(index), w.clock())
		d.Done(c, false, w.clock())
	}
}

func sourceNone(*world, *run) (int, int) { return 0, 0 }

func sourceAll(_ *world, r *run) (int, int) {
	from := r.engine.hint.ResidentPrefix(r.keys)
	return from, len(r.keys) - from
}

// sourceOurs asks the product's decision with what an agent knows.
func sourceOurs(w *world, r *run) (int, int) {
	from := r.engine.hint.ResidentPrefix(r.keys)
	missing := r.keys[from:]
	source := contexttransfer.ImportInput{
		Chunks: len(r.keys), Resident: from, ChunkBytes: pieceBytes, PrefillRate: prefillRate,
		PrefillTokens: w.backlog(r.engine), Objective: w.site.objective,
	}
	for _, k := range missing {
		store := w.storeOf(k)
		if store.stored[k] {
			source.StoredProbability += 1 / float64(len(missing))
		}
		source.LinkRate += store.links[r.index].Rate(w.clock()) / float64(len(missing))
		source.LinkBacklog = max(source.LinkBacklog, store.links[r.index].Backlog())
	}
	p := contexttransfer.PlanImport(source)
	return p.From, p.To - p.From
}

// oracleCost is the true cost of n imported pieces at an engine.
func oracleCost(w *world, e *fakeEngine, keys []contextkey.Key, resident, n int) float64 {
	arrives := map[*fakeStore]float64{}
	transfer := 0.0
	for _, k := range keys[resident : resident+n] {
		s := w.storeOf(k)
		if _, ok := arrives[s]; !ok {
			arrives[s] = max(0, s.freeAt-w.now).Seconds()
		}
		arrives[s] += pieceBytes / linkRate
		transfer = max(transfer, arrives[s])
	}
	redone := float64((len(keys)-resident-n)*contextkey.ChunkTokens + newTokens)
	ttft := max(transfer, max(0, e.freeAt-w.now).Seconds()) + redone/prefillRate
	o := w.site.objective
	late := max(0, 1-o.WeightTTFT) * max(0, ttft-float64(o.TTFTMS)/1000)
	return late + o.WeightTTFT*ttft + o.WeightRecompute*redone/1000 + o.WeightLink*float64(n)*contextkey.ChunkTokens/1000
}

func oracleBest(w *world, e *fakeEngine, keys []contextkey.Key) (cost float64, from, n int) {
	resident := e.residentPieces(keys)
	stored := w.stored(keys, resident)
	cost = oracleCost(w, e, keys, resident, 0)
	for k := 1; k <= stored; k++ {
		if c := oracleCost(w, e, keys, resident, k); c < cost {
			cost, n = c, k
		}
	}
	return cost, resident, n
}

// chooseOracle knows every engine's, link's and store's true state now.
func chooseOracle(w *world, _ int, keys []contextkey.Key) (int, func(int, int)) {
	best, least := 0, 0.0
	for i, e := range w.engines {
		if cost, _, _ := oracleBest(w, e, keys); i == 0 || cost < least {
			best, least = i, cost
		}
	}
	// Others decide meanwhile: the work is known to be on its way.
	return best, nothing
}

func sourceOracle(w *world, r *run) (int, int) {
	_, from, n := oracleBest(w, r.engine, r.keys)
	return from, n
}
