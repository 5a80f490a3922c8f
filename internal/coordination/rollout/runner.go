package rollout

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/gossip"
	"limpetwall/internal/coordination/lease"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/transport/rpc"
)

// PollInterval is how often the holder decides and candidates check the lease.
const PollInterval = 2 * time.Second

// LeaseTerm is the time without renewal after which another holder takes over.
const LeaseTerm = 10 * time.Second

// candidateCount is the number of entry processes that check the lease, whatever the size
// of the fleet.
const candidateCount = 3

// orderTimeout limits the wait for an order's acceptance; the load itself continues after it.
const orderTimeout = 2 * time.Second

// Runner sends the orders of Decide while this process holds the lease.
type Runner struct {
	Node  *gossip.Node
	Store *config.Store
	Pool  *rpc.Pool
	Lease *lease.Lease
	Zap   *zap.Logger

	mu      sync.Mutex
	blocked []Blocked
}

// Blocked lists the rollouts that do not proceed, as of the holder's last decision;
// it is nil on processes that do not hold the lease.
func (r *Runner) Blocked() []Blocked {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blocked
}

// Run checks the lease and sends orders until ctx ends. Without an intent that lets the
// system order engines it makes no platform call.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if len(orderingIntents(r.Store.View())) > 0 && r.isCandidate() {
			r.step(ctx)
		}
	}
}

// isCandidate reports whether this process should check the lease. A holder remains a
// candidate when the epoch's choice moves to others: otherwise its lease would have to
// expire, and a term would be lost.
func (r *Runner) isCandidate() bool {
	_, err := r.Lease.Fence(time.Now())
	return err == nil || r.Node.IsChosen(candidateCount)
}

func (r *Runner) step(ctx context.Context) {
	r.Lease.Step(ctx)
	fence, err := r.Lease.Fence(time.Now())
	if err != nil {
		r.setBlocked(nil)
		return
	}
	// The fleet learns the fencing token before the first order is sent under it.
	r.Node.RaiseFence(fence)
	orders, blocked := Decide(r.Store.View(), r.Node.Table().Members())
	r.setBlocked(blocked)
	for _, o := range orders {
		r.sendOrder(ctx, o)
	}
}

func (r *Runner) setBlocked(blocked []Blocked) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range blocked {
		known := false
		for _, old := range r.blocked {
			known = known || old == b
		}
		if !known {
			r.Zap.Warn("rollout blocked", zap.String("intent", b.Intent), zap.String("reason", b.Reason))
		}
	}
	r.blocked = blocked
}

func (r *Runner) sendOrder(ctx context.Context, o Order) {
	// The lease is checked again before each order, since the previous orders took time.
	fence, err := r.Lease.Fence(time.Now())
	if err != nil {
		return
	}
	client, err := r.Pool.Agent(o.Member.Address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := client.Order(ctx, &wire.OrderRequest{
		Fence: fence, WantIncarnation: o.Member.Incarnation, Revision: o.Revision, Model: o.Intent.Model,
		WeightVersion: o.Intent.WeightVersion, Adapter: o.Intent.Adapter, Role: o.Intent.Role,
	})
	r.Zap.Info("order", zap.String("endpoint", o.Member.Endpoint.ID), zap.String("intent", o.Intent.ID),
		zap.String("weight_version", o.Intent.WeightVersion), zap.Uint64("fence", fence),
		zap.Bool("accepted", resp.GetAccepted()), zap.String("reason", resp.GetReason()), zap.Error(err))
	if resp.GetFence() > fence {
		r.Node.RaiseFence(resp.GetFence())
	}
}
