package gateway

import (
	"context"
	"time"

	"limpetwall/internal/coordination/contextcache"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/fleet"
)

// RunEndpointSync keeps the directory's picture of the endpoints' fixed properties, and
// the connections to them, in step with discovery until ctx ends.
func (g *Gateway) RunEndpointSync(ctx context.Context) {
	const sweepInterval = time.Second
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	addresses := map[string]fleet.Incarnation{}
	for {
		changed := g.State.Table.Changed()
		addresses = g.syncEndpoints(addresses)
		select {
		case <-changed:
		case <-ticker.C:
			g.Pool.Sweep(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// syncEndpoints returns what stands at each address, given what stood there before.
func (g *Gateway) syncEndpoints(previous map[string]fleet.Incarnation) map[string]fleet.Incarnation {
	table := g.State.Routes()
	if table == nil {
		return previous
	}
	current := map[string]fleet.Incarnation{}
	now := time.Now()
	weights, engines, endpoints := map[string]int64{}, map[string]contextcache.Engine{}, map[string]uint64{}
	for _, i := range g.State.Instances() {
		current[i.Address] = i.Incarnation()
		weights[i.Model] = max(weights[i.Model], i.Weights)
		properties := routing.Properties{Slots: i.Slots, PrefillRate: defaultPrefillRate, LinkRate: defaultLinkRate, CountsOnly: true}
		engine := contextcache.Engine{Domain: i.Domain}
		if s := table.Services[i.Service]; s != nil && s.Engine != nil {
			properties.MemoryTokens = s.Engine.MemoryTokens
			engine.TokenBytes, engine.LinkBytesPerSecond = s.Engine.TokenBytes, s.Engine.LinkBytesPerSecond
		}
		if i.Model != "" {
			engines[i.Address] = engine
			endpoints[i.Address] = routing.HashID(i.ID)
		}
		g.Directory.SetProperties(i.ID, properties, now)
	}
	// A request that finds the weights known reads the engines: in the other order one
	// that comes between the two would find none, and its connection would break.
	g.engineHashes.Store(&endpoints)
	g.weights.Store(&weights)
	if g.ContextTracker != nil {
		g.ContextTracker.SetEngines(engines)
	}
	for address, incarnation := range previous {
		// What was open to an earlier start is dead: a request sent on it would be lost
		// without a word of whether it ran.
		if current[address] != incarnation {
			g.Pool.Forget(address)
		}
	}
	return current
}

// RunContextCleanup frees context of replaced weights, in the process that holds the
// rollout lease, until ctx ends.
func (g *Gateway) RunContextCleanup(ctx context.Context) {
	const interval = time.Second
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if g.IsLeader() {
			g.ContextTracker.FreeObsolete(ctx, g.oldestWeights())
		}
	}
}

// oldestWeights is the oldest version of each model that an endpoint may have.
func (g *Gateway) oldestWeights() map[string]int64 {
	oldest := map[string]int64{}
	for _, i := range g.State.Instances() {
		if known, ok := oldest[i.Model]; !ok || i.Weights < known {
			oldest[i.Model] = i.Weights
		}
	}
	return oldest
}

// newestWeights is the newest version of a model that an endpoint serves, 0 if none is
// known.
func (g *Gateway) newestWeights(model string) int64 {
	if known := g.weights.Load(); known != nil {
		return (*known)[model]
	}
	return 0
}
