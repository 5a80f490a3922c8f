package rollout_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/lease"
	"limpetwall/internal/coordination/rollout"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/objectapi/standin"
)

const (
	term            = 3 * time.Second
	actWindow       = term / 4
	defaultLoadTime = time.Second
	// targetWithin is the time in which target weights must be in use everywhere.
	targetWithin = 10 * time.Second
)

// fakeEngines are engines that take a second to load. They ignore fencing tokens, as those
// of some deployments do, and record every order.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	orders  []sentOrder
	// With loseAnswers, engines carry an order out but its answer is lost. With delayOrders the
	// answer is lost too, and engines carry the order out only seconds later, if the number of
	// orders that it expects is still right.
	loseAnswers, delayOrders bool
	maxBusy                  int
	// reportDelay is how long a report takes.
	reportDelay time.Duration
	// silent engines answer no report, mute ones no order, which they don't carry out either.
	silent, mute map[string]bool
	// lateOrders is the share of orders that are carried out 2 to 12 s late and not answered.
	lateOrders float64
	random     *rand.Rand
	// loadTime is how long an order takes.
	loadTime time.Duration
}

type fakeEngine struct {
	weights, orders int64
	busy            bool
	startTime       int64
}

type sentOrder struct {
	engine string
	at     time.Time
	rollout.WeightsOrder
	before int64
}

func newFakeEngines(weights ...int64) *fakeEngines {
	f := &fakeEngines{engines: map[string]*fakeEngine{}, loadTime: defaultLoadTime, random: rand.New(rand.NewPCG(1, 1))}
	for i, w := range weights {
		f.engines[fmt.Sprint("e", i)] = &fakeEngine{weights: w}
	}
	return f
}

func (f *fakeEngines) Report(ctx context.Context, i discovery.Instance) (rollout.EngineReport, error) {
	f.mu.Lock()
	takes, isSilent := f.reportDelay, f.silent[i.ID]
	f.mu.Unlock()
	if isSilent {
		<-ctx.Done()
		return rollout.EngineReport{}, ctx.Err()
	}
	time.Sleep(takes)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[i.ID]
	return rollout.EngineReport{Weights: map[string]int64{"m": e.weights}, Busy: e.busy, Orders: e.orders, Born: e.startTime}, nil
}

var errNoAnswer = errors.New("no answer")

func (f *fakeEngines) Order(ctx context.Context, i discovery.Instance, o rollout.WeightsOrder) error {
	isAnswered, err := f.order(i, o)
	if !isAnswered {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (f *fakeEngines) order(i discovery.Instance, o rollout.WeightsOrder) (isAnswered bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[i.ID]
	f.orders = append(f.orders, sentOrder{i.ID, time.Now(), o, e.weights})
	switch {
	case f.mute[i.ID]:
		return false, nil
	case f.random.Float64() < f.lateOrders:
		time.AfterFunc(2*time.Second+time.Duration(f.random.Int64N(int64(10*time.Second))), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.accept(e, o)
		})
		return false, nil
	}
	return true, f.answer(e, o)
}

// answer carries an order out as loseAnswers and delayOrders say; f.mu is held.
func (f *fakeEngines) answer(e *fakeEngine, o rollout.WeightsOrder) error {
	if f.delayOrders {
		time.AfterFunc(4*time.Second, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.accept(e, o)
		})
		return errNoAnswer
	}
	err := f.accept(e, o)
	if f.loseAnswers {
		return errNoAnswer
	}
	return err
}

func (f *fakeEngines) accept(e *fakeEngine, o rollout.WeightsOrder) error {
	if e.busy || e.orders != o.Expect {
		return rollout.ErrBusy
	}
	e.busy = true
	e.orders++
	busy := 0
	for _, other := range f.engines {
		if other.busy {
			busy++
		}
	}
	f.maxBusy = max(f.maxBusy, busy)
	time.AfterFunc(f.loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.weights, e.busy = o.Version, false
	})
	return nil
}

func (f *fakeEngines) countAt(version int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if e.weights == version {
			n++
		}
	}
	return n
}

// busyCount returns how many engines are carrying out an order.
func (f *fakeEngines) busyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if e.busy {
			n++
		}
	}
	return n
}

// sentOrders returns the orders so far.
func (f *fakeEngines) sentOrders() []sentOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]sentOrder(nil), f.orders...)
}

// withLock calls change, which may alter how the engines behave, with the lock held.
func (f *fakeEngines) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// faultyStore is a client of the store that a test can block, as a freeze of the process does,
// or make fail.
type faultyStore struct {
	objectapi.API
	mu          sync.Mutex
	wait        chan struct{}
	unavailable bool
	// reads counts calls of Get.
	reads int
}

// setUnavailable makes every call fail, without blocking the process, or ends that.
func (f *faultyStore) setUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = unavailable
}

