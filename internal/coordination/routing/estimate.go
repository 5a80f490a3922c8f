package routing

import (
	"time"

	"limpetwall/internal/state/fleet"
)

// meanQueueDepth returns the average queue of the candidates, in requests of this size:
// so many requests wait behind a token's computation. Recomputing delays all of them,
// not only its own caller. If scores left that out, long queues would send every request
// to the shortest one, contexts would be recomputed there, and that work would keep the
// queues long after the peak that caused them is over.
func (c *candidateSet) meanQueueDepth(r *Request) float64 {
	if c.n == 0 {
		return 0
	}
	queued := 0
	for i := range c.n {
		queued += c.list[i].endpoint.queuedTokens(r.Urgency)
	}
	return float64(queued) / float64(c.n) / float64(max(1, r.PromptTokens))
}

// degradedPenalty ranks degraded endpoints behind all others, but before a refusal: when
// every endpoint has failed recently, one of them is still the best choice.
const degradedPenalty = 1e6

// estimate is what a request is expected to cost at an endpoint. The lowest score wins.
type estimate struct {
	ttft, wait time.Duration
	// capacityWait is the part of wait that is for a slot and memory.
	capacityWait time.Duration
	cached       int
	recomputed   int
	score        float64
}

func evaluate(e *Endpoint, r *Request, queueDepth float64) estimate {
	cached := expectedCached(e, r)
	best := newEstimate(e, r, queueDepth, cached, 0)
	if importable := r.importableTokens(cached); importable > 0 && e.Load.LinkRate > 0 {
		if withImport := newEstimate(e, r, queueDepth, cached, importable); withImport.score < best.score {
			best = withImport
		}
	}
	if e.Domain != r.Domain {
		best.score += r.CrossDomainPenalty
	}
	if e.isDegraded(r.Now) {
		best.score += degradedPenalty
	}
	return best
}

// isDegraded reports whether an endpoint is ejected, suspected to be dead, or being probed after an
// ejection. It is then used only if there is no other.
func (e *Endpoint) isDegraded(now time.Time) bool {
	return e.EjectedUntil.After(now) || e.State == fleet.Suspect || (e.OnProbation && e.Probes > 0)
}

// importableTokens returns how many tokens after the cached ones can be imported without a
// gap: an engine computes everything after a gap.
func (r *Request) importableTokens(cached int) int {
	if !r.SegmentsKnown {
		return int(r.ImportShare * float64(r.PromptTokens-cached))
	}
	end, tokens := 0, 0
	for _, s := range r.Segments {
		end += s.Tokens
		if end <= cached {
			continue
		}
		if !s.Stored {
			break
		}
		tokens = end - cached
	}
	return tokens
}

// newEstimate estimates serving a request with cached tokens in the engine's memory and
// imported tokens brought from stores; the engine computes the rest.
func newEstimate(e *Endpoint, r *Request, queueDepth float64, cached, imported int) estimate {
	recomputed := r.PromptTokens - cached - imported
	transfer := time.Duration(0)
	if imported > 0 {
		transfer = r.transferTime(e, cached, imported)
	}
	usual := e.fixedTime() + e.usualCallTime() + seconds(float64(recomputed)/e.prefillRate())
	slowdown := e.slowdown(r.Now, usual)
	rate := e.prefillRate() / slowdown
	work := float64(recomputed) / rate
	insertion := r.insertionCost(cached) / rate
	// An import proceeds while the engine works through its queue.
	queue := seconds(float64(e.queuedTokens(r.Urgency)) / rate)
	slot := time.Duration(slowdown * float64(e.slotWait(r.Now)))
	ttft := max(transfer, queue) + time.Duration(slowdown*float64(usual)) + slot + e.memoryWait(r, r.HeldTokens) + e.overhead(r)
	late := latenessCost(ttft, r)
	capacityWait := slot + e.memoryWait(r, r.meanHeldTokens())
	// A delay that the request causes to others weighs as much as its own waiting.
	weight := r.Objective.WeightTTFT + late/max(ttft.Seconds(), 1e-9)
	return estimate{
		ttft: ttft, wait: queue + capacityWait, capacityWait: capacityWait, cached: cached, recomputed: recomputed,
		score: r.Objective.WeightTTFT*ttft.Seconds() + late + weight*(queueDepth*work+insertion) +
			r.Objective.WeightRecompute*float64(recomputed)/1000 + r.Objective.WeightLink*float64(imported)/1000,
	}
}

