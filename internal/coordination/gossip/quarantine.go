package gossip

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/protocol/wire"
)

const (
	// quarantineNewsBytes bound what an exchange carries of them.
	quarantineNewsBytes = 200
	// quarantinesPerRepair are told at once to a peer that lacks some.
	quarantinesPerRepair = 14
)

// quarantineDuty has news of requests that crash endpoints pushed at once.
func (n *Node) quarantineDuty(ctx context.Context) {
	for {
		select {
		case <-n.book.UrgentPending():
			n.Announce()
		case <-ctx.Done():
			return
		}
	}
}

// quarantineNews is what an exchange carries: news, and quarantines if some peer has others.
func (n *Node) quarantineNews() []*wire.QuarantineCase {
	if n.book.IsEmpty() {
		return nil
	}
	now := time.Now()
	cases := n.book.PopUpdates(quarantineNewsBytes, now)
	if n.tellQuarantines.Swap(false) {
		cases = append(cases, quarantine.Sample(n.book.DurableRecords(), quarantinesPerRepair)...)
	}
	return quarantine.RecordsToWire(cases, now)
}

// takeQuarantines takes in what a peer told, and notes whether it has other quarantines.
func (n *Node) takeQuarantines(peer string, cases []*wire.QuarantineCase, digest uint64) {
	if err := n.book.MergeWire(cases, time.Now()); err != nil {
		n.zap.Warn("quarantines of a peer do not decode", zap.String("peer", peer), zap.Error(err))
	}
	if n.book.Digest() != digest {
		n.tellQuarantines.Store(true)
	}
}
