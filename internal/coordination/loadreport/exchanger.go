package loadreport

import (
	"context"
	"maps"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/sleep"
)

const (
	// reportInterval is the time between two reports: a prompt's wait and prefill take a
	// few hundred ms.
	reportInterval = 250 * time.Millisecond
	// fanout is the number of peers that get each report, in turn: with 200 bytes a report, at
	// 12 requests a second, a process sends 3.6 KB/s with headers, whatever the size of its
	// domain.
	fanout = 4
	// smallFleet is the number of other processes up to which all of them get reports. In a
	// larger fleet only those of the own failure domain do, which use the same endpoints most.
	smallFleet = 6
	// silenceTimeout is how long a peer may send no report, neither to this process nor to another that
	// names it as live, before it is sent none either.
	silenceTimeout = 30 * time.Second
	// livePeersInterval is how often a report names live peers, at most maxLivePeers of them. A peer is live if its last
	// report is no older than liveWithin. At 100 bytes, four times a round, that is 200 bytes a second.
	livePeersInterval = 8 * reportInterval
	liveWithin        = 5 * time.Second
	maxLivePeers      = smallFleet
	// silentRetention is how long broadcasts still go to a silent peer of a small fleet: its messages may be lost on the way
	// here while ours arrive there. It covers two readings of the registry, where a live process adds itself again.
	silentRetention = 5 * time.Minute
	// registryInterval is how often the registry is read again, to find the processes that a
	// start during a partition missed.
	registryInterval = time.Minute
	// settleDelay is the time until the registry is read for the second time: the first processes
	// of a fleet to start find few others there, and would treat the fleet as small for a whole
	// registryInterval.
	settleDelay = 5 * time.Second
	// registryTimeout bounds one round of calls to the registry; registryRetryDelay follows a failed round.
	registryTimeout    = 2 * time.Second
	registryRetryDelay = 2 * time.Second
)

// Directory holds the work in flight, of this process and of its peers.
type Directory interface {
	OwnWork() []routing.Work
	ApplyPeerReport(r routing.PeerReport, now time.Time)
	ExpirePeers(now time.Time)
}

// Exchanger exchanges reports with the other processes. Its fields are set before Run.
type Exchanger struct {
	// Conn sends and receives reports; Run closes it.
	Conn net.PacketConn
	// Address is that of Conn as peers reach it.
	Address netip.AddrPort
	Domain  string
	// Incarnation identifies this start of the process.
	Incarnation uint64
	Directory   Directory
	// Registry persistently holds the addresses of all processes.
	Registry objectapi.API
	Log      *zap.Logger

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	// silent are the peers that were sent reports for silenceTimeout and sent none, for silentRetention.
	silent map[netip.AddrPort]silentPeer
	// lastTarget is the index of the last peer that got a report; the next round continues
	// after it.
	lastTarget int
	lastNumber uint64
	// namedLivePeers is when a report last named live peers.
	namedLivePeers time.Time
}

// silentPeer is a peer that was evicted as silent.
type silentPeer struct {
	domain string
	since  time.Time
	// isUnlisted is set once its registry entry was removed.
	isUnlisted bool
}

// peer is another process.
type peer struct {
	domain string
	// lastSeen is when its last report arrived, or when it was first found in the registry.
	lastSeen time.Time
	// lastReport is when its last report arrived, and confirmed when another peer last named it as live; zero before.
	lastReport, confirmed time.Time
	// reportedSince is when reports to it began; zero while it is sent none.
	reportedSince time.Time
	// hasLeft is true once it has announced that it stops. It is sent reports until it counts as silent: a process that
	// restarts at once can't learn of the others while the registry is down.
	hasLeft bool
}

// silentFor returns how long the peer has sent nothing although it was sent reports. A peer that
// gets no reports has no reason to send any.
func (p *peer) silentFor(now time.Time) time.Duration {
	if p.reportedSince.IsZero() {
		return 0
	}
	return min(now.Sub(p.lastSeen), now.Sub(p.confirmed), now.Sub(p.reportedSince))
}

// Run exchanges reports until ctx ends, and then announces that this process leaves.
func (e *Exchanger) Run(ctx context.Context) {
	e.mu.Lock()
	e.peers, e.silent = map[netip.AddrPort]*peer{}, map[netip.AddrPort]silentPeer{}
	e.mu.Unlock()
	var workers sync.WaitGroup
	workers.Go(e.receive)
	workers.Go(func() { e.runRegistration(ctx) })
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			e.sendReport(false, fanout)
			e.Directory.ExpirePeers(time.Now())
		case <-ctx.Done():
		}
	}
	e.sendReport(true, math.MaxInt)
	e.Conn.Close()
	workers.Wait()
}

