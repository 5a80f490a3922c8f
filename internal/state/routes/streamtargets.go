package routes

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// StreamTargets returns the fingerprint of where resumable streams are led: the hosts and prefixes of their routes, and the services
// of each. It is never 0.
func (t *Table) StreamTargets() uint64 { return t.streamTargets }

func fingerprintOf(list []Route) uint64 {
	var entries []string
	for i := range list {
		r := &list[i]
		if r.Kind != Streaming || !r.Resumable {
			continue
		}
		var services []string
		for _, target := range r.Targets {
			services = append(services, target.Service)
		}
		slices.Sort(services)
		fields := append([]string{strings.ToLower(r.Host), r.Prefix}, slices.Compact(services)...)
		entries = append(entries, strings.Join(fields, "\x00"))
	}
	slices.Sort(entries)
	return max(1, xxhash.Sum64String(strings.Join(entries, "\x01")))
}
