package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestAccept(t *testing.T) {
	const objective = time.Second
	tests := []struct {
		name       string
		p          Candidate
		ok         bool
		retryAfter time.Duration
	}{
		{"no queue", Candidate{TTFT: 100 * time.Millisecond, Objective: objective, TimeLeft: 10 * time.Second, PriorityRank: 1}, true, 0},
		{"long prompt, no queue", Candidate{TTFT: 2 * time.Second, Objective: objective, TimeLeft: 10 * time.Second, PriorityRank: 1}, true, 0},
		{"urgent, short queue", Candidate{Wait: 700 * time.Millisecond, TTFT: 800 * time.Millisecond, Objective: objective, TimeLeft: 10 * time.Second}, true, 0},
		{"least urgent, same queue", Candidate{Wait: 700 * time.Millisecond, TTFT: 800 * time.Millisecond, Objective: objective, TimeLeft: 10 * time.Second, PriorityRank: 1}, false, 490 * time.Millisecond},
		{"urgent, long queue", Candidate{Wait: 3 * time.Second, TTFT: 3 * time.Second, Objective: objective, TimeLeft: 10 * time.Second}, false, 2100 * time.Millisecond},
		{"no objective, short queue", Candidate{Wait: 700 * time.Millisecond, TTFT: 800 * time.Millisecond, TimeLeft: 10 * time.Second, PriorityRank: 1}, true, 0},
		{"no objective, long queue", Candidate{Wait: 4 * time.Second, TTFT: 5 * time.Second, TimeLeft: 10 * time.Second, PriorityRank: 1}, false, 2800 * time.Millisecond},
		{"first token after the caller's deadline", Candidate{TTFT: 600 * time.Millisecond, Objective: objective, TimeLeft: 500 * time.Millisecond}, false, minRetryAfter},
	}
	for _, tt := range tests {
		if ok, retryAfter := Accept(tt.p); ok != tt.ok || retryAfter != tt.retryAfter {
			t.Errorf("%s: got ok %v, retry after %s", tt.name, ok, retryAfter)
		}
	}
}

// requestClass is one kind of request in trafficMix.
type requestClass struct {
	perSecond    float64
	prefill      time.Duration
	objective    time.Duration
	priorityRank float64
}

// trafficMix has three kinds of requests in the proportions of a site's day: long
// write-ups, the least urgent, which use most of the engines' time; notes; and short
// checks, the most urgent.
var trafficMix = []requestClass{
	{14.6, 250 * time.Millisecond, 1200 * time.Millisecond, 1},
	{26.1, 20 * time.Millisecond, time.Second, 0.5},
	{22.4, 50 * time.Millisecond, 2 * time.Second, 0},
}

// shortObjectivesMix has long prompts whose objective is three times that of the urgent kinds.
var shortObjectivesMix = []requestClass{
	{160, 107 * time.Millisecond, 1200 * time.Millisecond, 1},
	{477, 6 * time.Millisecond, 400 * time.Millisecond, 0},
	{198, 18 * time.Millisecond, 400 * time.Millisecond, 0.5},
}

