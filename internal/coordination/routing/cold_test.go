package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpetwall/internal/coordination/warmup"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/residency"
)

// TestDecideFiltersColdAndForeignEndpoints guards against a decision that falls back on an endpoint
// which is too cold or in another region when its samples hold no other.
func TestDecideFiltersColdAndForeignEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, r := newEndpoints(rapid.IntRange(1, 60).Draw(t, "endpoints")), newRequest()
		r.Local = e[:rapid.IntRange(0, len(e)).Draw(t, "local")]
		r.PlacementHash = rapid.Uint64().Draw(t, "hash")
		r.Residency = residency.Intersect([]string{"east"})
		good := 0
		for i := range e {
			e[i].Region = rapid.SampledFrom([]string{"east", "west", ""}).Draw(t, "region")
			e[i].ColdRate = 8
			isCold := rapid.Bool().Draw(t, "cold")
			if isCold {
				e[i].Member.Endpoint.ColdUntil = r.Now.Add(time.Second)
			}
			if rapid.Bool().Draw(t, "ejected") {
				e[i].EjectedUntil = r.Now.Add(time.Minute)
			}
			if e[i].Region == "east" && !isCold {
				good++
			}
		}
		d := Decide(e, r, newRandom())
		switch {
		case d.Endpoint == nil && good > 0:
			t.Fatalf("refused as %s although %d endpoints are eligible", d.Refusal, good)
		case d.Endpoint != nil && (d.Endpoint.Region != "east" || d.Endpoint.isCold(r.Now)):
			t.Fatalf("chose an endpoint in %q, cold: %v", d.Endpoint.Region, d.Endpoint.isCold(r.Now))
		case d.Refusal == RefusalAllCold && d.RetryIn != time.Second:
			t.Fatalf("warm in %s, want 1 s", d.RetryIn)
		}
	})
}

// TestClaimedColdEndpoint guards against more requests from the process that has claimed a cold
// endpoint than the endpoint withstands, and against a claim that outlives a restart.
func TestClaimedColdEndpoint(t *testing.T) {
	d, table := newDirectory(t, 1)
	d.store.Apply(config.Change{Revision: 2, Puts: []config.Document{
		{Ref: config.Ref{Kind: config.KindIntent, ID: "i"}, Spec: []byte(`{"service":"s","labels":{"pool":"x"},"model":"m","cold_requests_per_second":3}`)},
	}})
	m, _ := table.Get("e0")
	m.Version, m.Endpoint.ColdUntil = 2, epoch.Add(3*time.Second)
	table.Merge(m, epoch)
	count := func(now time.Time) (sent int) {
		for range 10 {
			if c := d.Choose("s", nil, &Request{Now: now}); c.Member.ID != "" {
				sent++
			}
		}
		return sent
	}
	if got := count(epoch); got != 0 {
		t.Errorf("%d requests without a claim, want 0", got)
	}
	cold := d.ColdEndpoints(epoch)
	if len(cold) != 1 || cold[0].ID != "e0" || cold[0].PerSecond != 3 {
		t.Fatalf("cold endpoints: %+v", cold)
	}
	d.AllowCold("e0", cold[0].Incarnation, warmup.NewWindow(cold[0].PerSecond))
	if got := count(epoch); got != 3 {
		t.Errorf("%d requests in the first second, want 3", got)
	}
	if got := count(epoch.Add(999 * time.Millisecond)); got != 0 {
		t.Errorf("%d more requests in that second, want 0", got)
	}
	if got := count(epoch.Add(1100 * time.Millisecond)); got != 3 {
		t.Errorf("%d requests in the next second, want 3", got)
	}
	if got := count(epoch.Add(3 * time.Second)); got != 10 {
		t.Errorf("%d of 10 requests once it is warm", got)
	}
	m.Version, m.Incarnation, m.Endpoint.ColdUntil = 3, 99, epoch.Add(10*time.Second)
	table.Merge(m, epoch)
	if got := count(epoch.Add(5 * time.Second)); got != 0 {
		t.Errorf("%d requests to a restarted endpoint by the claim of its earlier start", got)
	}
}
