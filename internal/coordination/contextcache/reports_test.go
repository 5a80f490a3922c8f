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
	"limpetwall/internal/transport/pause"
)

// testDomain is a failure domain whose processes tell each other what they follow.
type testDomain struct {
	trackers []*Tracker
	mu       sync.Mutex
	// disconnected processes hear and tell nothing.
	disconnected map[int]bool
	// stop ends each process.
	stop []context.CancelFunc
}

const domainSize = 10

// newTestDomain starts processes over a feed; all know each other.
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
		for pause.For(ctx, 200*time.Millisecond) {
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

// kill stops a process as a kill does.
func (d *testDomain) kill(i int) {
	d.stop[i]()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disconnected[i] = true
}

// countUsable counts the processes that may import from a store.
func (d *testDomain) countUsable(address string) int {
	n := 0
	for i, tracker := range d.trackers {
		d.mu.Lock()
		cut := d.disconnected[i]
		d.mu.Unlock()
		tracker.mu.Lock()
		if s := tracker.stores[address]; !cut && s != nil && s.usable(tracker.Now()) && s.holds(SegmentKey{"s", "p1"}, 500) {
			n++
		}
		tracker.mu.Unlock()
	}
	return n
}

// followersOf lists the processes that follow a store themselves.
func (d *testDomain) followersOf(address string) []int {
	var out []int
	for i, tracker := range d.trackers {
		d.mu.Lock()
		cut := d.disconnected[i]
		d.mu.Unlock()
		if !cut && tracker.followers()[address] != nil {
			out = append(out, i)
		}
	}
	return out
}

// clockedClient is a store that tells the time.
type clockedClient struct{ fakeClient }

func (f *clockedClient) Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error) {
	e, err := f.fakeClient.Events(ctx, address, since, wait)
	e.ClockMS = time.Now().UnixMilli()
	return e, err
}

func oneStore() map[string]*routes.Service {
	return map[string]*routes.Service{"s": {Store: &routes.Store{Address: localStore, Domain: "a", MemoryTokens: 1000}}}
}

// TestTwoProcessesFollowForDomain lets ten processes share the following of a store, and kills the two
// that follow it.
//
// All know what it holds all the time. With one follower gone the other is heard; with both
// gone, each of the rest follows by itself after less than a second: callers' prompts are read
// instead of imported meanwhile.
func TestTwoProcessesFollowForDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		domain := newTestDomain(t, &clockedClient{fakeClient{epoch: 1}}, oneStore())
		time.Sleep(10 * time.Second)
		following := domain.followersOf(localStore)
		if len(following) != 2 {
			t.Fatalf("%d of %d processes follow the store", len(following), domainSize)
		}
		for range 100 {
			if got := domain.countUsable(localStore); got != domainSize {
				t.Fatalf("%d of %d processes may use the store", got, domainSize)
			}
			time.Sleep(70 * time.Millisecond)
		}
		domain.kill(following[0])
		for range 50 {
			if got := domain.countUsable(localStore); got != domainSize-1 {
				t.Fatalf("%d of %d processes may use the store with one follower gone", got, domainSize-1)
			}
			time.Sleep(70 * time.Millisecond)
		}
		domain.kill(following[1])
		time.Sleep(1500 * time.Millisecond)
		if got := domain.countUsable(localStore); got != domainSize-2 {
			t.Errorf("%d of %d processes may use the store with both followers gone", got, domainSize-2)
		}
	})
}

// TestUnreachableStoreIsPolledByTwo takes a store away for ten seconds.
//
// Those that follow it say that it does not answer. Without that, each process would take itself
// for forgotten and press a store that is just starting; and none may import from it.
func TestUnreachableStoreIsPolledByTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &clockedClient{fakeClient{epoch: 1}}
		domain := newTestDomain(t, client, oneStore())
		time.Sleep(10 * time.Second)
		client.mu.Lock()
		client.down = true
		client.mu.Unlock()
		time.Sleep(10 * time.Second)
		if got := len(domain.followersOf(localStore)); got != 2 {
			t.Errorf("%d processes ask the store", got)
		}
		if got := domain.countUsable(localStore); got != 0 {
			t.Errorf("%d processes use the store", got)
		}
		client.mu.Lock()
		client.down, client.epoch = false, 2
		client.mu.Unlock()
		time.Sleep(3 * time.Second)
		if got := len(domain.followersOf(localStore)); got != 2 {
			t.Errorf("%d processes follow the store after its return", got)
		}
	})
}

