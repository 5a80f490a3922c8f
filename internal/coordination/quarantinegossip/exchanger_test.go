package quarantinegossip

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/datagram/datagramtest"
	"limpetwall/internal/transport/sleep"
)

const (
	// largeFleet is the fleet size that the design must support, and maxDelay the time in which all of it must
	// know of a request.
	largeFleet = 370
	maxDelay   = 3 * time.Second
	// maxRate is how many bytes a second a process may send for control, headers included.
	maxRate = 3 << 10
	port    = 7704
	// verdictTime is long enough for a verdict to be final.
	verdictTime = time.Second
)

func keyOf(n int) fingerprint.Key {
	return fingerprint.Of(fingerprint.Request{Target: fmt.Sprint(n)}, nil)
}

// fleet is a number of processes that know each other's hosts.
type fleet struct {
	network  *datagramtest.Network
	trackers []*quarantine.Tracker
	stop     []func()
	hosts    []netip.Addr
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{network: datagramtest.New()}
	for n := range size {
		f.hosts = append(f.hosts, netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}))
	}
	for n := range size {
		f.trackers, f.stop = append(f.trackers, nil), append(f.stop, nil)
		f.start(t, n)
	}
	t.Cleanup(f.stopAll)
	return f
}

func (f *fleet) stopAll() {
	for n := range f.stop {
		f.kill(n)
	}
}

// start starts a process with an empty tracker at a host.
func (f *fleet) start(t *testing.T, n int) {
	tracker := quarantine.NewTracker()
	var others []netip.Addr
	for i, h := range f.hosts {
		if i != n {
			others = append(others, h)
		}
	}
	e := &Exchanger{
		Group: &datagram.Socket{Conn: f.network.Listen(f.address(n)), Port: port}, Quarantines: tracker, Now: time.Now, Log: zap.NewNop(),
		Hosts: func() []netip.Addr { return append([]netip.Addr(nil), others...) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		var workers sync.WaitGroup
		workers.Go(func() { evaluate(ctx, tracker) })
		e.Run(ctx)
		workers.Wait()
	}()
	f.trackers[n], f.stop[n] = tracker, func() {
		cancel()
		<-done
	}
}

// evaluate makes verdicts final in time, as the guard does. Otherwise, a process that only received the evidence
// would date a quarantine from the next Evaluate call that the test makes there.
func evaluate(ctx context.Context, tracker *quarantine.Tracker) {
	for sleep.For(ctx, 250*time.Millisecond) {
		tracker.Evaluate(time.Now())
	}
}

func (f *fleet) kill(n int) {
	if f.stop[n] != nil {
		f.stop[n]()
		f.stop[n] = nil
	}
}

func (f *fleet) address(n int) netip.AddrPort { return netip.AddrPortFrom(f.hosts[n], port) }

// sendRate returns the mean bytes a second that each process has sent since the last look at the network's
// counters, headers included.
func (f *fleet) sendRate(passed time.Duration) float64 {
	datagrams, bytes := f.network.SentSinceLastCall()
	return float64(bytes+datagram.HeaderBytes*datagrams) / float64(len(f.hosts)) / passed.Seconds()
}

// quarantine makes a process quarantine requests: five crashes are enough whatever else crashed.
func (f *fleet) quarantine(n int, keys ...fingerprint.Key) {
	for _, key := range keys {
		for crash := range uint64(5) {
			f.trackers[n].RecordCrash(key, binary.BigEndian.Uint64(key[:])+crash, quarantine.RequestInfo{}, time.Now())
		}
	}
	f.trackers[n].Evaluate(time.Now().Add(verdictTime))
}

// countUnaware counts the processes that would run a request.
func (f *fleet) countUnaware(key fingerprint.Key) int {
	count := 0
	for n, tracker := range f.trackers {
		if f.stop[n] != nil && tracker.Check(key, time.Now()).Standing == quarantine.Clear {
			count++
		}
	}
	return count
}

// TestAllProcessesLearnInTime guards against a request crashing further endpoints at processes that have not
// learned of it: three processes have seen one crash each, and a third of all messages is lost.
func TestAllProcessesLearnInTime(t *testing.T) {
	for _, size := range []int{2, 5, 40, largeFleet} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				f.network.SetLoss(1. / 3)
				time.Sleep(time.Minute)
				f.network.SentSinceLastCall()
				for crash := range uint64(3) {
					f.trackers[int(crash)%size].RecordCrash(keyOf(1), crash, quarantine.RequestInfo{}, time.Now())
				}
				time.Sleep(maxDelay)
				if n := f.countUnaware(keyOf(1)); n > 0 {
					t.Errorf("%d processes would run the request, want 0", n)
				}
				time.Sleep(2 * maxDelay)
				if rate := f.sendRate(3 * maxDelay); rate > maxRate {
					t.Errorf("got %.0f bytes/s a process, want at most maxRate", rate)
				}
				f.stopAll()
			})
		})
	}
}

