package gateway

import (
	"context"
	"time"

	"limpetwall/internal/coordination/routing"
)

// SyncDuty keeps the directory's picture of the endpoints' fixed properties, and
// the connections to them, in step with discovery until ctx ends.
func (g *Gateway) SyncDuty(ctx context.Context) {
	const sweepEvery = time.Second
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	addresses := map[string]bool{}
	for {
		changed := g.State.Table.Changed()
		addresses = g.sync(addresses)
		select {
		case <-changed:
		case <-ticker.C:
			g.Pool.Sweep(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) sync(before map[string]bool) map[string]bool {
	table := g.State.Routes()
	if table == nil {
		return before
	}
	after := map[string]bool{}
	now := time.Now()
	for _, i := range g.State.Instances() {
		after[i.Address] = true
		properties := routing.Properties{Slots: i.Slots, PrefillRate: assumedPrefillRate}
		if s := table.Services[i.Service]; s != nil && s.Engine != nil {
			properties.MemoryTokens = s.Engine.MemoryTokens
		}
		g.Directory.Describe(i.ID, properties, now)
	}
	for address := range before {
		if !after[address] {
			g.Pool.Forget(address)
		}
	}
	return after
}
