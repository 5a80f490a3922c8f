package plan

import (
	"fmt"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
)

// maxLoadFactor is how many times its usual requests an endpoint may get during an evacuation
// without a warning.
const maxLoadFactor = 1.25

// evacuationWarnings returns a warning for each service whose endpoints outside an evacuated domain
// will have much more to do, or that has no endpoint left.
func evacuationWarnings(after *config.View, members []fleet.Member, domain string) []string {
	var out []string
	known := false
	for service, intents := range after.Intents {
		left, evacuated := 0, 0
		for _, m := range members {
			known = known || m.Domain == domain
			switch {
			case !isUsableByAny(intents, m):
			case m.Domain == domain:
				evacuated++
			case after.Evacuations[m.Domain] == nil:
				left++
			}
		}
		switch {
		case evacuated == 0:
		case left == 0:
			out = append(out, fmt.Sprintf("the evacuation of %s leaves service %s no endpoint, its requests will be refused", domain, service))
		case float64(left+evacuated) > maxLoadFactor*float64(left):
			out = append(out, fmt.Sprintf("the evacuation of %s leaves service %s %d of %d endpoints; contexts in the memory of the others are computed again or imported from stores",
				domain, service, left, left+evacuated))
		}
	}
	if !known {
		out = append(out, fmt.Sprintf("no member of the fleet is in failure domain %s", domain))
	}
	return out
}

func isUsableByAny(intents []*config.Intent, m fleet.Member) bool {
	for _, i := range intents {
		if IsUsable(i, m) {
			return true
		}
	}
	return false
}
