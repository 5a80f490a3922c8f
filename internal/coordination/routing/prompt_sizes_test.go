package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulatePromptSizes sends three times as many runs as an engine's memory can hold, of one kind and
// many sizes, and refuses those whose expected wait exceeds a limit. It returns the served share of
// the largest tenth, and of all.
func simulatePromptSizes(meanHeldTokens int) (largest, all float64) {
	const (
		memory, mean = 100_000, 12_000
		runTime      = time.Second
		limit        = 360 * time.Millisecond
		interval     = 40 * time.Millisecond
		duration     = 4 * time.Minute
	)
	random := rand.New(rand.NewPCG(1, 1))
	e := &Endpoint{RuntimeState: &RuntimeState{MemoryTokens: memory, RunTime: runTime, CountsOnly: true}}
	type run struct {
		tokens int
		end    time.Duration
	}
	var running []run
	var arrived, served [2]float64
	// The sizes are lognormal; deviations above tenth give the largest tenth of them.
	const sigma, tenth = 0.6, 1.2816
	for now := time.Duration(0); now < duration; now += interval {
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
		r := &Request{PromptTokens: tokens, HeldTokens: tokens, MeanHeldTokens: meanHeldTokens, Now: epoch.Add(now)}
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
// If prompts are refused by their own size, small ones keep the memory full and the largest never
// find free memory, however often their callers retry. By the mean size of their kind, all have
// about the same chance.
func TestLargePromptsAreNotStarved(t *testing.T) {
	largest, all := simulatePromptSizes(0)
	if largest > all/4 {
		t.Errorf("by their own size: %.2f of the largest and %.2f of all are served, so the load does not starve large prompts and the test shows nothing", largest, all)
	}
	largest, all = simulatePromptSizes(12_000)
	if largest < 0.9*all {
		t.Errorf("by the mean size: %.2f of the largest and %.2f of all are served, want at least 0.9 of the share of all", largest, all)
	}
	t.Logf("by the mean size: %.2f of the largest and %.2f of all are served", largest, all)
}
