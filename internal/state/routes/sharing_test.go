package routes

import (
	"slices"
	"testing"
)

// tableOf returns a table of customers: an upper-case name is isolated, one with "?" can't be read.
func tableOf(version uint64, names ...string) *Table {
	var customers []Customer
	for _, name := range names {
		c := Customer{Name: name, Keys: []string{"key-" + name}}
		switch {
		case name[len(name)-1] == '?':
			c = Customer{Name: name[:len(name)-1], Unreadable: true}
		case name[0] < 'a':
			c.Name, c.Isolated = string(name[0]+'a'-'A')+name[1:], true
		}
		customers = append(customers, c)
	}
	return New(version, version, nil, nil, customers, Limits{})
}

// TestSharingGroupFollowsWalls guards against context that a customer made before it was isolated and that others go on
// using, and against context that is lost although no wall has changed.
func TestSharingGroupFollowsWalls(t *testing.T) {
	for _, row := range []struct {
		name          string
		before, after *Table
		kept          bool
	}{
		{"nothing changes", tableOf(1, "a", "B", "c"), tableOf(2, "a", "B", "c"), true},
		{"another order", tableOf(1, "a", "B", "C"), tableOf(2, "C", "a", "B"), true},
		{"a shared customer joins", tableOf(1, "a", "B"), tableOf(2, "a", "B", "c"), true},
		{"a shared customer leaves", tableOf(1, "a", "B", "c"), tableOf(2, "a", "B"), true},
		{"isolated", tableOf(1, "a", "b"), tableOf(2, "a", "B"), false},
		{"shared again", tableOf(1, "a", "B"), tableOf(2, "a", "b"), false},
		{"one isolated as another is shared", tableOf(1, "a", "B", "c"), tableOf(2, "a", "b", "C"), false},
		{"isolated, shared and isolated once more", tableOf(1, "a", "B"), tableOf(3, "a", "B"), true},
		{"a name of two parts", tableOf(1, "x", "Ab", "C"), tableOf(2, "x", "A", "Bc"), false},
		{"a customer that can't be read", tableOf(1, "a", "b"), tableOf(2, "a", "b?"), false},
		{"a customer that could be read before", tableOf(1, "a", "b"), tableOf(2, "a", "b?").Completed(tableOf(1, "a", "b")), true},
		{"a customer whose name can't be read", tableOf(1, "a", "?"), tableOf(2, "a", "?"), false},
	} {
		if kept := row.before.SharingGroup(nil) == row.after.SharingGroup(nil); kept != row.kept {
			t.Errorf("%s: got the group kept %v, want %v", row.name, kept, row.kept)
		}
	}
	if got := tableOf(1, "a", "b").SharingGroup(&Customer{Name: "a"}); got != "shared" {
		t.Errorf("got group %q where none is isolated, want that of earlier releases", got)
	}
}

// TestIsolatedCustomersShareWithNone guards against customers without a wall between them: ones without a name, and ones of
// which another entry of the same name is isolated.
func TestIsolatedCustomersShareWithNone(t *testing.T) {
	customers := []Customer{
		{Name: "a", Isolated: true, Keys: []string{"1"}}, {Name: "b", Isolated: true, Keys: []string{"2"}}, {Name: "c", Keys: []string{"3"}},
		{Isolated: true, Keys: []string{"4"}}, {Isolated: true, Keys: []string{"5"}}, {Isolated: true, Keys: []string{"67"}}, {Isolated: true, Keys: []string{"6", "7"}},
		{Name: "shared", Isolated: true, Keys: []string{"8"}},
	}
	table := New(1, 1, nil, nil, customers, Limits{})
	groups := map[string]bool{}
	for i := range customers {
		groups[table.SharingGroup(&customers[i])] = true
	}
	if len(groups) != len(customers) {
		t.Errorf("got %d groups of %d customers: %v", len(groups), len(customers), groups)
	}
	if got := table.SharingGroup(&Customer{Name: "a"}); got != "customer a" {
		t.Errorf("another entry of an isolated customer: got group %q", got)
	}
	if got := tableOf(2, "a").SharingGroup(&customers[0]); got != "customer a" {
		t.Errorf("a request of a customer that was isolated when it began: got group %q", got)
	}
	if table.SharingGroup(nil) != table.SharingGroup(&customers[2]) {
		t.Error("callers without a key share with none, want with all that are not isolated")
	}
}

// TestWallsChanged guards against operators who are told of the wrong walls.
func TestWallsChanged(t *testing.T) {
	isolated, shared, deleted := tableOf(2, "a", "B", "c", "D").WallsChanged(tableOf(1, "A", "b", "c", "D", "E", "f"))
	if !slices.Equal(isolated, []string{"b"}) || !slices.Equal(shared, []string{"a"}) || !slices.Equal(deleted, []string{"e"}) {
		t.Errorf("got isolated %v, shared again %v and deleted %v, want b, a and e", isolated, shared, deleted)
	}
}
