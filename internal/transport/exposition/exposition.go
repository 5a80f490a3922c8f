// Package exposition serves a go-metrics registry in the Prometheus text format,
// using the Prometheus client library.
package exposition

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

const prefix = "limpetwall_"

// Handler serves the metrics of the registry with their values at the time of the request.
func Handler(registry metrics.Registry) http.Handler {
	out := prometheus.NewRegistry()
	out.MustRegister(collector{registry})
	return promhttp.HandlerFor(out, promhttp.HandlerOpts{})
}

// collector converts go-metrics into Prometheus metrics. It describes no metric in
// advance, because a metric is registered only when the process first uses it.
type collector struct {
	registry metrics.Registry
}

// Describe implements prometheus.Collector.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			out <- newConstMetric(name+"_total", prometheus.CounterValue, float64(m.Snapshot().Count()))
		case metrics.Gauge:
			out <- newConstMetric(name, prometheus.GaugeValue, float64(m.Snapshot().Value()))
		case metrics.Timer:
			out <- newSummary(name+"_seconds", m.Snapshot())
		}
	})
}

func newDesc(name string) *prometheus.Desc {
	name = prefix + strings.NewReplacer(".", "_", "-", "_").Replace(name)
	return prometheus.NewDesc(name, "see docs/OPERATORS.md", nil, nil)
}

func newConstMetric(name string, kind prometheus.ValueType, v float64) prometheus.Metric {
	return prometheus.MustNewConstMetric(newDesc(name), kind, v)
}

// secondsPerNanosecond converts the values of go-metrics timers, which are in nanoseconds.
const secondsPerNanosecond = 1e-9

func newSummary(name string, t metrics.Timer) prometheus.Metric {
	quantiles := map[float64]float64{}
	for _, q := range []float64{0.5, 0.95, 0.99} {
		quantiles[q] = t.Percentile(q) * secondsPerNanosecond
	}
	return prometheus.MustNewConstSummary(newDesc(name), uint64(t.Count()), float64(t.Sum())*secondsPerNanosecond, quantiles)
}
