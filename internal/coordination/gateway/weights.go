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
	// MaxWeightQueries bounds the engines that wait to be asked; one that finds no room is named
	// again by its next rejection.
	MaxWeightQueries = 64
	// queryInterval is the shortest time between two questions to one engine: each counts as a
	// health check there, and its answer is some 100 ms old.
	queryInterval = 250 * time.Millisecond
	// queryTimeout bounds one question.
	queryTimeout = 500 * time.Millisecond
)

// enqueueWeightQuery has an engine asked which weights it has. It rejected a prompt that named those
// which the store told of: a process that the store does not answer hears nothing of a
// rollout, and every engine that has loaded would reject all it sends for as long as that
// lasts.
func (g *Gateway) enqueueWeightQuery(id string) {
	if g.WeightQueries != nil && !g.WeightQueries.TryPush(id) {
		g.count("doubts_dropped")
	}
}

// RunWeightQueries asks the engines in doubt until ctx ends.
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
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	report, err := g.QueryWeights(ctx, instance)
	if errors.Is(err, rollout.ErrOtherInstance) {
		g.State.MarkMisdirected(id)
	}
	if err != nil {
		g.Log.Info("engine does not tell its weights", zap.String("endpoint", id), zap.Error(err))
		return
	}
	g.State.ObserveStart(id, report.Born, report.Weights)
	g.State.ObserveWeights(id, report.Weights)
}

// EngineReport is what an engine says of itself when it is asked.
type EngineReport struct {
	// Born is its start, 0 if it does not say.
	Born int64
	// Weights is the version of its model.
	Weights int64
}

// QueryWeightsFunc asks an engine for the version of its model.
type QueryWeightsFunc func(ctx context.Context, i discovery.Instance) (EngineReport, error)
