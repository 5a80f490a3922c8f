package routing

import (
	"math"
	"time"
)

// slowdownMemory is the time in which a reported slowdown loses about two thirds of its meaning: other
// work on a host comes and goes within half a second, and first tokens of engines that had reported
// 2.5 were 1.5 times as late as usual after 0.1 s and no later than usual after 0.6 s.
const slowdownMemory = 300 * time.Millisecond

// maxSlowdownAge is the age from which a reported slowdown is ignored. However small the rest is, an
// endpoint would otherwise lose every choice between idle ones, and no answer would correct it.
const maxSlowdownAge = 4 * slowdownMemory

// slowdown returns how many times as long as usual work is expected to take at the endpoint that would
// usually take a given time from now on. What the endpoint reported counts less with age, also while
// the work runs, so that an endpoint that was slow is tried again.
func (e *Endpoint) slowdown(now time.Time, usual time.Duration) float64 {
	age := max(0, now.Sub(e.LoadArrivedAt))
	if e.Load.Slowdown == 0 || age > maxSlowdownAge {
		return 1
	}
	return 1 + (e.Load.Slowdown-1)*math.Exp(-float64(age+usual)/float64(slowdownMemory))
}

// callTime is the mean time that the plain calls of a service run where they find a free slot and work
// takes as long as usual. It is one for all endpoints of the service: by their own means, which vary
// with the few calls that each sees, calls would leave the least busy endpoint for no reason.
type callTime struct {
	mean time.Duration
}

// callTimeWeight is the weight of one call in the mean: about the last fifty determine it.
const callTimeWeight = 0.02

// observe updates the mean with the time that a call took, freed from what slowed it down.
func (c *callTime) observe(usual time.Duration) {
	if c.mean == 0 {
		c.mean = usual
		return
	}
	c.mean += time.Duration(callTimeWeight * float64(usual-c.mean))
}

// usualCallTime returns how long a plain call usually runs at the endpoint, 0 for engines.
func (e *Endpoint) usualCallTime() time.Duration {
	if e.CallTime == nil {
		return 0
	}
	return e.CallTime.mean
}

// observeCallTime updates the mean time of plain calls with one that has run well. Streams, and calls
// that were expected to wait for a slot, are left out.
func (t *trackedEndpoint) observeCallTime(c Choice, took time.Duration) {
	if t.CallTime != nil && c.Wait == 0 && !c.prefill.answered {
		t.CallTime.observe(time.Duration(float64(took) / c.slowdown))
	}
}

// callTimeOf returns the mean time of a service's plain calls.
func (d *Directory) callTimeOf(service string) *callTime {
	if d.callTimes[service] == nil {
		d.callTimes[service] = &callTime{}
	}
	return d.callTimes[service]
}

// removeUnusedCallTimes removes the times of services that no tracked endpoint belongs to.
func (d *Directory) removeUnusedCallTimes() {
	used := map[*callTime]bool{}
	for _, t := range d.tracked {
		used[t.CallTime] = true
	}
	for service, c := range d.callTimes {
		if !used[c] {
			delete(d.callTimes, service)
		}
	}
}
