package quarantinegossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
)

const (
	// repeatInterval is the time between two repetitions of updates.
	repeatInterval = 250 * time.Millisecond
	// urgentRate and urgentBurst, in bytes, bound what a process sends at once, whatever the number of receivers:
	// one that sees a request crash its third endpoint must inform the others before the request reaches one of
	// them. What exceeds the limit waits for the next repetition.
	urgentRate  = 512
	urgentBurst = 4 << 10
	// compareInterval is the time between two comparisons of quarantines: several may be lost before a process
	// that was cut off runs a request that it should refuse.
	compareInterval = 250 * time.Millisecond
	// fanout is the number of other processes that get each update message.
	fanout = 3
	// maxBroadcastHosts is the number of other processes up to which all of them get it.
	maxBroadcastHosts = 6
	// messageBytes is about the size of the updates in one message: with all repetitions they take 3 KB/s at most.
	messageBytes = 200
	// recordsPerAnswer bounds the cost of a comparison; a process that lacks many quarantines reads them from the
	// store.
	recordsPerAnswer = 3
)

// The steps of a comparison.
const (
	stepRequest = iota
	stepAnswer
	stepLast
)

// Exchanger exchanges crash records with other processes. Its fields are set before Run.
type Exchanger struct {
	Group *datagram.Socket
	// Hosts lists the other processes, of all failure domains: callers may turn to any of them.
	Hosts       func() []netip.Addr
	Quarantines *quarantine.Tracker
	// Now is the clock of the tracker.
	Now func() time.Time
	Log *zap.Logger
}

// Run exchanges records until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { e.Group.Receive(ctx, e.receive) })
	workers.Go(func() { e.sendUpdates(ctx) })
	compare := time.NewTicker(compareInterval)
	defer compare.Stop()
	for {
		select {
		case <-compare.C:
			e.compare()
		case <-ctx.Done():
			workers.Wait()
			return
		}
	}
}

// sendUpdates sends updates, urgent ones at once and all of them repeatedly, until ctx ends.
func (e *Exchanger) sendUpdates(ctx context.Context) {
	urgentLimit := rate.NewLimiter(urgentRate, urgentBurst)
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	for {
		select {
		case <-e.Quarantines.UrgentPending():
			if urgentLimit.Tokens() > 0 {
				urgentLimit.ReserveN(time.Now(), min(e.sendUpdate(e.Quarantines.PopUrgentUpdates), urgentBurst))
			}
		case <-repeat.C:
			e.sendUpdate(e.Quarantines.PopUpdates)
		case <-ctx.Done():
			return
		}
	}
}

// sendUpdate sends one message of updates and returns how many bytes that took. Without receivers, nothing is
// popped from the tracker.
func (e *Exchanger) sendUpdate(pop func(bytes int, now time.Time) []quarantine.Record) int {
	hosts := e.Hosts()
	if len(hosts) == 0 {
		return 0
	}
	records := pop(messageBytes, e.Now())
	if len(records) == 0 {
		return 0
	}
	if len(hosts) > maxBroadcastHosts {
		hosts = datagram.Sample(hosts, fanout)
	}
	// The digests are left out: updates alone are no comparison.
	return e.send(&wire.QuarantineReport{Step: stepLast, Cases: quarantine.RecordsToWire(records, e.Now())}, hosts)
}

func (e *Exchanger) compare() {
	hosts := e.Hosts()
	if len(hosts) > 0 {
		e.send(&wire.QuarantineReport{Digests: digestsToWire(e.Quarantines.Digests()), Step: stepRequest}, []netip.Addr{hosts[rand.IntN(len(hosts))]})
	}
}

// send returns how many bytes it sent.
func (e *Exchanger) send(r *wire.QuarantineReport, hosts []netip.Addr) int {
	return e.channel().Send(r, hosts)
}

func (e *Exchanger) channel() *datagram.Channel[wire.QuarantineReport, *wire.QuarantineReport] {
	return &datagram.Channel[wire.QuarantineReport, *wire.QuarantineReport]{Socket: e.Group, Kind: "quarantine report", Log: e.Log}
}

func (e *Exchanger) receive(data []byte, from net.Addr) { e.channel().Dispatch(data, from, e.merge) }

// merge merges a report. If a comparison finds a difference, both sides send some of the records in the buckets
// that differ.
func (e *Exchanger) merge(r *wire.QuarantineReport, from netip.Addr) {
	if err := e.Quarantines.MergeWire(r.GetCases(), e.Now()); err != nil {
		e.Log.Warn("quarantine report does not decode", zap.Stringer("from", from), zap.Error(errors.Trace(err)))
		return
	}
	own, other := e.Quarantines.Digests(), digestsFromWire(r.GetDigests())
	if r.GetStep() >= stepLast || own == other {
		return
	}
	records := quarantine.RecordsToWire(e.sampleDifferences(own, other), e.Now())
	answer := &wire.QuarantineReport{Digests: digestsToWire(own), Step: r.GetStep() + 1, Cases: records}
	e.send(answer, []netip.Addr{from})
}

// digestsToWire omits the digests of a tracker without quarantines, as most are.
func digestsToWire(d quarantine.Digests) []uint32 {
	if d == (quarantine.Digests{}) {
		return nil
	}
	return d[:]
}

func digestsFromWire(digests []uint32) quarantine.Digests {
	var d quarantine.Digests
	copy(d[:], digests)
	return d
}

// sampleDifferences returns a random sample of the durable records in buckets where two trackers differ, as many
// as fit an answer; the next comparison brings others.
func (e *Exchanger) sampleDifferences(own, other quarantine.Digests) []quarantine.Record {
	records := slices.DeleteFunc(e.Quarantines.DurableRecords(), func(r quarantine.Record) bool {
		bucket := quarantine.BucketOf(r.Key)
		return own[bucket] == other[bucket]
	})
	return quarantine.Sample(records, recordsPerAnswer)
}