// crossDomainTransferFactor is how many times as long a transfer takes to another failure
// domain.
const crossDomainTransferFactor = 2

// transferTime returns how long a transfer of the imported tokens, which follow the cached
// ones, to an endpoint would take.
func (r *Request) transferTime(e *Endpoint, cached, imported int) time.Duration {
	if !r.SegmentsKnown {
		return seconds(float64(imported) / float64(e.Load.LinkRate))
	}
	total, begin := time.Duration(0), 0
	for _, s := range r.Segments {
		missing := min(begin+s.Tokens, cached+imported) - max(begin, cached)
		begin += s.Tokens
		if missing <= 0 {
			continue
		}
		took := time.Duration(float64(s.TransferTime) * float64(missing) / float64(s.Tokens))
		if s.Domain != e.Domain {
			took *= crossDomainTransferFactor
		}
		total += took
	}
	return total
}

// insertionCost returns the eviction cost, in tokens, of bringing context that is not
// resident into an engine's memory. Context that is reused within seconds, such as a
// prefix that many prompts share, bears only a part of it, since many uses share it. At
// the full cost such a prefix would be bound to one engine until that is overloaded.
func (r *Request) insertionCost(cached int) float64 {
	returning := max(0, r.KnownTokens-cached)
	fresh := max(0, r.ContextTokens-max(cached, r.KnownTokens))
	tokens := evictionCost * (float64(fresh) + float64(returning)*min(1, float64(r.KnownAge)/float64(fullCostAge)))
	if r.SegmentsKnown && r.ContextTokens > 0 {
		// Evicted context is imported again instead of recomputed, assuming that
		// stores hold as much of other contexts as of this one.
		tokens *= 1 - importSavings*float64(min(r.importableTokens(0), r.ContextTokens))/float64(r.ContextTokens)
	}
	return tokens
}

// importSavings is the share of a context's computation time that importing it saves:
// links carry 200,000 tokens per second and more, engines compute 50,000.
const importSavings = 0.8

