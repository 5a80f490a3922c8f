package routing

import (
	"math/rand/v2"
	"time"
)

// RecordFirstToken records that the answer to a choice has begun.
func (d *Directory) RecordFirstToken(c Choice, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.trackedFor(c)
	if t == nil || c.prefill.done {
		return
	}
	t.OnProbation = false
	t.finishPrefill(c)
	c.prefill.answered = true
	tokens, took := c.prefill.tokens+c.prefill.queuedTokens, time.Duration(float64(now.Sub(c.chosenAt)-c.prefill.otherWait)/c.slowdown)
	if t.CountsOnly && t.CallTime == nil {
		t.ModelRate.observeFixed(tokens, took)
		took -= t.ModelRate.fixed
	}
	t.observePrefillRate(tokens, took)
}

// finishPrefill subtracts a run's prompt from the unread tokens, once.
func (t *trackedEndpoint) finishPrefill(c Choice) {
	if c.prefill.done {
		return
	}
	c.prefill.done = true
	t.Unread[c.prefill.urgency] -= c.prefill.tokens
}

const (
	// minRateSampleTokens is the number of tokens from which the time to the first token
	// is a sample of an engine's prefill rate; below, fixed costs dominate it.
	minRateSampleTokens = 2000
	// rateSampleWeight is the weight of one observation of an engine's rate.
	rateSampleWeight = 0.1
	// maxRateFactor bounds observed rates, as a factor of the assumed rate: a run that
	// waited for something else says nothing about the prefill rate.
	maxRateFactor = 6
	// modelRateSampleWeight is the weight of one observation in the mean of all engines of a
	// model. At five observations per second, the mean follows within seconds.
	modelRateSampleWeight = 0.05
	// modelRatePriorSamples is how many of an engine's own observations weigh as much as the
	// mean of all engines, and maxRateSamples how many of its own count at most.
	modelRatePriorSamples = 8
	maxRateSamples        = 24
)

// modelRate is the mean prefill rate of all engines of a model, as this process observes it. In
// a large fleet a process observes each engine's rate every few seconds at best. By the engines'
// own rates alone, with 36 engines to each of a hundred processes, first tokens that were
// expected after 0.45 s came after 1.5 s, and prompts were sent to full engines instead of being
// refused.
type modelRate struct {
	// mean is in tokens per second, 0 before the first observation.
	mean float64
	// fixed is the mean time to the first token of a prompt without tokens to compute.
	fixed time.Duration
}

func (r *modelRate) observe(assumed, observed float64) {
	if r.mean == 0 {
		r.mean = assumed
	}
	r.mean = harmonicMean(r.mean, observed, modelRateSampleWeight)
}

// blend returns the mean of an engine's own rate, weighted by its number of samples, and
// the rate of all engines.
func (r *modelRate) blend(own float64, samples int) float64 {
	if r == nil || r.mean == 0 {
		return own
	}
	return harmonicMean(r.mean, own, float64(samples)/float64(samples+modelRatePriorSamples))
}

// observePrefillRate updates an engine's prefill rate with the time that it took to compute
// tokens. The rate of a busy engine includes what it does between the chunks of a prompt.
func (t *trackedEndpoint) observePrefillRate(tokens int, took time.Duration) {
	if !t.CountsOnly || tokens < minRateSampleTokens || t.assumedRate == 0 {
		return
	}
	observed := t.assumedRate * maxRateFactor
	if took > 0 {
		observed = float64(tokens) / took.Seconds()
	}
	observed = max(observed, t.assumedRate/maxRateFactor)
	observed = min(observed, t.assumedRate*maxRateFactor)
	t.Load.PrefillRate = int(harmonicMean(float64(t.Load.PrefillRate), observed, rateSampleWeight))
	t.RateSamples = min(t.RateSamples+1, maxRateSamples)
	t.ModelRate.observe(t.assumedRate, observed)
}

// harmonicMean returns the weighted harmonic mean of a mean rate and an observed one: the
// times per token can be averaged, the rates can't.
func harmonicMean(mean, observed, weight float64) float64 {
	return 1 / ((1-weight)/mean + weight/observed)
}