// newListedTracker is a process that is told of a store which it listed 10 s ago.
func newListedTracker(t *testing.T) (*Tracker, *fakeClock) {
	tracker, c := newTracker(t)
	c.now = c.now.Add(10 * time.Second)
	tracker.endpointClock.observe(c.now.UnixMilli()+5000, c.now)
	return tracker, c
}

// endpointMS is a time as the endpoints of keeper have it.
func endpointMS(at time.Time) int64 { return at.UnixMilli() + 5000 }

// TestReportOfEarlierEpochIsIgnored restarts a store; of its two followers one hears of it
// first.
//
// What the other still says of the start before must not bring back parts that are gone: another
// process may be saving one of them again, and half of it would enter an answer.
func TestReportOfEarlierEpochIsIgnored(t *testing.T) {
	tracker, c := newListedTracker(t)
	before := Report{Address: localStore, Epoch: 7, AsOf: endpointMS(c.now), Next: 3, Changes: []Change{added("s", "p1", 500)}}
	tracker.ApplyReport(before)
	if tracker.storedTokens("s", testSegments) != 500 {
		t.Fatal("what is told is not used")
	}
	c.now = c.now.Add(100 * time.Millisecond)
	tracker.ApplyReport(Report{Address: localStore, Epoch: 8, AsOf: endpointMS(c.now), Next: 0})
	if tracker.storedTokens("s", testSegments) != 0 {
		t.Error("parts of the start before are used")
	}
	tracker.ApplyReport(before)
	if tracker.storedTokens("s", testSegments) != 0 || tracker.stores[localStore].epoch != 8 {
		t.Error("a late word brings the start before back")
	}
}

// TestDelayedReportIsNotFresh freezes this process for three seconds with a word underway.
//
// It reads the word after that. The store may have restarted meanwhile: what counts is when it
// spoke, not when the word was read.
func TestDelayedReportIsNotFresh(t *testing.T) {
	tracker, c := newListedTracker(t)
	report := Report{Address: localStore, Epoch: 7, AsOf: endpointMS(c.now), Next: 3, Changes: []Change{added("s", "p1", 500)}}
	c.now = c.now.Add(3 * time.Second)
	// So does an answer of an endpoint, which makes its clock look behind.
	tracker.observeClock(endpointMS(c.now)-3000, c.now)
	tracker.ApplyReport(report)
	if tracker.storedTokens("s", testSegments) != 0 {
		t.Error("a word of three seconds ago is taken for fresh")
	}
}

// TestDuplicateChangesAreIgnored has two followers tell the same changes in parts that overlap, the
// second behind the first.
func TestDuplicateChangesAreIgnored(t *testing.T) {
	tracker, c := newListedTracker(t)
	plus, minus := added("s", "p1", 500), Change{Segment: SegmentKey{"s", "p1"}}
	plus.Number, minus.Number = 3, 4
	tracker.ApplyReport(Report{Address: localStore, Epoch: 7, AsOf: endpointMS(c.now), Next: 5, Changes: []Change{plus, minus}})
	tracker.ApplyReport(Report{Address: localStore, Epoch: 7, AsOf: endpointMS(c.now), Next: 4, Changes: []Change{plus}})
	if tracker.storedTokens("s", testSegments) != 0 {
		t.Error("a part that is gone is brought back by the later word of an earlier change")
	}
}

// TestNewProcessListsStoreFirst starts a process beside others.
//
// What the store held before is in no later word: it lists it once itself.
func TestNewProcessListsStoreFirst(t *testing.T) {
	c := &fakeClock{epoch}
	tracker := NewTracker(nil, zap.NewNop(), "a", c.Now)
	tracker.Self, tracker.Peers = "p0", func() []string { return []string{"p1", "p2", "p3", "p4", "p5", "p6"} }
	tracker.SetStores(oneStore())
	tracker.endpointClock.observe(endpointMS(c.now), c.now)
	tracker.ApplyReport(Report{Address: localStore, Epoch: 7, AsOf: endpointMS(c.now), Next: 3})
	if tracker.followers()[localStore] == nil {
		t.Error("not listed")
	}
	if tracker.markUnreachable(localStore, errors.New("reset")); tracker.storedTokens("s", testSegments) != 0 {
		t.Error("used before it is listed")
	}
}
