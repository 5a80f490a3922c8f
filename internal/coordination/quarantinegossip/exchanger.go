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
	// rumourEvery is the time between two repetitions of news.
	rumourEvery = 250 * time.Millisecond
	// newsRate and newsBurst, in bytes, bound what a process sends at once, whatever the number of receivers: one that
	// sees a request crash its third endpoint must tell the others before it comes to one of them. What is beyond
	// waits for the next repetition.
	newsRate  = 512
	newsBurst = 4 << 10
	// compareEvery is the time between two comparisons of quarantines: several may be lost before a process that was
	// cut off runs what it missed.
	compareEvery = 250 * time.Millisecond
	// fanout others get each round of news.
	fanout = 3
	// wholeFleet is the number of others up to which all get them.
	wholeFleet = 6
	// roundBytes is about what one message of news holds: with all repetitions it makes 3 KB/s at most.
	roundBytes = 200
	// headerBytes of a datagram count as well.
	headerBytes = 28
	// casesPerAnswer bound what a comparison costs; a process that lacks many reads them from the store.
	casesPerAnswer = 3
)

// The steps of a comparison.
const (
	stepBegin = iota
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
func (s *Exchanger) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.Group.Receive(ctx, s.take) })
	duties.Go(func() { s.spreadNews(ctx) })
	compare := time.NewTicker(compareEvery)
	defer compare.Stop()
	for {
		select {
		case <-compare.C:
			s.compare()
		case <-ctx.Done():
			duties.Wait()
			return
		}
	}
}

// spreadNews passes news on, the first time at once.
func (s *Exchanger) spreadNews(ctx context.Context) {
	atOnce := rate.NewLimiter(newsRate, newsBurst)
	repeat := time.NewTicker(rumourEvery)
	defer repeat.Stop()
	for {
		select {
		case <-s.Quarantines.UrgentPending():
			if atOnce.Tokens() > 0 {
				atOnce.ReserveN(time.Now(), min(s.tell(s.Quarantines.PopUrgentUpdates), newsBurst))
			}
		case <-repeat.C:
			s.tell(s.Quarantines.PopUpdates)
		case <-ctx.Done():
			return
		}
	}
}

// tell sends a message of news and returns how many bytes that took. What nobody hears is not taken from the book.
func (s *Exchanger) tell(take func(bytes int, now time.Time) []quarantine.Record) int {
	hosts := s.Hosts()
	if len(hosts) == 0 {
		return 0
	}
	cases := take(roundBytes, s.Now())
	if len(cases) == 0 {
		return 0
	}
	if len(hosts) > wholeFleet {
		rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		hosts = hosts[:fanout]
	}
	// The digest is left out: news alone are no comparison.
	return s.send(&wire.QuarantineReport{Step: stepLast, Cases: quarantine.RecordsToWire(cases, s.Now())}, hosts)
}

func (s *Exchanger) compare() {
	hosts := s.Hosts()
	if len(hosts) > 0 {
		s.send(&wire.QuarantineReport{Digests: toWire(s.Quarantines.Digests()), Step: stepBegin}, []netip.Addr{hosts[rand.IntN(len(hosts))]})
	}
}

// send returns how many bytes it sent.
func (s *Exchanger) send(r *wire.QuarantineReport, hosts []netip.Addr) int {
	data, err := proto.Marshal(r)
	if err != nil || len(data) > datagram.MaxSize {
		s.Log.Error("quarantine report", zap.Int("bytes", len(data)), zap.Error(err))
		return 0
	}
	// A message may be lost anyway: news are repeated, and comparisons go on.
	s.Group.Send(data, hosts)
	return len(hosts) * (len(data) + headerBytes)
}

// take takes in a report. A comparison that finds a difference has both sides send what they hold.
func (s *Exchanger) take(data []byte, from net.Addr) {
	var r wire.QuarantineReport
	err := proto.Unmarshal(data, &r)
	if err == nil {
		err = s.Quarantines.MergeWire(r.GetCases(), s.Now())
	}
	if err != nil {
		s.Log.Warn("quarantine report does not decode", zap.Stringer("from", from), zap.Error(errors.Trace(err)))
		return
	}
	own, other := s.Quarantines.Digests(), fromWire(r.GetDigests())
	if r.GetStep() >= stepLast || own == other {
		return
	}
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	cases := quarantine.RecordsToWire(s.someDurable(own, other), s.Now())
	answer := &wire.QuarantineReport{Digests: toWire(own), Step: r.GetStep() + 1, Cases: cases}
	s.send(answer, []netip.Addr{udp.AddrPort().Addr().Unmap()})
}

// toWire leaves out the digests of a book without quarantines, as most are.
func toWire(d quarantine.Digests) []uint32 {
	if d == (quarantine.Digests{}) {
		return nil
	}
	return d[:]
}

func fromWire(digests []uint32) quarantine.Digests {
	var d quarantine.Digests
	copy(d[:], digests)
	return d
}

// someDurable draws as many quarantines as fit an answer, of those parts in which two books differ; the next comparison
// brings others.
func (s *Exchanger) someDurable(own, other quarantine.Digests) []quarantine.Record {
	cases := slices.DeleteFunc(s.Quarantines.DurableRecords(), func(c quarantine.Record) bool {
		part := quarantine.BucketOf(c.Key)
		return own[part] == other[part]
	})
	return quarantine.Sample(cases, casesPerAnswer)
}
