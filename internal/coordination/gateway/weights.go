package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/rollout"
)

const (
	// MaxWeightQueries bounds the engines that wait to be queried. One that does not fit is
	// enqueued again with its next rejection.
	MaxWeightQueries = 64
	// queryInterval is the shortest time between two queries to one engine: the engine counts
	// each as a health check, and its answer is some 100 ms old.
	queryInterval = 250 * time.Millisecond
	// queryTimeout bounds one query.
	queryTimeout = 500 * time.Millisecond
)

// enqueueWeightQuery has an engine queried for its weight version after it rejected a prompt
// for the version known from the store. A process that can't reach the store does not learn of
// a rollout: for as long as that lasts, every engine that has loaded new weights would reject
// all its prompts.
func (g *Gateway) enqueueWeightQuery(id string) {
	if g.WeightQueries != nil && !g.WeightQueries.TryPush(id) {
		g.count("doubts_dropped")
	}
}

// RunWeightQueries queries the enqueued engines until ctx ends.
func (g *Gateway) RunWeightQueries(ctx context.Context) {
	lastQuery := map[string]time.Time{}
	for {
		id, err := g.WeightQueries.Pop(ctx)
		if err != nil {
			return
		}
		now := time.Now()
		if now.Sub(lastQuery[id]) < queryInterval {
			continue
		}
		for other, at := range lastQuery {
			if now.Sub(at) >= queryInterval {
				delete(lastQuery, other)
			}
		}
		lastQuery[id] = now
		g.queryWeights(ctx, id)
	}
}

func (g *Gateway) queryWeights(ctx context.Context, id string) {
	instance, known := g.State.Instance(id)
	if !known {
		return
	}
	if ok, _ := g.pushbackOf(instance).Acquire(time.Now()); !ok {
		g.count("weight_queries_withheld")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	report, err := g.QueryWeights(ctx, instance)
	if errors.Is(err, rollout.ErrOtherInstance) {
		g.State.MarkMisdirected(id)
	}
	if err != nil {
		g.Log.Info("failed to query an engine's weight version", zap.String("endpoint", id), zap.Error(err))
		return
	}
	g.State.ObserveStart(id, report.Born, report.Weights)
	if report.Busy {
		g.State.ObserveWeights(id, report.Weights)
	} else {
		g.State.ObserveReport(id, report.Weights)
	}
}

// EngineReport is an engine's answer to a query for its weight version.
type EngineReport struct {
	// Born is the Unix millisecond of the engine's start, 0 if not reported.
	Born int64
	// Weights is the version of its model's weights.
	Weights int64
	// Busy is set while the engine carries out an order.
	Busy bool
}

// QueryWeightsFunc queries an engine for the version of its model's weights.
type QueryWeightsFunc func(ctx context.Context, i discovery.Instance) (EngineReport, error)
