// Package errorbudget measures how fast services use up their error budgets. Each
// entry records, per customer and service, good and bad requests by the minute
// and a histogram of times to first token; a report merges those of all entries.
package errorbudget

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// ErrMalformed is returned when a peer's snapshot cannot be decoded or merged.
const ErrMalformed = errors.ConstError("malformed error budget snapshot")

// Windows are the periods that a report covers, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const (
	retainedMinutes = 6 * 60
	// Histograms cover 0.1 ms to two minutes, in units of 0.1 ms, to 2 significant
	// digits.
	histogramUnit   = 100 * time.Microsecond
	histogramMax    = int64(2 * time.Minute / histogramUnit)
	histogramDigits = 2
	// maxSeries limits the pairs of customer and service that an entry records.
	maxSeries = 5_000
)

// Key identifies a series.
type Key struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
}

type minuteCounts struct {
	unixMinute uint32
	good, bad  uint32
}

type series struct {
	target  float64
	ttftMS  int
	minutes [retainedMinutes]minuteCounts
	ttft    *hdrhistogram.Histogram
}

// Recorder holds the series of one entry; safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	series  map[Key]*series
	skipped int64
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{series: map[Key]*series{}} }

// Observation is the outcome of one request.
type Observation struct {
	Key
	// Target is the share of requests that must be good, TTFTMS the objective for
	// the time to first token; both as in force for this request.
	Target float64
	TTFTMS int
	// TTFT is the time to first token; ignored if Failed is set.
	TTFT time.Duration
	// Failed marks requests that the system did not serve.
	Failed bool
	At     time.Time
}

// Observe records a request's outcome.
func (r *Recorder) Observe(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.series[o.Key]
	if !ok {
		if len(r.series) >= maxSeries {
			r.skipped++
			return
		}
		s = &series{ttft: hdrhistogram.New(1, histogramMax, histogramDigits)}
		r.series[o.Key] = s
	}
	s.target, s.ttftMS = o.Target, o.TTFTMS
	unixMinute := uint32(o.At.Unix() / 60)
	m := &s.minutes[unixMinute%retainedMinutes]
	if m.unixMinute != unixMinute {
		*m = minuteCounts{unixMinute: unixMinute}
	}
	if o.Failed || o.TTFT > time.Duration(o.TTFTMS)*time.Millisecond {
		m.bad++
	} else {
		m.good++
	}
	if !o.Failed {
		s.ttft.RecordValue(min(histogramMax, max(1, int64(o.TTFT/histogramUnit))))
	}
}

// Minute is one minute of a series, its start in Unix minutes.
type Minute struct {
	At   int64 `json:"at"`
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

// Series is the form in which entries exchange a series.
type Series struct {
	Key
	Target  float64                `json:"target"`
	TTFTMS  int                    `json:"ttft_ms"`
	Minutes []Minute               `json:"minutes"`
	TTFT    *hdrhistogram.Snapshot `json:"ttft"`
}

// Snapshot is the form in which entries exchange what they have recorded.
type Snapshot struct {
	Series  []Series `json:"series"`
	Skipped int64    `json:"skipped"`
}

// Snapshot returns the minutes within the longest window, and histograms of all
// requests recorded.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := Snapshot{Skipped: r.skipped}
	oldest := uint32(now.Unix()/60 - retainedMinutes)
	for key, s := range r.series {
		out := Series{Key: key, Target: s.target, TTFTMS: s.ttftMS, TTFT: s.ttft.Export()}
		for _, m := range s.minutes {
			if m.unixMinute > oldest && m.good+m.bad > 0 {
				out.Minutes = append(out.Minutes, Minute{At: int64(m.unixMinute), Good: int64(m.good), Bad: int64(m.bad)})
			}
		}
		sort.Slice(out.Minutes, func(i, j int) bool { return out.Minutes[i].At < out.Minutes[j].At })
		snap.Series = append(snap.Series, out)
	}
	sort.Slice(snap.Series, func(i, j int) bool { return lessKey(snap.Series[i].Key, snap.Series[j].Key) })
	return snap
}

func lessKey(a, b Key) bool {
	if a.Customer != b.Customer {
		return a.Customer < b.Customer
	}
	return a.Service < b.Service
}

// Decode reads a snapshot's JSON, or fails with ErrMalformed.
func Decode(data []byte) (Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return Snapshot{}, errors.WithType(err, ErrMalformed)
	}
	for _, series := range s.Series {
		if !hasSameLayout(series.TTFT) {
			return Snapshot{}, errors.Annotate(ErrMalformed, "unsupported histogram layout")
		}
	}
	return s, nil
}

