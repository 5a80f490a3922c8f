package gateway

import (
	"context"
	"time"

	"limpetwall/internal/coordination/contextcache"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/fleet"
)

// RunEndpointSync updates the endpoints' fixed properties in the directory, and the
// connections to endpoints, with every change in discovery or of the services until ctx ends.
func (g *Gateway) RunEndpointSync(ctx context.Context) {
	const sweepInterval = time.Second
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	addresses := map[string]fleet.Incarnation{}
	for {
		changed, servicesChanged := g.State.Table.Changed(), g.State.Services.Changed()
		addresses = g.syncEndpoints(addresses)
		g.syncLeaving()
		select {
		case <-changed:
		case <-servicesChanged:
		case <-g.Directory.Pushback.LeavingLearned():
		case <-ticker.C:
			g.Pool.Sweep(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// syncEndpoints applies the state of discovery. It takes the incarnations at each address
// that the previous call returned, and returns the current ones.
func (g *Gateway) syncEndpoints(previous map[string]fleet.Incarnation) map[string]fleet.Incarnation {
	// Instances waits until a change of the services that is underway has its routing table in force.
	instances := g.State.Instances()
	table := g.State.Routes()
	if table == nil {
		return previous
	}
	current := map[string]fleet.Incarnation{}
	now := time.Now()
	weights, engines, endpoints := map[string]int64{}, map[string]contextcache.Engine{}, map[string]uint64{}
	for _, i := range instances {
		current[i.Address] = i.Incarnation()
		weights[i.Model] = max(weights[i.Model], i.Weights)
		properties := routing.Properties{Slots: i.Slots, PrefillRate: defaultPrefillRate, LinkRate: defaultLinkRate, CountsOnly: true}
		engine := contextcache.Engine{Domain: i.Domain}
		if s := table.Services[i.Service]; s != nil && s.Engine != nil {
			properties.MemoryTokens = s.Engine.MemoryTokens
			engine.TokenBytes, engine.LinkBytesPerSecond = s.Engine.TokenBytes, s.Engine.LinkBytesPerSecond
		}
		if i.Model == "" {
			properties.PlainService = i.Service
		}
		if i.Model != "" {
			engines[i.Address] = engine
			endpoints[i.Address] = routing.HashID(i.ID)
		}
		g.Directory.SetProperties(i.ID, properties, now)
	}
	// engineHashes must be set before weights: a request that finds weights known reads
	// engineHashes, which would otherwise be nil for a request that comes between the two,
	// and its connection would break.
	g.engineHashes.Store(&endpoints)
	g.weights.Store(&weights)
	if g.ContextTracker != nil {
		g.ContextTracker.SetEngines(engines)
	}
	if g.Origins != nil {
		g.Origins.ObserveVersions(g.softwareVersions(), now)
	}
	for address, incarnation := range previous {
		// Connections to a previous incarnation are dead: a request sent on one would be
		// lost, and whether it ran would be unknown.
		if current[address] != incarnation {
			g.Pool.Forget(address)
		}
	}
	return current
}

// RunContextCleanup frees the stored context of replaced weights until ctx ends. Only the
// process that holds the rollout lease does so.
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
			below, validUntil := g.State.Replaced(contextcache.FreeAfter)
			g.ContextTracker.FreeObsolete(ctx, below, validUntil)
		}
	}
}

// newestWeights returns the newest weight version of a model that an endpoint serves, 0 if
// none is known.
func (g *Gateway) newestWeights(model string) int64 {
	if known := g.weights.Load(); known != nil {
		return (*known)[model]
	}
	return 0
}
