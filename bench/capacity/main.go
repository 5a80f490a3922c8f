// Command capacity measures how the system's own traffic, processor time and
// memory grow, and writes the figures and plots that docs/CAPACITY.md cites.
//
// It runs the processes' real spread code over grpc on loopback, as nodes in
// one process, with a stand-in of the object API; and it weighs the state that
// each role keeps. Run it from the repository's root: go run ./bench/capacity
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Results are all figures of one run.
type Results struct {
	At      time.Time   `json:"at"`
	Go      string      `json:"go"`
	Fleet   []FleetRow  `json:"fleet"`
	Sizes   []FleetRow  `json:"customers"`
	Fits    []Fit       `json:"fits"`
	Weights []Weight    `json:"weights"`
	Times   []TimeOf    `json:"times"`
	Target  []TargetRow `json:"target"`
}

func main() {
	out := flag.String("out", "docs/capacity", "folder for results and plots")
	from := flag.Bool("from-results", false, "measure nothing: fit and plot the results in the folder again")
	window := flag.Duration("window", 20*time.Second, "time measured for each fleet size")
	flag.Parse()
	work := func() error { return run(*out, *window) }
	if *from {
		work = func() error { return again(*out) }
	}
	if err := work(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out string, window time.Duration) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	r := Results{At: time.Now().UTC(), Go: goVersion()}
	r.Weights = weigh()
	r.Times = timings()
	for _, nodes := range []int{10, 50, 100, 200, 400} {
		row, err := measureFleet(nodes, 150, window)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%+v\n", row)
		r.Fleet = append(r.Fleet, row)
	}
	for _, customers := range []int{15, 150, 1500} {
		row, err := measureFleet(50, customers, window)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%+v\n", row)
		r.Sizes = append(r.Sizes, row)
	}
	return report(out, r)
}

// again reads the measurements of an earlier run.
func again(out string) error {
	data, err := os.ReadFile(filepath.Join(out, "results.json"))
	if err != nil {
		return err
	}
	var r Results
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	return report(out, r)
}

// report fits the measurements and writes them, the tables and the plots.
func report(out string, r Results) error {
	r.Fits = fitAll(r.Fleet, r.Sizes)
	r.Target = extrapolate(r)
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, "results.json"), append(data, '\n'), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, "tables.md"), []byte(tables(r)), 0o644); err != nil {
		return err
	}
	return plots(out, r)
}
