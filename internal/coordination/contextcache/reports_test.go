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

// relay is a failure domain whose processes tell each other what they follow.
type relay struct {
	keepers []*Tracker
	mu      sync.Mutex
	// cut processes hear and tell nothing.
	cut map[int]bool
	// stop ends each process.
	stop []context.CancelFunc
}

const relayed = 10

// newRelay starts processes over a feed; all know each other.
func newRelay(t *testing.T, feed Client, stores map[string]*routes.Service) *relay {
	r := &relay{cut: map[int]bool{}}
	var done sync.WaitGroup
	for i := range relayed {
		k := NewTracker(feed, zap.NewNop(), "a", time.Now)
		k.Self = fmt.Sprint("p", i)
		k.Peers = func() []string {
			var out []string
			for j := range relayed {
				if j != i {
					out = append(out, fmt.Sprint("p", j))
				}
			}
			return out
		}
		k.SetStores(stores)
		ctx, cancel := context.WithCancel(t.Context())
		r.stop = append(r.stop, cancel)
		done.Go(func() { k.Run(ctx) })
		r.keepers = append(r.keepers, k)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done.Go(func() {
		for pause.For(ctx, 200*time.Millisecond) {
			r.tell()
		}
	})
	t.Cleanup(func() {
		cancel()
		for _, stop := range r.stop {
			stop()
		}
		done.Wait()
	})
	return r
}

func (r *relay) tell() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, from := range r.keepers {
		if r.cut[i] {
			continue
		}
		for _, report := range from.DrainReports() {
			for j, to := range r.keepers {
				if i != j && !r.cut[j] {
					to.ApplyReport(report)
				}
			}
		}
	}
}

// end stops a process as a kill does.
func (r *relay) end(i int) {
	r.stop[i]()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[i] = true
}

// usable counts the processes that may import from a store.
func (r *relay) usable(address string) int {
	n := 0
	for i, k := range r.keepers {
		r.mu.Lock()
		cut := r.cut[i]
		r.mu.Unlock()
		k.mu.Lock()
		if s := k.stores[address]; !cut && s != nil && s.usable(k.Now()) && s.holds(SegmentKey{"s", "p1"}, 500) {
			n++
		}
		k.mu.Unlock()
	}
	return n
}

// followersOf lists the processes that follow a store themselves.
func (r *relay) followersOf(address string) []int {
	var out []int
	for i, k := range r.keepers {
		r.mu.Lock()
		cut := r.cut[i]
		r.mu.Unlock()
		if !cut && k.followers()[address] != nil {
			out = append(out, i)
		}
	}
	return out
}

// clockedFeed is a store that tells the time.
type clockedFeed struct{ fakeStoreFeed }

func (f *clockedFeed) Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error) {
	e, err := f.fakeStoreFeed.Events(ctx, address, since, wait)
	e.ClockMS = time.Now().UnixMilli()
	return e, err
}

func oneStore() map[string]*routes.Service {
	return map[string]*routes.Service{"s": {Store: &routes.Store{Address: near, Domain: "a", MemoryTokens: 1000}}}
}

// TestTwoFollowForADomain lets ten processes share the following of a store, and kills the two
// that follow it.
//
// All know what it holds all the time. With one follower gone the other is heard; with both
// gone, each of the rest follows by itself after less than a second: callers' prompts are read
// instead of imported meanwhile.
func TestTwoFollowForADomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelay(t, &clockedFeed{fakeStoreFeed{epoch: 1}}, oneStore())
		time.Sleep(10 * time.Second)
		following := r.followersOf(near)
		if len(following) != 2 {
			t.Fatalf("%d of %d processes follow the store", len(following), relayed)
		}
		for range 100 {
			if got := r.usable(near); got != relayed {
				t.Fatalf("%d of %d processes may use the store", got, relayed)
			}
			time.Sleep(70 * time.Millisecond)
		}
		r.end(following[0])
		for range 50 {
			if got := r.usable(near); got != relayed-1 {
				t.Fatalf("%d of %d processes may use the store with one follower gone", got, relayed-1)
			}
			time.Sleep(70 * time.Millisecond)
		}
		r.end(following[1])
		time.Sleep(1500 * time.Millisecond)
		if got := r.usable(near); got != relayed-2 {
			t.Errorf("%d of %d processes may use the store with both followers gone", got, relayed-2)
		}
	})
}

