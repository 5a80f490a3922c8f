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
func (s *Exchanger) Run(ctx context.Context) {
	s.mu.Lock()
	s.peers, s.silent = map[netip.AddrPort]*peer{}, map[netip.AddrPort]bool{}
	s.mu.Unlock()
	var workers sync.WaitGroup
	workers.Go(s.receive)
	workers.Go(func() { s.runRegistration(ctx) })
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			s.sendReport(false, fanout)
			s.Directory.ExpirePeers(time.Now())
		case <-ctx.Done():
		}
	}
	s.sendReport(true, math.MaxInt)
	s.Conn.Close()
	workers.Wait()
}

// Hosts lists the hosts of the other processes that are known, of all failure domains.
func (s *Exchanger) Hosts() []netip.Addr {
	return s.hosts(func(*peer) bool { return true })
}

// DomainHosts lists those of this process's own failure domain that have not stopped.
func (s *Exchanger) DomainHosts() []netip.Addr {
	return s.hosts(func(p *peer) bool { return p.domain == s.Domain && !p.hasLeft })
}

func (s *Exchanger) hosts(matches func(*peer) bool) []netip.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]netip.Addr, 0, len(s.peers))
	for address, p := range s.peers {
		if matches(p) {
			out = append(out, address.Addr())
		}
	}
	return out
}

// Processes counts the known processes, this one included.
func (s *Exchanger) Processes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) + 1
}

// sendReport sends what is underway to the next peers in turn.
func (s *Exchanger) sendReport(leaving bool, limit int) {
	targets := s.nextTargets(limit)
	if len(targets) == 0 {
		return
	}
	s.lastNumber++
	data, err := encode(routing.PeerReport{
		Sender: s.Incarnation, Number: s.lastNumber, Domain: s.Domain, Work: s.Directory.OwnWork(), Leaving: leaving,
	})
	if err != nil {
		s.Log.Error("work report", zap.Error(err))
		return
	}
	for _, to := range targets {
		// A datagram may be lost anyway: the next report follows.
		s.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
	}
}

// nextTargets picks the next peers to be told.
func (s *Exchanger) nextTargets(limit int) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.evictSilent(now)
	list := make([]netip.AddrPort, 0, len(s.peers))
	for address, p := range s.peers {
		if p.domain == s.Domain || len(s.peers) <= smallFleet {
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
		s.lastTarget = (s.lastTarget + 1) % len(list)
		out = append(out, list[s.lastTarget])
		if p := s.peers[list[s.lastTarget]]; p.reportedSince.IsZero() {
			p.reportedSince = now
		}
	}
	return out
}

// evictSilent drops the peers that say nothing; s.mu is held.
func (s *Exchanger) evictSilent(now time.Time) {
	for address, p := range s.peers {
		if p.silentFor(now) > silenceTimeout {
			delete(s.peers, address)
			s.silent[address] = true
		}
	}
}

// receive takes in reports until the connection is closed. A sender that the registry
// has not named yet is a peer from now on.
func (s *Exchanger) receive() {
	datagram.Each(s.Conn, func(data []byte, from net.Addr) {
		report, err := decode(data)
		if err != nil {
			s.Log.Warn("work report does not decode", zap.Stringer("from", from), zap.Error(err))
			return
		}
		s.handleReport(report, from)
	})
}

func (s *Exchanger) handleReport(r routing.PeerReport, from net.Addr) {
	now := time.Now()
	s.Directory.ApplyPeerReport(r, now)
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	address := udp.AddrPort()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Leaving {
		if p := s.peers[address]; p != nil {
			p.hasLeft = true
		}
		return
	}
	if s.peers[address] == nil {
		s.Log.Info("peer heard", zap.Stringer("address", address), zap.String("domain", r.Domain))
		s.peers[address] = &peer{}
	}
	p := s.peers[address]
	p.domain, p.lastSeen, p.hasLeft = r.Domain, now, false
	delete(s.silent, address)
}

// runRegistration enters this process in the registry and reads the others from it. Of two
// that start together the later finds the earlier there and reports to it, so each
// learns of the other.
func (s *Exchanger) runRegistration(ctx context.Context) {
	next := settleDelay
	for ctx.Err() == nil {
		wait := registryRetryDelay
		if err := s.registerOnce(ctx); err != nil {
			s.Log.Warn("registry of peers does not answer", zap.Error(err))
		} else {
			wait, next = next, registryInterval
		}
		pause.For(ctx, pause.Jitter(wait))
	}
}

func (s *Exchanger) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	own := registryKey(s.Domain, s.Address)
	_, err := s.Registry.Put(ctx, own, []byte{}, 0)
	if err != nil && !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	list, err := s.Registry.List(ctx, registryPrefix)
	if err != nil {
		return err
	}
	present := map[netip.AddrPort]bool{}
	for _, o := range list {
		domain, address, err := parseRegistryKey(o.Key)
		if err != nil {
			s.Log.Error("registry of peers", zap.String("key", o.Key), zap.Error(err))
			continue
		}
		present[address] = true
		if address != s.Address && s.addListed(domain, address) {
			s.removeEntry(ctx, o)
		}
	}
	s.evictUnlisted(present)
	return nil
}

// evictUnlisted drops the peers that only the registry spoke of, and does no more.
func (s *Exchanger) evictUnlisted(present map[netip.AddrPort]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.peers {
		if p.reportedSince.IsZero() && !present[address] {
			delete(s.peers, address)
		}
	}
}

// addListed notes a peer that the registry names. True asks for the entry's removal: the
// peer has been told of this process for long and has said nothing.
func (s *Exchanger) addListed(domain string, address netip.AddrPort) (remove bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent[address] {
		delete(s.silent, address)
		return true
	}
	if s.peers[address] == nil {
		s.peers[address] = &peer{domain: domain, lastSeen: time.Now()}
	}
	return false
}

// removeEntry removes an entry of a process that is gone. One that lives, and was only not
// heard, enters itself again when it reads the registry.
func (s *Exchanger) removeEntry(ctx context.Context, o objectapi.Object) {
	err := s.Registry.Delete(ctx, o.Key, o.Version)
	s.Log.Info("silent peer taken out of the registry", zap.String("key", o.Key), zap.Error(err))
}
