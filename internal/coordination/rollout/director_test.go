package rollout_test

import (
	"context"
	"fmt"
	"net"
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
)

// fakeEngines are engines that take a second to load. They ignore fencing numbers,
// as some deployments' do, and remember every order.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	orders  []sentOrder
	// loseAnswers engines carry an order out but lose its answer; delayOrders ones do so seconds
	// after, if what the order expects still holds.
	loseAnswers, delayOrders bool
	maxBusy                  int
	// reportDelay is how long a report is underway.
	reportDelay time.Duration
	// loadTime is how long an order takes.
	loadTime time.Duration
}

type fakeEngine struct {
	weights, orders int64
	busy            bool
	born            int64
}

type sentOrder struct {
	engine string
	at     time.Time
	rollout.WeightsOrder
	before int64
}

func newFakeEngines(weights ...int64) *fakeEngines {
	f := &fakeEngines{engines: map[string]*fakeEngine{}, loadTime: defaultLoadTime}
	for i, w := range weights {
		f.engines[fmt.Sprint("e", i)] = &fakeEngine{weights: w}
	}
	return f
}

func (f *fakeEngines) Report(_ context.Context, i discovery.Instance) (rollout.EngineReport, error) {
	f.mu.Lock()
	takes := f.reportDelay
	f.mu.Unlock()
	time.Sleep(takes)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[i.ID]
	return rollout.EngineReport{Weights: map[string]int64{"m": e.weights}, Busy: e.busy, Orders: e.orders, Born: e.born}, nil
}

var errNoAnswer = errors.New("no answer")

func (f *fakeEngines) Order(ctx context.Context, i discovery.Instance, o rollout.WeightsOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[i.ID]
	f.orders = append(f.orders, sentOrder{i.ID, time.Now(), o, e.weights})
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

// busyCount counts the engines that carry out an order.
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

// sentOrders lists the orders so far.
func (f *fakeEngines) sentOrders() []sentOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]sentOrder(nil), f.orders...)
}

// withLock changes how the engines behave.
func (f *fakeEngines) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// faultyStore is a store's client that a test may stop, as a freeze of its process does.
type faultyStore struct {
	objectapi.API
	mu          sync.Mutex
	wait        chan struct{}
	unavailable bool
	// reads counts reads.
	reads int
}

// setUnavailable makes the store answer nothing, without stopping the process.
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

func (f *faultyStore) awaitAvailable(ctx context.Context) error {
	f.mu.Lock()
	wait, away := f.wait, f.unavailable
	f.mu.Unlock()
	if away {
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
	if err := f.awaitAvailable(ctx); err != nil {
		return objectapi.Object{}, err
	}
	return f.API.Get(ctx, key)
}

func (f *faultyStore) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	if err := f.awaitAvailable(ctx); err != nil {
		return objectapi.Object{}, err
	}
	return f.API.Put(ctx, key, value, version)
}

// member is one process that may direct.
type member struct {
	state *discovery.State
	api   *faultyStore
	lease *lease.Lease
}

// loadingCount counts the engines that the process takes for loadingCount.
func (m *member) loadingCount() int {
	loading := 0
	for _, row := range m.state.Table.Members() {
		if m.state.IsLoading(row.ID) {
			loading++
		}
	}
	return loading
}

// startDirectors starts n processes over the same store and engines.
func startDirectors(t *testing.T, engines *fakeEngines, n int) []*member {
	return startDirectorsWithNotices(t, engines, n, nil)
}

// startDirectorsWithNotices does so with holders that tell the others over a network.
func startDirectorsWithNotices(t *testing.T, engines *fakeEngines, n int, notices *network) []*member {
	store := standin.New()
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	var out []*member
	for i := range n {
		m := &member{api: &faultyStore{API: store}}
		m.state = discovery.NewState(fleet.Member{ID: fmt.Sprint("self", i)}, zap.NewNop(), time.Now(), func(*routes.Table) {})
		for id, e := range engines.engines {
			m.state.SetInstance(discovery.Instance{ID: id, Service: "llm", Model: "m", Weights: e.weights, Address: net.JoinHostPort("10.0.0.1", id)})
		}
		holder := fmt.Sprint("h", i)
		m.lease = lease.New(lease.Config{Key: "k", Holder: holder, Term: term, Act: actWindow, CallTimeout: time.Second}, m.api)
		d := &rollout.Director{
			State: m.state, Lease: m.lease, Engines: engines, Log: zap.NewNop(), Holder: holder, Handover: actWindow,
			Within: 10 * time.Second, Now: time.Now,
		}
		if notices != nil {
			d.Notices, d.Fleet = notices.join(m), func() int { return n }
		}
		done.Go(func() { d.Run(ctx) })
		out = append(out, m)
	}
	return out
}