// trackedFor returns the endpoint of a choice, or nil if it is gone or has restarted; d.mu
// must be held.
func (d *Directory) trackedFor(c Choice) *trackedEndpoint {
	t, ok := d.tracked[c.Member.ID]
	if !ok || t.incarnation != c.Member.Incarnation {
		return nil
	}
	return t
}

// removeRun subtracts a choice's run from the counts and returns its endpoint, or nil if
// that is gone or has restarted; d.mu must be held.
func (d *Directory) removeRun(c Choice) *trackedEndpoint {
	t := d.trackedFor(c)
	if t == nil {
		return nil
	}
	t.Running--
	if c.isProbe {
		t.Probes--
	}
	t.HeldTokens -= c.heldTokens
	t.finishPrefill(c)
	return t
}

// Done ends a choice's run; failed means that the endpoint or the connection to it
// failed (a refusal for load is no failure).
func (d *Directory) Done(c Choice, failed bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.removeRun(c)
	if t == nil {
		return
	}
	if !failed {
		t.failures, t.ejections, t.OnProbation = 0, 0, false
		t.observeRunTime(now.Sub(c.chosenAt))
		t.observeCallTime(c, now.Sub(c.chosenAt))
		return
	}
	t.failures++
	// Nothing has gone well at an endpoint on probation since its ejection, so that one failure is enough.
	if t.failures >= failuresToEject || (c.isProbe && t.OnProbation) {
		t.eject(now, d.random)
	}
}

// DoneUnreachable ends a choice's run at an endpoint that could not be reached or stopped
// responding. One such failure ejects it: each further attempt costs a caller the time
// until the failure is detected.
func (d *Directory) DoneUnreachable(c Choice, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.removeRun(c); t != nil && !t.EjectedUntil.After(now) {
		t.eject(now, d.random)
	}
}

// Release ends a choice's run without an outcome that counts for or against the endpoint,
// for example if the choice was not used.
func (d *Directory) Release(c Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeRun(c)
}

// Resume counts the run of an earlier choice once more at its endpoint, where it goes on with its memory, so that nothing of its
// prompt is computed. The choice is empty if the endpoint is gone or has restarted.
func (d *Directory) Resume(c Choice) Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.trackedFor(c)
	if t == nil {
		return Choice{}
	}
	t.Running++
	t.HeldTokens += c.heldTokens
	c.isProbe = false
	c.prefill = &prefill{done: true}
	return c
}

// refusalEjection is how long an endpoint that refused a run is ejected: about the time in
// which a full endpoint ends a run.
const refusalEjection = 100 * time.Millisecond

// DoneRefused ends a choice's run that the endpoint did not accept, because it is full or
// executing an order. It is ejected for a moment, so that others are chosen.
func (d *Directory) DoneRefused(c Choice, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.removeRun(c)
	if t == nil {
		return
	}
	if until := now.Add(refusalEjection); until.After(t.EjectedUntil) {
		t.EjectedUntil = until
	}
}

// RecordSent records that an endpoint computes a choice's context. For engines that report
// what they found cached, RecordCachedTokens does so.
func (d *Directory) RecordSent(c Choice, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index.Add(c.keys, c.endpointHash, now)
}

// observeRunTime updates the moving average of how long a whole run takes.
func (t *trackedEndpoint) observeRunTime(took time.Duration) {
	const weight = 16
	if t.RunTime == 0 {
		t.RunTime = took
		return
	}
	t.RunTime += (took - t.RunTime) / weight
}

// eject ejects an endpoint, for twice as long each time until a run succeeds, up to
// maxEjection. Jitter keeps processes from all returning at once to an endpoint that is
// just recovering.
func (t *trackedEndpoint) eject(now time.Time, random *rand.Rand) {
	length := min(maxEjection, minEjection<<min(t.ejections, 5))
	t.EjectedUntil = now.Add(length/2 + time.Duration(random.Int64N(int64(length/2)+1)))
	t.failures = 0
	t.ejections++
	t.OnProbation = true
}
