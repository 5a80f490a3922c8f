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
	"google.golang.org/protobuf/proto"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
)

const (
	// repeatInterval is the time between two repetitions of news.
	repeatInterval = 250 * time.Millisecond
	// urgentRate and newsBurst, in bytes, bound what a process sends at once, whatever the number of receivers: one that
	// sees a request crash its third endpoint must tell the others before it comes to one of them. What is beyond
	// waits for the next repetition.
	urgentRate  = 512
	urgentBurst = 4 << 10
	// compareInterval is the time between two comparisons of quarantines: several may be lost before a process that was
	// cut off runs what it missed.
	compareInterval = 250 * time.Millisecond
	// fanout others get each round of news.
	fanout = 3
	// maxBroadcastHosts is the number of others up to which all get them.
	maxBroadcastHosts = 6
	// messageBytes is about what one message of news holds: with all repetitions it makes 3 KB/s at most.
	messageBytes = 200
	// headerBytes of a datagram count as well.
	headerBytes = 28
	// recordsPerAnswer bound what a comparison costs; a process that lacks many reads them from the store.
	recordsPerAnswer = 3
)

// The steps of a comparison.
const (
	stepRequest = iota
	stepAnswer
	stepLast
)

// Exchanger exchanges cases with other processes. Its fields are set before Run.
type Exchanger struct {
	Group *datagram.Group
	// Hosts lists the other processes, of all failure domains: callers turn to any.
	Hosts       func() []netip.Addr
	Quarantines *quarantine.Tracker
	// Now is the clock of the book.
	Now func() time.Time
	Log *zap.Logger
}

// Run exchanges cases until ctx ends.
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

// sendUpdates passes news on, the first time at once.
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

// sendUpdate sends a message of news and returns how many bytes that took. What nobody hears is not taken from the book.
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
		rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		hosts = hosts[:fanout]
	}
	// The digest is left out: news alone are no comparison.
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
	data, err := proto.Marshal(r)
	if err != nil || len(data) > datagram.MaxSize {
		e.Log.Error("quarantine report", zap.Int("bytes", len(data)), zap.Error(err))
		return 0
	}
	// A message may be lost anyway: news are repeated, and comparisons go on.
	e.Group.Send(data, hosts)
	return len(hosts) * (len(data) + headerBytes)
}

// receive takes in a report. A comparison that finds a difference has both sides send what they hold.
func (e *Exchanger) receive(data []byte, from net.Addr) {
	var r wire.QuarantineReport
	err := proto.Unmarshal(data, &r)
	if err == nil {
		err = e.Quarantines.MergeWire(r.GetCases(), e.Now())
	}
	if err != nil {
		e.Log.Warn("quarantine report does not decode", zap.Stringer("from", from), zap.Error(errors.Trace(err)))
		return
	}
	own, other := e.Quarantines.Digests(), digestsFromWire(r.GetDigests())
	if r.GetStep() >= stepLast || own == other {
		return
	}
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	records := quarantine.RecordsToWire(e.sampleDifferences(own, other), e.Now())
	answer := &wire.QuarantineReport{Digests: digestsToWire(own), Step: r.GetStep() + 1, Cases: records}
	e.send(answer, []netip.Addr{udp.AddrPort().Addr().Unmap()})
}

// digestsToWire leaves out the digests of a book without quarantines, as most are.
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

// sampleDifferences draws as many quarantines as fit an answer, of those parts in which two books differ; the next comparison
// brings others.
func (e *Exchanger) sampleDifferences(own, other quarantine.Digests) []quarantine.Record {
	records := slices.DeleteFunc(e.Quarantines.DurableRecords(), func(r quarantine.Record) bool {
		bucket := quarantine.BucketOf(r.Key)
		return own[bucket] == other[bucket]
	})
	return quarantine.Sample(records, recordsPerAnswer)
}
