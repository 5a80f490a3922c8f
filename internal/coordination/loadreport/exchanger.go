package loadreport

import (
	"context"
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
	"limpetwall/internal/transport/pause"
)

const (
	// reportInterval is the time between two reports: a prompt waits and is read for a
	// few hundred ms.
	reportInterval = 250 * time.Millisecond
	// fanout peers get each report, in turn: with 200 bytes a report, at 12 requests a
	// second, a process sends 3.6 KB/s with headers, whatever the size of its domain.
	fanout = 4
	// smallFleet is the number of other processes up to which all are told; beyond,
	// only those of the own failure domain, who use the same endpoints most.
	smallFleet = 6
	// silenceTimeout is when a peer that is not heard of is told nothing more.
	silenceTimeout = 30 * time.Second
	// registryInterval is how often the registry is read again: it heals what a start
	// during a partition left out.
	registryInterval = time.Minute
	// settleDelay is when the registry is read for the second time: the first to start
	// of a fleet finds few there and would take it for a small one until registerEvery.
	settleDelay = 5 * time.Second
	// registryTimeout bounds one call to the registry, registerPause follows a failed one.
	registryTimeout    = 2 * time.Second
	registryRetryDelay = 2 * time.Second
)

// Directory knows the work underway.
type Directory interface {
	OwnWork() []routing.Work
	ApplyPeerReport(r routing.PeerReport, now time.Time)
	ExpirePeers(now time.Time)
}

// Exchanger exchanges reports with the other processes. Its fields are set before Run.
type Exchanger struct {
	// Conn sends and receives reports; Run closes it.
	Conn net.PacketConn
	// Address of Conn as peers reach it.
	Address netip.AddrPort
	Domain  string
	// Incarnation names this life of the process.
	Incarnation uint64
	Directory   Directory
	// Registry holds the addresses of all processes; it outlives them.
	Registry objectapi.API
	Log      *zap.Logger

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	// silent peers were told for silentAfter and said nothing.
	silent map[netip.AddrPort]bool
	// lastTarget is where the next round of reports goes on in the list of peers.
	lastTarget int
	lastNumber uint64
}

// peer is another process.
type peer struct {
	domain string
	// lastSeen is when it last reported, or when the registry named it.
	lastSeen time.Time
	// reportedSince is when reports to it began; zero while it is sent none.
	reportedSince time.Time
	// hasLeft tells that it has stopped. It is told on until it counts as silent: one that is back at once can't know the
	// others while the registry is down.
	hasLeft bool
}

// silentFor is how long it has said nothing although it was told of this process. One that
// is told nothing has no reason to report.
func (p *peer) silentFor(now time.Time) time.Duration {
	if p.reportedSince.IsZero() {
		return 0
	}
	return min(now.Sub(p.lastSeen), now.Sub(p.reportedSince))
}

// Run exchanges reports until ctx ends, and then says that this process leaves.
func (e *Exchanger) Run(ctx context.Context) {
	e.mu.Lock()
	e.peers, e.silent = map[netip.AddrPort]*peer{}, map[netip.AddrPort]bool{}
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

// Hosts lists the hosts of the other processes that are known, of all failure domains.
func (e *Exchanger) Hosts() []netip.Addr {
	return e.hosts(func(*peer) bool { return true })
}

// DomainHosts lists those of this process's own failure domain that have not stopped.
func (e *Exchanger) DomainHosts() []netip.Addr {
	return e.hosts(func(p *peer) bool { return p.domain == e.Domain && !p.hasLeft })
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

// Processes counts the known processes, this one included.
func (e *Exchanger) Processes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) + 1
}

// sendReport sends what is underway to the next peers in turn.
func (e *Exchanger) sendReport(leaving bool, limit int) {
	targets := e.nextTargets(limit)
	if len(targets) == 0 {
		return
	}
	e.lastNumber++
	data, err := encode(routing.PeerReport{
		Sender: e.Incarnation, Number: e.lastNumber, Domain: e.Domain, Work: e.Directory.OwnWork(), Leaving: leaving,
	})
	if err != nil {
		e.Log.Error("work report", zap.Error(err))
		return
	}
	for _, to := range targets {
		// A datagram may be lost anyway: the next report follows.
		e.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
	}
}

// nextTargets picks the next peers to be told.
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
		// The fleet has grown beyond a small one.
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

// evictSilent drops the peers that say nothing; s.mu is held.
func (e *Exchanger) evictSilent(now time.Time) {
	for address, p := range e.peers {
		if p.silentFor(now) > silenceTimeout {
			delete(e.peers, address)
			e.silent[address] = true
		}
	}
}

// receive takes in reports until the connection is closed. A sender that the registry
// has not named yet is a peer from now on.
func (e *Exchanger) receive() {
	datagram.Each(e.Conn, func(data []byte, from net.Addr) {
		report, err := decode(data)
		if err != nil {
			e.Log.Warn("work report does not decode", zap.Stringer("from", from), zap.Error(err))
			return
		}
		e.handleReport(report, from)
	})
}

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
		e.Log.Info("peer heard", zap.Stringer("address", address), zap.String("domain", r.Domain))
		e.peers[address] = &peer{}
	}
	p := e.peers[address]
	p.domain, p.lastSeen, p.hasLeft = r.Domain, now, false
	delete(e.silent, address)
}

// runRegistration enters this process in the registry and reads the others from it. Of two
// that start together the later finds the earlier there and reports to it, so each
// learns of the other.
func (e *Exchanger) runRegistration(ctx context.Context) {
	next := settleDelay
	for ctx.Err() == nil {
		wait := registryRetryDelay
		if err := e.registerOnce(ctx); err != nil {
			e.Log.Warn("registry of peers does not answer", zap.Error(err))
		} else {
			wait, next = next, registryInterval
		}
		pause.For(ctx, pause.Jitter(wait))
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
			e.Log.Error("registry of peers", zap.String("key", o.Key), zap.Error(err))
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

// evictUnlisted drops the peers that only the registry spoke of, and does no more.
func (e *Exchanger) evictUnlisted(present map[netip.AddrPort]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, p := range e.peers {
		if p.reportedSince.IsZero() && !present[address] {
			delete(e.peers, address)
		}
	}
}

// addListed notes a peer that the registry names. True asks for the entry's removal: the
// peer has been told of this process for long and has said nothing.
func (e *Exchanger) addListed(domain string, address netip.AddrPort) (remove bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent[address] {
		delete(e.silent, address)
		return true
	}
	if e.peers[address] == nil {
		e.peers[address] = &peer{domain: domain, lastSeen: time.Now()}
	}
	return false
}

// removeEntry removes an entry of a process that is gone. One that lives, and was only not
// heard, enters itself again when it reads the registry.
func (e *Exchanger) removeEntry(ctx context.Context, o objectapi.Object) {
	err := e.Registry.Delete(ctx, o.Key, o.Version)
	e.Log.Info("silent peer taken out of the registry", zap.String("key", o.Key), zap.Error(err))
}
