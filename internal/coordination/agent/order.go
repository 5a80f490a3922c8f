package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/engine"
)

// loadTimeout bounds one load of weights.
const loadTimeout = 30 * time.Minute

// Order implements wire.AgentServer. The agent is the only way to its engine, so
// it checks the fencing number also for engines that ignore it. The floor is the
// highest number it has learned: from orders, from the engine, or from the fleet, which
// it joined before it took its first call; that holds after a restart and through
// an outage of the platform.
func (a *Agent) Order(_ context.Context, r *wire.OrderRequest) (*wire.OrderResponse, error) {
	a.orders.Lock()
	defer a.orders.Unlock()
	refuse := func(reason string) (*wire.OrderResponse, error) {
		return &wire.OrderResponse{Reason: reason, Fence: a.node.Fence()}, nil
	}
	self := a.node.Table().Self()
	switch {
	case a.engine == nil:
		return refuse("the endpoint is no engine")
	case r.GetWantIncarnation() != a.ledger.Incarnation():
		return refuse("the agent restarted")
	case r.GetFence() < a.fenceFloor():
		return refuse("the fencing number is old")
	case a.leaving():
		return refuse("the endpoint is leaving")
	case self.Endpoint.Loading:
		return refuse("an order is underway")
	}
	a.node.RaiseFence(r.GetFence())
	a.setLoading(true, "", r.GetRevision())
	a.inflight.begin()
	go func() {
		defer a.inflight.end()
		a.loadWeights(r)
	}()
	return &wire.OrderResponse{Accepted: true, Fence: r.GetFence()}, nil
}

func (a *Agent) fenceFloor() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.node.Fence(), a.status.Fence)
}

// loadWeights carries out an order. The fleet learns of its end and its failure
// through this member's row.
func (a *Agent) loadWeights(r *wire.OrderRequest) {
	ctx, cancel := context.WithTimeout(a.base, loadTimeout)
	defer cancel()
	order := engine.Order{
		Fence: r.GetFence(), Model: r.GetModel(), WeightVersion: r.GetWeightVersion(), Adapter: r.GetAdapter(), Role: r.GetRole(),
	}
	err := a.engine.Order(ctx, order)
	a.readStatus(ctx)
	failure := ""
	if served := a.node.Table().Self().Endpoint; err != nil {
		failure = err.Error()
	} else if served.WeightVersion != order.WeightVersion || served.Model != order.Model {
		failure = "the engine serves " + served.Model + " " + served.WeightVersion + " after the order"
	}
	a.zap.Info("order carried out", zap.String("weight_version", order.WeightVersion), zap.String("failure", failure))
	a.setLoading(false, failure, r.GetRevision())
}

func (a *Agent) setLoading(loading bool, failure string, revision uint64) {
	a.node.Table().Update(time.Now(), func(m *fleet.Member) {
		m.Endpoint.Loading, m.Endpoint.OrderError, m.Endpoint.OrderRevision = loading, failure, revision
	})
	a.node.Announce()
}
