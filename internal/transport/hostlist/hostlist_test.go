package hostlist_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
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

// TestOddRowOfHostList guards against a row that can't be read and hides all hosts.
func TestOddRowOfHostList(t *testing.T) {
	deep := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
	for _, odd := range []string{`7`, `null`, `{"id":7}`, `{"id":"odd","more":` + deep + `}`, deep, `{"id":"odd","state":{"x":1e400}}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `[{"id":"a","address":"10.0.0.1:1"},%s,{"id":"b","address":"10.0.0.2:1"}]`, odd)
		}))
		hosts, err := hostlist.NewClient(server.URL, server.Client()).Hosts(t.Context())
		server.Close()
		var ids []string
		for _, h := range hosts {
			if h.ID != "" {
				ids = append(ids, h.ID)
			}
		}
		if err != nil || !slices.Equal(ids, []string{"a", "b"}) {
			t.Errorf("%.60s: got %v, error %.200v; want a and b", odd, ids, err)
		}
	}
}
