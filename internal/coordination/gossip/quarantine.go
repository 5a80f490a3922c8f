package gossip

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/protocol/wire"
)

const (
	// maxQuarantineUpdateBytes bound what an exchange carries of them.
	maxQuarantineUpdateBytes = 200
	// maxQuarantinesPerRepair are told at once to a peer that lacks some.
	maxQuarantinesPerRepair = 14
)

// quarantineLoop has news of requests that crash endpoints pushed at once.
func (n *Node) quarantineLoop(ctx context.Context) {
	for {
		select {
		case <-n.quarantines.UrgentPending():
			n.Announce()
		case <-ctx.Done():
			return
		}
	}
}

// quarantineUpdates is what an exchange carries: news, and quarantines if some peer has others.
func (n *Node) quarantineUpdates() []*wire.QuarantineCase {
	if n.quarantines.IsEmpty() {
		return nil
	}
	now := time.Now()
	records := n.quarantines.PopUpdates(maxQuarantineUpdateBytes, now)
	if n.quarantinesDiffer.Swap(false) {
		records = append(records, quarantine.Sample(n.quarantines.DurableRecords(), maxQuarantinesPerRepair)...)
	}
	return quarantine.RecordsToWire(records, now)
}

// mergeQuarantines takes in what a peer told, and notes whether it has other quarantines.
func (n *Node) mergeQuarantines(peer string, cases []*wire.QuarantineCase, digest uint64) {
	if err := n.quarantines.MergeWire(cases, time.Now()); err != nil {
		n.logger.Warn("quarantines of a peer do not decode", zap.String("peer", peer), zap.Error(err))
	}
	if n.quarantines.Digest() != digest {
		n.quarantinesDiffer.Store(true)
	}
}
