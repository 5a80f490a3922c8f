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
	// askEvery is the shortest time between two questions to one engine: each counts as a
	// health check there, and its answer is some 100 ms old.
	askEvery = 250 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 500 * time.Millisecond
)

// doubt has an engine asked which weights it has. It rejected a prompt that named those
// which the store told of: a process that the store does not answer hears nothing of a
// rollout, and every engine that has loaded would reject all it sends for as long as that
// lasts.
func (g *Gateway) doubt(id string) {
	if g.WeightQueries != nil && !g.WeightQueries.TryPush(id) {
		g.count("doubts_dropped")
	}
}

// RunWeightQueries asks the engines in doubt until ctx ends.
func (g *Gateway) RunWeightQueries(ctx context.Context) {
	asked := map[string]time.Time{}
	for {
		id, err := g.WeightQueries.Pop(ctx)
		if err != nil {
			return
		}
		now := time.Now()
		if now.Sub(asked[id]) < askEvery {
			continue
		}
		for other, at := range asked {
			if now.Sub(at) >= askEvery {
				delete(asked, other)
			}
		}
		asked[id] = now
		g.learn(ctx, id)
	}
}

func (g *Gateway) learn(ctx context.Context, id string) {
	instance, known := g.State.Instance(id)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	told, err := g.QueryWeights(ctx, instance)
	if errors.Is(err, rollout.ErrOtherInstance) {
		g.State.Misdirected(id)
	}
	if err != nil {
		g.Log.Info("engine does not tell its weights", zap.String("endpoint", id), zap.Error(err))
		return
	}
	g.State.Started(id, told.Born, told.Weights)
	g.State.Observe(id, told.Weights)
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
