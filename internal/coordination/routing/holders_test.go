package routing

import (
	"testing"
	"time"
)

// TestHolderOfWholeContextIsCandidate has every endpoint of the domain hold the first part of a
// prompt, which all prompts of its kind begin with, and one hold the whole context.
//
// A decision looks at twenty endpoints at most. Filled with those that hold the beginning it left
// out the one with the context half of the time, and 8,000 tokens were read again.
func TestHolderOfWholeContextIsCandidate(t *testing.T) {
	all := newEndpoints(36)
	const whole = 29
	random := newRandom()
	for n := range 200 {
		r := newRequest()
		r.Local, r.HoldingsKnown, r.PlacementHash = all, true, uint64(n)
		for i := range all {
			h := Holding{Endpoint: all[i].Hash, Tokens: 500, Chance: 1}
			if i == whole {
				h.Tokens = 8000
			}
			r.Holdings = append(r.Holdings, h)
		}
		if v := Decide(all, r, random); v.Endpoint.ID != all[whole].ID || v.Reason != ReasonHoldsContext {
			t.Fatalf("decision %d: %s, %s", n, v.Endpoint.ID, v.Reason)
		}
	}
}

// TestSharedPrefixDoesNotConcentratePrompts sends prompts whose first part all endpoints hold, with
// reports that are a second old.
//
// All processes see the same reports. If each chose the best of all holders, the prompts of a
// second would meet at the one that looked idle. A decision looks at ten endpoints, so that less
// than a third of the prompts come to the one that looks best.
func TestSharedPrefixDoesNotConcentratePrompts(t *testing.T) {
	all := newEndpoints(36)
	for i := range all {
		all[i].Load.QueuedTokens = 5000 + 100*i
	}
	random := newRandom()
	sent := map[string]int{}
	const prompts = 720
	for n := range prompts {
		r := newRequest()
		r.Local, r.HoldingsKnown, r.PlacementHash = all, true, uint64(n)*1_000_003
		for i := range all {
			r.Holdings = append(r.Holdings, Holding{Endpoint: all[i].Hash, Tokens: 500, Chance: 1})
		}
		sent[Decide(all, r, random).Endpoint.ID]++
	}
	most := 0
	for _, n := range sent {
		most = max(most, n)
	}
	if most > prompts/3 {
		t.Errorf("one endpoint got %d of %d prompts", most, prompts)
	}
}

// TestPrefillRateIsLearnedAcrossEngines lets a process see each of 36 engines once or twice, each four
// times as slow as assumed.
//
// Before, each engine's rate was learned of its own observations alone: a process of a large
// fleet went on to expect a fourth of the real wait, and sent prompts to full engines.
func TestPrefillRateIsLearnedAcrossEngines(t *testing.T) {
	const assumed, real, count = 40_000, 10_000, 36
	d, table := newDirectory(t, count)
	now := epoch
	for _, m := range table.Members() {
		d.SetProperties(m.ID, Properties{PrefillRate: assumed, CountsOnly: true, Slots: 64}, now)
	}
	const tokens = 10_000
	choose := func(root uint64) Choice {
		return d.Choose("s", nil, &Request{
			PromptTokens: tokens, SegmentsKnown: true, HoldingsKnown: true, PlacementHash: splitMix64(root), PlacementHashKnown: true, Now: now, Domain: "d",
		})
	}
	for n := range 60 {
		now = now.Add(200 * time.Millisecond)
		c := choose(uint64(n))
		took := time.Duration(float64(c.prefill.tokens+c.prefill.queuedTokens) / real * float64(time.Second))
		d.RecordFirstToken(c, now.Add(took))
		d.Done(c, false, now.Add(took))
	}
	expected := choose(61).TTFT
	want := time.Second * tokens / real
	if expected < want*7/10 || expected > want*13/10 {
		t.Errorf("the first token is expected after %s, comes after %s", expected, want)
	}
}
