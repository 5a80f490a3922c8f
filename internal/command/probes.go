package command

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/ingress"
)

// probeLimits are those of probes and readers of metrics, whose requests are small and have no bodies.
var probeLimits = routes.Limits{HeaderBytes: 8 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// newProbeServer returns a server for probes and readers of metrics.
func newProbeServer(handler http.Handler, log *zap.Logger, registry metrics.Registry) *ingress.Server {
	s := ingress.New(handler, ingress.Config{
		MaxHeaderBytes: int(probeLimits.HeaderBytes), MaxConns: maxProbeConns, Log: log, Metrics: registry,
	})
	s.SetLimits(probeLimits)
	return s
}
