package fleet

import "testing"

func TestIncarnations(t *testing.T) {
	first, second, untold := Incarnation{"i", 100}, Incarnation{"i", 200}, Incarnation{"i", 0}
	for _, row := range []struct {
		a, b   Incarnation
		before bool
	}{
		{first, second, true}, {second, first, false}, {first, first, false},
		{untold, first, false}, {first, untold, false}, {first, Incarnation{"j", 200}, false},
	} {
		if row.a.Before(row.b) != row.before {
			t.Errorf("%+v before %+v: %v", row.a, row.b, !row.before)
		}
	}
	seen := map[uint64]Incarnation{}
	for _, i := range []Incarnation{first, second, untold, {"j", 100}} {
		if other, twice := seen[i.Hash()]; twice {
			t.Errorf("%+v and %+v have the same hash", i, other)
		}
		seen[i.Hash()] = i
	}
}
