package origingossip

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/sleep"
)

const (
	// copies is the number of other processes that get a process's records.
	copies = 2
	// maxBroadcastHosts is the number of other processes up to which all of them get the records.
	maxBroadcastHosts = 6
	// recordsPerMessage and versionsPerMessage keep a message within one datagram: a record takes 14 bytes, a version
	// with long names some 40.
	recordsPerMessage  = 40
	versionsPerMessage = 15
	// messagesPerBatch bounds the messages sent at once, and batchPause is the time until the next ones: when a second
	// version appears, the records of a minute are sent.
	messagesPerBatch = 8
	batchPause       = 20 * time.Millisecond
	// askTimeout is how long an answer is awaited, and askRepeat after what time the question is sent once more.
	askTimeout = 100 * time.Millisecond
	askRepeat  = 40 * time.Millisecond
	// askRate and askBurst bound the datagrams per second with which a process asks for streams, as callers can name any:
	// 4 streams a second, and 128 at once, among 370 processes.
	askRate  = 1_500
	askBurst = 48_000
	// startRequests is how often, at intervals of startInterval, a process that has started asks requestHosts others for
	// the versions that they know, and startTime how long it waits for others to ask.
	startRequests = 3
	startInterval = 200 * time.Millisecond
	requestHosts  = 3
	startTime     = 10 * time.Second
)

// Exchanger exchanges origins with other processes. Create it with New.
type Exchanger struct {
	channel *datagram.Channel[wire.StreamReport, *wire.StreamReport]
	origins *streamorigin.Registry
	self    netip.Addr
	// hosts lists the other processes, of all failure domains, domainHosts those of the own one.
	hosts, domainHosts func() []netip.Addr
	asks               *rate.Limiter
}

// New returns an exchanger of the origins in a registry. Self is this process's host.
func New(group *datagram.Socket, origins *streamorigin.Registry, self netip.Addr, hosts, domainHosts func() []netip.Addr, log *zap.Logger) *Exchanger {
	return &Exchanger{
		channel: &datagram.Channel[wire.StreamReport, *wire.StreamReport]{Socket: group, Kind: "stream report", Log: log},
		origins: origins, self: self, hosts: hosts, domainHosts: domainHosts, asks: rate.NewLimiter(askRate, askBurst),
	}
}

// Run exchanges origins until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { e.channel.Receive(ctx, e.receive) })
	workers.Go(func() { e.askAtStart(ctx) })
	for {
		select {
		case <-e.origins.Ready():
			e.sendRecords(ctx)
		case <-ctx.Done():
			workers.Wait()
			return
		}
	}
}

// askAtStart asks a few others for the versions that they know: this process has not seen those whose last endpoint left
// before it started.
func (e *Exchanger) askAtStart(ctx context.Context) {
	end := time.Now().Add(startTime)
	for requests := 0; requests < startRequests && time.Now().Before(end) && sleep.For(ctx, startInterval); {
		hosts := datagram.Sample(e.hosts(), requestHosts)
		if len(hosts) > 0 {
			e.channel.Send(&wire.StreamReport{AsksVersions: true}, hosts)
			requests++
		}
	}
}

// sendRecords sends the records of streams that have begun. They do not wait for others: many streams take 100 ms in all,
// and those whose record was not sent are refused if this process is killed.
func (e *Exchanger) sendRecords(ctx context.Context) {
	receivers := e.receivers()
	if len(receivers) == 0 {
		return
	}
	for sent := 0; ; sent++ {
		if sent == messagesPerBatch {
			sent = 0
			if !sleep.For(ctx, batchPause) {
				return
			}
		}
		records := e.origins.TakePending(recordsPerMessage, time.Now())
		if len(records) == 0 {
			return
		}
		e.channel.Send(recordsToWire(records), receivers)
	}
}

// receivers returns the processes that get this process's records: one of another failure domain, if there is any, as
// hosts of one domain may be lost together.
func (e *Exchanger) receivers() []netip.Addr {
	hosts := e.hosts()
	if len(hosts) <= maxBroadcastHosts {
		return hosts
	}
	inDomain := map[netip.Addr]bool{}
	for _, host := range e.domainHosts() {
		inDomain[host] = true
	}
	var out []netip.Addr
	for len(out) < copies {
		next, ok := e.nextReceiver(hosts, func(host netip.Addr) bool { return len(out) == 0 && inDomain[host] }, out)
		if !ok {
			next, ok = e.nextReceiver(hosts, func(netip.Addr) bool { return false }, out)
		}
		if !ok {
			break
		}
		out = append(out, next)
	}
	return out
}

// nextReceiver picks the host with the highest rendezvous hash that is neither excluded nor picked yet. Each process has
// other receivers, and keeps them while they live.
func (e *Exchanger) nextReceiver(hosts []netip.Addr, isExcluded func(netip.Addr) bool, picked []netip.Addr) (best netip.Addr, ok bool) {
	var highest uint64
	for _, host := range hosts {
		if isExcluded(host) || slices.Contains(picked, host) {
			continue
		}
		if hash := xxhash.Sum64String(e.self.String() + "/" + host.String()); !ok || hash > highest {
			best, highest, ok = host, hash, true
		}
	}
	return best, ok
}

// Find returns the origin of a stream. If this process does not know it, it asks the others.
func (e *Exchanger) Find(ctx context.Context, stream streamorigin.Key) (streamorigin.Origin, bool) {
	if origin, ok := e.origins.Find(stream); ok {
		return origin, true
	}
	hosts := e.hosts()
	if len(hosts) == 0 || !e.asks.AllowN(time.Now(), len(hosts)) {
		return streamorigin.Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	arrived, stopWaiting := e.origins.Arrival(stream)
	defer stopWaiting()
	question := &wire.StreamReport{Asks: []uint64{uint64(stream)}}
	e.channel.Send(question, hosts)
	repeat := time.NewTimer(askRepeat)
	defer repeat.Stop()
	for {
		select {
		case <-arrived:
			return e.origins.Find(stream)
		case <-repeat.C:
			e.channel.Send(question, hosts)
		case <-ctx.Done():
			return streamorigin.Origin{}, false
		}
	}
}

// receive merges a report and answers what it asks for. A stream that is not known is not answered: with hundreds of
// processes, the answers that say nothing would be most of the traffic.
func (e *Exchanger) receive(r *wire.StreamReport, from netip.Addr) {
	now := time.Now()
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

func (e *Exchanger) sendVersions(now time.Time, to netip.Addr) {
	versions := e.origins.Versions(now)
	for len(versions) > 0 {
		n := min(len(versions), versionsPerMessage)
		e.channel.Send(&wire.StreamReport{Versions: versionsToWire(versions[:n])}, []netip.Addr{to})
		versions = versions[n:]
	}
}
