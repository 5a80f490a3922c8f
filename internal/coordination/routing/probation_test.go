package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpetwall/internal/state/config"
)

// failingEndpoint is the one of two endpoints whose runs fail.
const failingEndpoint = "e0"

func chooseOfTwo(d *Directory, now time.Time) Choice {
	return d.Choose("s", nil, &Request{PromptTokens: 1, Now: now, Objective: config.Objective{WeightTTFT: 1}})
}

// ejectedDirectory returns a directory of two endpoints and the time when the ejection of the failing one has just ended.
func ejectedDirectory(t testing.TB) (*Directory, time.Time) {
	d, _ := newDirectory(t, 2)
	for failures := 0; failures < failuresToEject; {
		c := chooseOfTwo(d, epoch)
		if c.Member.ID == failingEndpoint {
			failures++
		}
		d.Done(c, c.Member.ID == failingEndpoint, epoch)
	}
	e := d.tracked[failingEndpoint]
	if !e.EjectedUntil.After(epoch) {
		t.Fatal("the failing endpoint was not ejected")
	}
	return d, e.EjectedUntil
}

// chooseProbe chooses until the failing endpoint is chosen; the other's runs end well.
func chooseProbe(t testing.TB, d *Directory, now time.Time) Choice {
	for range 100 {
		c := chooseOfTwo(d, now)
		if c.Member.ID == failingEndpoint {
			return c
		}
		d.Done(c, false, now)
	}
	t.Fatal("an endpoint is not tried again after its ejection")
	return Choice{}
}

// TestEjectedEndpointIsProbed guards against a burst of requests at an endpoint whose ejection has ended and that still
// fails: its runs take most of a second to fail, and the budget did not cover their retries.
func TestEjectedEndpointIsProbed(t *testing.T) {
	for _, row := range []struct {
		name string
		end  func(d *Directory, probe Choice, now time.Time)
		// ejected and used say whether the endpoint is then ejected again, and otherwise gets several requests at a time.
		ejected, used bool
	}{
		{"fails", func(d *Directory, probe Choice, now time.Time) { d.Done(probe, true, now) }, true, false},
		{"is not reached", func(d *Directory, probe Choice, now time.Time) { d.DoneUnreachable(probe, now) }, true, false},
		{"runs well", func(d *Directory, probe Choice, now time.Time) { d.Done(probe, false, now) }, false, true},
		{"begins to answer", func(d *Directory, probe Choice, now time.Time) { d.RecordFirstToken(probe, now) }, false, true},
		{"is left by its caller", func(d *Directory, probe Choice, _ time.Time) { d.Release(probe) }, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			d, now := ejectedDirectory(t)
			probe := chooseProbe(t, d, now)
			const others = 50
			for range others {
				if c := chooseOfTwo(d, now); c.Member.ID == failingEndpoint {
					t.Fatal("got a request at the endpoint beside its probe, want none")
				}
			}
			row.end(d, probe, now)
			e := d.tracked[failingEndpoint]
			if got := e.EjectedUntil.After(now); got != row.ejected {
				t.Errorf("got ejected %v, want %v", got, row.ejected)
			}
			if row.ejected {
				if e.EjectedUntil.Before(now.Add(minEjection)) {
					t.Errorf("got ejected again for %s, want at least %s", e.EjectedUntil.Sub(now), minEjection)
				}
				return
			}
			atOnce := 0
			for range others {
				if c := chooseOfTwo(d, now); c.Member.ID == failingEndpoint {
					atOnce++
				}
			}
			if row.used != (atOnce > 1) || atOnce == 0 {
				t.Errorf("got %d requests at a time, want several: %v", atOnce, row.used)
			}
		})
	}
}

// TestSoleEndpointOnProbationIsUsed guards against refusals while the only endpoint is probed.
func TestSoleEndpointOnProbationIsUsed(t *testing.T) {
	d, _ := newDirectory(t, 1)
	for range failuresToEject {
		d.Done(chooseOfTwo(d, epoch), true, epoch)
	}
	for range 3 {
		if c := chooseOfTwo(d, epoch.Add(maxEjection)); c.Member.ID == "" {
			t.Fatalf("refused as %s", c.Refusal)
		}
	}
}

// TestProbesAreCounted guards against probes that are never uncounted, which would keep an endpoint out of use.
func TestProbesAreCounted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d, now := ejectedDirectory(t)
		var running []Choice
		end := func(c Choice) {
			switch rapid.IntRange(0, 5).Draw(rt, "end") {
			case 0:
				d.Done(c, true, now)
			case 1:
				d.Done(c, false, now)
			case 2:
				d.DoneUnreachable(c, now)
			case 3:
				d.DoneRefused(c, now)
			case 4:
				d.Release(c)
			case 5:
				// A moved run that returned to its source.
				d.Release(c)
				running = append(running, d.Resume(c))
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "pause")) * time.Millisecond)
			switch {
			case len(running) == 0 || rapid.Bool().Draw(rt, "begin"):
				running = append(running, chooseOfTwo(d, now))
			case rapid.Bool().Draw(rt, "answer"):
				d.RecordFirstToken(running[0], now)
			default:
				c := running[0]
				running = running[1:]
				end(c)
			}
			for id, e := range d.tracked {
				if e.Probes < 0 || e.Probes > e.Running {
					rt.Fatalf("got %d probes at %s among %d runs", e.Probes, id, e.Running)
				}
			}
		}
		for _, c := range running {
			d.Release(c)
		}
		for id, e := range d.tracked {
			if e.Probes != 0 || e.Running != 0 {
				rt.Fatalf("got %d probes and %d runs at %s after all have ended", e.Probes, e.Running, id)
			}
		}
	})
}
