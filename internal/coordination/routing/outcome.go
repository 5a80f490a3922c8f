package routing

import (
	"math/rand/v2"
	"time"
)

// RecordFirstToken tells that a choice's answer has begun.
func (d *Directory) RecordFirstToken(c Choice, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.trackedFor(c)
	if t == nil || c.prefill.done {
		return
	}
	t.finishPrefill(c)
	t.observePrefillRate(c.prefill.tokens+c.prefill.queuedTokens, now.Sub(c.chosenAt))
}

// finishPrefill takes a run's prompt out of what is still to be read.
func (t *trackedEndpoint) finishPrefill(c Choice) {
	if c.prefill.done {
		return
	}
	c.prefill.done = true
	t.Unread[c.prefill.urgency] -= c.prefill.tokens
}

const (
	// minRateSampleTokens this many tokens on, the time to the first token tells how fast an
	// engine reads; below, fixed costs outweigh it.
	minRateSampleTokens = 2000
	// rateSampleWeight of one observation.
	rateSampleWeight = 0.1
	// maxRateFactor bounds what is learned, as a factor of what was assumed: a run that
	// waited for something else says nothing about reading.
	maxRateFactor = 6
	// modelRateSampleWeight of one observation among those of all engines of a model: with five a
	// second the mean follows within seconds.
	modelRateSampleWeight = 0.05
	// modelRatePriorSamples is how many of an engine's own observations the mean of all engines
	// stands for, and mostRatesSeen how many of its own count at most.
	modelRatePriorSamples = 8
	maxRateSamples        = 24
)

// modelRate is how fast all engines of a model are seen to read, by this process. In a large fleet
// a process sees each engine's rate every few seconds at best: with 36 engines to each of a
// hundred processes, prompts that were expected to begin after 0.45 s did so after 1.5 s, and
// were sent to full engines instead of being refused.
type modelRate struct {
	// mean in tokens per second, 0 before the first observation.
	mean float64
}

func (r *modelRate) observe(assumed, observed float64) {
	if r.mean == 0 {
		r.mean = assumed
	}
	r.mean = harmonicMean(r.mean, observed, modelRateSampleWeight)
}

// blend is an engine's own, as far as it was seen, and else that of all.
func (r *modelRate) blend(own float64, samples int) float64 {
	if r == nil || r.mean == 0 {
		return own
	}
	return harmonicMean(r.mean, own, float64(samples)/float64(samples+modelRatePriorSamples))
}

// observePrefillRate corrects the assumed reading rate by what was seen. The rate of a busy
// engine includes what it does between the pieces of a prompt.
func (t *trackedEndpoint) observePrefillRate(tokens int, took time.Duration) {
	if !t.CountsOnly || tokens < minRateSampleTokens || took <= 0 || t.assumedRate == 0 {
		return
	}
	observed := float64(tokens) / took.Seconds()
	observed = max(observed, t.assumedRate/maxRateFactor)
	observed = min(observed, t.assumedRate*maxRateFactor)
	t.Load.PrefillRate = int(harmonicMean(float64(t.Load.PrefillRate), observed, rateSampleWeight))
	t.RateSamples = min(t.RateSamples+1, maxRateSamples)
	t.ModelRate.observe(t.assumedRate, observed)
}

// harmonicMean moves a mean rate towards one that was seen. Times add up, rates don't: the mean
// is taken of the time for a token.
func harmonicMean(mean, observed, weight float64) float64 {
	return 1 / ((1-weight)/mean + weight/observed)
}

// trackedFor finds a choice's endpoint if it is still the one that was chosen; d.mu is
// held.
func (d *Directory) trackedFor(c Choice) *trackedEndpoint {
	t, ok := d.tracked[c.Member.ID]
	if !ok || t.incarnation != c.Member.Incarnation {
		return nil
	}
	return t
}

// removeRun takes a choice's run out of the counts; d.mu is held. nil means that its
// endpoint is gone.
func (d *Directory) removeRun(c Choice) *trackedEndpoint {
	t := d.trackedFor(c)
	if t == nil {
		return nil
	}
	t.Running--
	t.HeldTokens -= c.heldTokens
	t.finishPrefill(c)
	return t
}

// Done ends a choice's run; failed tells that the endpoint or the way to it
// failed (a refusal for load is no failure).
func (d *Directory) Done(c Choice, failed bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.removeRun(c)
	if t == nil {
		return
	}
	if !failed {
		t.failures, t.ejections = 0, 0
		t.observeRunTime(now.Sub(c.chosenAt))
		return
	}
	t.failures++
	if t.failures >= failuresToEject {
		t.eject(now, d.random)
	}
}

// DoneUnreachable ends a choice's run at an endpoint that could not be reached or fell
// silent. One such failure is enough: each further try costs a caller the time
// until it is noticed.
func (d *Directory) DoneUnreachable(c Choice, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.removeRun(c); t != nil && !t.EjectedUntil.After(now) {
		t.eject(now, d.random)
	}
}

// Release takes back a choice that was not used.
func (d *Directory) Release(c Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeRun(c)
}

// refusalEjection is about the time in which a full endpoint ends a run.
const refusalEjection = 100 * time.Millisecond

// DoneRefused ends a choice's run that the endpoint did not accept: it is full or
// busy with an order, and others are asked for a moment.
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

// RecordSent records that an endpoint reads a choice's context. Started does it for
// engines that also tell what they found.
func (d *Directory) RecordSent(c Choice, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index.Add(c.keys, c.endpointHash, now)
}

// observeRunTime keeps a moving average of how long a whole run takes.
func (t *trackedEndpoint) observeRunTime(took time.Duration) {
	const weight = 16
	if t.RunTime == 0 {
		t.RunTime = took
		return
	}
	t.RunTime += (took - t.RunTime) / weight
}

// eject doubles the time out of decisions, with jitter so that entries do not
// all return at once to an endpoint that is just recovering.
func (t *trackedEndpoint) eject(now time.Time, random *rand.Rand) {
	length := min(maxEjection, minEjection<<min(t.ejections, 5))
	t.EjectedUntil = now.Add(length/2 + time.Duration(random.Int64N(int64(length/2)+1)))
	t.failures = 0
	t.ejections++
}
