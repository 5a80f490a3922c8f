package contextcache

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/sleep"
)

// testDomain is a failure domain whose processes report to each other what they follow.
type testDomain struct {
	trackers []*Tracker
	mu       sync.Mutex
	// disconnected processes neither send nor receive reports.
	disconnected map[int]bool
	// stop holds the functions that stop each process.
	stop []context.CancelFunc
}

const domainSize = 10

// newTestDomain starts processes that follow stores through one client; all are peers.
func newTestDomain(t *testing.T, client Client, stores map[string]*routes.Service) *testDomain {
	d := &testDomain{disconnected: map[int]bool{}}
	var done sync.WaitGroup
	for i := range domainSize {
		tracker := NewTracker(client, zap.NewNop(), "a", time.Now)
		tracker.Self = fmt.Sprint("p", i)
		tracker.Peers = func() []string {
			var out []string
			for j := range domainSize {
				if j != i {
					out = append(out, fmt.Sprint("p", j))
				}
			}
			return out
		}
		tracker.SetStores(stores)
		ctx, cancel := context.WithCancel(t.Context())
		d.stop = append(d.stop, cancel)
		done.Go(func() { tracker.Run(ctx) })
		d.trackers = append(d.trackers, tracker)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done.Go(func() {
		for sleep.For(ctx, 200*time.Millisecond) {
			d.exchangeReports()
		}
	})
	t.Cleanup(func() {
		cancel()
		for _, stop := range d.stop {
			stop()
		}
		done.Wait()
	})
	return d
}

func (d *testDomain) exchangeReports() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, from := range d.trackers {
		if d.disconnected[i] {
			continue
		}
		for _, report := range from.DrainReports() {
			for j, to := range d.trackers {
				if i != j && !d.disconnected[j] {
					to.ApplyReport(report)
				}
			}
		}
	}
}

// kill stops a process and its reports.
func (d *testDomain) kill(i int) {
	d.stop[i]()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disconnected[i] = true
}

// countUsable counts the processes that can import from a store.
func (d *testDomain) countUsable(address string) int {
	n := 0
	for i, tracker := range d.trackers {
		d.mu.Lock()
		disconnected := d.disconnected[i]
		d.mu.Unlock()
		tracker.mu.Lock()
		if s := tracker.stores[address]; !disconnected && s != nil && s.usable(tracker.Now()) && s.holds(SegmentKey{"s", "p1"}, 500) {
			n++
		}
		tracker.mu.Unlock()
	}
	return n
}

// followersOf lists the processes that follow a store themselves instead of by reports.
func (d *testDomain) followersOf(address string) []int {
	var out []int
	for i, tracker := range d.trackers {
		d.mu.Lock()
		disconnected := d.disconnected[i]
		d.mu.Unlock()
		if !disconnected && tracker.followers()[address] != nil {
			out = append(out, i)
		}
	}
	return out
}

// clockedClient is a store whose answers give the time.
type clockedClient struct{ fakeClient }

func (f *clockedClient) Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error) {
	e, err := f.fakeClient.Events(ctx, address, since, wait)
	e.ClockMS = time.Now().UnixMilli()
	return e, err
}

func oneStore() map[string]*routes.Service {
	return map[string]*routes.Service{"s": {Store: &routes.Store{Address: localAddress, Domain: "a", MemoryTokens: 1000}}}
}

// TestTwoProcessesFollowForDomain has ten processes share the work of following a store, and kills
// the two that follow it.
//
// All know the store's contents all the time. With one follower dead the other still reports. With
// both dead, each of the others follows the store itself after less than a second; until then
// callers' prompts are prefilled instead of imported.
func TestTwoProcessesFollowForDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		domain := newTestDomain(t, &clockedClient{fakeClient{epoch: 1}}, oneStore())
		time.Sleep(10 * time.Second)
		following := domain.followersOf(localAddress)
		if len(following) != 2 {
			t.Fatalf("%d of %d processes follow the store", len(following), domainSize)
		}
		for range 100 {
			if got := domain.countUsable(localAddress); got != domainSize {
				t.Fatalf("%d of %d processes can use the store", got, domainSize)
			}
			time.Sleep(70 * time.Millisecond)
		}
		domain.kill(following[0])
		for range 50 {
			if got := domain.countUsable(localAddress); got != domainSize-1 {
				t.Fatalf("%d of %d processes can use the store with one follower dead", got, domainSize-1)
			}
			time.Sleep(70 * time.Millisecond)
		}
		domain.kill(following[1])
		time.Sleep(1500 * time.Millisecond)
		if got := domain.countUsable(localAddress); got != domainSize-2 {
			t.Errorf("%d of %d processes can use the store with both followers dead", got, domainSize-2)
		}
	})
}

// TestUnreachableStoreIsPolledByTwo takes a store down for ten seconds.
//
// Its followers report that it does not answer. Without that, each process would miss the reports,
// follow the store itself and overload it while it starts. No process may import from it.
func TestUnreachableStoreIsPolledByTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &clockedClient{fakeClient{epoch: 1}}
		domain := newTestDomain(t, client, oneStore())
		time.Sleep(10 * time.Second)
		client.mu.Lock()
		client.down = true
		client.mu.Unlock()
		time.Sleep(10 * time.Second)
		if got := len(domain.followersOf(localAddress)); got != 2 {
			t.Errorf("%d processes poll the store, want 2", got)
		}
		if got := domain.countUsable(localAddress); got != 0 {
			t.Errorf("%d processes can use the store, want 0", got)
		}
		client.mu.Lock()
		client.down, client.epoch = false, 2
		client.mu.Unlock()
		time.Sleep(3 * time.Second)
		if got := len(domain.followersOf(localAddress)); got != 2 {
			t.Errorf("%d processes follow the store after its restart, want 2", got)
		}
	})
}

