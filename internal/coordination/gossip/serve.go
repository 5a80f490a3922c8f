package gossip

import (
	"context"

	"google.golang.org/protobuf/proto"

	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
)

// HandleExchange answers a gossip exchange of a peer.
func (n *Node) HandleExchange(_ context.Context, r *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	n.RaiseFence(r.GetFence())
	n.mergeUpdates("", r.GetMembers(), r.GetLoads(), r.GetChanges(), r.GetPlatformAgeMs())
	n.mergeQuarantines(r.GetFrom(), r.GetQuarantine(), r.GetQuarantineDigest())
	members, loads := n.popUpdates()
	resp := &wire.ExchangeResponse{
		Revision: n.store.View().Revision, MemberDigest: n.table.Digest(),
		Members: members, Loads: loads, PlatformAgeMs: n.platformAge().Milliseconds(), Fence: n.Fence(),
		QuarantineDigest: n.quarantines.Digest(), Quarantine: n.quarantineUpdates(),
	}
	if changes, ok := n.store.Since(r.GetRevision()); ok && len(changes) <= maxChangesPerExchange {
		resp.Changes = changesToWire(changes)
	}
	if sender, known := n.table.Get(r.GetFrom()); known {
		n.compareState(sender.ID, sender.Address, r.GetRevision(), r.GetMemberDigest())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts.Received++
	n.counts.ReceivedBytes += int64(proto.Size(r))
	n.counts.Sent++
	n.counts.SentBytes += int64(proto.Size(resp))
	return resp, nil
}

func changesToWire(changes []config.Change) []*wire.Change {
	out := make([]*wire.Change, 0, len(changes))
	for _, c := range changes {
		document, err := config.EncodeChange(c)
		if err != nil {
			return nil
		}
		out = append(out, &wire.Change{Revision: c.Revision, Document: document})
	}
	return out
}

// HandleFetchConfig returns the configuration changes that the caller lacks, or a
// snapshot if the changes are no longer available.
func (n *Node) HandleFetchConfig(_ context.Context, r *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	resp := &wire.FetchConfigResponse{Revision: n.store.View().Revision, PlatformAgeMs: n.platformAge().Milliseconds(), Fence: n.Fence()}
	if changes, ok := n.store.Since(r.GetHaveRevision()); ok {
		resp.Changes = changesToWire(changes)
		return resp, nil
	}
	view := n.store.View()
	snapshot, err := config.EncodeView(view)
	if err != nil {
		return nil, err
	}
	resp.Revision, resp.Snapshot = view.Revision, snapshot
	return resp, nil
}

// HandleFetchMembers returns the whole member table.
func (n *Node) HandleFetchMembers(context.Context, *wire.FetchMembersRequest) (*wire.FetchMembersResponse, error) {
	resp := &wire.FetchMembersResponse{}
	for _, m := range n.table.Members() {
		resp.Members = append(resp.Members, m.ToWire())
	}
	return resp, nil
}

// HandleProbe probes a third member on behalf of a peer, for its indirect probe.
func (n *Node) HandleProbe(ctx context.Context, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.ProbeTimeout)
	defer cancel()
	_, err := n.peers.Exchange(ctx, r.GetAddress(), n.newExchangeRequest())
	return &wire.ProbeResponse{Alive: err == nil}, nil
}
