package gossip

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/protocol/wire"
)

const (
	// maxQuarantineUpdateBytes bounds the crash record updates in one message.
	maxQuarantineUpdateBytes = 200
	// maxQuarantinesPerRepair bounds the quarantines sent in one message after a peer's
	// digest differed.
	maxQuarantinesPerRepair = 14
)

// quarantineLoop announces urgent updates about requests that crash endpoints, so that
// they are pushed at once.
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

// quarantineUpdates returns the crash records for the next message: pending updates and,
// if the digest of a peer differed, a sample of the quarantines.
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

// mergeQuarantines merges the crash records in a message from a peer and records whether
// the peer's quarantines differ.
func (n *Node) mergeQuarantines(peer string, cases []*wire.QuarantineCase, digest uint64) {
	if err := n.quarantines.MergeWire(cases, time.Now()); err != nil {
		n.logger.Warn("could not decode the quarantines of a peer", zap.String("peer", peer), zap.Error(err))
	}
	if n.quarantines.Digest() != digest {
		n.quarantinesDiffer.Store(true)
	}
}