// newListedTracker returns a tracker that listed its stores 10 s ago and can apply reports.
func newListedTracker(t *testing.T) (*Tracker, *fakeClock) {
	tracker, c := newTracker(t)
	c.now = c.now.Add(10 * time.Second)
	tracker.endpointClock.observe(c.now.UnixMilli()+5000, c.now)
	return tracker, c
}

// endpointMS converts a time to the endpoints' clock of newListedTracker, which is 5 s ahead.
func endpointMS(at time.Time) int64 { return at.UnixMilli() + 5000 }

// TestReportOfEarlierEpochIsIgnored restarts a store; one of its two followers sees the restart
// first.
//
// A late report of the other follower about the epoch before must not restore segments that are
// lost: another process may be saving one of them again, and half of it would end up in an answer.
func TestReportOfEarlierEpochIsIgnored(t *testing.T) {
	tracker, c := newListedTracker(t)
	before := Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 3, Changes: []Change{added("s", "p1", 500)}}
	tracker.ApplyReport(before)
	if tracker.storedTokens("s", testSegments) != 500 {
		t.Fatal("the report is not used")
	}
	c.now = c.now.Add(100 * time.Millisecond)
	tracker.ApplyReport(Report{Address: localAddress, Epoch: 8, AsOf: endpointMS(c.now), Next: 0})
	if tracker.storedTokens("s", testSegments) != 0 {
		t.Error("segments of the epoch before the restart are used")
	}
	tracker.ApplyReport(before)
	if tracker.storedTokens("s", testSegments) != 0 || tracker.stores[localAddress].epoch != 8 {
		t.Error("a late report restores the epoch before the restart")
	}
}

// TestDelayedReportIsNotFresh freezes this process for three seconds while a report is on the way.
//
// It reads the report after that. The store may have restarted meanwhile, so the time of the
// store's answer counts, not the time when the report was read.
func TestDelayedReportIsNotFresh(t *testing.T) {
	tracker, c := newListedTracker(t)
	report := Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 3, Changes: []Change{added("s", "p1", 500)}}
	c.now = c.now.Add(3 * time.Second)
	// An endpoint's answer is read just as late, which makes its clock look slow.
	tracker.observeClock(endpointMS(c.now)-3000, c.now)
	tracker.ApplyReport(report)
	if tracker.storedTokens("s", testSegments) != 0 {
		t.Error("a report from three seconds ago counts as fresh")
	}
}

// TestDuplicateChangesAreIgnored has two followers report overlapping ranges of the same changes;
// the second report ends earlier than the first.
func TestDuplicateChangesAreIgnored(t *testing.T) {
	tracker, c := newListedTracker(t)
	plus, minus := added("s", "p1", 500), Change{Segment: SegmentKey{"s", "p1"}}
	plus.Number, minus.Number = 3, 4
	tracker.ApplyReport(Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 5, Changes: []Change{plus, minus}})
	tracker.ApplyReport(Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 4, Changes: []Change{plus}})
	if tracker.storedTokens("s", testSegments) != 0 {
		t.Error("a freed segment is restored by a later report of an earlier change")
	}
}

// TestNewProcessListsStoreFirst starts a process in a domain with other processes.
//
// Reports only hold changes, not what the store held before them, so the process lists the store
// once itself.
func TestNewProcessListsStoreFirst(t *testing.T) {
	c := &fakeClock{epoch}
	tracker := NewTracker(nil, zap.NewNop(), "a", c.Now)
	tracker.Self, tracker.Peers = "p0", func() []string { return []string{"p1", "p2", "p3", "p4", "p5", "p6"} }
	tracker.SetStores(oneStore())
	tracker.endpointClock.observe(endpointMS(c.now), c.now)
	tracker.ApplyReport(Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 3})
	if tracker.followers()[localAddress] == nil {
		t.Error("the store is not followed")
	}
	if tracker.markUnreachable(localAddress, errors.New("reset")); tracker.storedTokens("s", testSegments) != 0 {
		t.Error("the store is used before it is listed")
	}
}

// backlogClient counts the first answers of engines, which hold all events that an engine still has.
type backlogClient struct {
	clockedClient
	firstAnswers int
}

func (f *backlogClient) Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error) {
	if since == fromNow {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.firstAnswers++
		return Events{Epoch: f.epoch, Next: 1, Lost: true, ClockMS: time.Now().UnixMilli()}, nil
	}
	return f.clockedClient.Events(ctx, address, since, wait)
}

// TestProcessesThatStartTogetherShareEngines starts all processes of a domain at once before 20 engines.
//
// If each follows all engines until others report them, their first answers fill small links, and callers wait behind them.
func TestProcessesThatStartTogetherShareEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engineCount = 20
		engines := map[string]Engine{}
		for i := range engineCount {
			engines[fmt.Sprint("10.0.0.", i, ":80")] = Engine{Domain: "a", TokenBytes: 1}
		}
		client := &backlogClient{clockedClient: clockedClient{fakeClient{epoch: 1}}}
		domain := newTestDomain(t, client, oneStore())
		for _, tracker := range domain.trackers {
			tracker.SetEngines(engines)
		}
		time.Sleep(10 * time.Second)
		for i, tracker := range domain.trackers {
			tracker.mu.Lock()
			if !tracker.enginesKnown(tracker.Now()) {
				t.Errorf("process %d does not know the engines", i)
			}
			tracker.mu.Unlock()
		}
		client.mu.Lock()
		defer client.mu.Unlock()
		if most := reporters * engineCount; client.firstAnswers > most {
			t.Errorf("%d first answers were read, want at most %d", client.firstAnswers, most)
		}
	})
}
