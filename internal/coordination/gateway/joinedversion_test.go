package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/routes"
)

// TestStreamOfUnlistedVersionIsNotGone guards against a final refusal by a gateway that has learned of a software version from another one,
// and whose list of endpoints is older.
func TestStreamOfUnlistedVersionIsNotGone(t *testing.T) {
	rows := []struct {
		name string
		// listAge is for how long there has been no answer for endpoints when the origin becomes known.
		listAge time.Duration
	}{
		{"the list is as old as the wait of a watch", 2 * time.Second},
		{"the list is just recent enough", configStaleAfter - 500*time.Millisecond},
		{"the list is outdated", configStaleAfter + time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newVersionedServer(t, "v1")
			s.gateway.Watcher.RecordAnswer(time.Now().Add(-row.listAge))
			s.begun("first", "s", "v2")
			checkNotFinal(t, s)
		})
	}
}

// checkNotFinal takes a stream up whose endpoints may have joined, and fails the test unless the caller is told to come back.
func checkNotFinal(t *testing.T, s *testServer) {
	t.Helper()
	silent := func(context.Context) error { return errors.New("no answer") }
	s.gateway.ConfirmEndpoints, s.gateway.ConfirmRoutes = silent, silent
	resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerResumes+": first", headerLastEvent+": 1"))
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || strings.Contains(body, apierror.CodeStreamVersionGone) || resp.Header.Get("Retry-After") == "" || s.requestCount() > 0 {
		t.Errorf("got %d %s, Retry-After %q, after %d requests; want a refusal with a time to come back, and none", resp.StatusCode, body, resp.Header.Get("Retry-After"), s.requestCount())
	}
}

// TestStreamOfUnknownTargetIsNotGone guards against a final refusal by a gateway that has learned of a stream from another one, and whose
// configuration is older: the route may lead to the stream's service now.
func TestStreamOfUnknownTargetIsNotGone(t *testing.T) {
	for _, age := range []time.Duration{2 * time.Second, configStaleAfter + time.Second} {
		t.Run("the configuration was confirmed "+age.String()+" ago", func(t *testing.T) {
			s := newVersionedServer(t, "v1")
			list := singleRoute(routes.Streaming, 2)
			list[0].Resumable = true
			s.gateway.State.SetRoutes(routes.New(2, 50, list, []routes.Service{{Name: "s"}, {Name: "later"}},
				[]routes.Customer{{Name: "club", Keys: []string{"key"}}}, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
			s.gateway.Watcher.RecordAnswer(time.Now().Add(-age))
			s.begun("first", "later", "v1")
			checkNotFinal(t, s)
		})
	}
}