func (f *faultyStore) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wait = make(chan struct{})
}

func (f *faultyStore) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.wait)
	f.wait = nil
}

func (f *faultyStore) beforeCall(ctx context.Context) error {
	f.mu.Lock()
	wait, unavailable := f.wait, f.unavailable
	f.mu.Unlock()
	if unavailable {
		return objectapi.ErrUnavailable
	}
	if wait != nil {
		<-wait
	}
	return nil
}

func (f *faultyStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	f.mu.Lock()
	f.reads++
	f.mu.Unlock()
	if err := f.beforeCall(ctx); err != nil {
		return objectapi.Object{}, err
	}
	return f.API.Get(ctx, key)
}

func (f *faultyStore) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	if err := f.beforeCall(ctx); err != nil {
		return objectapi.Object{}, err
	}
	return f.API.Put(ctx, key, value, version)
}

// process is one process that may order engines.
type process struct {
	state *discovery.State
	api   *faultyStore
	lease *lease.Lease
}

// loadingCount returns how many engines the process treats as loading.
func (p *process) loadingCount() int {
	loading := 0
	for _, row := range p.state.Table.Members() {
		if p.state.IsLoading(row.ID) {
			loading++
		}
	}
	return loading
}

// startDirectors starts n processes that share a store and engines.
func startDirectors(t *testing.T, engines *fakeEngines, n int) []*process {
	return startDirectorsWithNotices(t, engines, n, nil)
}

// startDirectorsWithNotices is startDirectors with holders that send notices over a network.
func startDirectorsWithNotices(t *testing.T, engines *fakeEngines, n int, notices *network) []*process {
	store := standin.New()
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	var out []*process
	for i := range n {
		p := &process{api: &faultyStore{API: store}}
		p.state = discovery.NewState(fleet.Member{ID: fmt.Sprint("self", i)}, zap.NewNop(), time.Now(), func(*routes.Table) {})
		for id, e := range engines.engines {
			p.state.SetInstance(discovery.Instance{ID: id, Service: "llm", Model: "m", Weights: e.weights, Address: net.JoinHostPort("10.0.0.1", id)})
		}
		holder := fmt.Sprint("h", i)
		d := &rollout.Director{
			State: p.state, Engines: engines, Log: zap.NewNop(), Holder: holder, Handover: actWindow,
			Within: targetWithin, Now: time.Now,
		}
		p.lease = lease.New(lease.Config{Key: "k", Holder: holder, Term: term, Act: actWindow, CallTimeout: time.Second, OnNote: d.ObserveNote}, p.api)
		d.Lease = p.lease
		if notices != nil {
			d.Notices, d.Fleet = notices.join(p), func() int { return n }
		}
		done.Go(func() { d.Run(ctx) })
		out = append(out, p)
	}
	return out
}

func setTarget(processes []*process, version int64) {
	for _, p := range processes {
		p.state.SetTarget(discovery.TargetWeights{Model: "m", Version: version})
	}
}

// checkOrderSpacing fails the test if orders of two holders are less than a term apart, or a
// fencing token decreases: engines that check no token would carry out both.
func checkOrderSpacing(t *testing.T, f *fakeEngines) {
	t.Helper()
	orders := f.sentOrders()
	for i := 1; i < len(orders); i++ {
		a, b := orders[i-1], orders[i]
		if b.Fence < a.Fence {
			t.Errorf("order %d has fencing token %d after %d", i, b.Fence, a.Fence)
		}
		if a.Holder != b.Holder && (b.at.Sub(a.at) < term || a.Fence == b.Fence) {
			t.Errorf("%s sends an order %s after %s, with fencing tokens %d and %d", b.Holder, b.at.Sub(a.at), a.Holder, b.Fence, a.Fence)
		}
	}
}

func TestWeightsReachAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		processes := startDirectors(t, f, 4)
		time.Sleep(10 * time.Second)
		setTarget(processes, 2)
		time.Sleep(7 * time.Second)
		if f.countAt(2) != 9 {
			t.Errorf("%d of 9 engines have the target weights", f.countAt(2))
		}
		most := 0
		f.withLock(func() { most = f.maxBusy })
		if most > 4 {
			t.Errorf("%d engines loaded at once, want 4 at most", most)
		}
		if orders := f.sentOrders(); len(orders) != 9 {
			t.Errorf("got %d orders, want 9", len(orders))
		}
		checkOrderSpacing(t, f)
	})
}