// Hosts returns the hosts of the other processes, of all failure domains, to which broadcasts go.
func (e *Exchanger) Hosts() []netip.Addr {
	return slices.Collect(maps.Keys(e.Domains()))
}

// Domains returns the failure domains of Hosts.
func (e *Exchanger) Domains() map[netip.Addr]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[netip.Addr]string, len(e.peers)+len(e.silent))
	if len(e.peers) < smallFleet {
		for address, p := range e.silent {
			out[address.Addr()] = p.domain
		}
	}
	for address, p := range e.peers {
		out[address.Addr()] = p.domain
	}
	return out
}

// DomainHosts returns the hosts of the known other processes of the own failure domain that have not stopped.
func (e *Exchanger) DomainHosts() []netip.Addr {
	return e.hosts(func(p *peer) bool { return p.domain == e.Domain && !p.hasLeft })
}

// HostsIn returns the hosts of the known other processes of a failure domain that have not stopped, or of all domains if
// domain is empty.
func (e *Exchanger) HostsIn(domain string) []netip.Addr {
	return e.hosts(func(p *peer) bool { return (p.domain == domain || domain == "") && !p.hasLeft })
}

func (e *Exchanger) hosts(matches func(*peer) bool) []netip.Addr {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]netip.Addr, 0, len(e.peers))
	for address, p := range e.peers {
		if matches(p) {
			out = append(out, address.Addr())
		}
	}
	return out
}

// Rank returns the position of this process among those that it knows, by address.
func (e *Exchanger) Rank() int {
	rank := 0
	for _, host := range e.Hosts() {
		if host.Less(e.Address.Addr()) {
			rank++
		}
	}
	return rank
}

// Processes returns the number of known processes, including this one.
func (e *Exchanger) Processes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) + 1
}

// sendReport sends the work in flight to the next peers, at most limit of them.
func (e *Exchanger) sendReport(leaving bool, limit int) {
	targets := e.nextTargets(limit)
	if len(targets) == 0 {
		return
	}
	e.lastNumber++
	data, err := encode(routing.PeerReport{
		Sender: e.Incarnation, Number: e.lastNumber, Domain: e.Domain, Work: e.Directory.OwnWork(), Leaving: leaving, LivePeers: e.nextLivePeers(),
	})
	if err != nil {
		e.Log.Error("failed to encode a load report", zap.Error(err))
		return
	}
	for _, to := range targets {
		// The error is ignored: a datagram may be lost anyway, and the next report follows.
		e.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
	}
}

// nextTargets picks the next peers that get a report, at most limit of them.
func (e *Exchanger) nextTargets(limit int) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.evictSilent(now)
	list := make([]netip.AddrPort, 0, len(e.peers))
	for address, p := range e.peers {
		if p.domain == e.Domain || len(e.peers) <= smallFleet {
			list = append(list, address)
			continue
		}
		// The fleet is no longer small, so this peer of another domain gets no more reports.
		p.reportedSince = time.Time{}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	limit = min(limit, len(list))
	out := make([]netip.AddrPort, 0, limit)
	for range limit {
		e.lastTarget = (e.lastTarget + 1) % len(list)
		out = append(out, list[e.lastTarget])
		if p := e.peers[list[e.lastTarget]]; p.reportedSince.IsZero() {
			p.reportedSince = now
		}
	}
	return out
}

// nextLivePeers returns, every livePeersInterval, some of the peers whose reports arrive here. Their reports may not arrive at
// others, who would drop them and leave them out of broadcasts.
func (e *Exchanger) nextLivePeers() []routing.PeerAddress {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.namedLivePeers) < livePeersInterval {
		return nil
	}
	e.namedLivePeers = now
	var out []routing.PeerAddress
	for address, p := range e.peers {
		// Only its own reports count: otherwise two processes would confirm to each other one that is gone.
		if len(out) < maxLivePeers && !p.hasLeft && now.Sub(p.lastReport) < liveWithin {
			out = append(out, routing.PeerAddress{Address: address, Domain: p.domain})
		}
	}
	return out
}

