package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
)

// unevenPlay sends plain calls at a steady rate to endpoints whose hosts slow them down by spells. An
// endpoint reports its load with each answer, and its slowdown if reports is set.
type unevenPlay struct {
	d       *Directory
	now     time.Time
	reports bool
	// slowdown returns how many times as long as usual work takes at an endpoint.
	slowdown func(endpoint string, now time.Time) float64
	inFlight []unevenCall
	running  map[string]int
	served   map[string]int
	took     []time.Duration
}

type unevenCall struct {
	choice Choice
	from   time.Time
	until  time.Time
}

const (
	unevenCallTime  = 30 * time.Millisecond
	unevenSlots     = 6
	unevenEndpoints = 4
)

func newUnevenPlay(t *testing.T, reports bool, slowdown func(string, time.Time) float64) *unevenPlay {
	d, table := newDirectory(t, unevenEndpoints)
	for _, m := range table.Members() {
		d.SetProperties(m.ID, Properties{Slots: unevenSlots, CountsOnly: true, PlainService: "s"}, epoch)
	}
	return &unevenPlay{d: d, now: epoch, reports: reports, slowdown: slowdown, running: map[string]int{}, served: map[string]int{}}
}

// endUntil ends the calls that have run by a time, in their order.
func (p *unevenPlay) endUntil(until time.Time) {
	slices.SortFunc(p.inFlight, func(a, b unevenCall) int { return a.until.Compare(b.until) })
	for len(p.inFlight) > 0 && !p.inFlight[0].until.After(until) {
		call := p.inFlight[0]
		p.inFlight = p.inFlight[1:]
		id := call.choice.Member.ID
		p.running[id]--
		load := fleet.Load{Running: p.running[id], AtMS: call.until.UnixMilli()}
		if p.reports {
			load.Slowdown = p.slowdown(id, call.until)
		}
		p.d.ObserveLoad(call.choice, load, call.until)
		p.d.Done(call.choice, false, call.until)
		p.took = append(p.took, call.until.Sub(call.from))
	}
}

// play sends calls for a while, one each interval.
func (p *unevenPlay) play(length, interval time.Duration) {
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(interval) {
		p.endUntil(p.now)
		c := p.d.Choose("s", nil, &Request{Now: p.now, Domain: "d", SegmentsKnown: true, Objective: config.Objective{WeightTTFT: 1, TTFTMS: 150}})
		id := c.Member.ID
		p.running[id]++
		p.served[id]++
		took := time.Duration(float64(unevenCallTime) * p.slowdown(id, p.now))
		if excess := p.running[id] - unevenSlots; excess > 0 {
			took += took * time.Duration(excess) / unevenSlots
		}
		p.inFlight = append(p.inFlight, unevenCall{c, p.now, p.now.Add(took)})
	}
}

// lateShare returns the share of the calls that took longer than a limit.
func (p *unevenPlay) lateShare(limit time.Duration) float64 {
	late := 0
	for _, took := range p.took {
		if took > limit {
			late++
		}
	}
	return float64(late) / float64(len(p.took))
}

// spells slows an endpoint down four times for 600 ms out of every 2.4 s, each at another time.
func spells(id string, now time.Time) float64 {
	offset := time.Duration(HashID(id)%unevenEndpoints) * 600 * time.Millisecond
	if (now.Sub(epoch)+offset)%(2400*time.Millisecond) < 600*time.Millisecond {
		return 4
	}
	return 1
}

// TestPlainCallsLeaveSlowHosts guards against placing calls at endpoints that have just reported that
// work takes four times as long there.
func TestPlainCallsLeaveSlowHosts(t *testing.T) {
	blind, aware := newUnevenPlay(t, false, spells), newUnevenPlay(t, true, spells)
	blind.play(20*time.Second, 5*time.Millisecond)
	aware.play(20*time.Second, 5*time.Millisecond)
	limit := 2 * unevenCallTime
	got, want := aware.lateShare(limit), blind.lateShare(limit)/2
	t.Logf("late: %.3f where slowdowns are reported, %.3f where they are not", got, blind.lateShare(limit))
	if got > want {
		t.Errorf("share of calls over %s: got %.3f, want at most half of the blind share, %.3f", limit, got, want)
	}
}

// TestRecoveredEndpointIsUsedAgain guards against shunning an endpoint for good on its last report: no
// answer comes that could correct it while no call goes there.
func TestRecoveredEndpointIsUsedAgain(t *testing.T) {
	slow, until := "", epoch.Add(3*time.Second)
	p := newUnevenPlay(t, true, func(id string, now time.Time) float64 {
		if id == slow && now.Before(until) {
			return 4
		}
		return 1
	})
	p.play(time.Second, 10*time.Millisecond)
	for id := range p.served {
		slow = max(slow, id)
	}
	clear(p.served)
	p.play(2*time.Second, 10*time.Millisecond)
	if share := float64(p.served[slow]) / 200; share > 0.1 {
		t.Errorf("share of the endpoint while slow: got %.2f, want at most 0.1", share)
	}
	p.play(time.Second, 10*time.Millisecond)
	clear(p.served)
	p.play(2*time.Second, 10*time.Millisecond)
	if share := float64(p.served[slow]) / 200; share < 0.15 {
		t.Errorf("share of the endpoint after it recovered: got %.2f, want about 0.25", share)
	}
}

