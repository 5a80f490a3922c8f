package admission

import "time"

// Candidate describes a request that could be sent now, and what it would get.
type Candidate struct {
	// Wait is the expected time until an endpoint starts on it, TTFT that until its
	// first token.
	Wait, TTFT time.Duration
	// Objective is the shortest time to the first token that is asked for by requests of the
	// service that are as urgent or more, 0 if none is. Less urgent requests with a longer
	// objective would otherwise be accepted where more urgent ones are refused.
	// TimeLeft is the time after which its caller no longer waits.
	Objective, TimeLeft time.Duration
	// PriorityRank is the rank among the priorities of its service, from 0 for the most
	// urgent to 1 for the least.
	PriorityRank float64
}

const (
	// mostUrgentWaitFraction and leastUrgentWaitFraction are the fractions of the
	// objective that the most and the least urgent requests may wait. A request that
	// waits longer is late, and what it uses of a full engine makes others late too:
	// beyond its capacity, an engine would otherwise serve all requests late and none
	// on time. The least urgent are refused first, while the queue is still short
	// enough for the others.
	mostUrgentWaitFraction  = 0.8
	leastUrgentWaitFraction = 0.3
	// retryAfterFraction is the fraction of the wait after which a refused caller
	// should retry: by then the queue has become shorter by as much.
	retryAfterFraction = 0.7
	// minRetryAfter keeps a caller from retrying before anything has changed.
	minRetryAfter = 200 * time.Millisecond
)

// MaxWait returns the longest time that a request may wait for an endpoint to start on it.
func (c Candidate) MaxWait() time.Duration {
	objective := c.Objective
	if objective <= 0 {
		// Without an objective, an answer is on time while its caller still waits.
		objective = c.TimeLeft
	}
	waitFraction := mostUrgentWaitFraction + c.PriorityRank*(leastUrgentWaitFraction-mostUrgentWaitFraction)
	return time.Duration(waitFraction * float64(objective))
}

// Accept reports whether a request should be sent, and if not, after what time its
// caller should retry.
func Accept(c Candidate) (ok bool, retryAfter time.Duration) {
	if c.Wait <= c.MaxWait() && c.TTFT < c.TimeLeft {
		return true, 0
	}
	retryAfter = time.Duration(retryAfterFraction * float64(c.Wait)).Round(time.Millisecond)
	return false, max(minRetryAfter, retryAfter)
}