func setTarget(members []*member, version int64) {
	for _, m := range members {
		m.state.SetTarget(discovery.TargetWeights{Model: "m", Version: version})
	}
}

// checkOrderSpacing fails if orders of two holders are nearer than a term, or a number
// falls: engines that check nothing would obey both.
func checkOrderSpacing(t *testing.T, f *fakeEngines) {
	t.Helper()
	orders := f.sentOrders()
	for i := 1; i < len(orders); i++ {
		a, b := orders[i-1], orders[i]
		if b.Fence < a.Fence {
			t.Errorf("order %d has number %d after %d", i, b.Fence, a.Fence)
		}
		if a.Holder != b.Holder && (b.at.Sub(a.at) < term || a.Fence == b.Fence) {
			t.Errorf("%s orders %s after %s, numbers %d and %d", b.Holder, b.at.Sub(a.at), a.Holder, b.Fence, a.Fence)
		}
	}
}

func TestWeightsReachAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		members := startDirectors(t, f, 4)
		time.Sleep(10 * time.Second)
		setTarget(members, 2)
		time.Sleep(7 * time.Second)
		if f.countAt(2) != 9 {
			t.Errorf("%d of 9 engines have the named weights", f.countAt(2))
		}
		most := 0
		f.withLock(func() { most = f.maxBusy })
		if most > 4 {
			t.Errorf("%d engines loaded at once", most)
		}
		if orders := f.sentOrders(); len(orders) != 9 {
			t.Errorf("%d orders", len(orders))
		}
		checkOrderSpacing(t, f)
	})
}

// TestHolderFreezes stops the holder right after its first orders.
//
// Another takes over, and both orders of two processes and their numbers keep
// apart; the engines have the weights in time all the same. The holder that wakes
// orders nothing.
func TestHolderFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		members := startDirectors(t, f, 4)
		time.Sleep(10 * time.Second)
		setTarget(members, 2)
		time.Sleep(300 * time.Millisecond)
		var holder *member
		for _, m := range members {
			if m.lease.IsHeld(time.Now()) {
				holder = m
			}
		}
		holder.api.freeze()
		time.Sleep(7 * time.Second)
		holder.api.thaw()
		time.Sleep(2700 * time.Millisecond)
		if f.countAt(2) != 9 {
			t.Errorf("%d of 9 engines have the named weights after 10 s", f.countAt(2))
		}
		checkOrderSpacing(t, f)
	})
}

// TestHolderFreezesAfterSlowReport lets a holder order at the end of the time that
// its last renewal gives it, and freezes it then.
//
// Another takes the lease over a whole term after that renewal, which is less than
// a term after the order: it must wait for the rest before it orders.
func TestHolderFreezesAfterSlowReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1)
		members := startDirectors(t, f, 3)
		time.Sleep(10 * time.Second)
		f.withLock(func() { f.reportDelay = actWindow - 10*time.Millisecond })
		setTarget(members, 2)
		time.Sleep(actWindow)
		for _, m := range members {
			if m.lease.IsHeld(time.Now()) {
				m.api.freeze()
				defer m.api.thaw()
			}
		}
		f.withLock(func() { f.reportDelay = 0 })
		before := len(f.sentOrders())
		time.Sleep(8 * time.Second)
		if all := len(f.sentOrders()); before != 1 || all < 3 {
			t.Errorf("%d orders before the freeze, %d in all", before, all)
		}
		checkOrderSpacing(t, f)
	})
}

