// Package residency decides in which regions a request and its context may be.
package residency

import "slices"

// Rule is the set of regions that are allowed. The zero Rule allows all.
type Rule struct {
	limited bool
	regions []string
}

// Intersect returns the rule that allows what all lists allow. An empty list sets no limit.
func Intersect(lists ...[]string) Rule {
	var r Rule
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !r.limited:
			r = Rule{limited: true, regions: list}
		default:
			r.regions = intersection(r.regions, list)
		}
	}
	return r
}

func intersection(a, b []string) []string {
	var out []string
	for _, region := range a {
		if slices.Contains(b, region) {
			out = append(out, region)
		}
	}
	return out
}

// Allows reports whether a region is allowed. A region that is not known has no name and is
// allowed only without a limit.
func (r Rule) Allows(region string) bool {
	return !r.limited || slices.Contains(r.regions, region)
}

// AllowsNone reports whether no region at all is allowed.
func (r Rule) AllowsNone() bool { return r.limited && len(r.regions) == 0 }