// TestHolderFreezes freezes the holder right after its first orders.
//
// Another process takes over. The orders of the two must be a term apart and have different
// fencing tokens, the engines must have the target weights in time all the same, and the
// first holder must order nothing when it continues.
func TestHolderFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		processes := startDirectors(t, f, 4)
		time.Sleep(10 * time.Second)
		setTarget(processes, 2)
		time.Sleep(300 * time.Millisecond)
		var holder *process
		for _, p := range processes {
			if p.lease.IsHeld(time.Now()) {
				holder = p
			}
		}
		holder.api.freeze()
		time.Sleep(7 * time.Second)
		holder.api.thaw()
		time.Sleep(2700 * time.Millisecond)
		if f.countAt(2) != 9 {
			t.Errorf("%d of 9 engines have the target weights after 10 s", f.countAt(2))
		}
		checkOrderSpacing(t, f)
	})
}

// TestHolderFreezesAfterSlowReport lets a holder send two orders at the end of the time that its
// last renewal allows, and then freezes it.
//
// Another process takes the lease over a whole term after that renewal, which is less than
// a term after the order: it must wait for the rest before it sends orders.
func TestHolderFreezesAfterSlowReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1)
		processes := startDirectors(t, f, 3)
		time.Sleep(10 * time.Second)
		f.withLock(func() { f.reportDelay = actWindow - 10*time.Millisecond })
		setTarget(processes, 2)
		time.Sleep(actWindow)
		for _, p := range processes {
			if p.lease.IsHeld(time.Now()) {
				p.api.freeze()
				defer p.api.thaw()
			}
		}
		f.withLock(func() { f.reportDelay = 0 })
		before := len(f.sentOrders())
		time.Sleep(8 * time.Second)
		if all := len(f.sentOrders()); before != 2 || all < 3 {
			t.Errorf("got %d orders before the freeze and %d in all, want 2 and at least 3", before, all)
		}
		checkOrderSpacing(t, f)
	})
}

// TestOldestWeightsFirst sets a third target version while the second is being rolled out.
//
// Engines that still have the first version must be ordered before those with the second:
// their time runs out first.
func TestOldestWeightsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		processes := startDirectors(t, f, 1)
		time.Sleep(5 * time.Second)
		setTarget(processes, 2)
		time.Sleep(1500 * time.Millisecond)
		setTarget(processes, 3)
		time.Sleep(10 * time.Second)
		if f.countAt(3) != 9 {
			t.Errorf("%d of 9 engines have the newest weights", f.countAt(3))
		}
		second := false
		for _, o := range f.sentOrders() {
			if o.Version == 3 && o.before == 2 {
				second = true
			}
			if second && o.before == 1 {
				t.Errorf("%s had the first weights and was ordered after an engine with the second", o.engine)
			}
		}
	})
}

// TestLostAndDelayedOrders loses every answer, and in its second variant also carries orders
// out only seconds later, when others have been sent.
//
// The engine's own report decides what became of an order, and an order that arrives late
// finds another number of orders than it expects: no engine may return to older weights.
func TestLostAndDelayedOrders(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeEngines(1, 1, 1)
				processes := startDirectors(t, f, 2)
				time.Sleep(5 * time.Second)
				f.withLock(func() { f.loseAnswers, f.delayOrders = true, late })
				setTarget(processes, 2)
				time.Sleep(3 * time.Second)
				f.withLock(func() { f.loseAnswers, f.delayOrders = false, false })
				setTarget(processes, 3)
				time.Sleep(15 * time.Second)
				if f.countAt(3) != 3 {
					t.Errorf("%d of 3 engines have the newest weights", f.countAt(3))
				}
				checkOrderSpacing(t, f)
			})
		})
	}
}

// TestUnansweredCallsDoNotDelayOtherEngines guards against a rollout that stands still because the engines that are asked first
// answer no report, or no order, or carry orders out late.
func TestUnansweredCallsDoNotDelayOtherEngines(t *testing.T) {
	const engines, unanswering = 44, 12
	first := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(newFakeEngines(make([]int64, engines)...).engines))[:unanswering] {
		first[id] = true
	}
	for _, row := range []struct {
		name    string
		disturb func(f *fakeEngines)
		// within is when at least loaded engines must have the target weights.
		within time.Duration
		loaded int
	}{
		{"no reports", func(f *fakeEngines) { f.silent = first }, targetWithin, engines - unanswering},
		{"no orders", func(f *fakeEngines) { f.mute = first }, targetWithin, engines - unanswering},
		{"half of the orders late", func(f *fakeEngines) { f.lateOrders = 0.5 }, targetWithin * 3 / 2, engines - engines/10},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeEngines(slices.Repeat([]int64{1}, engines)...)
				processes := startDirectors(t, f, 3)
				time.Sleep(10 * time.Second)
				f.withLock(func() { row.disturb(f) })
				setTarget(processes, 2)
				time.Sleep(row.within)
				if n := f.countAt(2); n < row.loaded {
					t.Errorf("got %d engines with the target weights after %v, want %d", n, row.within, row.loaded)
				}
				checkOrderSpacing(t, f)
				if orders := f.sentOrders(); len(orders) == 0 || orders[0].Fence != orders[len(orders)-1].Fence {
					t.Error("the holder lost its lease while it waited for engines")
				}
				time.Sleep(15 * time.Second)
			})
		})
	}
}

