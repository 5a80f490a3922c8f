package loadreport

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/datagram/datagramtest"
	"limpetwall/internal/transport/objectapi"
	objectstandin "limpetwall/internal/transport/objectapi/standin"
)

// fakeDirectory records the reports that an exchanger receives.
type fakeDirectory struct {
	mu      sync.Mutex
	own     []routing.Work
	reports map[uint64]routing.PeerReport
}

func (d *fakeDirectory) OwnWork() []routing.Work {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own
}

func (d *fakeDirectory) ApplyPeerReport(r routing.PeerReport, _ time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports[r.Sender] = r
	if r.Leaving {
		delete(d.reports, r.Sender)
	}
}

func (d *fakeDirectory) ExpirePeers(time.Time) {}

func (d *fakeDirectory) senders() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []uint64
	for sender := range d.reports {
		out = append(out, sender)
	}
	slices.Sort(out)
	return out
}

func (d *fakeDirectory) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.reports)
}

// process is one process of a test fleet.
type process struct {
	*fakeDirectory
	exchanger *Exchanger
	address   netip.AddrPort
	stop      func()
}

// testFleet is a set of processes with one registry.
type testFleet struct {
	network  *datagramtest.Network
	registry *fakeRegistry
}

// fakeRegistry is an object API whose Put can be made to fail.
type fakeRegistry struct {
	*objectstandin.Store
	down atomic.Bool
	// deleted counts the entries that were removed.
	deleted atomic.Int64
}

func (r *fakeRegistry) Delete(ctx context.Context, key string, version int64) error {
	r.deleted.Add(1)
	return r.Store.Delete(ctx, key, version)
}

func (r *fakeRegistry) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	if r.down.Load() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return r.Store.Put(ctx, key, value, version)
}

func newTestFleet() *testFleet {
	return &testFleet{
		network:  datagramtest.New(),
		registry: &fakeRegistry{Store: objectstandin.New()},
	}
}

// start runs a process whose incarnation and address follow from number.
func (f *testFleet) start(t *testing.T, number int, domain string) *process {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7701)
	d := &fakeDirectory{reports: map[uint64]routing.PeerReport{}, own: []routing.Work{{Endpoint: uint32(number), Running: 1}}}
	s := &Exchanger{
		Conn: f.network.Listen(address), Address: address, Domain: domain, Incarnation: uint64(number),
		Directory: d, Registry: f.registry, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	return &process{fakeDirectory: d, exchanger: s, address: address, stop: func() {
		cancel()
		<-done
	}}
}

// TestAllProcessesExchangeReports guards against processes that don't find each other: some start
// together while the registry is unavailable, one starts later.
//
// Each process adds itself to the registry before it reads the others, so of any two one reports
// to the other, and the receiver reports back from then on.
func TestAllProcessesExchangeReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.registry.down.Store(true)
		var processes []*process
		for n := 1; n <= 4; n++ {
			processes = append(processes, f.start(t, n, "a"))
		}
		time.Sleep(10 * time.Second)
		if len(processes[0].senders()) != 0 {
			t.Error("got reports without a registry")
		}
		f.registry.down.Store(false)
		time.Sleep(10 * time.Second)
		processes = append(processes, f.start(t, 5, "b"))
		time.Sleep(10 * time.Second)
		for i, m := range processes {
			if got := m.senders(); len(got) != 4 {
				t.Errorf("process %d got reports from %v, want from all 4 others", i+1, got)
			}
		}
		processes[4].stop()
		time.Sleep(time.Second)
		if got := processes[0].senders(); slices.Contains(got, 5) {
			t.Error("got a report of a process that has left")
		}
		for _, m := range processes[:4] {
			m.stop()
		}
	})
}

// TestRestartedProcessReceivesReportsWithoutRegistry guards against a process that knows no other because it was restarted
// while the registry was unavailable: it would not receive what the others hold only in memory.
func TestRestartedProcessReceivesReportsWithoutRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		one, two := f.start(t, 1, "a"), f.start(t, 2, "a")
		time.Sleep(10 * time.Second)
		f.registry.down.Store(true)
		two.stop()
		time.Sleep(5 * time.Second)
		if hosts := one.exchanger.DomainHosts(); len(hosts) != 0 {
			t.Errorf("got %v as hosts of the domain, want none after the other process has stopped", hosts)
		}
		two = f.start(t, 2, "a")
		time.Sleep(time.Second)
		if got := two.senders(); !slices.Contains(got, 1) {
			t.Errorf("got reports from %v, want one from process 1", got)
		}
		one.stop()
		two.stop()
	})
}

