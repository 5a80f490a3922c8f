package gateway

import (
	"fmt"
	"testing"
)

// TestRequestSizes checks that each route has its own mean, and that the number of routes remembered is bounded.
func TestRequestSizes(t *testing.T) {
	var s requestSizes
	for range 1000 {
		s.observe("large", 20_000)
		s.observe("small", 100)
		s.observe("mixed", 1000)
		s.observe("mixed", 3000)
	}
	for route, want := range map[string]int{"large": 20_000, "small": 100, "mixed": 2000} {
		if got := s.observe(route, want); got < want*9/10 || got > want*11/10 {
			t.Errorf("%s: got a mean of %d, want about %d", route, got, want)
		}
	}
	for i := range 3 * maxRoutes {
		s.observe(fmt.Sprint("r", i), 1)
	}
	if len(s.means) > maxRoutes {
		t.Errorf("got %d routes, want at most maxRoutes", len(s.means))
	}
}
