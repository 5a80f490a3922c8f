package routing

import (
	"fmt"
	"slices"
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

// TestLimitedSoftwareVersions guards against a stream that begins at a software version that it may not, and against one that is refused
// in a large fleet because the few endpoints where it may are not among the candidates.
func TestLimitedSoftwareVersions(t *testing.T) {
	for _, size := range []int{3, 29, 940} {
		for _, allowed := range [][]string{nil, {"v1"}, {"v2"}, {"v1", "v2"}} {
			t.Run(fmt.Sprintf("%d endpoints, %v", size, allowed), func(t *testing.T) {
				endpoints, random, chosen := newEndpoints(size), newRandom(), map[string]int{}
				for i := range endpoints {
					endpoints[i].Endpoint.SoftwareVersion = "v1"
				}
				endpoints[7%size].Endpoint.SoftwareVersion = "v2"
				endpoints[5%size].Endpoint.SoftwareVersion = "v3"
				for range 200 {
					r := newRequest()
					r.SoftwareLimited, r.SoftwareVersions = true, allowed
					d := Decide(endpoints, r, random)
					if d.Endpoint == nil {
						if allowed != nil || d.Refusal != RefusalNoneUsable {
							t.Fatalf("refused for %q, want an endpoint if a version is allowed", d.Refusal)
						}
						continue
					}
					if chosen[d.Endpoint.Endpoint.SoftwareVersion]++; !slices.Contains(allowed, d.Endpoint.Endpoint.SoftwareVersion) {
						t.Fatalf("got an endpoint of version %q", d.Endpoint.Endpoint.SoftwareVersion)
					}
				}
				if len(allowed) > 0 && chosen[allowed[0]] == 0 {
					t.Errorf("got %v, want endpoints of %s", chosen, allowed[0])
				}
			})
		}
	}
}
