package origingossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/sleep"
)

const (
	// maxBroadcastPeers is the number of other processes up to which all of them get the records.
	maxBroadcastPeers = 6
	// recordsPerMessage and versionsPerMessage keep a message within one datagram: a record takes 14 bytes, a version
	// with long names some 40.
	recordsPerMessage  = 40
	versionsPerMessage = 15
	// batchesAtOnce bounds the batches of records sent at once, and batchPause is the time until the next ones: when a
	// second version appears, the records of a minute are sent.
	batchesAtOnce = 8
	batchPause    = 20 * time.Millisecond
	// askTimeout is how long an answer is awaited, and askRepeat after what time all others are asked.
	askTimeout = 100 * time.Millisecond
	askRepeat  = 40 * time.Millisecond
	// askRate and askBurst bound the datagrams per second with which a process asks for streams, as callers can name any:
	// 4 streams a second, and 128 at once, among 370 processes.
	askRate  = 1_500
	askBurst = 48_000
	// startRequests is how often, at intervals of startInterval, a process that has started asks requestHosts others for
	// the versions and processes that they know, and startTime how long it waits for others to ask.
	startRequests = 3
	startInterval = 200 * time.Millisecond
	requestHosts  = 3
	startTime     = 10 * time.Second
	// namedPeers is the number of processes that one introduces to another.
	namedPeers = 6
)

// Peer is a process that serves the same callers.
type Peer struct {
	Host netip.Addr
	// Domain is its failure domain.
	Domain string
}

// Exchanger exchanges origins with other processes. Create it with New.
type Exchanger struct {
	channel *datagram.Channel[wire.StreamReport, *wire.StreamReport]
	origins *streamorigin.Registry
	self    Peer
	// peers lists the other processes that membership knows, of all failure domains; learned are further ones.
	peers   func() []Peer
	learned learnedPeers
	asks    *rate.Limiter
}

// New returns an exchanger of the origins in a registry.
func New(group *datagram.Socket, origins *streamorigin.Registry, self Peer, peers func() []Peer, log *zap.Logger) *Exchanger {
	return &Exchanger{
		channel: &datagram.Channel[wire.StreamReport, *wire.StreamReport]{Socket: group, Kind: "stream report", Log: log},
		origins: origins, self: self, peers: peers, asks: rate.NewLimiter(askRate, askBurst),
	}
}

// Run exchanges origins until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { e.channel.Receive(ctx, e.receive) })
	workers.Go(func() { e.askAtStart(ctx) })
	var retry <-chan time.Time
	for {
		select {
		case <-e.origins.Ready():
		case <-retry:
		case <-ctx.Done():
			workers.Wait()
			return
		}
		retry = nil
		if !e.sendRecords(ctx) {
			retry = time.After(startInterval)
		}
	}
}

// knownPeers lists all other processes that this one knows.
func (e *Exchanger) knownPeers() []Peer {
	members := e.peers()
	return slices.Concat(members, e.learned.list(members, time.Now()))
}

// askAtStart asks a few others for the versions that they know: this process has not seen those whose last endpoint left
// before it started. Those that are asked learn of this process, and name further ones in their answers.
func (e *Exchanger) askAtStart(ctx context.Context) {
	end := time.Now().Add(startTime)
	for requests := 0; requests < startRequests && time.Now().Before(end); {
		hosts := datagram.Sample(hostsOf(e.knownPeers()), requestHosts)
		if len(hosts) > 0 {
			e.sendIntroduction(&wire.StreamReport{AsksVersions: true}, hosts)
			requests++
		}
		if !sleep.For(ctx, startInterval) {
			return
		}
	}
}

// sendIntroduction sends a report that also says where this process runs and names some of the processes that it knows.
func (e *Exchanger) sendIntroduction(r *wire.StreamReport, hosts []netip.Addr) {
	members := e.peers()
	named := slices.Concat(members, e.learned.senders(members, time.Now()))
	rand.Shuffle(len(named), func(i, j int) { named[i], named[j] = named[j], named[i] })
	r.Introduction = &wire.StreamIntroduction{Domain: e.self.Domain, Peers: peersToWire(named[:min(len(named), namedPeers)])}
	e.channel.Send(r, hosts)
}

// learnPeers records who sent a report and whom it names. A sender that is not known yet is asked to introduce itself.
func (e *Exchanger) learnPeers(introduction *wire.StreamIntroduction, from netip.Addr, now time.Time) {
	if introduction != nil {
		e.learned.add(Peer{from, introduction.GetDomain()}, true, now)
		for _, p := range peersFromWire(introduction.GetPeers()) {
			if p.Host != e.self.Host {
				e.learned.add(p, false, now)
			}
		}
		return
	}
	isMember := func(p Peer) bool { return p.Host == from }
	if !e.learned.refresh(from, now) && !slices.ContainsFunc(e.peers(), isMember) && e.asks.Allow() {
		e.sendIntroduction(&wire.StreamReport{AsksVersions: true}, []netip.Addr{from})
	}
}

