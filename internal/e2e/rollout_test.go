package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"limpetwall/internal/transport/engine/standin"
)

const rolloutRequest = `{"put":[{"kind":"intent","id":"describe","spec":{"service":"describe","labels":{"pool":"models"},"model":"toy",
 "weight_version":%q,"also_versions":[%q],"orders":true,"min_endpoints":2}}]}`

// TestRolloutKeepsServing moves three engines to new weights while callers call.
//
// An operator confirms an intent that names v2 and still accepts v1. The entries'
// lease holder orders one engine after the other, since two must stay; every
// caller is served by either version, each answer by one of them alone. Then the
// entry that holds the lease dies in the middle of the way back to v1, and the
// other entry finishes it.
func TestRolloutKeepsServing(t *testing.T) {
	s := newSite(t)
	s.streamSite(3, "-token-time", "0s", "-prefill-rate", "0", "-load-time", "300ms")
	s.entry("entry-2", "domain-a")
	s.eventually("entry-2 knows the engines", func() bool { return s.modelsKnown("entry-2") == 3 })
	right := map[string]bool{}
	for _, version := range []string{"v1", "v2"} {
		right[strings.Join(standin.Answer("chair", version, 7, 6), "")] = true
	}
	call := func(entry string) {
		a := s.do(http.MethodPost, s.url(entry, "/v1/completions"), customerKey, nil, completionBody("chair", 6))
		if text, whole := streamedText(a.body); a.status != http.StatusOK || !whole || !right[text] {
			t.Fatalf("%d whole %v %q", a.status, whole, a.body)
		}
	}
	serving := func(entry, version string) int {
		status := s.try(http.MethodGet, s.url(entry, "/v1/status"), operatorKey, nil, "").body
		return strings.Count(status, fmt.Sprintf(`"weight_version":%q`, version))
	}
	if verdict := s.apply("entry-1", fmt.Sprintf(rolloutRequest, "v2", "v1")); !strings.Contains(verdict, `"applied"`) {
		t.Fatal(verdict)
	}
	s.eventually("all engines serve v2", func() bool { call("entry-1"); return serving("entry-1", "v2") == 3 })

	if verdict := s.apply("entry-1", fmt.Sprintf(rolloutRequest, "v1", "v2")); !strings.Contains(verdict, `"applied"`) {
		t.Fatal(verdict)
	}
	s.eventually("one engine is back at v1", func() bool { call("entry-1"); return serving("entry-1", "v1") >= 1 })
	holder, other := "entry-1", "entry-2"
	if strings.Contains(s.procs["entry-2"].lines(), `"msg":"order"`) {
		holder, other = other, holder
	}
	s.kill(holder)
	s.eventually("the other entry finishes", func() bool { call(other); return serving(other, "v1") == 3 })
}