// hasSameLayout reports whether h can be merged with this process's histograms. The
// library panics on a histogram with other bounds: a single process of another version
// would crash every entry that makes a report.
func hasSameLayout(h *hdrhistogram.Snapshot) bool {
	if h == nil {
		return true
	}
	own := hdrhistogram.New(1, histogramMax, histogramDigits).Export()
	return h.LowestTrackableValue == own.LowestTrackableValue && h.HighestTrackableValue == own.HighestTrackableValue &&
		h.SignificantFigures == own.SignificantFigures && len(h.Counts) == len(own.Counts)
}

// Window is one window of a row. At rate 1 the budget is used up exactly over the
// objective's period; a rate of 14 within an hour is the usual threshold for paging.
type Window struct {
	Length string  `json:"length"`
	Good   int64   `json:"good"`
	Bad    int64   `json:"bad"`
	Rate   float64 `json:"burn_rate"`
}

// Row is one line of the report.
type Row struct {
	Key
	Target  float64  `json:"target"`
	TTFTMS  int      `json:"ttft_ms"`
	P50MS   float64  `json:"ttft_p50_ms"`
	P95MS   float64  `json:"ttft_p95_ms"`
	P99MS   float64  `json:"ttft_p99_ms"`
	Windows []Window `json:"windows"`
	// Minutes are the merged counts, for plots.
	Minutes []Minute `json:"minutes"`
}

// Report is the merged view of all entries.
type Report struct {
	At      time.Time `json:"at"`
	Entries int       `json:"entries"`
	// Missing lists entries that did not answer: their requests are not counted.
	Missing []string `json:"missing"`
	Rows    []Row    `json:"rows"`
	// Skipped counts requests that were not recorded because their entry already had
	// its maximum of series.
	Skipped int64 `json:"skipped"`
}

// Merge builds a report from the entries' snapshots.
func Merge(snaps []Snapshot, missing []string, now time.Time) Report {
	report := Report{At: now.UTC(), Entries: len(snaps), Missing: missing, Rows: []Row{}}
	merged := map[Key]*mergedSeries{}
	for _, snap := range snaps {
		report.Skipped += snap.Skipped
		for _, s := range snap.Series {
			m, ok := merged[s.Key]
			if !ok {
				m = &mergedSeries{ttft: hdrhistogram.New(1, histogramMax, histogramDigits), minutes: map[int64]Minute{}}
				merged[s.Key] = m
			}
			m.add(s)
		}
	}
	for key, m := range merged {
		report.Rows = append(report.Rows, m.row(key, now))
	}
	sort.Slice(report.Rows, func(i, j int) bool { return lessKey(report.Rows[i].Key, report.Rows[j].Key) })
	return report
}

type mergedSeries struct {
	target  float64
	ttftMS  int
	ttft    *hdrhistogram.Histogram
	minutes map[int64]Minute
}

func (m *mergedSeries) add(s Series) {
	m.target, m.ttftMS = s.Target, s.TTFTMS
	if s.TTFT != nil {
		m.ttft.Merge(hdrhistogram.Import(s.TTFT))
	}
	for _, minute := range s.Minutes {
		sum := m.minutes[minute.At]
		sum.At = minute.At
		sum.Good += minute.Good
		sum.Bad += minute.Bad
		m.minutes[minute.At] = sum
	}
}

func (m *mergedSeries) row(key Key, now time.Time) Row {
	quantileMS := func(q float64) float64 {
		return float64(m.ttft.ValueAtQuantile(q)) * float64(histogramUnit) / float64(time.Millisecond)
	}
	r := Row{Key: key, Target: m.target, TTFTMS: m.ttftMS, P50MS: quantileMS(50), P95MS: quantileMS(95), P99MS: quantileMS(99)}
	for _, length := range Windows {
		r.Windows = append(r.Windows, m.window(length, now))
	}
	for _, minute := range m.minutes {
		r.Minutes = append(r.Minutes, minute)
	}
	sort.Slice(r.Minutes, func(i, j int) bool { return r.Minutes[i].At < r.Minutes[j].At })
	return r
}

func (m *mergedSeries) window(length time.Duration, now time.Time) Window {
	w := Window{Length: length.String()}
	oldest := now.Add(-length).Unix() / 60
	for _, minute := range m.minutes {
		if minute.At > oldest {
			w.Good += minute.Good
			w.Bad += minute.Bad
		}
	}
	if total := w.Good + w.Bad; total > 0 && m.target < 1 {
		w.Rate = float64(w.Bad) / float64(total) / (1 - m.target)
	}
	return w
}
