package routing

import (
	"fmt"
	"testing"
)

// TestPinnedSoftwareVersion guards against a stream that another software version goes on with, and against one that is
// refused in a large fleet because the few endpoints of its version are not among the candidates.
func TestPinnedSoftwareVersion(t *testing.T) {
	for _, size := range []int{3, 29, 940} {
		for _, ofVersion := range []int{0, 1, 2, size / 2} {
			t.Run(fmt.Sprintf("%d of %d endpoints", ofVersion, size), func(t *testing.T) {
				endpoints, random, chosen := newEndpoints(size), newRandom(), map[string]int{}
				for i := range ofVersion {
					endpoints[(7+i*5)%size].Endpoint.SoftwareVersion = "old"
				}
				for range 200 {
					r := newRequest()
					r.SoftwarePinned, r.SoftwareVersion = true, "old"
					d := Decide(endpoints, r, random)
					switch {
					case d.Endpoint == nil && (ofVersion > 0 || d.Refusal != RefusalNoneUsable):
						t.Fatalf("refused for %q, want an endpoint if there is one of the version", d.Refusal)
					case d.Endpoint != nil && d.Endpoint.Endpoint.SoftwareVersion != "old":
						t.Fatalf("got an endpoint of version %q", d.Endpoint.Endpoint.SoftwareVersion)
					case d.Endpoint != nil:
						chosen[d.Endpoint.ID]++
					}
				}
				if want := min(ofVersion, 2); len(chosen) < want {
					t.Errorf("%d endpoints were chosen, want %d or more", len(chosen), want)
				}
			})
		}
	}
}
