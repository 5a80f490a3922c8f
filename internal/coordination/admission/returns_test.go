package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// returnTreatment is how refused callers and their returns are treated.
type returnTreatment struct {
	// isSpread spreads returns over all the time for which callers wait as told.
	isSpread bool
	// prefer changes the candidate of a return, nil if it is a request like any other.
	prefer func(*Candidate)
}

// returningCaller is a caller of shortObjectivesMix that was refused once.
type returningCaller struct {
	class   int
	firstAt time.Duration
}

// returnResult holds the fractions of one kind's callers.
type returnResult struct{ served, inTime, refusedTwice float64 }

// simulateReturns plays 20 s of long prompts beside urgent requests at engines that run more urgent prompts first. From 3 s
// to 13 s fewer than half of the engines are there. A refused caller returns once, when it is told to but no later than after
// a third of its time.
func simulateReturns(treatment returnTreatment) (results [3]returnResult) {
	const step, timeGiven = time.Millisecond, 8 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	returns := map[time.Duration][]returningCaller{}
	unread := make([][3]time.Duration, 30)
	var asked [3]float64
	serve := func(now time.Duration, c returningCaller, isReturn bool, engines [][3]time.Duration) {
		class := shortObjectivesMix[c.class]
		best, wait := 0, time.Hour
		for i, u := range engines {
			ahead := time.Duration(0)
			for other, tokens := range u {
				if shortObjectivesMix[other].priorityRank <= class.priorityRank {
					ahead += tokens
				}
			}
			if ahead < wait {
				best, wait = i, ahead
			}
		}
		timeLeft := timeGiven - (now - c.firstAt)
		candidate := Candidate{Wait: wait, TTFT: wait + class.prefill, Objective: 400 * time.Millisecond, TimeLeft: timeLeft, PriorityRank: class.priorityRank}
		if isReturn && treatment.prefer != nil {
			treatment.prefer(&candidate)
		}
		ok, delay := Accept(candidate)
		r := &results[c.class]
		switch {
		case ok:
			engines[best][c.class] += class.prefill
			r.served++
			if now-c.firstAt+wait+class.prefill <= class.objective {
				r.inTime++
			}
		case isReturn:
			r.refusedTwice++
		default:
			delay += time.Duration(random.Int64N(int64(delay)))
			if treatment.isSpread {
				delay = minRetryAfter + time.Duration(random.Int64N(int64(timeLeft/3-minRetryAfter)))
			}
			due := now + min(delay, timeLeft/3).Truncate(step) + step
			returns[due] = append(returns[due], c)
		}
	}
	for now := time.Duration(0); now < 20*time.Second; now += step {
		engines := unread
		if now >= 3*time.Second && now < 13*time.Second {
			engines = unread[:14]
		}
		for i := range engines {
			left := step
			for _, class := range []int{1, 2, 0} {
				done := min(left, engines[i][class])
				engines[i][class] -= done
				left -= done
			}
		}
		for _, c := range returns[now] {
			serve(now, c, true, engines)
		}
		delete(returns, now)
		for i, class := range shortObjectivesMix {
			if random.Float64() < class.perSecond*step.Seconds() {
				asked[i]++
				serve(now, returningCaller{i, now}, false, engines)
			}
		}
	}
	for i := range results {
		results[i].served /= asked[i]
		results[i].inTime /= asked[i]
		results[i].refusedTwice /= asked[i]
	}
	return results
}

// TestReturnsAreDecidedLikeNewRequests compares ways to treat callers that return to engines that are still full.
//
// A return that may wait longer than a new request is served in its place, but later: with half of its time left to wait, nearly
// nobody is refused twice and far fewer are in time, as most callers are first refused and then served late.
func TestReturnsAreDecidedLikeNewRequests(t *testing.T) {
	likeNew := simulateReturns(returnTreatment{})
	spread := simulateReturns(returnTreatment{isSpread: true})
	asMostUrgent := simulateReturns(returnTreatment{prefer: func(c *Candidate) { c.PriorityRank = 0 }})
	halfOfTime := simulateReturns(returnTreatment{prefer: func(c *Candidate) {
		c.PriorityRank, c.Objective = 0, time.Duration(float64(c.TimeLeft)*0.5/mostUrgentWaitFraction)
	}})
	for _, row := range []struct {
		name string
		got  [3]returnResult
	}{{"like new", likeNew}, {"spread", spread}, {"as long as the most urgent", asMostUrgent}, {"half of the time left", halfOfTime}} {
		t.Logf("%s: long prompts %.3f, urgent requests %.3f and %.3f", row.name, row.got[0], row.got[1], row.got[2])
		for _, urgent := range row.got[1:] {
			if urgent.inTime < 0.95 {
				t.Errorf("%s: got %.3f of urgent requests in time, want at least 0.95", row.name, urgent.inTime)
			}
		}
	}
	if halfOfTime[0].refusedTwice > 0.05 || likeNew[0].refusedTwice < 0.1 {
		t.Errorf("got %.3f and %.3f of long prompts refused twice; the load does not tell the ways apart", halfOfTime[0].refusedTwice, likeNew[0].refusedTwice)
	}
	if likeNew[0].inTime < halfOfTime[0].inTime+0.1 {
		t.Errorf("got %.3f of long prompts in time, want at least 0.1 more than the %.3f with long waits for returns", likeNew[0].inTime, halfOfTime[0].inTime)
	}
}
