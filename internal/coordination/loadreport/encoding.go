package loadreport

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/wire"
)

const (
	// maxReportedEndpoints bounds the endpoints in one report; each takes 40 bytes or less. Those
	// with the most unread prompt tokens come first.
	maxReportedEndpoints = 32
	// tokenUnit is the number of tokens in one unit of a report's token counts.
	tokenUnit = 64
	// registryPrefix is the prefix of the keys of the registry of peers.
	registryPrefix = "peer."
)

// errInvalidKey is returned for a registry key that this package did not write.
const errInvalidKey = errors.ConstError("not a key of the registry of peers")

func encode(r routing.PeerReport) ([]byte, error) {
	work := slices.Clone(r.Work)
	slices.SortFunc(work, func(a, b routing.Work) int { return cmp.Compare(b.UnreadTokens(), a.UnreadTokens()) })
	m := &wire.WorkReport{Domain: r.Domain, Incarnation: r.Sender, Number: r.Number, Leaving: r.Leaving}
	for _, w := range work[:min(len(work), maxReportedEndpoints)] {
		m.Work = append(m.Work, encodeWork(w))
	}
	for _, p := range r.LivePeers[:min(len(r.LivePeers), maxLivePeers)] {
		m.LivePeers = append(m.LivePeers, &wire.WorkPeer{Host: p.Address.Addr().AsSlice(), Port: uint32(p.Address.Port()), Domain: p.Domain})
	}
	return proto.Marshal(m)
}

func encodeWork(w routing.Work) *wire.Work {
	out := &wire.Work{Endpoint: w.Endpoint, Running: uint32(w.Running), HeldTokens: toUnits(w.HeldTokens)}
	last := 0
	for urgency, tokens := range w.Unread {
		if tokens > 0 {
			last = urgency + 1
		}
	}
	for _, tokens := range w.Unread[:last] {
		out.UnreadTokens = append(out.UnreadTokens, toUnits(tokens))
	}
	return out
}

func toUnits(tokens int) uint32 { return uint32((max(0, tokens) + tokenUnit - 1) / tokenUnit) }

func decode(data []byte) (routing.PeerReport, error) {
	var m wire.WorkReport
	if err := proto.Unmarshal(data, &m); err != nil {
		return routing.PeerReport{}, errors.Trace(err)
	}
	r := routing.PeerReport{Sender: m.GetIncarnation(), Number: m.GetNumber(), Domain: m.GetDomain(), Leaving: m.GetLeaving()}
	for _, w := range m.GetWork() {
		work := routing.Work{Endpoint: w.GetEndpoint(), Running: int(w.GetRunning()), HeldTokens: int(w.GetHeldTokens()) * tokenUnit}
		for urgency, tokens := range w.GetUnreadTokens()[:min(len(w.GetUnreadTokens()), routing.UrgencyLevels)] {
			work.Unread[urgency] = int(tokens) * tokenUnit
		}
		r.Work = append(r.Work, work)
	}
	for _, p := range m.GetLivePeers()[:min(len(m.GetLivePeers()), maxLivePeers)] {
		if host, ok := netip.AddrFromSlice(p.GetHost()); ok && p.GetPort() <= math.MaxUint16 {
			r.LivePeers = append(r.LivePeers, routing.PeerAddress{Address: netip.AddrPortFrom(host.Unmap(), uint16(p.GetPort())), Domain: p.GetDomain()})
		}
	}
	return r, nil
}

func registryKey(domain string, address netip.AddrPort) string {
	return registryPrefix + domain + "@" + address.String()
}

func parseRegistryKey(key string) (domain string, address netip.AddrPort, err error) {
	rest, ok := strings.CutPrefix(key, registryPrefix)
	domain, text, found := strings.Cut(rest, "@")
	if !ok || !found {
		return "", netip.AddrPort{}, errInvalidKey
	}
	address, err = netip.ParseAddrPort(text)
	return domain, address, errors.Trace(err)
}
