package admission

import "time"

// Candidate is what a request would get if it were sent now.
type Candidate struct {
	// Wait until an endpoint begins with it, TTFT until its first token.
	Wait, TTFT time.Duration
	// Objective is the time within which its first token is on time, 0 if none is asked
	// for; TimeLeft the time
	// after which nobody waits for it.
	Objective, TimeLeft time.Duration
	// PriorityRank among the kinds of requests of its service: 0 is the most urgent, 1 the
	// least.
	PriorityRank float64
}

const (
	// mostUrgentWaitFraction and patientPatience are the parts of the objective that the most
	// and the least urgent requests may wait. A request that waits longer is late, and
	// what it takes of a full engine makes others late too: beyond its capacity an
	// engine otherwise serves everybody late and nobody in time. The least urgent are
	// turned away first, while the queue is still short enough for the others.
	mostUrgentWaitFraction  = 0.8
	leastUrgentWaitFraction = 0.3
	// retryAfterFraction of the wait is asked of a caller that is turned away: by then the
	// queue has gone down by as much.
	retryAfterFraction = 0.7
	// minRetryAfter keeps a caller from coming back before anything has changed.
	minRetryAfter = 200 * time.Millisecond
)

// Accept tells whether a request should be sent, and if not, when its caller should
// come back.
func Accept(c Candidate) (ok bool, retryAfter time.Duration) {
	objective := c.Objective
	if objective <= 0 {
		// Where nobody asks for a time, an answer is on time while it is waited for.
		objective = c.TimeLeft
	}
	waitFraction := mostUrgentWaitFraction + c.PriorityRank*(leastUrgentWaitFraction-mostUrgentWaitFraction)
	maxWait := time.Duration(waitFraction * float64(objective))
	if c.Wait <= maxWait && c.TTFT < c.TimeLeft {
		return true, 0
	}
	retryAfter = time.Duration(retryAfterFraction * float64(c.Wait)).Round(time.Millisecond)
	return false, max(minRetryAfter, retryAfter)
}
