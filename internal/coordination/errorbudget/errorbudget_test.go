package errorbudget_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"limpetwall/internal/coordination/errorbudget"
)

var now = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func observe(r *errorbudget.Recorder, ago, ttft time.Duration, failed bool) {
	r.Observe(errorbudget.Observation{
		Key: errorbudget.Key{Customer: "c", Service: "s"}, Target: 0.95, TTFTMS: 390, TTFT: ttft, Failed: failed, At: now.Add(-ago),
	})
}

// encodeAndDecode returns a recorder's snapshot as another entry receives it.
func encodeAndDecode(t *testing.T, r *errorbudget.Recorder) errorbudget.Snapshot {
	t.Helper()
	data, err := json.Marshal(r.Snapshot(now))
	if err != nil {
		t.Fatal(err)
	}
	s, err := errorbudget.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestReportMergesEntries records good, slow and failed requests at two entries.
func TestReportMergesEntries(t *testing.T) {
	first, second := errorbudget.NewRecorder(), errorbudget.NewRecorder()
	for range 90 {
		observe(first, time.Minute, 100*time.Millisecond, false)
	}
	for range 5 {
		observe(second, time.Minute, time.Second, false) // slower than the objective
		observe(second, time.Minute, 0, true)
	}
	for range 100 {
		observe(second, 45*time.Minute, 100*time.Millisecond, false)
	}
	observe(second, 7*time.Hour, 0, true) // older than every window
	r := errorbudget.Merge([]errorbudget.Snapshot{encodeAndDecode(t, first), encodeAndDecode(t, second)}, []string{"entry-3"}, now)
	if len(r.Rows) != 1 || r.Entries != 2 {
		t.Fatalf("%+v", r)
	}
	row := r.Rows[0]
	want := map[string]struct {
		good, bad int64
		rate      float64
	}{
		"5m0s": {90, 10, 2}, "30m0s": {90, 10, 2}, "1h0m0s": {190, 10, 1}, "6h0m0s": {190, 10, 1},
	}
	for _, w := range row.Windows {
		expected := want[w.Length]
		if w.Good != expected.good || w.Bad != expected.bad || math.Abs(w.Rate-expected.rate) > 1e-9 {
			t.Errorf("got window %+v, want %+v", w, expected)
		}
	}
	if row.P50MS < 99 || row.P50MS > 102 || row.P99MS < 980 || row.P99MS > 1020 {
		t.Errorf("got p50 %g ms and p99 %g ms, want 99 to 102 and 980 to 1020", row.P50MS, row.P99MS)
	}
	var html strings.Builder
	if err := errorbudget.WriteHTML(&html, r); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"entry-3", "<td>c</td>", "burn 5m0s", "<svg", `class="warm"`, "</html>"} {
		if !strings.Contains(html.String(), text) {
			t.Errorf("the page does not contain %q", text)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"series":[{"customer":"c","service":"s","target":0.9,"minutes":[{"at":1,"good":2}]}]}`))
	f.Add([]byte(`{"series":[{"ttft":{}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := errorbudget.Decode(data); err == nil {
			errorbudget.Merge([]errorbudget.Snapshot{s}, nil, now)
		}
	})
}
