package routing

import (
	"testing"
	"time"
)

// TestHolderOfWholeContextIsCandidate has all 36 local endpoints hold a prefix that all prompts
// of a kind share, and one of them hold the whole context.
//
// It guards against a candidate set that is full before the holder of the whole context is added:
// a decision has at most 20 candidates. When all of them could be holders of the prefix, the one
// with the whole context was left out half of the time, and 8,000 tokens were computed again.
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
			t.Fatalf("decision %d: got %s, %s, want the holder of the whole context", n, v.Endpoint.ID, v.Reason)
		}
	}
}

// TestSharedPrefixDoesNotConcentratePrompts sends prompts with a prefix that all endpoints hold. All
// are decided on the same load reports, like the prompts that all processes send within the second
// between two reports.
//
// If each process chose the best of all holders, all those prompts would go to the endpoint that
// looked idle. A decision considers ten endpoints, so that less than a third of the prompts go to the
// one that looks best.
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
		t.Errorf("one endpoint got %d of %d prompts, want at most a third", most, prompts)
	}
}

// TestPrefillRateIsLearnedAcrossEngines lets a process observe each of 36 engines once or twice. All
// are four times as slow as assumed.
//
// It guards against learning each engine's rate only from its own observations: a process of a large
// fleet then kept expecting a fourth of the real wait, and sent prompts to full engines.
func TestPrefillRateIsLearnedAcrossEngines(t *testing.T) {
	const assumed, real, count = 40_000, 10_000, 36
	d, table := newDirectory(t, count)
	now := epoch
	for _, m := range table.Members() {
		d.SetProperties(m.ID, Properties{PrefillRate: assumed, CountsOnly: true, Slots: 64}, now)
	}
	const tokens = 10_000
	choose := func(seed uint64) Choice {
		return d.Choose("s", nil, &Request{
			PromptTokens: tokens, SegmentsKnown: true, HoldingsKnown: true, PlacementHash: splitMix64(seed), PlacementHashKnown: true, Now: now, Domain: "d",
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
		t.Errorf("expected TTFT: got %s, want within 0.3 of %s", expected, want)
	}
}
