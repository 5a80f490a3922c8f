// Package plainservicetest is the contract that every implementation of the
// plain service port must pass.
package plainservicetest

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"

	"limpetwall/internal/transport/plainservice"
)

// Run runs the contract. service reaches a server that handler serves; broken
// reaches one whose connection breaks after it has read the request; absent
// reaches none.
func Run(t *testing.T, open func(handler http.Handler) plainservice.Service, absent plainservice.Service) {
	t.Run("method, path, headers, body and status pass unchanged", func(t *testing.T) { passes(t, open) })
	t.Run("a broken answer is unknown and not repeated", func(t *testing.T) { broken(t, open) })
	t.Run("without a connection nothing ran", func(t *testing.T) {
		if _, err := absent.Call(t.Context(), plainservice.Call{Method: "POST", Path: "/"}); !errors.Is(err, plainservice.ErrNotSent) {
			t.Errorf("%v", err)
		}
	})
}

func passes(t *testing.T, open func(http.Handler) plainservice.Service) {
	service := open(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", strings.Join([]string{r.Method, r.RequestURI, r.Header.Get("X-A"), string(body), r.Header.Get(plainservice.RequestIDHeader)}, "|"))
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusSeeOther)
		io.WriteString(w, "answer")
	}))
	a, err := service.Call(t.Context(), plainservice.Call{
		RequestID: "id", Method: "PATCH", Path: "/a%2Fb?q=1", Headers: http.Header{"X-A": {"1"}}, Body: []byte("body"),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	body, _ := io.ReadAll(a.Body)
	if a.Status != http.StatusSeeOther || string(body) != "answer" || a.Headers.Get("X-Seen") != "PATCH|/a%2Fb?q=1|1|body|id" {
		t.Errorf("%d %q %q", a.Status, body, a.Headers.Get("X-Seen"))
	}
}

func broken(t *testing.T, open func(http.Handler) plainservice.Service) {
	calls := make(chan struct{}, 8)
	service := open(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.ReadAll(r.Body)
		calls <- struct{}{}
		panic(http.ErrAbortHandler)
	}))
	for range 3 {
		if _, err := service.Call(t.Context(), plainservice.Call{Method: "GET", Path: "/"}); !errors.Is(err, plainservice.ErrOutcomeUnknown) {
			t.Errorf("%v", err)
		}
	}
	if len(calls) != 3 {
		t.Errorf("%d executions of 3 calls", len(calls))
	}
}