// TestMissedUpdatesAreCaughtUp guards against a process that was killed, frozen or cut off while updates were
// sent, and runs the request when it is back.
func TestMissedUpdatesAreCaughtUp(t *testing.T) {
	for _, size := range []int{2, 5, largeFleet} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				f.network.SetLoss(1. / 3)
				f.kill(1)
				f.network.SetIsolated(f.address(size-1), size > 2)
				f.quarantine(0, keyOf(1))
				time.Sleep(time.Minute)
				f.network.SetIsolated(f.address(size-1), false)
				f.start(t, 1)
				time.Sleep(maxDelay)
				if n := f.countUnaware(keyOf(1)); n > 0 {
					t.Errorf("%d processes would run the request, want 0", n)
				}
				f.stopAll()
			})
		})
	}
}

// TestUpdatesOutliveTheirProcess guards against evidence that is lost with the process that has it, as that is
// killed within milliseconds of the crashes that it saw.
func TestUpdatesOutliveTheirProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		time.Sleep(time.Minute)
		for crash := range uint64(3) {
			f.trackers[0].RecordCrash(keyOf(1), crash, quarantine.RequestInfo{}, time.Now())
			time.Sleep(20 * time.Millisecond)
		}
		f.kill(0)
		if n := f.countUnaware(keyOf(1)); n > 0 {
			t.Errorf("%d of the other processes would run the request, want 0", n)
		}
		f.stopAll()
	})
}

// TestEvidenceIsSentBesideQuarantines guards against evidence that waits behind new quarantines until the process
// that has it is gone.
func TestEvidenceIsSentBesideQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(time.Minute)
		f.quarantine(0, keyOf(101), keyOf(102), keyOf(103), keyOf(104), keyOf(105), keyOf(106))
		for crash := range uint64(2) {
			f.trackers[0].RecordCrash(keyOf(1), crash, quarantine.RequestInfo{}, time.Now())
		}
		time.Sleep(time.Second)
		f.kill(0)
		f.trackers[2].RecordCrash(keyOf(1), 2, quarantine.RequestInfo{}, time.Now())
		time.Sleep(time.Second)
		if n := f.countUnaware(keyOf(1)); n > 0 {
			t.Errorf("%d of the other processes would run the request, want 0", n)
		}
		f.stopAll()
	})
}

// TestUrgentUpdatesDoNotWait guards against a process running a request that another has just seen crash its third
// endpoint, because that one was repeating older updates.
func TestUrgentUpdatesDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		for i := range 10 {
			culprit := keyOf(100 + i)
			f.quarantine(0, culprit)
			// The first of its crashes interrupted requests of all processes.
			for n, tracker := range f.trackers {
				for bystander := range 4 {
					tracker.RecordCrash(keyOf(1000+100*i+10*n+bystander), binary.BigEndian.Uint64(culprit[:]), quarantine.RequestInfo{}, time.Now())
				}
			}
			time.Sleep(500 * time.Millisecond)
		}
		for crash := range uint64(3) {
			f.trackers[0].RecordCrash(keyOf(1), 1000+crash, quarantine.RequestInfo{}, time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		if n := f.countUnaware(keyOf(1)); n > 0 {
			t.Errorf("%d processes would run the request, want 0", n)
		}
		f.stopAll()
	})
}

// TestEvidenceWaitsForPeers guards against evidence that counts as sent while a process knows no other.
func TestEvidenceWaitsForPeers(t *testing.T) {
	e := &Exchanger{Quarantines: quarantine.NewTracker(), Now: time.Now, Log: zap.NewNop(), Hosts: func() []netip.Addr { return nil }}
	e.Quarantines.RecordCrash(keyOf(1), 1, quarantine.RequestInfo{}, time.Now())
	e.Quarantines.RecordCrash(keyOf(1), 2, quarantine.RequestInfo{}, time.Now())
	for range 100 {
		if e.sendUpdate(e.Quarantines.PopUrgentUpdates) != 0 || e.sendUpdate(e.Quarantines.PopUpdates) != 0 {
			t.Fatal("bytes were sent without any receiver")
		}
	}
	if records := e.Quarantines.PopUrgentUpdates(messageBytes, time.Now()); len(records) != 1 {
		t.Errorf("got %d records left to send, want 1", len(records))
	}
}

// TestLiftedEverywhere guards against a process that was cut off bringing a lifted quarantine back.
func TestLiftedEverywhere(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		f.quarantine(0, keyOf(1))
		time.Sleep(maxDelay)
		f.network.SetIsolated(f.address(11), true)
		f.trackers[5].Lift(keyOf(1), time.Now())
		time.Sleep(time.Minute)
		f.network.SetIsolated(f.address(11), false)
		time.Sleep(maxDelay)
		if n := f.countUnaware(keyOf(1)); n != 12 {
			t.Errorf("%d of 12 processes would run the request, want all", n)
		}
		f.stopAll()
	})
}

