package routing

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/fleet"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newEndpoints(n int) []Endpoint {
	out := make([]Endpoint, n)
	for i := range out {
		id := fmt.Sprint("e", i)
		out[i] = Endpoint{
			Member: fleet.Member{ID: id, Domain: "d", Endpoint: fleet.Endpoint{ID: id, WeightVersion: "v1"}}, Hash: HashID(id),
			RuntimeState: &RuntimeState{Load: fleet.Load{PrefillRate: 10_000}},
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Hash < out[j].Hash })
	return out
}

func newRequest() *Request {
	return &Request{
		PromptTokens: 8300, ContextTokens: 8000, KnownTokens: 8000, KnownAge: time.Hour, Domain: "d", Now: epoch.Add(time.Hour),
		Objective: config.Objective{WeightTTFT: 1},
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func TestDecide(t *testing.T) {
	rows := []struct {
		name   string
		change func(e []Endpoint, r *Request)
		// want is the index of the expected endpoint, -1 for none.
		want    int
		refusal Refusal
	}{
		{"the holder of the context", func(e []Endpoint, r *Request) {
			r.Holdings = []Holding{{Endpoint: e[2].Hash, Tokens: 8000, Chance: 0.9}}
		}, 2, ""},
		{"not the holder where others run, if the request may crash it", func(e []Endpoint, r *Request) {
			r.MayCrash = true
			r.Holdings = []Holding{{Endpoint: e[2].Hash, Tokens: 8000, Chance: 1}}
			for i := range e {
				e[i].Running = 4
			}
			e[1].Running = 3
		}, 1, ""},
		{"an idle one, if the request is refused for the wait at the holder", func(e []Endpoint, r *Request) {
			r.MaxWait = 100 * time.Millisecond
			r.Holdings = []Holding{{Endpoint: e[2].Hash, Tokens: 8000, Chance: 1}}
			for i := range e {
				e[i].Load.QueuedTokens = 700
			}
			e[1].Load.QueuedTokens = 500
			e[2].Load.QueuedTokens = 2000
		}, 1, ""},
		{"the holder, if the request is refused for the wait at most", func(e []Endpoint, r *Request) {
			r.MaxWait = 100 * time.Millisecond
			r.Holdings = []Holding{{Endpoint: e[2].Hash, Tokens: 8000, Chance: 1}}
			for i := range e {
				e[i].Load.QueuedTokens = 2000
			}
			e[1].Load.QueuedTokens = 500
		}, 2, ""},
		{"the idle one if none holds the context", func(e []Endpoint, _ *Request) {
			for i := range e {
				e[i].Load.QueuedTokens = 50_000
			}
			e[1].Load.QueuedTokens = 0
		}, 1, ""},
		{"not a holder that is overloaded", func(e []Endpoint, r *Request) {
			r.Holdings = []Holding{{Endpoint: e[2].Hash, Tokens: 8000, Chance: 0.9}}
			for i := range e {
				e[i].Load.QueuedTokens = 1000
			}
			e[2].Load.QueuedTokens = 2_000_000
			e[3].Load.QueuedTokens = 0
		}, 3, ""},
		{"what was sent since the report counts", func(e []Endpoint, _ *Request) {
			for i := range e {
				e[i].SentTokens = 9000
			}
			e[0].SentTokens = 0
		}, 0, ""},
		{"no other weight version", func(e []Endpoint, r *Request) {
			r.WeightVersion = "v2"
			e[3].Endpoint.WeightVersion = "v2"
			e[3].Load.QueuedTokens = 1_000_000
		}, 3, ""},
		{"none has the weight version", func(_ []Endpoint, r *Request) { r.WeightVersion = "v3" }, -1, RefusalNoneUsable},
		{"not those already tried", func(e []Endpoint, r *Request) { r.Exclude = []string{e[0].ID, e[1].ID, e[2].ID} }, 3, ""},
		{"not a full one", func(e []Endpoint, _ *Request) {
			for i := range e {
				e[i].MaxConcurrent, e[i].Running = 1, 1
			}
			e[2].Running = 0
		}, 2, ""},
		{"all full", func(e []Endpoint, _ *Request) {
			for i := range e {
				e[i].MaxConcurrent, e[i].Running = 1, 1
			}
		}, -1, RefusalAllFull},
		{"an ejected one only if there is no other", func(e []Endpoint, r *Request) {
			for i := range e {
				e[i].EjectedUntil = r.Now.Add(time.Second)
			}
			e[1].EjectedUntil = time.Time{}
			e[1].Load.QueuedTokens = 1_000_000
		}, 1, ""},
		{"a suspected one only if there is no other", func(e []Endpoint, _ *Request) {
			for i := range e {
				e[i].State = fleet.Suspect
			}
			e[0].State = fleet.Alive
			e[0].Load.QueuedTokens = 1_000_000
		}, 0, ""},
	}
	for _, row := range rows {
		e, r := newEndpoints(4), newRequest()
		row.change(e, r)
		v := Decide(e, r, newRandom())
		switch {
		case row.want < 0 && (v.Endpoint != nil || v.Refusal != row.refusal):
			t.Errorf("%s: got %+v, want a refusal", row.name, v)
		case row.want >= 0 && (v.Endpoint == nil || v.Endpoint.ID != e[row.want].ID):
			t.Errorf("%s: got %+v, want %s", row.name, v.Endpoint, e[row.want].ID)
		}
	}
}

// TestObjectiveWeightsDecide decides on the same state with two sets of weights.
//
// An endpoint with a queue of a few seconds holds the context, and another is idle. An
// objective that weighs waiting chooses the idle one; one that weighs recomputation and
// links chooses the holder.
func TestObjectiveWeightsDecide(t *testing.T) {
	rows := []struct {
		objective config.Objective
		want      int
	}{
		{config.Objective{WeightTTFT: 1, TTFTMS: 390}, 1},
		{config.Objective{WeightTTFT: 0.02, WeightRecompute: 1, WeightLink: 0.4, TTFTMS: 20_000}, 0},
	}
	for _, row := range rows {
		e, r := newEndpoints(2), newRequest()
		r.Objective = row.objective
		r.KnownAge = time.Second
		r.Holdings = []Holding{{Endpoint: e[0].Hash, Tokens: 8000, Chance: 1}}
		e[0].Load.QueuedTokens = 60_000
		if v := Decide(e, r, newRandom()); v.Endpoint.ID != e[row.want].ID {
			t.Errorf("objective %+v: got %s", row.objective, v.Endpoint.ID)
		}
	}
}

// TestPreferredEndpointsAreEven computes the preferred endpoints of many contexts, for few and for
// many endpoints: no endpoint may be the first choice of more than twice the mean.
func TestPreferredEndpointsAreEven(t *testing.T) {
	for _, n := range []int{9, 94, 940} {
		e := newEndpoints(n)
		counts := map[string]int{}
		const each = 200
		r := newRandom()
		for range n * each {
			preferred := preferredEndpoints(e, r.Uint64())
			if preferred[0] == preferred[1] {
				t.Fatal("both preferred endpoints are the same")
			}
			counts[preferred[0].ID]++
		}
		most := 0
		for _, c := range counts {
			most = max(most, c)
		}
		t.Logf("%d endpoints: the fullest has %.2f times the mean", n, float64(most)/each)
		if most > 2*each || len(counts) < n*95/100 {
			t.Errorf("%d endpoints: the fullest has %d contexts (mean %d, want at most twice that), and %d are used (want 0.95 of them)", n, most, each, len(counts))
		}
	}
}

// TestSharedPrefixHasNoSinglePreferredEndpoint computes the placement keys of many contexts that begin
// with the same chunk. If they kept that chunk's key, all would have the same preferred endpoints.
func TestSharedPrefixHasNoSinglePreferredEndpoint(t *testing.T) {
	x := NewIndex(1000)
	roots := map[contextkey.Key]int{}
	for i := range 200 {
		keys := []contextkey.Key{{1}, {2, byte(i)}, {3, byte(i)}}
		roots[x.PlacementKey(keys)]++
	}
	if roots[contextkey.Key{1}] > 2*minSharedBranches {
		t.Errorf("%d contexts have the shared chunk as placement key", roots[contextkey.Key{1}])
	}
	own := []contextkey.Key{{9}, {8}, {7}}
	for range 50 {
		if x.PlacementKey(own) != own[0] {
			t.Fatal("the placement key of a context that shares nothing has changed")
		}
	}
}

func TestIndexIsBoundedAndLearns(t *testing.T) {
	x := NewIndex(100)
	for i := range 1000 {
		x.Add([]contextkey.Key{{byte(i), byte(i >> 8)}}, uint64(i)+1, epoch)
	}
	if x.Len() > 200 {
		t.Errorf("got %d chunks in the index, want at most 200", x.Len())
	}
	keys := []contextkey.Key{{200, 200}, {201, 200}}
	x.Add(keys, 7, epoch)
	found := x.Lookup(keys, nil, epoch.Add(time.Minute), nil)
	if len(found) != 1 || found[0].Endpoint != 7 || found[0].Tokens != 2*contextkey.ChunkTokens {
		t.Fatalf("%+v", found)
	}
	before := found[0].Chance
	for range 50 {
		x.ObserveHit(found[0], 0)
	}
	if after := x.Lookup(keys, nil, epoch.Add(time.Minute), nil)[0].Chance; after > before/4 {
		t.Errorf("chance: got %g after 50 misses, %g before, want at most a fourth", after, before)
	}
}

// newDirectory returns a directory of n engines, and its fleet table.
func newDirectory(t testing.TB, n int) (*Directory, *fleet.Table) {
	table := fleet.NewTable(fleet.DefaultConfig(), fleet.Member{ID: "entry", Domain: "d"}, epoch)
	for i := range n {
		id := fmt.Sprint("e", i)
		table.Merge(fleet.Member{
			ID: id, Incarnation: uint64(i + 1), Version: 1, Domain: "d",
			Endpoint: fleet.Endpoint{ID: id, Labels: map[string]string{"pool": "x"}, Model: "m", WeightVersion: "v1"},
		}, epoch)
	}
	store := config.NewStore()
	if err := store.Apply(config.Change{Revision: 1, Puts: []config.Document{
		{Ref: config.Ref{Kind: config.KindIntent, ID: "i"}, Spec: []byte(`{"service":"s","labels":{"pool":"x"},"model":"m"}`)},
	}}); err != nil {
		t.Fatal(err)
	}
	return NewDirectory(table, store, 1000, 1), table
}

// TestOlderReportsAreIgnored mixes loads that came with answers and older ones that arrive
// later through gossip.
//
// The load with the newest timestamp by the agent's own clock counts, whatever the order of
// arrival, and what was sent after it was taken still counts. The agent's clock is an hour
// ahead.
func TestOlderReportsAreIgnored(t *testing.T) {
	d, table := newDirectory(t, 1)
	now := epoch.Add(time.Minute)
	stamp := func(at time.Time) int64 { return at.Add(time.Hour).UnixMilli() }
	d.UsableMembers("s", now)
	answered := Choice{Member: fleet.Member{ID: "e0", Incarnation: 1}}
	d.ObserveLoad(answered, fleet.Load{QueuedTokens: 100, AtMS: stamp(now)}, now.Add(time.Millisecond))
	d.Choose("s", nil, &Request{PromptTokens: 500, Now: now.Add(time.Second)})
	table.SetReport(fleet.Report{Incarnation: 1, Version: 9, Load: fleet.Load{QueuedTokens: 9000, AtMS: stamp(now.Add(-time.Second))}, At: now.Add(2 * time.Second)})
	d.ApplyReports()
	e := d.tracked["e0"]
	if e.Load.QueuedTokens != 100 || e.SentTokens != 500 {
		t.Errorf("after an older report: got %+v, want 100 queued and 500 sent tokens", e.RuntimeState)
	}
	table.SetReport(fleet.Report{Incarnation: 1, Version: 10, Load: fleet.Load{QueuedTokens: 300, AtMS: stamp(now.Add(500 * time.Millisecond))}, At: now.Add(3 * time.Second)})
	d.ApplyReports()
	if e.Load.QueuedTokens != 300 || e.SentTokens != 500 {
		t.Errorf("after a report taken before the send: got %+v, want 300 queued and 500 sent tokens", e.RuntimeState)
	}
	d.ObserveLoad(answered, fleet.Load{QueuedTokens: 600, AtMS: stamp(now.Add(2 * time.Second))}, now.Add(2*time.Second))
	if e.Load.QueuedTokens != 600 || e.SentTokens != 0 || e.SentRuns != 0 {
		t.Errorf("after a load taken after the send: got %+v, want 600 queued and no sent tokens", e.RuntimeState)
	}
}

func TestEjection(t *testing.T) {
	d, _ := newDirectory(t, 1)
	now := epoch
	choose := func() Choice { return d.Choose("s", nil, &Request{PromptTokens: 1, Now: now}) }
	for range failuresToEject {
		d.Done(choose(), true, now)
	}
	e := d.tracked["e0"]
	if !e.EjectedUntil.After(now) || e.EjectedUntil.After(now.Add(minEjection)) {
		t.Errorf("got ejected for %s, want more than 0 and at most a second", e.EjectedUntil.Sub(now))
	}
	d.Done(choose(), false, now)
	if e.ejections != 0 || e.Running != 0 {
		t.Errorf("after a success: got %+v, want no ejections and no runs", e)
	}
}

// TestEndpointsFoundAtStartShareRequests guards against a process that has just started and sends all requests to the
// endpoint that it found first, as if the others were new.
func TestEndpointsFoundAtStartShareRequests(t *testing.T) {
	const endpoints, requests = 6, 60
	d, table := newDirectory(t, 0)
	d.UsableMembers("s", epoch)
	add := func(id int, now time.Time) {
		name := fmt.Sprint("e", id)
		table.Merge(fleet.Member{
			ID: name, Incarnation: uint64(id + 1), Version: 1, Domain: "d",
			Endpoint: fleet.Endpoint{ID: name, Labels: map[string]string{"pool": "x"}, Model: "m", WeightVersion: "v1"},
		}, now)
		d.UsableMembers("s", now)
	}
	now := epoch
	for id := range endpoints {
		now = now.Add(10 * time.Millisecond)
		add(id, now)
	}
	chosen := map[string]int{}
	for range requests {
		chosen[d.Choose("s", nil, &Request{PromptTokens: 1, Now: now, Objective: config.Objective{WeightTTFT: 1}}).Member.ID]++
	}
	for id := range endpoints {
		if n := chosen[fmt.Sprint("e", id)]; n < requests/endpoints/2 || n > requests/endpoints*2 {
			t.Errorf("got %d of %d requests at endpoint %d of %d, want between half and twice its part", n, requests, id, endpoints)
		}
	}
	add(endpoints, now)
	if seen := d.tracked[fmt.Sprint("e", endpoints)].FirstSeen; !seen.Equal(now) {
		t.Errorf("got an endpoint that joined after the first choice seen %s earlier, want now", now.Sub(seen))
	}
}

// FuzzDecide checks that no decision chooses an endpoint that is excluded, full or has another
// weight version.
func FuzzDecide(f *testing.F) {
	f.Add(uint8(3), uint64(1), "v1", int32(100), int32(50), uint8(7))
	f.Add(uint8(200), uint64(9), "", int32(-1), int32(1<<30), uint8(0))
	f.Fuzz(func(t *testing.T, n uint8, seed uint64, version string, prompt, queued int32, full uint8) {
		all := newEndpoints(int(n))
		r := rand.New(rand.NewPCG(seed, seed))
		for i := range all {
			all[i].Load.QueuedTokens = int(queued) * i
			all[i].Endpoint.WeightVersion = fmt.Sprint("v", r.IntN(3))
			all[i].MaxConcurrent, all[i].Running = 1, r.IntN(2)
		}
		q := &Request{PlacementHash: seed, PromptTokens: int(prompt), WeightVersion: version, Now: epoch, Objective: config.Objective{WeightTTFT: 1}}
		if n > 0 {
			q.Exclude = []string{all[int(full)%len(all)].ID}
			q.Holdings = []Holding{{Endpoint: all[0].Hash, Tokens: int(prompt), Chance: 1}, {Endpoint: seed, Tokens: 1, Chance: 1}}
		}
		v := Decide(all, q, r)
		if v.Endpoint == nil {
			return
		}
		if version != "" && v.Endpoint.Endpoint.WeightVersion != version {
			t.Error("got an endpoint with another weight version")
		}
		if v.Endpoint.ID == q.Exclude[0] || v.Endpoint.Running >= 1 {
			t.Error("got an endpoint that is excluded or full")
		}
	})
}

func TestDecideAllocatesNothing(t *testing.T) {
	e, r, random := newEndpoints(940), newRequest(), newRandom()
	r.Holdings = []Holding{{Endpoint: e[5].Hash, Tokens: 8000, Chance: 0.5}}
	if n := testing.AllocsPerRun(100, func() { r.PlacementHash++; Decide(e, r, random) }); n != 0 {
		t.Errorf("got %g allocations per decision, want 0", n)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{12, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e, r, random := newEndpoints(n), newRequest(), newRandom()
			b.ReportAllocs()
			for b.Loop() {
				r.PlacementHash++
				Decide(e, r, random)
			}
		})
	}
}

// TestImportableSegments lets stores hold some of a context's segments.
//
// What follows a segment that neither the engine nor a store holds must be computed, and a segment
// that the engine has cached needs no store.
func TestImportableSegments(t *testing.T) {
	rows := []struct {
		stored [3]bool
		cached int
		want   int
	}{
		{[3]bool{true, true, true}, 0, 6000},
		{[3]bool{false, true, true}, 0, 0},
		{[3]bool{false, true, true}, 1000, 5000},
		{[3]bool{true, false, true}, 0, 1000},
		{[3]bool{true, true, true}, 2000, 4000},
		{[3]bool{}, 0, 0},
	}
	for _, row := range rows {
		r := &Request{SegmentsKnown: true}
		for i, tokens := range []int{1000, 2000, 3000} {
			r.Segments = append(r.Segments, Segment{Tokens: tokens, Stored: row.stored[i], Domain: "d", TransferTime: time.Duration(tokens) * time.Millisecond})
		}
		got := r.importableTokens(row.cached)
		if got != row.want {
			t.Errorf("stored %v, %d tokens cached: got %d importable tokens, want %d", row.stored, row.cached, got, row.want)
		}
		local, remote := &Endpoint{Member: fleet.Member{Domain: "d"}}, &Endpoint{Member: fleet.Member{Domain: "e"}}
		took := r.transferTime(local, row.cached, got)
		if took != time.Duration(got)*time.Millisecond || r.transferTime(remote, row.cached, got) != 2*took {
			t.Errorf("stored %v, %d tokens cached: got a transfer of %s within the domain, want 1 ms per token, and twice that to another domain", row.stored, row.cached, took)
		}
	}
}
