// Package hostlisttest contains the tests that every implementation of
// hostlist.List must pass.
package hostlisttest

import (
	"testing"

	"limpetwall/internal/transport/hostlist"
)

// Run runs the tests. open returns a list that contains rows.
func Run(t *testing.T, open func(t *testing.T, rows []hostlist.Host) hostlist.List) {
	rows := []hostlist.Host{
		{ID: "h2", Domain: "b", State: hostlist.Leaving, Address: "127.0.0.2:1"},
		{ID: "h1", Domain: "a", State: hostlist.Live, Address: "127.0.0.1:1"},
	}
	got, err := open(t, rows).Hosts(t.Context())
	if err != nil || len(got) != 2 || got[0] != rows[1] || got[1] != rows[0] {
		t.Errorf("got hosts %+v, error %v; want h1 and h2 in this order", got, err)
	}
	empty, err := open(t, nil).Hosts(t.Context())
	if err != nil || len(empty) != 0 {
		t.Errorf("empty list: got hosts %+v, error %v; want none", empty, err)
	}
}