// evictSilent removes the peers that have been silent for silenceTimeout, and drops what it keeps of them after
// silentRetention. The caller must hold e.mu.
func (e *Exchanger) evictSilent(now time.Time) {
	for address, p := range e.peers {
		if p.silentFor(now) > silenceTimeout {
			delete(e.peers, address)
			e.silent[address] = silentPeer{domain: p.domain, since: now}
		}
	}
	for address, p := range e.silent {
		if now.Sub(p.since) > silentRetention {
			delete(e.silent, address)
		}
	}
}

// receive handles reports until the connection is closed.
func (e *Exchanger) receive() {
	datagram.ReadLoop(e.Conn, func(data []byte, from net.Addr) {
		report, err := decode(data)
		if err != nil {
			e.Log.Warn("failed to decode a load report", zap.Stringer("from", from), zap.Error(err))
			return
		}
		e.handleReport(report, from)
	})
}

// handleReport passes a report on to the directory. A sender that is not yet known from the
// registry becomes a peer.
func (e *Exchanger) handleReport(r routing.PeerReport, from net.Addr) {
	now := time.Now()
	e.Directory.ApplyPeerReport(r, now)
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	address := udp.AddrPort()
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Leaving {
		if p := e.peers[address]; p != nil {
			p.hasLeft = true
		}
		return
	}
	if e.peers[address] == nil {
		e.Log.Info("first load report from peer", zap.Stringer("address", address), zap.String("domain", r.Domain))
		e.peers[address] = &peer{}
	}
	p := e.peers[address]
	p.domain, p.lastSeen, p.lastReport, p.hasLeft = r.Domain, now, now, false
	delete(e.silent, address)
	e.recordConfirmed(r.LivePeers, now)
}

// recordConfirmed records the peers that another one names as live. The caller must hold e.mu.
func (e *Exchanger) recordConfirmed(live []routing.PeerAddress, now time.Time) {
	for _, h := range live {
		if h.Address == e.Address {
			continue
		}
		if e.peers[h.Address] == nil {
			e.peers[h.Address] = &peer{domain: h.Domain, lastSeen: now}
		}
		e.peers[h.Address].confirmed = now
		delete(e.silent, h.Address)
	}
}

// runRegistration adds this process to the registry and reads the others from it, again and
// again until ctx ends. Of two processes that start together, the later one finds the earlier
// one there and reports to it, so each learns of the other.
func (e *Exchanger) runRegistration(ctx context.Context) {
	next := settleDelay
	for ctx.Err() == nil {
		wait := registryRetryDelay
		if err := e.registerOnce(ctx); err != nil {
			e.Log.Warn("failed to update from the registry of peers", zap.Error(err))
		} else {
			wait, next = next, registryInterval
		}
		sleep.For(ctx, sleep.Jitter(wait))
	}
}

func (e *Exchanger) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	own := registryKey(e.Domain, e.Address)
	_, err := e.Registry.Put(ctx, own, []byte{}, 0)
	if err != nil && !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	list, err := e.Registry.List(ctx, registryPrefix)
	if err != nil {
		return err
	}
	present := map[netip.AddrPort]bool{}
	for _, o := range list {
		domain, address, err := parseRegistryKey(o.Key)
		if err != nil {
			e.Log.Error("invalid key in the registry of peers", zap.String("key", o.Key), zap.Error(err))
			continue
		}
		present[address] = true
		if address != e.Address && e.addListed(domain, address) {
			e.removeEntry(ctx, o)
		}
	}
	e.evictUnlisted(present)
	return nil
}

// evictUnlisted removes the peers that get no reports and are no longer in the registry.
func (e *Exchanger) evictUnlisted(present map[netip.AddrPort]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, p := range e.peers {
		if p.reportedSince.IsZero() && !present[address] {
			delete(e.peers, address)
		}
	}
}

// addListed adds a peer found in the registry. It returns true if the entry must be removed: the
// peer was sent reports for silenceTimeout and sent none.
func (e *Exchanger) addListed(domain string, address netip.AddrPort) (remove bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.silent[address]; ok && !s.isUnlisted {
		s.isUnlisted = true
		e.silent[address] = s
		return true
	}
	if e.peers[address] == nil {
		e.peers[address] = &peer{domain: domain, lastSeen: time.Now()}
	}
	return false
}

// removeEntry removes the registry entry of a process that is gone. If the process is alive and
// its reports were only lost, it adds itself again when it next reads the registry.
func (e *Exchanger) removeEntry(ctx context.Context, o objectapi.Object) {
	err := e.Registry.Delete(ctx, o.Key, o.Version)
	e.Log.Info("deleting a silent peer from the registry", zap.String("key", o.Key), zap.Error(err))
}
