package routing

import (
	"testing"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
)

// TestEvacuatedDomain guards against requests to the endpoints of a failure domain that operators of
// the product's own interface have evacuated.
func TestEvacuatedDomain(t *testing.T) {
	d, table := newDirectory(t, 2)
	m, _ := table.Get("e0")
	m.Version, m.Domain = 2, "out"
	table.Merge(m, epoch)
	evacuation := config.Ref{Kind: config.KindEvacuation, ID: "out"}
	usable := func() []fleet.Member { return d.UsableMembers("s", epoch) }
	d.store.Apply(config.Change{Revision: 2, Puts: []config.Document{{Ref: evacuation, Spec: []byte(`{}`)}}})
	if got := usable(); len(got) != 1 || got[0].ID != "e1" {
		t.Errorf("usable during the evacuation: %+v", got)
	}
	d.store.Apply(config.Change{Revision: 3, Deletes: []config.Ref{evacuation}})
	if got := usable(); len(got) != 2 {
		t.Errorf("usable after it: %+v", got)
	}
}
