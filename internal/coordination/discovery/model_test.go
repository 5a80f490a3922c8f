package discovery

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

// TestEntryWithoutModel guards against prompts without a version to run on and without a context of their own, which are sent to
// an endpoint whose entry another writer has left without its model; and against such weights that are never outdated.
func TestEntryWithoutModel(t *testing.T) {
	table := func(models ...string) *routes.Table {
		return routes.New(1, 1, nil, []routes.Service{{Name: "s", Engine: &routes.Engine{Models: models}}}, nil, routes.Limits{})
	}
	whole := Instance{ID: "i", Revision: 1, Service: "s", Model: "m", Weights: 1}
	bare := Instance{ID: "i", Revision: 2, Service: "s"}
	for _, row := range []struct {
		name   string
		happen func(s *State)
		want   bool
		// isKnown is set if the model and the weights must be known in the end.
		isKnown bool
	}{
		{"the first entry known", func(s *State) {
			s.SetRoutes(table("m"))
			s.SetInstance(bare)
		}, false, false},
		{"known before the configuration", func(s *State) {
			s.SetInstance(bare)
			s.SetRoutes(table("m"))
		}, false, false},
		{"the endpoint's own entry follows", func(s *State) {
			s.SetRoutes(table("m"))
			s.SetInstance(bare)
			again := whole
			again.Revision = 3
			s.SetInstance(again)
		}, true, true},
		{"the model is known from before", func(s *State) {
			s.SetRoutes(table("m"))
			s.SetInstance(whole)
			s.SetInstance(bare)
		}, true, true},
		{"known from before, and outdated", func(s *State) {
			s.RetireAfter = time.Nanosecond
			s.SetRoutes(table("m"))
			s.SetInstance(whole)
			s.SetInstance(bare)
			s.SetTarget(TargetWeights{Model: "m", Version: 2, MayBeOlder: true})
			s.RetireOutdated()
		}, false, true},
		{"a service without models", func(s *State) {
			s.SetRoutes(table())
			s.SetInstance(bare)
		}, true, false},
	} {
		s := NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
		row.happen(s)
		if m, _ := s.Table.Get("i"); m.Endpoint.Loading == row.want {
			t.Errorf("%s: got use of the endpoint %v, want %v", row.name, !m.Endpoint.Loading, row.want)
		}
		if m, _ := s.Table.Get("i"); row.isKnown && (m.Endpoint.Model != "m" || m.Endpoint.WeightVersion != "1") {
			t.Errorf("%s: got model %q, weights %q, want m, 1", row.name, m.Endpoint.Model, m.Endpoint.WeightVersion)
		}
	}
}

// TestEndpointsAwaitTargetWeights guards against prompts that a process sends on weights replaced long ago, when it has just
// started and knows the endpoints, but not yet which weights are named.
func TestEndpointsAwaitTargetWeights(t *testing.T) {
	s := NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
	s.AwaitsWeights = true
	s.SetInstance(Instance{ID: "engine", Revision: 1, Service: "s", Address: "10.0.0.1:1", Model: "m", Weights: 1})
	s.SetInstance(Instance{ID: "plain", Revision: 2, Service: "p", Address: "10.0.0.1:2"})
	isUsed := func(id string) bool {
		m, _ := s.Table.Get(id)
		return !m.Endpoint.Loading
	}
	if isUsed("engine") || !isUsed("plain") {
		t.Errorf("got use of the engine %v, of the plain endpoint %v, want only the latter", isUsed("engine"), isUsed("plain"))
	}
	changed := s.NamingsChanged()
	s.ConfirmWeights(time.Now(), 0)
	<-changed
	s.RetireOutdated()
	if !isUsed("engine") {
		t.Error("the engine is not used once the store has answered for weights")
	}
}
