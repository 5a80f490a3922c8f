package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/objectapi"
)

// TestEndpointReturnsToOlderWeights guards against an endpoint that a late order has taken back to older weights, and that all
// processes take for up to date until its end; and against late entries and reports that are taken for such a return.
func TestEndpointReturnsToOlderWeights(t *testing.T) {
	entry := func(s *State, revision objectapi.Revision, weights int64) {
		s.SetInstance(Instance{ID: "i", Revision: revision, Model: "m", Weights: weights})
	}
	laterEra, err := objectapi.NewRevision(1, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct {
		name   string
		happen func(s *State)
		want   int64
	}{
		{"a later entry", func(s *State) {
			entry(s, 2, 3)
			entry(s, 3, 2)
		}, 2},
		{"an entry of an older copy of the store", func(s *State) {
			entry(s, 2, 3)
			entry(s, laterEra, 2)
		}, 3},
		{"a late entry", func(s *State) {
			s.ObserveWeights("i", 3)
			entry(s, 2, 2)
		}, 3},
		{"reports for longer than they lag", func(s *State) {
			s.ObserveWeights("i", 3)
			for range 6 {
				s.ObserveReport("i", 2)
				time.Sleep(reportLag / 4)
			}
		}, 2},
		{"reports that lag", func(s *State) {
			s.ObserveWeights("i", 3)
			for range 3 {
				s.ObserveReport("i", 2)
				time.Sleep(reportLag / 4)
			}
			s.ObserveReport("i", 3)
			time.Sleep(reportLag)
			s.ObserveReport("i", 2)
		}, 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
			entry(s, 1, 1)
			row.happen(s)
			if i, _ := s.Instance("i"); i.Weights != row.want {
				t.Errorf("%s: got weights %d, want %d", row.name, i.Weights, row.want)
			}
		})
	}
}
