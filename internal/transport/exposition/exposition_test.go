package exposition_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"limpetwall/internal/transport/exposition"
)

func TestHandler(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("entry.errors.no_endpoint", registry).Inc(3)
	metrics.GetOrRegisterGauge("config.revision", registry).Update(7)
	metrics.GetOrRegisterTimer("entry.request", registry).Update(2 * time.Second)
	w := httptest.NewRecorder()
	exposition.Handler(registry).ServeHTTP(w, httptest.NewRequest("GET", "/metrics/prometheus", nil))
	for _, line := range []string{
		"limpetwall_entry_errors_no_endpoint_total 3", "limpetwall_config_revision 7",
		`limpetwall_entry_request_seconds{quantile="0.95"} 2`, "limpetwall_entry_request_seconds_count 1",
	} {
		if !strings.Contains(w.Body.String(), line+"\n") {
			t.Errorf("want line %q, got:\n%s", line, w.Body.String())
		}
	}
}
