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
	// reportEvery is the time between two reports: a prompt waits and is read for a
	// few hundred ms.
	reportEvery = 250 * time.Millisecond
	// fanout peers get each report, in turn: with 200 bytes a report, at 12 requests a
	// second, a process sends 3.6 KB/s with headers, whatever the size of its domain.
	fanout = 4
	// wholeFleet is the number of other processes up to which all are told; beyond,
	// only those of the own failure domain, who use the same endpoints most.
	wholeFleet = 6
	// silentAfter is when a peer that is not heard of is told nothing more.
	silentAfter = 30 * time.Second
	// registerEvery is how often the registry is read again: it heals what a start
	// during a partition left out.
	registerEvery = time.Minute
	// settleAfter is when the registry is read for the second time: the first to start
	// of a fleet finds few there and would take it for a small one until registerEvery.
	settleAfter = 5 * time.Second
	// registerTimeout bounds one call to the registry, registerPause follows a failed one.
	registerTimeout = 2 * time.Second
	registerPause   = 2 * time.Second
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
	// turn is where the next round of reports goes on in the list of peers.
	turn   int
	number uint64
}

// peer is another process.
type peer struct {
	domain string
	// heard is when it last reported, or when the registry named it.
	heard time.Time
	// toldSince is when reports to it began; zero while it is sent none.
	toldSince time.Time
	// left tells that it has stopped. It is told on until it counts as silent: one that is back at once can't know the
	// others while the registry is down.
	left bool
}

// silentFor is how long it has said nothing although it was told of this process. One that
// is told nothing has no reason to report.
func (p *peer) silentFor(now time.Time) time.Duration {
	if p.toldSince.IsZero() {
		return 0
	}
	return min(now.Sub(p.heard), now.Sub(p.toldSince))
}

// Run exchanges reports until ctx ends, and then says that this process leaves.
func (s *Exchanger) Run(ctx context.Context) {
	s.mu.Lock()
	s.peers, s.silent = map[netip.AddrPort]*peer{}, map[netip.AddrPort]bool{}
	s.mu.Unlock()
	var duties sync.WaitGroup
	duties.Go(s.receive)
	duties.Go(func() { s.register(ctx) })
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			s.report(false, fanout)
			s.Directory.ExpirePeers(time.Now())
		case <-ctx.Done():
		}
	}
	s.report(true, math.MaxInt)
	s.Conn.Close()
	duties.Wait()
}

// Hosts lists the hosts of the other processes that are known, of all failure domains.
func (s *Exchanger) Hosts() []netip.Addr {
	return s.hosts(func(*peer) bool { return true })
}

// DomainHosts lists those of this process's own failure domain that have not stopped.
func (s *Exchanger) DomainHosts() []netip.Addr {
	return s.hosts(func(p *peer) bool { return p.domain == s.Domain && !p.left })
}

func (s *Exchanger) hosts(which func(*peer) bool) []netip.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]netip.Addr, 0, len(s.peers))
	for address, p := range s.peers {
		if which(p) {
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

// report sends what is underway to the next peers in turn.
func (s *Exchanger) report(leaving bool, most int) {
	targets := s.targets(most)
	if len(targets) == 0 {
		return
	}
	s.number++
	data, err := encode(routing.PeerReport{
		Sender: s.Incarnation, Number: s.number, Domain: s.Domain, Work: s.Directory.OwnWork(), Leaving: leaving,
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

// targets picks the next peers to be told.
func (s *Exchanger) targets(most int) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.forgetSilent(now)
	list := make([]netip.AddrPort, 0, len(s.peers))
	for address, p := range s.peers {
		if p.domain == s.Domain || len(s.peers) <= wholeFleet {
			list = append(list, address)
			continue
		}
		// The fleet has grown beyond a small one.
		p.toldSince = time.Time{}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	most = min(most, len(list))
	out := make([]netip.AddrPort, 0, most)
	for range most {
		s.turn = (s.turn + 1) % len(list)
		out = append(out, list[s.turn])
		if p := s.peers[list[s.turn]]; p.toldSince.IsZero() {
			p.toldSince = now
		}
	}
	return out
}

// forgetSilent drops the peers that say nothing; s.mu is held.
func (s *Exchanger) forgetSilent(now time.Time) {
	for address, p := range s.peers {
		if p.silentFor(now) > silentAfter {
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
		s.take(report, from)
	})
}

func (s *Exchanger) take(r routing.PeerReport, from net.Addr) {
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
			p.left = true
		}
		return
	}
	if s.peers[address] == nil {
		s.Log.Info("peer heard", zap.Stringer("address", address), zap.String("domain", r.Domain))
		s.peers[address] = &peer{}
	}
	p := s.peers[address]
	p.domain, p.heard, p.left = r.Domain, now, false
	delete(s.silent, address)
}

// register enters this process in the registry and reads the others from it. Of two
// that start together the later finds the earlier there and reports to it, so each
// learns of the other.
func (s *Exchanger) register(ctx context.Context) {
	next := settleAfter
	for ctx.Err() == nil {
		wait := registerPause
		if err := s.registerOnce(ctx); err != nil {
			s.Log.Warn("registry of peers does not answer", zap.Error(err))
		} else {
			wait, next = next, registerEvery
		}
		pause.For(ctx, pause.Jitter(wait))
	}
}

func (s *Exchanger) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
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
		if address != s.Address && s.listed(domain, address) {
			s.drop(ctx, o)
		}
	}
	s.forgetUnlisted(present)
	return nil
}

// forgetUnlisted drops the peers that only the registry spoke of, and does no more.
func (s *Exchanger) forgetUnlisted(present map[netip.AddrPort]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.peers {
		if p.toldSince.IsZero() && !present[address] {
			delete(s.peers, address)
		}
	}
}

// listed notes a peer that the registry names. True asks for the entry's removal: the
// peer has been told of this process for long and has said nothing.
func (s *Exchanger) listed(domain string, address netip.AddrPort) (remove bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent[address] {
		delete(s.silent, address)
		return true
	}
	if s.peers[address] == nil {
		s.peers[address] = &peer{domain: domain, heard: time.Now()}
	}
	return false
}

// drop removes an entry of a process that is gone. One that lives, and was only not
// heard, enters itself again when it reads the registry.
func (s *Exchanger) drop(ctx context.Context, o objectapi.Object) {
	err := s.Registry.Delete(ctx, o.Key, o.Version)
	s.Log.Info("silent peer taken out of the registry", zap.String("key", o.Key), zap.Error(err))
}
