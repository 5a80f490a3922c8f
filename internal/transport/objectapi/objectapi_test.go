package objectapi_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/juju/errors"

	"limpetwall/internal/transport/fault"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/objectapi/objectapitest"
	"limpetwall/internal/transport/objectapi/standin"
)

func TestStandinContract(t *testing.T) {
	objectapitest.Run(t, func(*testing.T) objectapi.API { return standin.New() })
}

func TestClientContract(t *testing.T) {
	objectapitest.Run(t, func(t *testing.T) objectapi.API {
		server := httptest.NewServer(standin.New().Handler())
		t.Cleanup(server.Close)
		return objectapi.NewClient(server.URL, server.Client())
	})
}

// TestWriteErrorsTellWhetherTheWriteHappened breaks the connection at each stage.
//
// Callers of the port see "no effect" only where it is proven: no connection.
// Where the write took effect and its answer was lost, or the platform says 503,
// the outcome is unknown, and a later read settles it.
func TestWriteErrorsTellWhetherTheWriteHappened(t *testing.T) {
	store := standin.New()
	faults := fault.NewInjector()
	server := httptest.NewServer(faults.Wrap(store.Handler()))
	client := objectapi.NewClient(server.URL, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	rows := []struct {
		name    string
		arrange func()
		want    error
		stored  bool
	}{
		{"answer lost", func() { faults.Set(fault.Faults{LostAnswers: 1}) }, objectapi.ErrOutcomeUnknown, true},
		{"platform says 503", func() { faults.Set(fault.Faults{Down: true}) }, objectapi.ErrOutcomeUnknown, false},
		{"no connection", server.Close, objectapi.ErrUnavailable, false},
	}
	for _, row := range rows {
		row.arrange()
		_, err := client.Put(t.Context(), row.name, []byte("v"), 0)
		if !errors.Is(err, row.want) {
			t.Errorf("%s: %v, want %v", row.name, err, row.want)
		}
		if _, err := store.Get(t.Context(), row.name); (err == nil) != row.stored {
			t.Errorf("%s: stored %v", row.name, err == nil)
		}
	}
}
