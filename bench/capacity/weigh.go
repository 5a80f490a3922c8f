package main

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"limpetwall/internal/coordination/errorbudget"
	"limpetwall/internal/coordination/idempotency"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/ledger"
)

// Weight is the live heap of one unit of some state.
type Weight struct {
	State string `json:"state"`
	Unit  string `json:"unit"`
	Count int    `json:"count"`
	// Bytes a unit.
	Bytes float64 `json:"bytes"`
}

// TimeOf is one operation's time and allocations.
type TimeOf struct {
	Operation string  `json:"operation"`
	Size      int     `json:"size"`
	NS        float64 `json:"ns"`
	Allocs    int64   `json:"allocs"`
	Bytes     int64   `json:"bytes"`
}

func goVersion() string { return runtime.Version() + " " + runtime.GOOS + "/" + runtime.GOARCH }

// keep holds what is weighed until it has been.
var keep any

func weight(state, unit string, count int, build func() any) Weight {
	keep = nil
	before := liveHeap()
	keep = build()
	after := liveHeap()
	runtime.KeepAlive(keep)
	w := Weight{State: state, Unit: unit, Count: count, Bytes: float64(int64(after)-int64(before)) / float64(count)}
	keep = nil
	return w
}

func weigh() []Weight {
	const many = 20_000
	return []Weight{
		weight("configuration", "customer", 1500, func() any { return configured(1500, 0) }),
		weight("membership", "member", 1310, func() any { return table(1310) }),
		weight("directory", "endpoint and service", 940*24, func() any { return directory(940, 24) }),
		weight("context index", "piece", many, func() any {
			x := routing.NewIndex(many * 2)
			for i := range many {
				x.Add([]contextkey.Key{key(i)}, uint64(i%940)+1, time.Now())
			}
			return x
		}),
		weight("burn book", "customer and service", 1000, func() any {
			b := errorbudget.NewRecorder()
			for i := range 1000 {
				b.Observe(errorbudget.Observation{Key: errorbudget.Key{Customer: fmt.Sprint(i), Service: "s"}, Target: 0.95, TTFTMS: 390, TTFT: 200 * time.Millisecond, At: time.Now()})
			}
			return b
		}),
		weight("ledger", "kept record of a 500-byte answer", many, func() any {
			cfg := ledger.DefaultConfig()
			cfg.MaxBytes = 1 << 40
			l := ledger.New(cfg, 1)
			first, _ := l.Issue(many, time.Now())
			for i := range many {
				r, _, _ := l.Begin(1, first+uint64(i), "customer", make([]byte, 32), time.Now())
				r.Append(make([]byte, 500), 500)
				r.Finish()
			}
			return l
		}),
	}
}

func key(i int) contextkey.Key {
	return contextkey.Key{byte(i), byte(i >> 8), byte(i >> 16), 1}
}

func configured(customers, services int) *config.Store {
	s := config.NewStore()
	c := config.Change{Revision: 1}
	for i := range customers {
		c.Puts = append(c.Puts, customerDocument(i))
	}
	for i := range services {
		id := fmt.Sprint("service-", i)
		c.Puts = append(c.Puts,
			config.Document{Ref: config.Ref{Kind: config.KindService, ID: id}, Spec: []byte(`{"kind":"prompt","customers":["*"],"objective":{"weight_ttft":1,"weight_recompute":0.1},"limits":{}}`)},
			config.Document{Ref: config.Ref{Kind: config.KindIntent, ID: id}, Spec: fmt.Appendf(nil, `{"service":%q,"labels":{"pool":"models"},"model":"m"}`, id)})
	}
	s.Apply(c)
	return s
}

func table(members int) *fleet.Table {
	now := time.Now()
	t := fleet.NewTable(fleet.DefaultConfig(), fleet.Member{ID: "self", Role: fleet.RoleEntry, Domain: "domain-0"}, now)
	for i := range members {
		id := fmt.Sprintf("agent-%04d", i)
		t.Merge(fleet.Member{
			ID: id, Incarnation: uint64(i + 1), Version: 1, Address: fmt.Sprintf("10.0.%d.%d:7701", i/250, i%250), Host: "host-" + id,
			Domain: fmt.Sprint("domain-", i%5), Region: "region", Role: fleet.RoleAgent,
			Endpoint: fleet.Endpoint{ID: id, Kind: fleet.KindEngine, Labels: map[string]string{"pool": "models", "generation": "3"}, Model: "m", WeightVersion: "v1"},
		}, now)
		t.SetReport(fleet.Report{Incarnation: uint64(i + 1), Version: 1, Load: fleet.Load{PrefillRate: 20000}, At: now})
	}
	return t
}

func directory(endpoints, services int) *routing.Directory {
	d := routing.NewDirectory(table(endpoints), configured(0, services), 100_000, 1)
	d.ApplyReports()
	d.UsableMembers("service-0", time.Now())
	return d
}

func measure(operation string, size int, run func(b *testing.B)) TimeOf {
	r := testing.Benchmark(run)
	return TimeOf{Operation: operation, Size: size, NS: float64(r.NsPerOp()), Allocs: r.AllocsPerOp(), Bytes: r.AllocedBytesPerOp()}
}

func timings() []TimeOf {
	var out []TimeOf
	for _, endpoints := range []int{12, 94, 470, 940} {
		d := directory(endpoints, 1)
		keys := []contextkey.Key{key(1), key(2), key(3), key(4)}
		objective := config.Objective{WeightTTFT: 1, WeightRecompute: 0.1}
		out = append(out, measure("routing decision", endpoints, func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			r := &routing.Request{PromptTokens: 9000, Objective: objective, Domain: "domain-0"}
			for i := 0; b.Loop(); i++ {
				keys[0] = key(i % 1000)
				r.Now, r.PlacementHash = now, routing.PlacementHash(keys, "")
				c := d.Choose("service-0", keys, r)
				d.RecordCachedTokens(c, 0, 0, now)
				d.Done(c, false, now)
			}
		}))
	}
	for _, customers := range []int{15, 150, 1500} {
		s := configured(customers, 24)
		out = append(out, measure("putting a change in force", customers, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Apply(config.Change{Revision: s.View().Revision + 1, Puts: []config.Document{customerDocument(0)}})
			}
		}))
		out = append(out, measure("finding a customer by key", customers, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.View().Customer("key7")
			}
		}))
	}
	text := string(make([]byte, 5*contextkey.ChunkBytes))
	out = append(out, measure("naming a context of 10,000 tokens", 5, func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			contextkey.ChunkKeys(contextkey.Scope{Salt: []byte("salt"), Model: "m"}, text)
		}
	}))
	out = append(out, measure("hashing an idempotency key", 1, func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			idempotency.HashKey("customer", "service", "key")
		}
	}))
	return out
}
