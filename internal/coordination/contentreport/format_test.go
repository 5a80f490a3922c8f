package contentreport

import (
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"limpetwall/internal/coordination/contextcache"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
)

// manyReports returns reports of several stores with more changes than fit into one datagram.
func manyReports() []contextcache.Report {
	var out []contextcache.Report
	for i := range 5 {
		r := contextcache.Report{Address: fmt.Sprintf("10.0.0.%d:8080", i), Epoch: int64(1000 + i), AsOf: 1_700_000_000_000 + int64(i), Next: 900}
		for n := range 60 {
			c := contextcache.Change{Number: int64(800 + n), Added: n%3 != 0, Segment: contextcache.SegmentKey{Salt: fmt.Sprint("salt.", n%2), ID: fmt.Sprintf("%08x", n)}, SegmentInfo: contextcache.SegmentInfo{Model: "m"}}
			if c.Added {
				c.Tokens = 100 * n
			}
			r.Changes = append(r.Changes, c)
		}
		out = append(out, r)
	}
	return append(out, contextcache.Report{Address: "10.0.0.9:8080", Epoch: 1, Next: 1})
}

// TestReportsAreSplitIntoDatagrams encodes more reports than fit into one datagram. Each message
// fits into one, and together they hold the same reports, also that of a store without changes.
func TestReportsAreSplitIntoDatagrams(t *testing.T) {
	want := manyReports()
	messages, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	joined := map[string]contextcache.Report{}
	for _, data := range messages {
		if len(data) > datagram.MaxSize {
			t.Errorf("datagram of %d bytes exceeds the maximum", len(data))
		}
		got, err := decode(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range got {
			r.Changes = append(joined[r.Address].Changes, r.Changes...)
			joined[r.Address] = r
		}
	}
	if len(messages) < 5 {
		t.Errorf("got %d datagrams, want at least 5", len(messages))
	}
	for _, r := range want {
		if !reflect.DeepEqual(joined[r.Address], r) {
			t.Errorf("%s: got %+v, want %+v", r.Address, joined[r.Address], r)
		}
	}
}

// TestInvalidReportsAreRejected decodes messages that no process would send.
func TestInvalidReportsAreRejected(t *testing.T) {
	validReport := func() *wire.ContentReport {
		return &wire.ContentReport{Salts: []string{"s"}, Models: []string{"m"}, Contents: []*wire.Contents{{
			Address: "10.0.0.1:1", Next: 5, Changes: []*wire.ContentChange{{Id: "p", Tokens: 1, BeforeNext: 1}},
		}}}
	}
	rows := map[string]func(*wire.ContentReport){
		"no address":                  func(m *wire.ContentReport) { m.Contents[0].Address = "store" },
		"a negative number":           func(m *wire.ContentReport) { m.Contents[0].Next = -1 },
		"a negative time":             func(m *wire.ContentReport) { m.Contents[0].AsOfMs = -1 },
		"an unknown salt":             func(m *wire.ContentReport) { m.Contents[0].Changes[0].Salt = 1 },
		"an unknown model":            func(m *wire.ContentReport) { m.Contents[0].Changes[0].Model = 9 },
		"a segment without ID":        func(m *wire.ContentReport) { m.Contents[0].Changes[0].Id = "" },
		"an event number below 0":     func(m *wire.ContentReport) { m.Contents[0].Changes[0].BeforeNext = 6 },
		"an event number far below 0": func(m *wire.ContentReport) { m.Contents[0].Changes[0].BeforeNext = 1 << 63 },
	}
	for name, invalidate := range rows {
		m := validReport()
		invalidate(m)
		data, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if r, err := decode(data); err == nil {
			t.Errorf("%s: the report is accepted: %+v", name, r)
		}
	}
	data, err := proto.Marshal(validReport())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decode(data); err != nil {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	messages, err := encode(manyReports())
	if err != nil {
		f.Fatal(err)
	}
	for _, data := range messages {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		reports, err := decode(data)
		if err != nil {
			return
		}
		for _, r := range reports {
			for _, c := range r.Changes {
				if c.Number < 0 || c.Number > r.Next || c.Tokens < 0 || c.Segment.ID == "" {
					t.Errorf("%+v", c)
				}
			}
		}
	})
}
