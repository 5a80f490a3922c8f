package objectapi_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

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

// TestStoreComesBackOlder guards against a version that is given out twice, and against writes under one of an earlier era.
func TestStoreComesBackOlder(t *testing.T) {
	rows := []struct {
		name string
		open func(*testing.T, *standin.Store) objectapi.API
	}{
		{"in process", func(_ *testing.T, s *standin.Store) objectapi.API { return s }},
		{"over HTTP", func(t *testing.T, s *standin.Store) objectapi.API {
			server := httptest.NewServer(s.Handler())
			t.Cleanup(server.Close)
			return objectapi.NewClient(server.URL, server.Client())
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			store := standin.New()
			api, other := row.open(t, store), row.open(t, store)
			older := store.Copy()
			before, err := api.Put(t.Context(), "k", []byte("before"), 0)
			if err != nil {
				t.Fatal(err)
			}
			watched := make(chan objectapi.Object, 1)
			go func() {
				o, _ := api.Watch(t.Context(), "k", before.Version, time.Minute)
				watched <- o
			}()
			store.Restore(older)
			after, err := other.Put(t.Context(), "k", []byte("after"), 0)
			if err != nil || after.Version <= before.Version {
				t.Errorf("got version %d, %v after %d, want a higher one", after.Version, err, before.Version)
			}
			if _, err := api.Put(t.Context(), "k", []byte("late"), before.Version); err == nil {
				t.Error("a write under a version of the earlier era counts as done")
			}
			<-watched
			if o, err := api.Watch(t.Context(), "k", before.Version, time.Minute); err != nil || o.Version <= before.Version {
				t.Errorf("got %+v, %v from a watch of a version of the earlier era, want a newer object", o, err)
			}
			if err := api.Delete(t.Context(), "k", before.Version); !errors.Is(err, objectapi.ErrConflict) {
				t.Errorf("got %v from a delete under a version of the earlier era, want a conflict", err)
			}
			if era := api.Eras().Current(); era != 1 {
				t.Errorf("got era %d, want 1", era)
			}
		})
	}
}

// TestAnswersThatHoldNothing guards against a 200 without the fields that are due, which reads as an empty object or as a write
// that took effect at no version.
func TestAnswersThatHoldNothing(t *testing.T) {
	for _, answer := range []string{"", "{", "{}", "null", `{"key":"k","value":"YQ=="}`, `{"key":"k","version":7`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, answer) }))
		defer server.Close()
		client := objectapi.NewClient(server.URL, server.Client())
		if o, err := client.Get(t.Context(), "k"); !errors.Is(err, objectapi.ErrUnavailable) {
			t.Errorf("get, answer %q: got %+v, error %v; want ErrUnavailable", answer, o, err)
		}
		if o, err := client.Watch(t.Context(), "k", 7, time.Millisecond); !errors.Is(err, objectapi.ErrUnavailable) {
			t.Errorf("watch, answer %q: got %+v, error %v; want ErrUnavailable", answer, o, err)
		}
		for _, version := range []int64{0, 7} {
			if o, err := client.Put(t.Context(), "k", []byte("a"), version); !errors.Is(err, objectapi.ErrOutcomeUnknown) {
				t.Errorf("put at %d, answer %q: got version %d, error %v; want ErrOutcomeUnknown", version, answer, o.Version, err)
			}
		}
	}
}

// TestOddObjectOfList guards against an object of another writer that hides the others of its list.
func TestOddObjectOfList(t *testing.T) {
	deep := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
	for _, odd := range []string{`7`, `{"key":7}`, `{"key":"p/odd","more":` + deep + `}`, deep, `{"key":"p/odd","version":1e400}`, `{"key":"p/odd","version":-1}`,
		`{"key":"p/odd","version":9223372036854775807}`, `{"key":"p/odd","version":1,"value":"no base64!"}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `[{"key":"p/a","version":1,"value":"eA=="},%s,{"key":"p/b","version":2,"value":"eA=="}]`, odd)
		}))
		list, err := objectapi.NewClient(server.URL, server.Client()).List(t.Context(), "p/")
		server.Close()
		var keys []string
		for _, o := range list {
			keys = append(keys, o.Key)
		}
		if err != nil || !slices.Equal(keys, []string{"p/a", "p/b"}) {
			t.Errorf("%.60s: got %v, error %.200v; want p/a and p/b", odd, keys, err)
		}
	}
}
