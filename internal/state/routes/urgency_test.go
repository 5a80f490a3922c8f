package routes

import (
	"testing"
	"time"
)

func prioritized(name string, priority int, objective time.Duration) Route {
	return Route{Name: name, Host: "h", Prefix: "/" + name + "/", Priority: priority, Objective: objective, Targets: []Target{{"s", 1}}}
}

// TestUrgencyOrder lists requests from the most urgent to the least: customers' priorities come first, and the route's
// priority orders the requests of customers with the same one.
func TestUrgencyOrder(t *testing.T) {
	urgent, middle, patient := prioritized("urgent", 0, 0), prioritized("middle", 1, 0), prioritized("patient", 2, 0)
	all := []Route{urgent, middle, patient}
	customer := func(priority int) *Customer { return &Customer{Priority: priority, HasPriority: true} }
	type request struct {
		customer *Customer
		route    *Route
	}
	for _, row := range []struct {
		name      string
		customers []Customer
		order     []request
	}{
		{"no keys", nil, []request{{nil, &urgent}, {nil, &middle}, {nil, &patient}}},
		{"customers without a priority", []Customer{{}}, []request{{&Customer{}, &urgent}, {&Customer{}, &middle}, {&Customer{}, &patient}}},
		{"all customers alike", []Customer{*customer(1), *customer(1)}, []request{{customer(1), &urgent}, {customer(1), &middle}, {customer(1), &patient}}},
		{"customers differ", []Customer{*customer(1), *customer(0)}, []request{
			{customer(0), &urgent}, {customer(0), &middle}, {customer(0), &patient}, {customer(1), &urgent}, {customer(1), &middle}, {customer(1), &patient},
		}},
		{"some without a priority", []Customer{*customer(1), {}}, []request{
			{&Customer{}, &urgent}, {customer(1), &urgent}, {&Customer{}, &middle}, {customer(1), &patient}, {&Customer{}, &patient},
		}},
	} {
		x := New(1, 1, all, nil, row.customers, Limits{})
		last := Urgency{Level: -1, Rank: -1}
		for i, r := range row.order {
			got := x.Urgency(r.customer, r.route, "s")
			if got.Level < last.Level || got.Rank <= last.Rank && got != last {
				t.Errorf("%s: request %d has urgency %+v, want less urgent than %+v", row.name, i, got, last)
			}
			if got.Level < 0 || got.Level > MaxUrgencyLevel || got.Rank < 0 || got.Rank > 1 {
				t.Errorf("%s: request %d has urgency %+v, beyond the scale", row.name, i, got)
			}
			last = got
		}
		if first := x.Urgency(row.order[0].customer, row.order[0].route, "s"); first.Level != 0 || first.Rank != 0 {
			t.Errorf("%s: the most urgent request has urgency %+v, want 0", row.name, first)
		}
		if last.Rank != 1 {
			t.Errorf("%s: the least urgent request has rank %g, want 1", row.name, last.Rank)
		}
	}
}

// TestUrgencyBounds checks priorities that a table can't order: many of them, and those of customers that it lacks.
func TestUrgencyBounds(t *testing.T) {
	var list []Route
	var customers []Customer
	for i := range 12 {
		list = append(list, prioritized(string(rune('a'+i)), i, 0))
		customers = append(customers, Customer{HasPriority: true, Priority: 10 * i})
	}
	x := New(1, 1, list, nil, customers, Limits{})
	if got := x.Urgency(&customers[11], &list[11], "s"); got.Level != MaxUrgencyLevel || got.Rank != 1 {
		t.Errorf("least urgent of 144: got %+v", got)
	}
	for priority, want := range map[int]float64{-3: 0, 999: 1} {
		r := &list[0]
		if priority > 0 {
			r = &list[11]
		}
		if got := x.Urgency(&Customer{HasPriority: true, Priority: priority}, r, "s"); got.Rank != want {
			t.Errorf("customer's priority %d beyond the table's: got rank %g, want %g", priority, got.Rank, want)
		}
	}
	if got := x.Urgency(nil, &list[3], "unknown"); got.Level != 0 || got.Rank != 0 {
		t.Errorf("a service without routes: got %+v, want the most urgent", got)
	}
}

func TestStrictestObjective(t *testing.T) {
	list := []Route{prioritized("urgent", 0, 400*time.Millisecond), prioritized("same", 0, 900*time.Millisecond), prioritized("none", 1, 0), prioritized("patient", 2, 1200*time.Millisecond)}
	x := New(1, 1, list, nil, nil, Limits{})
	for i := range list {
		if got := x.Urgency(nil, &list[i], "s").StrictestObjective; got != 400*time.Millisecond {
			t.Errorf("route %s: got %s, want that of the most urgent route", list[i].Name, got)
		}
	}
	list = []Route{prioritized("urgent", 0, 0), prioritized("patient", 2, 1200*time.Millisecond)}
	x = New(1, 1, list, nil, nil, Limits{})
	for i, want := range []time.Duration{0, 1200 * time.Millisecond} {
		if got := x.Urgency(nil, &list[i], "s").StrictestObjective; got != want {
			t.Errorf("route %s: got %s, want %s", list[i].Name, got, want)
		}
	}
}
