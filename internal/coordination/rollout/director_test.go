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
	term    = 3 * time.Second
	act     = term / 4
	loading = time.Second
)

// fakeEngines are engines that take a second to load. They ignore fencing numbers,
// as some deployments' do, and remember every order.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	orders  []givenOrder
	// mute engines carry an order out but lose its answer; late ones do so seconds
	// after, if what the order expects still holds.
	mute, late bool
	most       int
	// reportTakes is how long a report is underway.
	reportTakes time.Duration
	// loads is how long an order takes.
	loads time.Duration
}

type fakeEngine struct {
	weights, orders int64
	busy            bool
	born            int64
}

type givenOrder struct {
	engine string
	at     time.Time
	rollout.WeightsOrder
	before int64
}

func newFakeEngines(weights ...int64) *fakeEngines {
	f := &fakeEngines{engines: map[string]*fakeEngine{}, loads: loading}
	for i, w := range weights {
		f.engines[fmt.Sprint("e", i)] = &fakeEngine{weights: w}
	}
	return f
}

func (f *fakeEngines) Report(_ context.Context, i discovery.Instance) (rollout.EngineReport, error) {
	f.mu.Lock()
	takes := f.reportTakes
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
	f.orders = append(f.orders, givenOrder{i.ID, time.Now(), o, e.weights})
	if f.late {
		time.AfterFunc(4*time.Second, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.accept(e, o)
		})
		return errNoAnswer
	}
	err := f.accept(e, o)
	if f.mute {
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
	f.most = max(f.most, busy)
	time.AfterFunc(f.loads, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.weights, e.busy = o.Version, false
	})
	return nil
}

func (f *fakeEngines) at(version int64) int {
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

// loadingNow counts the engines that carry out an order.
func (f *fakeEngines) loadingNow() int {
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

// given lists the orders so far.
func (f *fakeEngines) given() []givenOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]givenOrder(nil), f.orders...)
}

// set changes how the engines behave.
func (f *fakeEngines) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// frozen is a store's client that a test may stop, as a freeze of its process does.
type frozen struct {
	objectapi.API
	mu   sync.Mutex
	wait chan struct{}
	away bool
	// gets counts reads.
	gets int
}

// cut makes the store answer nothing, without stopping the process.
func (f *frozen) cut(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

func (f *frozen) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wait = make(chan struct{})
}

func (f *frozen) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.wait)
	f.wait = nil
}

func (f *frozen) pass(ctx context.Context) error {
	f.mu.Lock()
	wait, away := f.wait, f.away
	f.mu.Unlock()
	if away {
		return objectapi.ErrUnavailable
	}
	if wait != nil {
		<-wait
	}
	return nil
}

func (f *frozen) Get(ctx context.Context, key string) (objectapi.Object, error) {
	f.mu.Lock()
	f.gets++
	f.mu.Unlock()
	if err := f.pass(ctx); err != nil {
		return objectapi.Object{}, err
	}
	return f.API.Get(ctx, key)
}

func (f *frozen) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	if err := f.pass(ctx); err != nil {
		return objectapi.Object{}, err
	}
	return f.API.Put(ctx, key, value, version)
}

// member is one process that may direct.
type member struct {
	state *discovery.State
	api   *frozen
	lease *lease.Lease
}

// loading counts the engines that the process takes for loading.
func (m *member) loading() int {
	loading := 0
	for _, row := range m.state.Table.Members() {
		if m.state.IsLoading(row.ID) {
			loading++
		}
	}
	return loading
}

// direct starts n processes over the same store and engines.
func direct(t *testing.T, engines *fakeEngines, n int) []*member {
	return directTold(t, engines, n, nil)
}

// directTold does so with holders that tell the others over a network.
func directTold(t *testing.T, engines *fakeEngines, n int, between *network) []*member {
	store := standin.New()
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	var out []*member
	for i := range n {
		m := &member{api: &frozen{API: store}}
		m.state = discovery.NewState(fleet.Member{ID: fmt.Sprint("self", i)}, zap.NewNop(), time.Now(), func(*routes.Table) {})
		for id, e := range engines.engines {
			m.state.SetInstance(discovery.Instance{ID: id, Service: "llm", Model: "m", Weights: e.weights, Address: net.JoinHostPort("10.0.0.1", id)})
		}
		holder := fmt.Sprint("h", i)
		m.lease = lease.New(lease.Config{Key: "k", Holder: holder, Term: term, Act: act, CallTimeout: time.Second}, m.api)
		d := &rollout.Director{
			State: m.state, Lease: m.lease, Engines: engines, Log: zap.NewNop(), Holder: holder, Handover: act,
			Within: 10 * time.Second, Now: time.Now,
		}
		if between != nil {
			d.Notices, d.Fleet = between.join(m), func() int { return n }
		}
		done.Go(func() { d.Run(ctx) })
		out = append(out, m)
	}
	return out
}

func name(members []*member, version int64) {
	for _, m := range members {
		m.state.SetTarget(discovery.TargetWeights{Model: "m", Version: version})
	}
}

