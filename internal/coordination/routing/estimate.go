package routing

import (
	"time"

	"limpetwall/internal/state/fleet"
)

// meanQueueDepth is how many requests wait behind a token's computation: the average
// queue of the candidates in requests of this size. Recomputing delays all of
// them, not only its own caller. Without the meanQueueDepth, long queues make every
// request flee to the shortest one, contexts are computed anew wherever it lands,
// and that work keeps the queues long after the peak that made them is over.
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

// degradedPenalty ranks ejected endpoints behind all others, but before a refusal:
// when every endpoint has failed lately, one of them is still the best try.
const degradedPenalty = 1e6

// estimate is what a request is expected to cost at an endpoint.
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
	if imported := r.importableTokens(cached); imported > 0 && e.Load.LinkRate > 0 {
		if imported := newEstimate(e, r, queueDepth, cached, imported); imported.score < best.score {
			best = imported
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

// isDegraded tells whether an endpoint is used only if there is no other.
func (e *Endpoint) isDegraded(now time.Time) bool {
	return e.EjectedUntil.After(now) || e.State == fleet.Suspect
}

// importableTokens is how many of the tokens behind the cached ones stores hold without a
// gap: an engine reads everything behind one.
func (r *Request) importableTokens(cached int) int {
	if !r.SegmentsKnown {
		return int(r.ImportShare * float64(r.PromptTokens-cached))
	}
	end, tokens := 0, 0
	for _, i := range r.Segments {
		end += i.Tokens
		if end <= cached {
			continue
		}
		if !i.Stored {
			break
		}
		tokens = end - cached
	}
	return tokens
}

// newEstimate of serving a request with moved of its missing tokens imported.
func newEstimate(e *Endpoint, r *Request, queueDepth float64, cached, imported int) estimate {
	recomputed := r.PromptTokens - cached - imported
	transfer := time.Duration(0)
	if imported > 0 {
		transfer = r.transferTime(e, cached, imported)
	}
	work := float64(recomputed) / e.prefillRate()
	insertion := r.insertionCost(cached) / e.prefillRate()
	// An import runs while the engine works off what waits before.
	queue := seconds(float64(e.queuedTokens(r.Urgency)) / e.prefillRate())
	slot := e.slotWait(r.Now)
	ttft := max(transfer, queue) + seconds(work) + slot + e.memoryWait(r, r.HeldTokens) + e.overhead(r)
	late := latenessCost(ttft, r)
	capacityWait := slot + e.memoryWait(r, r.meanHeldTokens())
	// The work that a decision makes for others weighs as its own waiting does.
	weight := r.Objective.WeightTTFT + late/max(ttft.Seconds(), 1e-9)
	return estimate{
		ttft: ttft, wait: queue + capacityWait, capacityWait: capacityWait, cached: cached, recomputed: recomputed,
		score: r.Objective.WeightTTFT*ttft.Seconds() + late + weight*(queueDepth*work+insertion) +
			r.Objective.WeightRecompute*float64(recomputed)/1000 + r.Objective.WeightLink*float64(imported)/1000,
	}
}

// crossDomainTransferFactor is how much longer a transfer takes to another failure domain.
const crossDomainTransferFactor = 2

// transferTime is how long the moved tokens behind the cached ones take to an endpoint.
func (r *Request) transferTime(e *Endpoint, cached, imported int) time.Duration {
	if !r.SegmentsKnown {
		return seconds(float64(imported) / float64(e.Load.LinkRate))
	}
	total, begin := time.Duration(0), 0
	for _, i := range r.Segments {
		missing := min(begin+i.Tokens, cached+imported) - max(begin, cached)
		begin += i.Tokens
		if missing <= 0 {
			continue
		}
		took := time.Duration(float64(i.TransferTime) * float64(missing) / float64(i.Tokens))
		if i.Domain != e.Domain {
			took *= crossDomainTransferFactor
		}
		total += took
	}
	return total
}

// insertionCost is the price, in tokens, of bringing what is not resident into an
// engine's memory. What returns within seconds, such as a prefix that many
// prompts share, pays it once for many uses; with the full price it would be
// tied to one engine until that drowned.
func (r *Request) insertionCost(cached int) float64 {
	returning := max(0, r.KnownTokens-cached)
	fresh := max(0, r.ContextTokens-max(cached, r.KnownTokens))
	tokens := evictionCost * (float64(fresh) + float64(returning)*min(1, float64(r.KnownAge)/float64(fullCostAge)))
	if r.SegmentsKnown && r.ContextTokens > 0 {
		// What is pushed out comes back by import instead of computation, as far as
		// stores hold as much of other contexts as of this one.
		tokens *= 1 - importSavings*float64(min(r.importableTokens(0), r.ContextTokens))/float64(r.ContextTokens)
	}
	return tokens
}

// importSavings is the part of a context's computation that its import saves: links
// carry 200,000 tokens a second and more, engines read 50,000.
const importSavings = 0.8

// latenessCost makes each second beyond the service's own objective cost something,
// however little it weighs waiting otherwise: patient is not endless.
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

// queuedTokens is the work before a new request. A report is old when it is
// read: what this entry sent since is added.
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

// maxFreshLoadAge is how long an endpoint's own count stands beside what the processes say
// that they have underway there: about the time of a short run.
const maxFreshLoadAge = 500 * time.Millisecond

// requestCount is how many requests the endpoint has, as far as this entry knows.
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

// slotWait is how long a further request waits for one of the endpoint's slots: a
// slot comes free every RunTime/Slots.
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

// memoryWait is how long a run of so many tokens waits until an engine's memory has room
// for it, or preempts others that then wait as long: all memory is given back once in
// RunTime.
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

// meanHeldTokens is the size by which a request is refused: every size of a kind has the same chance.
// With its own the largest would find no room whenever memory is nearly full, and smaller
// ones would keep it so. At twice the meanHeldTokens load 0.22 of the largest tenth were served where
// 0.46 of all were, and on 14 of 24 overloaded days less than half as many of them as of all;
// with the meanHeldTokens size on 2.
func (r *Request) meanHeldTokens() int {
	if r.MeanHeldTokens == 0 {
		return r.HeldTokens
	}
	return r.MeanHeldTokens
}

// totalHeldTokens is what all runs take of an engine's memory. Where others do not tell,
// their runs are taken to be like this entry's own.
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

// memoryWaitFactor makes a full engine less attractive than its wait alone: a run
// that does not fit preempts another, which is read in again.
const memoryWaitFactor = 2

// overhead is the way there, a slow start, and a little for each run that shares
// the engine with the prefill.
func (e *Endpoint) overhead(r *Request) time.Duration {
	d := time.Duration(e.Load.Running+e.SentRuns) * 100 * time.Microsecond
	if e.Domain != r.Domain {
		d += crossDomainDelay
	}
	if age := r.Now.Sub(e.FirstSeen); age < slowStart {
		d += time.Duration(float64(slowStartPenalty) * (1 - float64(age)/float64(slowStart)))
	}
	return d
}
