package contextcache

import (
	"testing"

	"limpetwall/internal/state/residency"
)

// TestContextIsSavedInAllowedRegions guards against context that is saved in a region where its
// customer's requests may not be.
func TestContextIsSavedInAllowedRegions(t *testing.T) {
	for _, row := range []struct {
		regions []string
		want    string
	}{{[]string{"east"}, localAddress}, {[]string{"west"}, remoteAddress}, {[]string{"north"}, ""}} {
		tracker, _ := newTracker(t)
		tracker.Regions = map[string]string{"a": "east", "b": "west"}
		p := tracker.Plan(tracker.promptOf("s.1", testSegments), "context", "", 0, residency.Intersect(row.regions))
		if p.SaveTo[0] != row.want || p.SaveTo[1] != row.want {
			t.Errorf("allowed in %v: saved to %q, want %q", row.regions, p.SaveTo, row.want)
		}
	}
}
