// Command decisions replays a generated trace of returning prompts against
// small fakes of engines, links and stores, and compares the product's routing
// and movement with baselines and an oracle, all in one run:
//
//	go run ./bench/decisions
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"limpetwall/internal/state/config"
)

// site is one customer's site of today.
type site struct {
	name      string
	objective config.Objective
	// rtt from clients, and between failure domains.
	rtt time.Duration
	// pieces of a context, at least and at most.
	minPieces, maxPieces int
	// contexts that return.
	contexts int
}

var sites = []site{
	{"vieux-chene", config.Objective{TTFTMS: 390, WeightTTFT: 1, WeightRecompute: 0.002, WeightLink: 0.002}, 3 * time.Millisecond, 1, 8, 400},
	{"balkan", config.Objective{TTFTMS: 20_000, WeightTTFT: 0.02, WeightRecompute: 1, WeightLink: 0.4}, time.Millisecond, 4, 20, 250},
}

func main() {
	requests := flag.Int("requests", 6000, "requests of each trace")
	seed := flag.Uint64("seed", 1, "seed of the traces")
	out := flag.String("out", "", "file to write the tables to; empty: standard output")
	flag.Parse()
	var s strings.Builder
	for _, where := range sites {
		for _, c := range cases() {
			compare(&s, where, c, *requests, *seed)
		}
	}
	if *out == "" {
		fmt.Print(s.String())
		return
	}
	if err := os.WriteFile(*out, []byte(s.String()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// cases are the conditions that every site is replayed under.
func cases() []conditions {
	today := conditions{load: 0.8, lag: 2 * time.Second, lostEvents: 0.01, entries: 3}
	with := func(change func(*conditions)) conditions {
		c := today
		change(&c)
		return c
	}
	return []conditions{
		with(func(c *conditions) { c.load = 0.5 }),
		today,
		with(func(c *conditions) { c.load = 0.95 }),
		with(func(c *conditions) { c.lag = 500 * time.Millisecond }),
		with(func(c *conditions) { c.lag = 5 * time.Second }),
		with(func(c *conditions) { c.lostEvents = 0.1 }),
		with(func(c *conditions) { c.sharedPieces = 1 }),
		// As many entries as at the target see little of each endpoint, and reports
		// come as seldom as CAPACITY.md computes.
		with(func(c *conditions) { c.entries, c.lag = 60, time.Minute }),
	}
}

// compare runs all policies on one trace and writes a table, ratios to the oracle.
func compare(s *strings.Builder, where site, c conditions, requests int, seed uint64) {
	fmt.Fprintf(s, "\n### %s, load %.0f%%, reports lag %s, %.0f%% of cache events lost, %d shared pieces, %d entries\n\n", where.name, c.load*100, c.lag, c.lostEvents*100, c.sharedPieces, c.entries)
	s.WriteString("| policy | TTFT p50 ms | p95 ms | p99 ms | p95 / oracle | recomputed share | / oracle | link GB | / oracle |\n|---|---|---|---|---|---|---|---|---|\n")
	var oracle result
	for _, p := range policies {
		r := replay(where, c, p, requests, seed)
		if p.name == "oracle" {
			oracle = r
		}
		fmt.Fprintf(s, "| %s | %.0f | %.0f | %.0f | %.2f | %.3f | %.2f | %.1f | %s |\n", p.name, r.p50, r.p95, r.p99,
			r.p95/oracle.p95, r.recomputed, r.recomputed/oracle.recomputed, r.linkGB, ratio(r.linkGB, oracle.linkGB))
	}
}

func ratio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", a/b)
}
