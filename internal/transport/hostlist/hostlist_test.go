package hostlist_test

import (
	"net/http/httptest"
	"testing"

	"github.com/juju/errors"

	"limpetwall/internal/transport/hostlist"
	"limpetwall/internal/transport/hostlist/hostlisttest"
	"limpetwall/internal/transport/hostlist/standin"
)

func newList(rows []hostlist.Host) *standin.List {
	l := standin.New(0)
	for _, h := range rows {
		l.Set(h)
	}
	return l
}

func TestStandinContract(t *testing.T) {
	hostlisttest.Run(t, func(_ *testing.T, rows []hostlist.Host) hostlist.List { return newList(rows) })
}

func TestClientContract(t *testing.T) {
	hostlisttest.Run(t, func(t *testing.T, rows []hostlist.Host) hostlist.List {
		server := httptest.NewServer(newList(rows).Handler())
		t.Cleanup(server.Close)
		return hostlist.NewClient(server.URL, server.Client())
	})
}

func TestClientUnavailable(t *testing.T) {
	server := httptest.NewServer(standin.New(0).Handler())
	server.Close()
	if _, err := hostlist.NewClient(server.URL, server.Client()).Hosts(t.Context()); !errors.Is(err, hostlist.ErrUnavailable) {
		t.Errorf("%v", err)
	}
}
