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
	// urgentPatience and patientPatience are the parts of the objective that the most
	// and the least urgent requests may wait. A request that waits longer is late, and
	// what it takes of a full engine makes others late too: beyond its capacity an
	// engine otherwise serves everybody late and nobody in time. The least urgent are
	// turned away first, while the queue is still short enough for the others.
	urgentPatience  = 0.8
	patientPatience = 0.3
	// returnShare of the wait is asked of a caller that is turned away: by then the
	// queue has gone down by as much.
	returnShare = 0.7
	// shortestReturn keeps a caller from coming back before anything has changed.
	shortestReturn = 200 * time.Millisecond
)

// Accept tells whether a request should be sent, and if not, when its caller should
// come back.
func Accept(p Candidate) (ok bool, after time.Duration) {
	objective := p.Objective
	if objective <= 0 {
		// Where nobody asks for a time, an answer is on time while it is waited for.
		objective = p.TimeLeft
	}
	patience := urgentPatience + p.PriorityRank*(patientPatience-urgentPatience)
	limit := time.Duration(patience * float64(objective))
	if p.Wait <= limit && p.TTFT < p.TimeLeft {
		return true, 0
	}
	after = time.Duration(returnShare * float64(p.Wait)).Round(time.Millisecond)
	return false, max(shortestReturn, after)
}