// TestUnreachableStoreIsAskedByTwo takes a store away for ten seconds.
//
// Those that follow it say that it does not answer. Without that, each process would take itself
// for forgotten and press a store that is just starting; and none may import from it.
func TestUnreachableStoreIsAskedByTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &clockedFeed{fakeStoreFeed{epoch: 1}}
		r := newRelay(t, feed, oneStore())
		time.Sleep(10 * time.Second)
		feed.mu.Lock()
		feed.down = true
		feed.mu.Unlock()
		time.Sleep(10 * time.Second)
		if got := len(r.followersOf(near)); got != 2 {
			t.Errorf("%d processes ask the store", got)
		}
		if got := r.usable(near); got != 0 {
			t.Errorf("%d processes use the store", got)
		}
		feed.mu.Lock()
		feed.down, feed.epoch = false, 2
		feed.mu.Unlock()
		time.Sleep(3 * time.Second)
		if got := len(r.followersOf(near)); got != 2 {
			t.Errorf("%d processes follow the store after its return", got)
		}
	})
}

// toldKeeper is a process that is told of a store which it listed 10 s ago.
func toldKeeper(t *testing.T) (*Tracker, *clock) {
	k, c := keeper(t)
	c.now = c.now.Add(10 * time.Second)
	k.endpointClock.observe(c.now.UnixMilli()+5000, c.now)
	return k, c
}

// endpointsTime is a time as the endpoints of keeper have it.
func endpointsTime(at time.Time) int64 { return at.UnixMilli() + 5000 }

// TestWordOfAnEarlierStartComesTooLate restarts a store; of its two followers one hears of it
// first.
//
// What the other still says of the start before must not bring back parts that are gone: another
// process may be saving one of them again, and half of it would enter an answer.
func TestWordOfAnEarlierStartComesTooLate(t *testing.T) {
	k, c := toldKeeper(t)
	before := Report{Address: near, Epoch: 7, AsOf: endpointsTime(c.now), Next: 3, Changes: []Change{added("s", "p1", 500)}}
	k.ApplyReport(before)
	if k.stored("s", parts) != 500 {
		t.Fatal("what is told is not used")
	}
	c.now = c.now.Add(100 * time.Millisecond)
	k.ApplyReport(Report{Address: near, Epoch: 8, AsOf: endpointsTime(c.now), Next: 0})
	if k.stored("s", parts) != 0 {
		t.Error("parts of the start before are used")
	}
	k.ApplyReport(before)
	if k.stored("s", parts) != 0 || k.stores[near].epoch != 8 {
		t.Error("a late word brings the start before back")
	}
}

// TestWordReadLateIsNotFresh freezes this process for three seconds with a word underway.
//
// It reads the word after that. The store may have restarted meanwhile: what counts is when it
// spoke, not when the word was read.
func TestWordReadLateIsNotFresh(t *testing.T) {
	k, c := toldKeeper(t)
	word := Report{Address: near, Epoch: 7, AsOf: endpointsTime(c.now), Next: 3, Changes: []Change{added("s", "p1", 500)}}
	c.now = c.now.Add(3 * time.Second)
	// So does an answer of an endpoint, which makes its clock look behind.
	k.observeClock(endpointsTime(c.now)-3000, c.now)
	k.ApplyReport(word)
	if k.stored("s", parts) != 0 {
		t.Error("a word of three seconds ago is taken for fresh")
	}
}

// TestChangesToldTwice has two followers tell the same changes in parts that overlap, the
// second behind the first.
func TestChangesToldTwice(t *testing.T) {
	k, c := toldKeeper(t)
	plus, minus := added("s", "p1", 500), Change{Segment: SegmentKey{"s", "p1"}}
	plus.Number, minus.Number = 3, 4
	k.ApplyReport(Report{Address: near, Epoch: 7, AsOf: endpointsTime(c.now), Next: 5, Changes: []Change{plus, minus}})
	k.ApplyReport(Report{Address: near, Epoch: 7, AsOf: endpointsTime(c.now), Next: 4, Changes: []Change{plus}})
	if k.stored("s", parts) != 0 {
		t.Error("a part that is gone is brought back by the later word of an earlier change")
	}
}

// TestNewcomerListsBeforeItIsTold starts a process beside others.
//
// What the store held before is in no later word: it lists it once itself.
func TestNewcomerListsBeforeItIsTold(t *testing.T) {
	c := &clock{epoch}
	k := NewTracker(nil, zap.NewNop(), "a", c.Now)
	k.Self, k.Peers = "p0", func() []string { return []string{"p1", "p2", "p3", "p4", "p5", "p6"} }
	k.SetStores(oneStore())
	k.endpointClock.observe(endpointsTime(c.now), c.now)
	k.ApplyReport(Report{Address: near, Epoch: 7, AsOf: endpointsTime(c.now), Next: 3})
	if k.followers()[near] == nil {
		t.Error("not listed")
	}
	if k.markUnreachable(near, errors.New("reset")); k.stored("s", parts) != 0 {
		t.Error("used before it is listed")
	}
}