// TestNewerWeightsAreNotReplaced starts an engine that already has newer weights than the
// target known here.
func TestNewerWeightsAreNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(3, 1)
		processes := startDirectors(t, f, 1)
		setTarget(processes, 2)
		time.Sleep(10 * time.Second)
		if orders := f.sentOrders(); f.countAt(3) != 1 || f.countAt(2) != 1 || len(orders) != 1 {
			t.Errorf("got orders %+v, want one, to the engine with weights 1", orders)
		}
	})
}

// TestFollowersLearnWhichEnginesLoad checks a process that does not hold the lease.
//
// It must send nothing to an engine that loads: the engine would refuse each request, and
// the retry would use up the retry budget.
func TestFollowersLearnWhichEnginesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1)
		processes := startDirectors(t, f, 2)
		time.Sleep(5 * time.Second)
		setTarget(processes, 2)
		time.Sleep(800 * time.Millisecond)
		for i, p := range processes {
			if got := p.loadingCount(); got != 2 {
				t.Errorf("process %d treats %d engines as loading, want 2", i, got)
			}
		}
		time.Sleep(10 * time.Second)
		for i, p := range processes {
			for _, row := range p.state.Table.Members() {
				if p.state.IsLoading(row.ID) {
					t.Errorf("process %d still treats %s as loading", i, row.ID)
				}
			}
		}
	})
}

// TestHolderWithoutStoreKeepsItsOrders cuts all processes off from the store while engines
// load.
//
// The holder can't renew the lease and must not send orders any more, but those it has sent
// continue. If it treated these engines as free, it would send them requests that they reject,
// until it reads the next holder's note. Engines that others have ordered stay marked in the
// same way, and none for longer than orders take.
func TestHolderWithoutStoreKeepsItsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1)
		f.loadTime = 3 * time.Second
		processes := startDirectors(t, f, 2)
		time.Sleep(5 * time.Second)
		setTarget(processes, 2)
		time.Sleep(800 * time.Millisecond)
		for _, p := range processes {
			p.api.setUnavailable(true)
		}
		time.Sleep(1500 * time.Millisecond)
		for i, p := range processes {
			if got := p.loadingCount(); got != 2 {
				t.Errorf("process %d treats %d engines as loading, want 2", i, got)
			}
		}
		time.Sleep(10 * time.Second)
		for i, p := range processes {
			if got := p.loadingCount(); got != 0 {
				t.Errorf("process %d still treats %d engines as loading", i, got)
			}
		}
	})
}

// TestFollowersLearnLoadedWeights lets engines load while the platform's list still shows
// their old weights.
//
// Only the holder asks the engines. Without its note the other processes would continue to
// send requests for the old weights, and the engines reject these for a second or two.
func TestFollowersLearnLoadedWeights(t *testing.T) {
	for _, row := range []struct {
		name       string
		lateOrders float64
		within     time.Duration
	}{{"orders answered", 0, 6 * time.Second}, {"orders carried out late", 1, 20 * time.Second}} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeEngines(1, 1, 1)
				processes := startDirectors(t, f, 3)
				time.Sleep(10 * time.Second)
				f.withLock(func() { f.lateOrders = row.lateOrders })
				setTarget(processes, 2)
				time.Sleep(row.within)
				for i, p := range processes {
					for _, instance := range p.state.Instances() {
						if instance.Weights != 2 {
							t.Errorf("process %d lists %s with weights %d, want 2", i, instance.ID, instance.Weights)
						}
					}
				}
				time.Sleep(12 * time.Second)
			})
		})
	}
}

// TestNoteNamesWeightsThatEntriesLack guards against a process that starts long after a rollout and never uses an endpoint, whose
// entry still has the replaced weights.
func TestNoteNamesWeightsThatEntriesLack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1)
		processes := startDirectors(t, f, 2)
		time.Sleep(10 * time.Second)
		setTarget(processes, 2)
		time.Sleep(time.Minute)
		for _, p := range processes {
			p.state.Remove("e0", false, time.Now())
			p.state.SetInstance(discovery.Instance{ID: "e0", Revision: 9, Service: "llm", Model: "m", Weights: 1, Address: "10.0.0.1:e0"})
		}
		time.Sleep(5 * time.Second)
		for i, p := range processes {
			if instance, _ := p.state.Instance("e0"); instance.Weights != 2 {
				t.Errorf("process %d lists e0 with weights %d, want 2", i, instance.Weights)
			}
		}
	})
}
