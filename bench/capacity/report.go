package main

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Fit is a line through one figure's measurements, over the size itself or over
// its logarithm, whichever leaves less unexplained.
type Fit struct {
	Figure string `json:"figure"`
	Over   string `json:"over"`
	// Log means that the size counts by its logarithm to base 2.
	Log       bool    `json:"log"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
	// Residual is the largest distance of a measurement from the line.
	Residual float64 `json:"largest_residual"`
}

// TargetRow is one figure at the target size.
type TargetRow struct {
	Figure string  `json:"figure"`
	Value  float64 `json:"value"`
	// Error is the line's largest residual scaled to the target size.
	Error  float64 `json:"error"`
	Budget float64 `json:"budget"`
	Unit   string  `json:"unit"`
	Holds  bool    `json:"holds"`
}

// The target: 370 nodes before 940 servers, an agent beside each server.
const (
	targetNodes     = 370 + 940
	targetCustomers = 1500
	budgetBytes     = 3000.0
	budgetCPU       = 0.03
	budgetHeap      = 256 << 20
	budgetCalls     = 2000.0
)

func (f Fit) at(x float64) float64 {
	if f.Log {
		x = math.Log2(x)
	}
	return f.Intercept + f.Slope*x
}

func fit(figure, over string, xs, ys []float64) Fit {
	logs := make([]float64, len(xs))
	for i, x := range xs {
		logs[i] = math.Log2(x)
	}
	straight, curved := line(xs, ys), line(logs, ys)
	best := straight
	if curved.R2 > straight.R2 {
		best = curved
		best.Log = true
	}
	best.Figure, best.Over = figure, over
	return best
}

func line(xs, ys []float64) Fit {
	a, b := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{Intercept: a, Slope: b, R2: stat.RSquared(xs, ys, nil, a, b)}
	for i := range xs {
		f.Residual = math.Max(f.Residual, math.Abs(ys[i]-a-b*xs[i]))
	}
	return f
}

var figures = []struct {
	name string
	of   func(FleetRow) float64
}{
	{"wire bytes/s a node", func(r FleetRow) float64 { return r.WireBytes }},
	{"payload bytes/s a node", func(r FleetRow) float64 { return r.PayloadBytes }},
	{"messages/s a node", func(r FleetRow) float64 { return r.Messages }},
	{"share of a core a node", func(r FleetRow) float64 { return r.CPU }},
	{"heap bytes a node", func(r FleetRow) float64 { return r.Heap }},
	{"platform calls/s of the fleet", func(r FleetRow) float64 { return r.PlatformCalls }},
	{"last node has a change, ms", func(r FleetRow) float64 { return r.SpreadLast }},
}

func fitAll(fleet, customers []FleetRow) []Fit {
	var out []Fit
	for _, f := range figures {
		var xs, ys, cx, cy []float64
		for _, r := range fleet {
			xs, ys = append(xs, float64(r.Nodes)), append(ys, f.of(r))
		}
		for _, r := range customers {
			cx, cy = append(cx, float64(r.Customers)), append(cy, f.of(r))
		}
		out = append(out, fit(f.name, "nodes", xs, ys), fit(f.name, "customers", cx, cy))
	}
	return out
}

func extrapolate(r Results) []TargetRow {
	budgets := map[string]struct {
		limit float64
		unit  string
	}{
		"wire bytes/s a node":           {budgetBytes, "bytes/s"},
		"share of a core a node":        {budgetCPU, "cores"},
		"heap bytes a node":             {budgetHeap, "bytes"},
		"platform calls/s of the fleet": {budgetCalls, "calls/s"},
		"last node has a change, ms":    {10_000, "ms"},
	}
	var out []TargetRow
	last := float64(r.Fleet[len(r.Fleet)-1].Nodes)
	for i := 0; i < len(r.Fits); i += 2 {
		byNodes, byCustomers := r.Fits[i], r.Fits[i+1]
		budget, ok := budgets[byNodes.Figure]
		if !ok {
			continue
		}
		// The fleet rows carry 150 customers; the rest comes by the second line, if it
		// is a cost at all.
		more := math.Max(0, byCustomers.at(targetCustomers)-byCustomers.at(150))
		value := byNodes.at(targetNodes)
		if byNodes.Slope < 0 {
			// A figure that falls with the fleet (what the nodes of one process share)
			// is not taken further than it was measured.
			value = largest(byNodes.Figure, r.Fleet)
		}
		value += more
		out = append(out, TargetRow{
			Figure: byNodes.Figure, Value: value, Error: byNodes.Residual * targetNodes / last,
			Budget: budget.limit, Unit: budget.unit, Holds: value <= budget.limit,
		})
	}
	return out
}

func largest(figure string, rows []FleetRow) float64 {
	most := 0.0
	for _, f := range figures {
		for _, r := range rows {
			if f.name == figure {
				most = math.Max(most, f.of(r))
			}
		}
	}
	return most
}

func tables(r Results) string {
	var s strings.Builder
	fmt.Fprintf(&s, "Written by `go run ./bench/capacity` (%s).\n\n### Fleet size\n\n", r.Go)
	fleetTable(&s, r.Fleet)
	s.WriteString("\n### Customers, at 50 nodes\n\n")
	fleetTable(&s, r.Sizes)
	s.WriteString("\n### Slopes\n\n| figure | over | intercept | slope | R² | largest residual |\n|---|---|---|---|---|---|\n")
	for _, f := range r.Fits {
		if f.Log {
			f.Over = "log2 of " + f.Over
		}
		fmt.Fprintf(&s, "| %s | %s | %.4g | %.4g | %.3f | %.3g |\n", f.Figure, f.Over, f.Intercept, f.Slope, f.R2, f.Residual)
	}
	fmt.Fprintf(&s, "\n### At the target: %d processes, %d customers\n\n| figure | value | ± | budget | holds |\n|---|---|---|---|---|\n", targetNodes, targetCustomers)
	for _, t := range r.Target {
		fmt.Fprintf(&s, "| %s | %.4g | %.2g | %.4g %s | %v |\n", t.Figure, t.Value, t.Error, t.Budget, t.Unit, t.Holds)
	}
	s.WriteString("\n### Weight of state\n\n| state | a | bytes |\n|---|---|---|\n")
	for _, w := range r.Weights {
		fmt.Fprintf(&s, "| %s | %s | %.0f |\n", w.State, w.Unit, w.Bytes)
	}
	s.WriteString("\n### Operations\n\n| operation | size | ns | allocations | bytes |\n|---|---|---|---|---|\n")
	for _, t := range r.Times {
		fmt.Fprintf(&s, "| %s | %d | %.0f | %d | %d |\n", t.Operation, t.Size, t.NS, t.Allocs, t.Bytes)
	}
	return s.String()
}

func fleetTable(s *strings.Builder, rows []FleetRow) {
	s.WriteString("| nodes | customers | wire B/s | payload B/s | messages/s | core | heap KiB | connections | platform calls/s | change: median ms | last ms |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(s, "| %d | %d | %.0f | %.0f | %.1f | %.4f | %.0f | %.1f | %.1f | %.0f | %.0f |\n", r.Nodes, r.Customers, r.WireBytes,
			r.PayloadBytes, r.Messages, r.CPU, r.Heap/1024, r.Connections, r.PlatformCalls, r.SpreadMedian, r.SpreadLast)
	}
}

func plots(out string, r Results) error {
	for i, f := range figures {
		p := plot.New()
		p.Title.Text = f.name
		p.X.Label.Text = "nodes"
		p.Y.Min = 0
		points := make(plotter.XYs, 0, len(r.Fleet))
		for _, row := range r.Fleet {
			points = append(points, plotter.XY{X: float64(row.Nodes), Y: f.of(row)})
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		line := r.Fits[2*i]
		fitted := plotter.NewFunction(line.at)
		fitted.XMin = 1
		fitted.Color = color.RGBA{R: 200, A: 255}
		p.Add(plotter.NewGrid(), scatter, fitted)
		name := strings.NewReplacer("/", "-", " ", "-", ",", "").Replace(f.name) + ".svg"
		if err := p.Save(12*vg.Centimeter, 8*vg.Centimeter, filepath.Join(out, name)); err != nil {
			return err
		}
	}
	return nil
}