// TestOldestWeightsFirst names a third version while the second is on its way.
//
// Engines that still have the first are ordered before those with the second: their
// time runs out first.
func TestOldestWeightsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		members := startDirectors(t, f, 1)
		time.Sleep(5 * time.Second)
		setTarget(members, 2)
		time.Sleep(1500 * time.Millisecond)
		setTarget(members, 3)
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
				t.Errorf("%s waited with the first weights behind one with the second", o.engine)
			}
		}
	})
}

// TestLostAndDelayedOrders loses every answer; then carries orders out only seconds
// later, when others have been given.
//
// The engine's own report decides what came of an order, and an order that comes
// late finds another number than it expects: no engine goes back.
func TestLostAndDelayedOrders(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeEngines(1, 1, 1)
				members := startDirectors(t, f, 2)
				time.Sleep(5 * time.Second)
				f.withLock(func() { f.loseAnswers, f.delayOrders = true, late })
				setTarget(members, 2)
				time.Sleep(3 * time.Second)
				f.withLock(func() { f.loseAnswers, f.delayOrders = false, false })
				setTarget(members, 3)
				time.Sleep(15 * time.Second)
				if f.countAt(3) != 3 {
					t.Errorf("%d of 3 engines have the newest weights", f.countAt(3))
				}
				checkOrderSpacing(t, f)
			})
		})
	}
}

// TestNewerWeightsAreNotReplaced starts an engine that already has what is not yet named here.
func TestNewerWeightsAreNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(3, 1)
		members := startDirectors(t, f, 1)
		setTarget(members, 2)
		time.Sleep(10 * time.Second)
		if orders := f.sentOrders(); f.countAt(3) != 1 || f.countAt(2) != 1 || len(orders) != 1 {
			t.Errorf("orders %+v", orders)
		}
	})
}

// TestFollowersLearnWhichEnginesLoad looks at a process that does not hold the lease.
//
// It sends nothing to an engine that loads: each request there would be refused,
// and its second try would cost the retry budget.
func TestFollowersLearnWhichEnginesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1)
		members := startDirectors(t, f, 2)
		time.Sleep(5 * time.Second)
		setTarget(members, 2)
		time.Sleep(800 * time.Millisecond)
		for i, m := range members {
			if got := m.loadingCount(); got != 2 {
				t.Errorf("process %d takes %d engines for loading", i, got)
			}
		}
		time.Sleep(10 * time.Second)
		for i, m := range members {
			for _, row := range m.state.Table.Members() {
				if m.state.IsLoading(row.ID) {
					t.Errorf("process %d still takes %s for loading", i, row.ID)
				}
			}
		}
	})
}

// TestHolderWithoutStoreKeepsItsOrders cuts the holder off from the store while its engines load.
//
// It can't renew the lease and must not act any more, but what it has ordered goes on. If
// it took these engines for free, it would send them requests that they reject, until it
// reads the next holder's note. Engines that others have ordered stay marked in the same
// way, and none for longer than orders take.
func TestHolderWithoutStoreKeepsItsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1)
		f.loadTime = 3 * time.Second
		members := startDirectors(t, f, 2)
		time.Sleep(5 * time.Second)
		setTarget(members, 2)
		time.Sleep(800 * time.Millisecond)
		for _, m := range members {
			m.api.setUnavailable(true)
		}
		time.Sleep(1500 * time.Millisecond)
		for i, m := range members {
			if got := m.loadingCount(); got != 2 {
				t.Errorf("process %d takes %d engines for loading", i, got)
			}
		}
		time.Sleep(10 * time.Second)
		for i, m := range members {
			if got := m.loadingCount(); got != 0 {
				t.Errorf("process %d still takes %d engines for loading", i, got)
			}
		}
	})
}

// TestFollowersLearnLoadedWeights lets engines load while the platform's list still shows
// their old weights.
//
// Only the holder asks the engines. Without its word the other processes go on to name
// the old weights in what they send, and the engines reject it for a second or two.
func TestFollowersLearnLoadedWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1)
		members := startDirectors(t, f, 3)
		time.Sleep(10 * time.Second)
		setTarget(members, 2)
		time.Sleep(6 * time.Second)
		for i, m := range members {
			for _, instance := range m.state.Instances() {
				if instance.Weights != 2 {
					t.Errorf("process %d takes %s to have weights %d", i, instance.ID, instance.Weights)
				}
			}
		}
	})
}
