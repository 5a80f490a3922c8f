package discovery

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

// TestWallChangesAreReported guards against operators who can't tell why all customers' context is read again: the line names
// whose wall changed, and only such configurations are counted.
func TestWallChangesAreReported(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	s := NewState(fleet.Member{ID: "self"}, zap.New(core), time.Now(), func(*routes.Table) {})
	for i, customers := range [][]routes.Customer{
		{{Name: "a"}, {Name: "b", Isolated: true}, {Name: "d", Isolated: true}},
		{{Name: "a"}, {Name: "b", Isolated: true}, {Name: "c"}, {Name: "d", Isolated: true}},
		{{Name: "a", Isolated: true}, {Name: "b"}, {Name: "c"}},
	} {
		s.SetRoutes(routes.New(uint64(i+1), uint64(i+1), nil, nil, customers, routes.Limits{}))
	}
	changes := lines.FilterMessage("walls between customers changed").All()
	if len(changes) != 1 || s.WallChanges() != 1 || s.IsolatedCustomers() != 1 {
		t.Fatalf("got %d lines, %d changes and %d isolated, want one of each", len(changes), s.WallChanges(), s.IsolatedCustomers())
	}
	fields := changes[0].ContextMap()
	if fields["isolated"] != "a" || fields["shared_again"] != "b" || fields["deleted"] != "d" || fields["sharing_group"] == fields["before"] {
		t.Errorf("got %v", fields)
	}
}