// TestStoppedReportsOfEngineAreForgotten guards against shunning an engine for good whose reports stop
// after it said that work takes four times as long there.
func TestStoppedReportsOfEngineAreForgotten(t *testing.T) {
	const engines, prompts = 4, 100
	d, table := newDirectory(t, engines)
	for _, m := range table.Members() {
		d.SetProperties(m.ID, Properties{PrefillRate: 40_000, CountsOnly: true, Slots: 64}, epoch)
	}
	share := func(id string, now time.Time) float64 {
		n := 0
		for i := range prompts {
			c := d.Choose("s", nil, &Request{
				PromptTokens: 2000, SegmentsKnown: true, HoldingsKnown: true, PlacementHash: splitMix64(uint64(i)), PlacementHashKnown: true,
				Now: now, Domain: "d", Objective: config.Objective{WeightTTFT: 1, TTFTMS: 400},
			})
			if c.Member.ID == id {
				n++
			}
			d.Release(c)
		}
		return float64(n) / prompts
	}
	slow := table.Members()[0]
	d.ObserveLoad(Choice{Member: slow}, fleet.Load{Slowdown: 4, AtMS: epoch.UnixMilli()}, epoch)
	if got := share(slow.ID, epoch.Add(100*time.Millisecond)); got > 0.05 {
		t.Errorf("share of the slow engine: got %.2f, want at most 0.05", got)
	}
	if got := share(slow.ID, epoch.Add(maxSlowdownAge+time.Millisecond)); got < 0.15 {
		t.Errorf("share after its reports stopped: got %.2f, want about 0.25", got)
	}
}

// TestRestartForgetsSlowdown guards against judging an endpoint that starts again under its id by what
// its earlier incarnation reported.
func TestRestartForgetsSlowdown(t *testing.T) {
	d, table := newDirectory(t, 1)
	m := table.Members()[0]
	choose := func(now time.Time) Choice {
		return d.Choose("s", nil, &Request{Now: now, Domain: "d", SegmentsKnown: true})
	}
	c := choose(epoch)
	d.ObserveLoad(c, fleet.Load{Slowdown: 4, AtMS: epoch.UnixMilli()}, epoch)
	if got := choose(epoch).slowdown; got < 3 {
		t.Fatalf("slowdown as reported: got %.1f, want nearly 4", got)
	}
	m.Incarnation++
	m.Version++
	table.Merge(m, epoch)
	if got := choose(epoch).slowdown; got != 1 {
		t.Errorf("slowdown after the restart: got %.1f, want 1", got)
	}
	d.ObserveLoad(c, fleet.Load{Slowdown: 4, AtMS: epoch.UnixMilli() + 1}, epoch)
	if got := choose(epoch).slowdown; got != 1 {
		t.Errorf("slowdown after a late report of the earlier incarnation: got %.1f, want 1", got)
	}
}

// TestFixedTimeIsNotScaledByPrompt guards against expecting long prompts far too late because the time
// that all first tokens take was counted as time for each token of short ones.
func TestFixedTimeIsNotScaledByPrompt(t *testing.T) {
	const rate, fixed = 140_000, 60 * time.Millisecond
	d, table := newDirectory(t, 4)
	now := epoch
	for _, m := range table.Members() {
		d.SetProperties(m.ID, Properties{PrefillRate: 40_000, CountsOnly: true, Slots: 64}, now)
	}
	choose := func(seed uint64, tokens int) Choice {
		return d.Choose("s", nil, &Request{
			PromptTokens: tokens, SegmentsKnown: true, HoldingsKnown: true, PlacementHash: splitMix64(seed), PlacementHashKnown: true, Now: now, Domain: "d",
		})
	}
	real := func(tokens int) time.Duration { return fixed + seconds(float64(tokens)/rate) }
	for n := range 400 {
		now = now.Add(200 * time.Millisecond)
		c := choose(uint64(n), []int{700, 2500}[n%2])
		took := real(c.prefill.tokens + c.prefill.queuedTokens)
		d.RecordFirstToken(c, now.Add(took))
		d.Done(c, false, now.Add(took))
	}
	for _, tokens := range []int{700, 2500, 12_000} {
		c := choose(1, tokens)
		d.Release(c)
		if want := real(tokens); c.TTFT < want*8/10 || c.TTFT > want*13/10 {
			t.Errorf("expected TTFT of %d tokens: got %s, want about %s", tokens, c.TTFT, want)
		}
	}
}

// TestCallTimesAreBounded guards against keeping the times of services whose endpoints are gone.
func TestCallTimesAreBounded(t *testing.T) {
	d, table := newDirectory(t, 1)
	for n := range 100 {
		d.SetProperties(table.Members()[0].ID, Properties{CountsOnly: true, PlainService: fmt.Sprint("s", n)}, epoch)
	}
	d.removeUnusedCallTimes()
	if got := len(d.callTimes); got != 1 {
		t.Errorf("call times: got %d, want 1", got)
	}
}