// sendRecords sends the records of streams that have begun to their keepers. They do not wait for others: many streams take
// 100 ms in all, and those whose record was not sent are refused if this process is killed. It returns false if no other
// process is known yet.
func (e *Exchanger) sendRecords(ctx context.Context) bool {
	peers := e.knownPeers()
	if len(peers) == 0 {
		return false
	}
	for sent := 0; ; sent++ {
		if sent == batchesAtOnce {
			sent = 0
			if !sleep.For(ctx, batchPause) {
				return true
			}
		}
		records := e.origins.TakePending(recordsPerMessage, time.Now())
		if len(records) == 0 {
			return true
		}
		e.sendBatch(records, peers)
	}
}

func (e *Exchanger) sendBatch(records []streamorigin.Record, peers []Peer) {
	if len(peers) <= maxBroadcastPeers {
		e.channel.Send(recordsToWire(records), hostsOf(peers))
		return
	}
	byKeeper := map[netip.Addr][]streamorigin.Record{}
	for _, record := range records {
		for _, keeper := range keepers(record.Stream, e.self, peers) {
			byKeeper[keeper] = append(byKeeper[keeper], record)
		}
	}
	for keeper, list := range byKeeper {
		e.channel.Send(recordsToWire(list), []netip.Addr{keeper})
	}
}

func hostsOf(peers []Peer) []netip.Addr {
	hosts := make([]netip.Addr, 0, len(peers))
	for _, p := range peers {
		hosts = append(hosts, p.Host)
	}
	return hosts
}

// ask asks some hosts for the origin of a stream.
func (e *Exchanger) ask(stream streamorigin.Key, hosts []netip.Addr) {
	if len(hosts) > 0 && e.asks.AllowN(time.Now(), len(hosts)) {
		e.channel.Send(&wire.StreamReport{Asks: []uint64{uint64(stream)}}, hosts)
	}
}

// Find returns the origin of a stream. If this process does not know it, it asks the keepers of the stream, and then all
// others: the process that recorded the origin may live though its keepers do not, or have picked others.
func (e *Exchanger) Find(ctx context.Context, stream streamorigin.Key) (streamorigin.Origin, bool) {
	if origin, ok := e.origins.Find(stream); ok {
		return origin, true
	}
	peers := e.knownPeers()
	if len(peers) == 0 {
		return streamorigin.Origin{}, false
	}
	all := hostsOf(peers)
	first := all
	if len(peers) > maxBroadcastPeers {
		first = keepers(stream, e.self, peers)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	arrived, stopWaiting := e.origins.Arrival(stream)
	defer stopWaiting()
	e.ask(stream, first)
	repeat := time.NewTimer(askRepeat)
	defer repeat.Stop()
	for {
		select {
		case <-arrived:
			return e.origins.Find(stream)
		case <-repeat.C:
			e.ask(stream, all)
		case <-ctx.Done():
			return streamorigin.Origin{}, false
		}
	}
}

// receive merges a report and answers what it asks for. A stream that is not known is not answered: with hundreds of
// processes, the answers that say nothing would be most of the traffic.
func (e *Exchanger) receive(r *wire.StreamReport, from netip.Addr) {
	now := time.Now()
	e.learnPeers(r.GetIntroduction(), from, now)
	versions := versionsFromWire(r.GetVersions())
	e.origins.MergeVersions(versions, now)
	for _, o := range r.GetOrigins() {
		if int(o.GetVersion()) < len(versions) {
			e.origins.Merge(streamorigin.Key(o.GetStream()), versions[o.GetVersion()].Origin, now)
		}
	}
	var known []streamorigin.Record
	for _, ask := range r.GetAsks()[:min(len(r.GetAsks()), recordsPerMessage)] {
		if origin, ok := e.origins.Find(streamorigin.Key(ask)); ok {
			known = append(known, streamorigin.Record{Stream: streamorigin.Key(ask), Origin: origin})
		}
	}
	if len(known) > 0 {
		e.channel.Send(recordsToWire(known), []netip.Addr{from})
	}
	if r.GetAsksVersions() {
		e.sendVersions(now, from)
	}
}

// sendVersions answers a process that asks for the versions and processes that this one knows.
func (e *Exchanger) sendVersions(now time.Time, to netip.Addr) {
	versions := e.origins.Versions(now)
	for {
		n := min(len(versions), versionsPerMessage)
		e.sendIntroduction(&wire.StreamReport{Versions: versionsToWire(versions[:n])}, []netip.Addr{to})
		if versions = versions[n:]; len(versions) == 0 {
			return
		}
	}
}