// TestLargeFleetReportsWithinDomain runs twelve processes in two domains. In a fleet larger than
// smallFleet, a process reports only to those of its own domain, and sends four reports a round
// whatever their number.
func TestLargeFleetReportsWithinDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		var processes []*process
		for n := 1; n <= 12; n++ {
			processes = append(processes, f.start(t, n, fmt.Sprint("d", n%2)))
		}
		time.Sleep(20 * time.Second)
		f.network.SentSinceLastCall()
		for _, m := range processes {
			m.reset()
		}
		const seconds = 10
		time.Sleep(seconds * time.Second)
		for i, m := range processes {
			if got := m.senders(); len(got) != 5 {
				t.Errorf("process %d got reports from %v, want from the 5 others of its domain", i+1, got)
			}
		}
		sent, _ := f.network.SentSinceLastCall()
		// The window may include a round at each of its ends.
		if rounds := seconds*int(time.Second/reportInterval) + 1; sent > 12*fanout*rounds {
			t.Errorf("got %d reports in %d rounds of 12 processes, want at most fanout a process and round", sent, rounds)
		}
		for _, m := range processes {
			m.stop()
		}
	})
}

// TestLiveProcessesStayInRegistry guards against removing the registry entries of live processes,
// which processes that start later need. Twelve processes of two domains start one after the
// other, as on hosts that come up within 0.3 s.
//
// The first ones find few entries in the registry, treat the fleet as small, and report to the
// other domain until they read the registry again. A process that gets no more reports has no
// reason to send any, so it must not count as silent.
func TestLiveProcessesStayInRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		var processes []*process
		for n := 1; n <= 12; n++ {
			processes = append(processes, f.start(t, n, fmt.Sprint("d", n%2)))
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(5 * time.Minute)
		if deleted := f.registry.deleted.Load(); deleted != 0 {
			t.Errorf("%d entries of live processes were removed, want none", deleted)
		}
		for _, m := range processes {
			m.stop()
		}
	})
}

// TestLostProcessIsRemovedFromRegistry cuts two of three processes off from the others' reports. One
// of them stops meanwhile, so that the others don't learn of its leaving.
//
// The entry of the stopped process is removed: a fleet whose hosts are replaced over the years
// must not report to all that ever existed. The other process adds itself again after it
// is connected again, and its reports are received.
func TestLostProcessIsRemovedFromRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		one, two, lost := f.start(t, 1, "a"), f.start(t, 2, "a"), f.start(t, 3, "a")
		time.Sleep(10 * time.Second)
		f.network.SetIsolated(lost.address, true)
		f.network.SetIsolated(two.address, true)
		lost.stop()
		time.Sleep(5 * time.Minute)
		list, err := f.registry.List(t.Context(), registryPrefix)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range list {
			if _, address, _ := parseRegistryKey(o.Key); address == lost.address {
				t.Error("the lost process is still in the registry")
			}
		}
		f.network.SetIsolated(two.address, false)
		one.reset()
		time.Sleep(5 * time.Minute)
		if got := one.senders(); !slices.Contains(got, 2) {
			t.Errorf("got reports from %v after the partition, want one from process 2", got)
		}
		one.stop()
		two.stop()
	})
}

// TestReportFitsOneDatagram encodes more work than a datagram holds: the report must contain the
// endpoints with the most unread tokens.
func TestReportFitsOneDatagram(t *testing.T) {
	r := routing.PeerReport{Sender: 1 << 60, Number: 1 << 40, Domain: "a domain with a long name"}
	for i := range 500 {
		w := routing.Work{Endpoint: uint32(i) << 20, Running: 64, HeldTokens: 90_000}
		for u := range w.Unread {
			w.Unread[u] = i * 100
		}
		r.Work = append(r.Work, w)
	}
	data, err := encode(r)
	if err != nil || len(data) > datagram.MaxSize {
		t.Fatalf("got %d bytes, error %v, want at most datagram.MaxSize bytes", len(data), err)
	}
	got, err := decode(data)
	if err != nil || got.Sender != r.Sender || got.Number != r.Number || got.Domain != r.Domain || len(got.Work) != maxReportedEndpoints {
		t.Fatalf("decoded: got %+v, error %v, want the encoded header and maxReportedEndpoints endpoints", got, err)
	}
	if first, want := got.Work[0], r.Work[499]; first.Endpoint != want.Endpoint || first.Unread[9]-want.Unread[9] >= tokenUnit {
		t.Errorf("first endpoint: got %+v, want %+v", first, want)
	}
}

// FuzzDecode decodes arbitrary data, as anyone may send to a process's port.
func FuzzDecode(f *testing.F) {
	data, err := encode(routing.PeerReport{Sender: 1, Number: 2, Domain: "a", Work: []routing.Work{{Endpoint: 3, Running: 4}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decode(data)
		if err != nil {
			return
		}
		if _, err := encode(r); err != nil {
			t.Error(err)
		}
	})
}