// simulate sends requests of a mix to engines that process one prompt after the
// other in order of arrival, each to the engine with the shortest queue. From 5 s to
// 15 s only the remaining engines are available. It returns the share of each kind that
// was on time, during that and in the ten seconds after.
func simulate(mix []requestClass, accept func(Candidate) bool, engines, remaining int) (during, after [3]float64) {
	random := rand.New(rand.NewPCG(1, 2))
	busyUntil := make([]time.Duration, engines)
	var arrived, inTime [2][3]float64
	const step = time.Millisecond
	for now := time.Duration(0); now < 25*time.Second; now += step {
		available := busyUntil
		if now >= 5*time.Second && now < 15*time.Second {
			available = busyUntil[:remaining]
		}
		for i, class := range mix {
			if random.Float64() >= class.perSecond*step.Seconds() {
				continue
			}
			best := 0
			for e := range available {
				if available[e] < available[best] {
					best = e
				}
			}
			wait := max(0, available[best]-now)
			phase := 0
			if now >= 15*time.Second {
				phase = 1
			}
			if now >= 5*time.Second {
				arrived[phase][i]++
			}
			if !accept(Candidate{Wait: wait, TTFT: wait + class.prefill, Objective: class.objective, TimeLeft: 10 * time.Second, PriorityRank: class.priorityRank}) {
				continue
			}
			available[best] = now + wait + class.prefill
			if now >= 5*time.Second && wait+class.prefill <= class.objective {
				inTime[phase][i]++
			}
		}
	}
	for i := range mix {
		during[i], after[i] = inTime[0][i]/arrived[0][i], inTime[1][i]/arrived[1][i]
	}
	return during, after
}

// TestUrgentRequestsAreInTimeUnderOverload removes half of the engines for ten seconds, so
// that the prompts are 1.4 times as much as the remaining ones can process.
//
// Without refusals the queues grow and all requests wait alike: 0.19 of the write-ups,
// 0.15 of the notes and 0.68 of the checks are on time. With refusals the two urgent kinds
// are all on time, and the write-ups get what is left: 0.74 of them are on time.
func TestUrgentRequestsAreInTimeUnderOverload(t *testing.T) {
	acceptAll := func(Candidate) bool { return true }
	accept := func(p Candidate) bool {
		ok, _ := Accept(p)
		return ok
	}
	const engines, remaining = 8, 4
	before, _ := simulate(trafficMix, acceptAll, engines, remaining)
	during, after := simulate(trafficMix, accept, engines, remaining)
	t.Logf("on time without refusals: %.2f; with refusals: %.2f, afterwards %.2f", before, during, after)
	if before[1] > 0.3 {
		t.Errorf("the load is no overload: %.2f on time without refusals", before)
	}
	if during[1] < 0.95 || during[2] < 0.95 {
		t.Errorf("on time: got %.2f, want at least 0.95 of the urgent kinds", during)
	}
	if during[0] < 0.6 {
		t.Errorf("on time: got %.2f of the write-ups, want at least 0.6", during[0])
	}
	for i, share := range after {
		if share < 0.95 {
			t.Errorf("kind %d after the overload: got %.2f on time, want at least 0.95", i, share)
		}
	}
}

// TestShortObjectivesBesideLongOnes lets a third of the engines carry long prompts with a long objective beside urgent
// requests with a short one.
//
// By its own objective, a long prompt may wait longer than an urgent request, takes the room and is served instead: 0.20
// and 0.06 of the urgent kinds were on time.
func TestShortObjectivesBesideLongOnes(t *testing.T) {
	const engines, remaining = 30, 16
	accept := func(c Candidate) bool { ok, _ := Accept(c); return ok }
	own, _ := simulate(shortObjectivesMix, accept, engines, remaining)
	strictest, after := simulate(shortObjectivesMix, func(c Candidate) bool {
		c.Objective = 400 * time.Millisecond
		return accept(c)
	}, engines, remaining)
	t.Logf("on time by its own objective: %.2f, by the shortest of the more urgent: %.2f, afterwards %.2f", own, strictest, after)
	if own[1] > 0.5 {
		t.Errorf("urgent requests on time by each kind's own objective: got %.2f, the load is no overload", own[1])
	}
	if strictest[1] < 0.95 || strictest[2] < 0.95 {
		t.Errorf("on time: got %.2f, want at least 0.95 of the urgent kinds", strictest)
	}
	if strictest[0] < 0.5 {
		t.Errorf("on time: got %.2f of the long prompts, want at least half: the engines have room for them", strictest[0])
	}
	for i, share := range after {
		if share < 0.95 {
			t.Errorf("kind %d after the overload: got %.2f on time, want at least 0.95", i, share)
		}
	}
}
