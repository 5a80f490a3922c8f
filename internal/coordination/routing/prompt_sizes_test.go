package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulatePromptSizes sends three times the runs that an engine's memory holds, of one kind and many
// sizes, and refuses those whose wait is over the limit. It returns the served share of the
// largest tenth, and of all.
func simulatePromptSizes(usual int) (largest, all float64) {
	const (
		memory, mean = 100_000, 12_000
		runTime      = time.Second
		limit        = 360 * time.Millisecond
		every        = 40 * time.Millisecond
		length       = 4 * time.Minute
	)
	random := rand.New(rand.NewPCG(1, 1))
	e := &Endpoint{RuntimeState: &RuntimeState{MemoryTokens: memory, RunTime: runTime, CountsOnly: true}}
	type run struct {
		tokens int
		end    time.Duration
	}
	var running []run
	var arrived, served [2]float64
	// A size above this one is in the largest tenth: the sizes are lognormal.
	const sigma, tenth = 0.6, 1.2816
	for now := time.Duration(0); now < length; now += every {
		for len(running) > 0 && running[0].end <= now {
			e.HeldTokens -= running[0].tokens
			running = running[1:]
		}
		e.Running = len(running)
		deviation := random.NormFloat64()
		tokens := int(mean * math.Exp(sigma*deviation-sigma*sigma/2))
		class := 0
		if deviation > tenth {
			class = 1
		}
		arrived[class]++
		r := &Request{PromptTokens: tokens, HeldTokens: tokens, MeanHeldTokens: usual, Now: epoch.Add(now)}
		if evaluate(e, r, 0).wait > limit {
			continue
		}
		served[class]++
		e.HeldTokens += tokens
		running = append(running, run{tokens, now + runTime})
	}
	return served[1] / arrived[1], (served[0] + served[1]) / (arrived[0] + arrived[1])
}

// TestLargePromptsAreNotStarved overloads an engine with one kind of request.
//
// A refusal by a prompt's own size lets the small ones keep the memory full, and the
// largest never find room; their callers come back in vain. With the kind's usual size in
// its place all have about the same chance.
func TestLargePromptsAreNotStarved(t *testing.T) {
	largest, all := simulatePromptSizes(0)
	if largest > all/4 {
		t.Errorf("by their own size %.2f of the largest and %.2f of all are served: the load shows nothing", largest, all)
	}
	largest, all = simulatePromptSizes(12_000)
	if largest < 0.9*all {
		t.Errorf("%.2f of the largest are served, of all %.2f", largest, all)
	}
	t.Logf("%.2f of the largest are served, of all %.2f", largest, all)
}
