package origingossip

import (
	"net/netip"
	"time"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/protocol/wire"
)

// ageUnit is the unit of ages in a report.
const ageUnit = 100 * time.Millisecond

// recordsToWire encodes records; each version is named once.
func recordsToWire(records []streamorigin.Record) *wire.StreamReport {
	r, positions := &wire.StreamReport{}, map[streamorigin.Origin]uint32{}
	for _, record := range records {
		position, named := positions[record.Origin]
		if !named {
			position = uint32(len(r.Versions))
			positions[record.Origin] = position
			r.Versions = append(r.Versions, &wire.SoftwareVersion{Service: record.Origin.Service, Version: record.Origin.Version})
		}
		r.Origins = append(r.Origins, &wire.StreamOrigin{Stream: uint64(record.Stream), Version: position})
	}
	return r
}

func versionsToWire(versions []streamorigin.VersionAge) []*wire.SoftwareVersion {
	out := make([]*wire.SoftwareVersion, 0, len(versions))
	for _, v := range versions {
		out = append(out, &wire.SoftwareVersion{Service: v.Origin.Service, Version: v.Origin.Version, AgeDs: uint32(v.Age / ageUnit)})
	}
	return out
}

func versionsFromWire(versions []*wire.SoftwareVersion) []streamorigin.VersionAge {
	out := make([]streamorigin.VersionAge, 0, len(versions))
	for _, v := range versions {
		origin := streamorigin.Origin{Service: v.GetService(), Version: v.GetVersion()}
		out = append(out, streamorigin.VersionAge{Origin: origin, Age: time.Duration(v.GetAgeDs()) * ageUnit})
	}
	return out
}

func peersToWire(peers []Peer) []*wire.StreamPeer {
	out := make([]*wire.StreamPeer, 0, len(peers))
	for _, p := range peers {
		out = append(out, &wire.StreamPeer{Host: p.Host.AsSlice(), Domain: p.Domain})
	}
	return out
}

// peersFromWire decodes the processes that a report names, without those that have no valid address.
func peersFromWire(peers []*wire.StreamPeer) []Peer {
	out := make([]Peer, 0, min(len(peers), namedPeers))
	for _, p := range peers[:min(len(peers), namedPeers)] {
		if host, ok := netip.AddrFromSlice(p.GetHost()); ok {
			out = append(out, Peer{host.Unmap(), p.GetDomain()})
		}
	}
	return out
}
