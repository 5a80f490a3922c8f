package gateway

import (
	"time"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/pushback"
)

// ObservePushback applies what the answer to a call of another kind than a forwarded request asks for. An
// answer that asks for nothing says nothing of a limit, so it must not be passed on.
func (g *Gateway) ObservePushback(address string, s pushback.Signal) {
	for _, i := range g.State.Instances() {
		if i.Address == address {
			now := time.Now()
			g.pushbackOf(i).Observe(s, now, now)
		}
	}
}

// syncLeaving exchanges with discovery which endpoints leave. What answers and peers say counts like
// an entry: the endpoint's runs move elsewhere, and it gets no orders. What an entry says is sent to
// peers, whose watches may be silent.
func (g *Gateway) syncLeaving() {
	for _, i := range g.State.Instances() {
		if i.Leaving {
			g.Directory.Pushback.RecordListed(pushback.KeyOf(i.ID, i.Incarnation().Hash()), time.Now())
			continue
		}
		if g.pushbackOf(i).IsLeaving() {
			g.State.MarkLeaving(i.ID, i.Incarnation())
			g.Pool.Forget(i.Address)
		}
	}
}

// RestLeft returns for how much longer the endpoint at an address accepts no calls of this process.
func (g *Gateway) RestLeft(address string) time.Duration {
	if !g.Directory.Pushback.IsAnyAsking() {
		return 0
	}
	now := time.Now()
	for _, i := range g.State.Instances() {
		if i.Address == address {
			return g.pushbackOf(i).RestLeft(now)
		}
	}
	return 0
}

// IsResting reports whether an endpoint accepts no calls of this process now.
func (g *Gateway) IsResting(i discovery.Instance) bool {
	return g.pushbackOf(i).RestLeft(time.Now()) > 0
}

// pushbackOf returns what an endpoint asks for, nil if it is not tracked yet.
func (g *Gateway) pushbackOf(i discovery.Instance) *pushback.Endpoint {
	return g.Directory.Pushback.Find(pushback.KeyOf(i.ID, i.Incarnation().Hash()))
}