// TestTrafficIsBounded guards against a customer with hundreds of such requests, or the crash of many busy
// endpoints, filling the network: the bytes that a process sends are bounded, and what matters most is not delayed
// by the rest.
func TestTrafficIsBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const size = 16
		f := newFleet(t, size)
		var many []fingerprint.Key
		for i := range 300 {
			many = append(many, keyOf(100+i))
		}
		f.quarantine(0, many...)
		for i := range 3000 {
			f.trackers[i%size].RecordCrash(keyOf(1000+i), uint64(1_000_000+i%10), quarantine.RequestInfo{}, time.Now())
		}
		f.network.SentSinceLastCall()
		time.Sleep(maxDelay)
		f.quarantine(3, keyOf(1))
		time.Sleep(maxDelay)
		if rate := f.sendRate(2 * maxDelay); rate > 2*maxRate {
			t.Errorf("got %.0f bytes/s a process, want at most twice maxRate", rate)
		}
		if n := f.countUnaware(keyOf(1)); n > 0 {
			t.Errorf("%d processes would run the newest request, want 0", n)
		}
		time.Sleep(time.Minute)
		for _, key := range many {
			if n := f.countUnaware(key); n > 0 {
				t.Fatalf("%d processes would run one of the many requests, want 0", n)
			}
		}
		f.stopAll()
	})
}

// TestOldEvidenceIsNotRepeated guards against processes that still exchange suspects long after a crash of many
// busy endpoints.
func TestOldEvidenceIsNotRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const size = 16
		f := newFleet(t, size)
		for i := range 3000 {
			f.trackers[i%size].RecordCrash(keyOf(i), uint64(i%10), quarantine.RequestInfo{}, time.Now())
		}
		time.Sleep(time.Minute)
		f.network.SentSinceLastCall()
		time.Sleep(time.Minute)
		if rate := f.sendRate(time.Minute); rate > maxRate/20 {
			t.Errorf("got %.0f bytes/s a process a minute later, want at most a 20th of maxRate", rate)
		}
		f.stopAll()
	})
}

// TestIdleFleetSendsLittle guards against control traffic that grows while there is nothing to send.
func TestIdleFleetSendsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40)
		f.network.SentSinceLastCall()
		time.Sleep(time.Minute)
		if rate := f.sendRate(time.Minute); rate > maxRate/20 {
			t.Errorf("got %.0f bytes/s a process, want at most a 20th of maxRate", rate)
		}
		f.stopAll()
	})
}

// TestMalformedReports checks that records that no process would send are refused, and valid ones beside them are
// merged.
func TestMalformedReports(t *testing.T) {
	valid := &wire.QuarantineCase{Fingerprint: make([]byte, fingerprint.Size), Level: 1, LeftMs: 1000}
	rows := map[string]*wire.QuarantineCase{
		"a short fingerprint": {Fingerprint: []byte("short"), Level: 1, LeftMs: 1000},
		"too many crashes":    {Fingerprint: make([]byte, fingerprint.Size), Crashes: make([]uint64, 100)},
	}
	for name, malformed := range rows {
		tracker := quarantine.NewTracker()
		e := &Exchanger{Quarantines: tracker, Now: time.Now, Log: zap.NewNop()}
		data, err := proto.Marshal(&wire.QuarantineReport{Step: stepLast, Cases: []*wire.QuarantineCase{malformed, valid}})
		if err != nil {
			t.Fatal(err)
		}
		e.receive(data, &net.UDPAddr{})
		e.receive([]byte("\xff\xff"), &net.UDPAddr{})
		if got := len(tracker.DurableRecords()); got != 1 {
			t.Errorf("%s: got %d quarantines, want 1", name, got)
		}
	}
}

func FuzzReceive(f *testing.F) {
	data, err := proto.Marshal(&wire.QuarantineReport{Digests: []uint32{1}, Step: stepLast, Cases: []*wire.QuarantineCase{
		{Fingerprint: make([]byte, fingerprint.Size), Level: 3, LeftMs: 1 << 31, Crashes: []uint64{3, 2, 2, 1}, Round: 1, Lifted: true},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		tracker := quarantine.NewTracker()
		e := &Exchanger{Quarantines: tracker, Now: time.Now, Log: zap.NewNop()}
		e.receive(data, &net.TCPAddr{})
		now := time.Now()
		for _, r := range tracker.DurableRecords() {
			if r.Level > 0 && r.Until.After(now.Add(2*time.Hour)) {
				t.Errorf("got a quarantine until %s, want at most 2 hours", r.Until)
			}
		}
		tracker.Evaluate(now)
	})
}