// holdersApart fails if orders of two holders are nearer than a term, or a number
// falls: engines that check nothing would obey both.
func holdersApart(t *testing.T, f *fakeEngines) {
	t.Helper()
	orders := f.given()
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
		members := direct(t, f, 4)
		time.Sleep(10 * time.Second)
		name(members, 2)
		time.Sleep(7 * time.Second)
		if f.at(2) != 9 {
			t.Errorf("%d of 9 engines have the named weights", f.at(2))
		}
		most := 0
		f.set(func() { most = f.most })
		if most > 4 {
			t.Errorf("%d engines loaded at once", most)
		}
		if orders := f.given(); len(orders) != 9 {
			t.Errorf("%d orders", len(orders))
		}
		holdersApart(t, f)
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
		members := direct(t, f, 4)
		time.Sleep(10 * time.Second)
		name(members, 2)
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
		if f.at(2) != 9 {
			t.Errorf("%d of 9 engines have the named weights after 10 s", f.at(2))
		}
		holdersApart(t, f)
	})
}

// TestHolderFreezesAfterASlowReport lets a holder order at the end of the time that
// its last renewal gives it, and freezes it then.
//
// Another takes the lease over a whole term after that renewal, which is less than
// a term after the order: it must wait for the rest before it orders.
func TestHolderFreezesAfterASlowReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1)
		members := direct(t, f, 3)
		time.Sleep(10 * time.Second)
		f.set(func() { f.reportTakes = act - 10*time.Millisecond })
		name(members, 2)
		time.Sleep(act)
		for _, m := range members {
			if m.lease.IsHeld(time.Now()) {
				m.api.freeze()
				defer m.api.thaw()
			}
		}
		f.set(func() { f.reportTakes = 0 })
		before := len(f.given())
		time.Sleep(8 * time.Second)
		if all := len(f.given()); before != 1 || all < 3 {
			t.Errorf("%d orders before the freeze, %d in all", before, all)
		}
		holdersApart(t, f)
	})
}

// TestOldestWeightsFirst names a third version while the second is on its way.
//
// Engines that still have the first are ordered before those with the second: their
// time runs out first.
func TestOldestWeightsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		members := direct(t, f, 1)
		time.Sleep(5 * time.Second)
		name(members, 2)
		time.Sleep(1500 * time.Millisecond)
		name(members, 3)
		time.Sleep(10 * time.Second)
		if f.at(3) != 9 {
			t.Errorf("%d of 9 engines have the newest weights", f.at(3))
		}
		second := false
		for _, o := range f.given() {
			if o.Version == 3 && o.before == 2 {
				second = true
			}
			if second && o.before == 1 {
				t.Errorf("%s waited with the first weights behind one with the second", o.engine)
			}
		}
	})
}

// TestUnansweredOrders loses every answer; then carries orders out only seconds
// later, when others have been given.
//
// The engine's own report decides what came of an order, and an order that comes
// late finds another number than it expects: no engine goes back.
func TestUnansweredOrders(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeEngines(1, 1, 1)
				members := direct(t, f, 2)
				time.Sleep(5 * time.Second)
				f.set(func() { f.mute, f.late = true, late })
				name(members, 2)
				time.Sleep(3 * time.Second)
				f.set(func() { f.mute, f.late = false, false })
				name(members, 3)
				time.Sleep(15 * time.Second)
				if f.at(3) != 3 {
					t.Errorf("%d of 3 engines have the newest weights", f.at(3))
				}
				holdersApart(t, f)
			})
		})
	}
}

// TestNewerWeightsStay starts an engine that already has what is not yet named here.
func TestNewerWeightsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(3, 1)
		members := direct(t, f, 1)
		name(members, 2)
		time.Sleep(10 * time.Second)
		if orders := f.given(); f.at(3) != 1 || f.at(2) != 1 || len(orders) != 1 {
			t.Errorf("orders %+v", orders)
		}
	})
}

// TestOthersLearnWhichEnginesLoad looks at a process that does not hold the lease.
//
// It sends nothing to an engine that loads: each request there would be refused,
// and its second try would cost the retry budget.
func TestOthersLearnWhichEnginesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1)
		members := direct(t, f, 2)
		time.Sleep(5 * time.Second)
		name(members, 2)
		time.Sleep(800 * time.Millisecond)
		for i, m := range members {
			if got := m.loading(); got != 2 {
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

// TestCutHolderKeepsItsOrders cuts the holder off from the store while its engines load.
//
// It can't renew the lease and must not act any more, but what it has ordered goes on. If
// it took these engines for free, it would send them requests that they reject, until it
// reads the next holder's note. Engines that others have ordered stay marked in the same
// way, and none for longer than orders take.
func TestCutHolderKeepsItsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1)
		f.loads = 3 * time.Second
		members := direct(t, f, 2)
		time.Sleep(5 * time.Second)
		name(members, 2)
		time.Sleep(800 * time.Millisecond)
		for _, m := range members {
			m.api.cut(true)
		}
		time.Sleep(1500 * time.Millisecond)
		for i, m := range members {
			if got := m.loading(); got != 2 {
				t.Errorf("process %d takes %d engines for loading", i, got)
			}
		}
		time.Sleep(10 * time.Second)
		for i, m := range members {
			if got := m.loading(); got != 0 {
				t.Errorf("process %d still takes %d engines for loading", i, got)
			}
		}
	})
}

// TestOthersKnowWhatHasLoaded lets engines load while the platform's list still shows
// their old weights.
//
// Only the holder asks the engines. Without its word the other processes go on to name
// the old weights in what they send, and the engines reject it for a second or two.
func TestOthersKnowWhatHasLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1)
		members := direct(t, f, 3)
		time.Sleep(10 * time.Second)
		name(members, 2)
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