// latenessCost makes each second beyond the service's objective cost something, however
// little the objective weighs waiting otherwise: patience has a limit.
func latenessCost(ttft time.Duration, r *Request) float64 {
	objective := time.Duration(r.Objective.TTFTMS) * time.Millisecond
	if objective == 0 {
		return 0
	}
	return latenessWeight * max(0, 1-r.Objective.WeightTTFT) * max(0, (ttft-objective).Seconds())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func expectedCached(e *Endpoint, r *Request) int {
	for _, h := range r.Holdings {
		if h.Endpoint == e.Hash {
			return min(r.PromptTokens, int(float64(h.Tokens)*h.Chance))
		}
	}
	return 0
}

func (e *Endpoint) prefillRate() float64 {
	if e.Load.PrefillRate > 0 {
		return e.ModelRate.blend(float64(e.Load.PrefillRate), e.RateSamples)
	}
	return defaultPrefillRate
}

// queuedTokens returns the prompt tokens to be computed before a new request. A report is
// already old when it is used, so what this process sent since is added.
func (e *Endpoint) queuedTokens(urgency int) int {
	if !e.CountsOnly {
		return e.Load.QueuedTokens + e.SentTokens
	}
	own := sum(e.Unread[:urgency+1])
	if e.HasPeerReports {
		return own + sum(e.PeerWork.Unread[:urgency+1])
	}
	return int(max(1, e.PeerFactor) * float64(own))
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

// maxFreshLoadAge is how long an endpoint's own count of requests is considered along with
// what the processes report to have in flight there: about the duration of a short run.
const maxFreshLoadAge = 500 * time.Millisecond

// requestCount returns how many requests the endpoint has, as far as this process knows.
func (e *Endpoint) requestCount(now time.Time) int {
	reported := e.Load.Running + e.Load.Queued + e.SentRuns
	if !e.HasPeerReports {
		return max(e.Running, reported)
	}
	known := e.Running + e.PeerWork.Running
	if now.Sub(e.LoadArrivedAt) > maxFreshLoadAge {
		return known
	}
	return max(known, reported)
}

// slotWait returns how long another request waits for one of the endpoint's slots: one
// becomes free every RunTime/Slots.
func (e *Endpoint) slotWait(now time.Time) time.Duration {
	requests := e.requestCount(now)
	if e.Slots == 0 || requests < e.Slots {
		return 0
	}
	runTime := e.RunTime
	if runTime == 0 {
		runTime = assumedRunTime
	}
	return runTime * time.Duration(requests-e.Slots+1) / time.Duration(e.Slots)
}

// memoryWait returns how long a run that occupies tokens waits for free memory in the
// engine, or how long others wait that it preempts. All memory is assumed to be freed once
// per RunTime.
func (e *Endpoint) memoryWait(r *Request, tokens int) time.Duration {
	if e.MemoryTokens == 0 || tokens == 0 {
		return 0
	}
	excess := e.totalHeldTokens(r) + tokens - e.MemoryTokens
	if excess <= 0 {
		return 0
	}
	runTime := max(e.RunTime, assumedRunTime)
	return time.Duration(float64(runTime) * float64(excess) / float64(e.MemoryTokens) * memoryWaitFactor)
}

// meanHeldTokens returns the size by which a request is refused: the mean of its kind, so that
// all sizes of a kind have the same chance. By its own size, a large request would find no
// free memory whenever memory is nearly full, and smaller ones would keep it nearly full: at
// twice the usual load, 0.22 of the largest tenth were served where 0.46 of all were, and on 14
// of 24 overloaded days less than half as many of them as of all. By the mean size, that was so
// on 2 days.
func (r *Request) meanHeldTokens() int {
	if r.MeanHeldTokens == 0 {
		return r.HeldTokens
	}
	return r.MeanHeldTokens
}

// totalHeldTokens returns how much of an engine's memory all runs occupy. Where other
// processes do not report their work, their runs are assumed to be like this process's own.
func (e *Endpoint) totalHeldTokens(r *Request) int {
	if e.HasPeerReports {
		return e.HeldTokens + e.PeerWork.HeldTokens
	}
	each := r.HeldTokens
	if e.Running > 0 {
		each = e.HeldTokens / e.Running
	}
	return e.HeldTokens + max(0, e.requestCount(r.Now)-e.Running)*each
}

// memoryWaitFactor makes a full engine cost more than its wait alone: a run that does not
// fit preempts another, whose prompt is then computed again.
const memoryWaitFactor = 2

// overhead returns the sum of the delay to another failure domain, the slow-start penalty
// and 100 µs for each run that shares the engine with the prefill.
func (e *Endpoint) overhead(r *Request) time.Duration {
	d := time.Duration(e.Load.Running+e.SentRuns) * 100 * time.Microsecond
	if e.Domain != r.Domain {
		d += crossDomainDelay
	}
	return d + max(startPenalty(r.Now.Sub(e.FirstSeen), slowStart), startPenalty(r.Now.Sub(e.Pushback.EndedAt()), slowReturn))
}

// startPenalty returns slowStartPenalty, reduced by the part of a period that has passed.
func startPenalty(passed, period time.Duration) time.Duration {
	if passed >= period {
		return 0
	}
	return time.Duration(float64(slowStartPenalty) * (1 - float64(passed)/float64(period)))
}
