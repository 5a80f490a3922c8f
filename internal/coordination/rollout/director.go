package rollout

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/lease"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
)

// EngineReport is what an engine says of itself.
type EngineReport struct {
	// Weights is the version of each model.
	Weights map[string]int64
	// Busy tells that an order is being carried out.
	Busy bool
	// Orders is the number of orders accepted since the engine's start.
	Orders int64
	// Born is that start, 0 if the engine does not say.
	Born int64
}

// WeightsOrder makes an engine load a version of a model.
type WeightsOrder struct {
	Model   string
	Version int64
	Holder  string
	Fence   uint64
	// Expect is the number of orders accepted so far. An order whose answer was lost
	// may be carried out seconds later; by then the number differs, and it is void.
	Expect int64
}

// Errors of an order that was surely not accepted.
const (
	// ErrBusy: another order is in progress, or the number of orders differs.
	ErrBusy = errors.ConstError("engine is busy or has accepted other orders")
	// ErrFenced: the engine has seen a higher fencing number.
	ErrFenced = errors.ConstError("fencing number is too low")
	// ErrOrderRefused: the engine does not know the order.
	ErrOrderRefused = errors.ConstError("engine refuses the order")
	// ErrOtherInstance: another instance has the engine's address.
	ErrOtherInstance = errors.ConstError("another instance answers at the engine's address")
)

// Engines speaks to engines directly.
type Engines interface {
	Report(ctx context.Context, i discovery.Instance) (EngineReport, error)
	// Order returns nil when the engine has accepted the order, or holds to it already.
	Order(ctx context.Context, i discovery.Instance, o WeightsOrder) error
}

// Announcer tells the other processes what this one has written to the lease.
type Announcer interface {
	Announce(version int64, value []byte)
}

// Director brings engines to the weights that operators name, by orders of its
// own, while this process holds the lease. All processes run one.
type Director struct {
	State   *discovery.State
	Lease   *lease.Lease
	Engines Engines
	Log     *zap.Logger
	Holder  string
	// Handover is how long after taking the lease from another no order is given:
	// orders of two holders must be further apart than the engines' lease.
	Handover time.Duration
	// Within is the time in which named weights should be in use everywhere.
	Within time.Duration
	// Now is a clock that goes on while the host is suspended.
	Now func() time.Time
	// Notices, if set, tells the followers of each renewal; see informed.
	Notices Announcer
	// Fleet, if set, counts the processes that look at the lease.
	Fleet func() int

	// lastOrderAt is when this process last sent an order; announced tells that the
	// lease's note says so.
	lastOrderAt       time.Time
	orderingAnnounced bool
	// meanLoadTime is a moving average of how long orders take.
	meanLoadTime time.Duration
	// inFlight are the engines that carry out an order of this process.
	inFlight map[string]inFlightOrder
	// markedLoading are the engines that another holder says are loading, or that this process
	// ordered before it lost the lease, with when that was last known.
	markedLoading map[string]time.Time
	// loaded are the engines that this process saw load lately.
	loaded map[string]loadedWeights
}

type loadedWeights struct {
	version int64
	at      time.Time
}

type inFlightOrder struct {
	instance discovery.Instance
	version  int64
	since    time.Time
	// lastReport is when the engine last reported.
	lastReport time.Time
}

const (
	// holderIdleInterval is how often the holder renews the lease while nothing is to be ordered,
	// and followerLook how often the others look at it: all processes do, and every call
	// counts at the store. When weights are named they look at once.
	holderIdleInterval   = 1200 * time.Millisecond
	followerIdleInterval = 2400 * time.Millisecond
	// busyInterval is how often the holder decides while engines are to be ordered, and
	// the others read which of them load.
	busyInterval = 250 * time.Millisecond
	// fleetInterval is the mean time between two looks of all followers together while engines
	// are to be ordered and the holder tells them nothing: a hundred that looked every
	// busyLook made 400 calls a second.
	fleetInterval = 10 * time.Millisecond
	// maxFollowerInterval bounds a follower's pause for it: to take over it must have seen the lease
	// unchanged for a term.
	maxFollowerInterval = time.Second
	// noticeTTLBusy and toldIdle are how long a follower goes by what the holder told it last,
	// while engines are to be ordered and else: five notices, and two, that may be lost.
	noticeTTLBusy = 5 * busyInterval
	noticeTTLIdle = 2*holderIdleInterval + holderIdleInterval/2
	// engineTimeout bounds one report or order.
	engineTimeout = 500 * time.Millisecond
	// loadTimeout is when an accepted order is looked at as lost, and silentGivenUp
	// when an engine that does not report any more leaves its place to another.
	loadTimeout    = 8 * time.Second
	silenceTimeout = time.Second
	// loadingFraction of a model's engines carry out orders at once, two at least: more
	// slow each other down at the weight store.
	loadingFraction = 0.2
	// defaultLoadTime is assumed of an order before one has ended: an engine ends its runs,
	// then loads.
	defaultLoadTime = 1500 * time.Millisecond
	// deadlineFraction is the part of the time for new weights in which all engines should have
	// them. If that takes more orders at once, more are given.
	deadlineFraction = 0.7
	// maxLoadingFraction is the part of a model's engines that carry out orders at once even
	// then: the others must serve meanwhile, and take over the runs of those that load.
	// With 12 engines 0.5 gave 0.03 less worth over a day with a rollout, two new and two
	// leaving engines than 0.34, which gives as much as 0.25.
	maxLoadingFraction = 0.34
)

// Run directs until ctx ends.
func (d *Director) Run(ctx context.Context) {
	d.inFlight, d.markedLoading, d.loaded = map[string]inFlightOrder{}, map[string]time.Time{}, map[string]loadedWeights{}
	held := false
	for {
		timer := time.NewTimer(d.pollDelay(held))
		select {
		case <-timer.C:
		case <-d.State.TargetChanged():
		case <-d.Lease.RenewalObserved():
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		if len(d.State.Targets()) == 0 && !d.hasEngines() {
			continue
		}
		held = d.step(ctx, held)
	}
}

func (d *Director) pollDelay(held bool) time.Duration {
	pending := d.isRolloutPending()
	switch {
	case held && pending:
		return busyInterval
	case held:
		return holderIdleInterval
	}
	if left := d.noticeTimeLeft(pending); left > 0 {
		// Followers that all miss a notice should not all look at the same moment.
		return left + rand.N(holderIdleInterval)
	}
	if pending {
		return d.followerBusyInterval()
	}
	return followerIdleInterval
}

// followerBusyInterval is a follower's pause between looks while engines are to be ordered.
func (d *Director) followerBusyInterval() time.Duration {
	if d.Fleet == nil {
		return busyInterval
	}
	return min(max(busyInterval, time.Duration(d.Fleet())*fleetInterval), maxFollowerInterval)
}

// noticeTimeLeft is how much longer a follower may go by the holder's notices instead of looking
// at the lease. In half a minute with two rollouts a hundred followers' looks were 10,000 of
// 22,000 calls to the store. A holder that dies or is cut off falls silent, and the followers
// look again before its term is over: nobody takes over later for the notices.
func (d *Director) noticeTimeLeft(pending bool) time.Duration {
	lastNotice := d.Lease.LastObservedRenewal()
	if lastNotice.IsZero() {
		return 0
	}
	ttl := noticeTTLIdle
	if pending {
		ttl = noticeTTLBusy
	}
	return ttl - d.Now().Sub(lastNotice)
}

// IsLeader tells whether this process holds the lease.
func (d *Director) IsLeader() bool { return d.Lease.IsHeld(d.Now()) }

func (d *Director) hasEngines() bool {
	for _, i := range d.State.Instances() {
		if i.Model != "" {
			return true
		}
	}
	return false
}

// isRolloutPending tells whether an engine has not the weights that are named.
func (d *Director) isRolloutPending() bool {
	if len(d.inFlight) > 0 {
		return true
	}
	for _, i := range d.State.Instances() {
		if i.Model != "" && !i.Leaving && i.Weights < d.State.TargetVersion(i.Model) {
			return true
		}
	}
	return false
}

func (d *Director) step(ctx context.Context, held bool) bool {
	d.State.RetireOutdated()
	if !held && d.noticeTimeLeft(d.isRolloutPending()) > 0 {
		d.mergeVersionAges()
		d.followHolder(true)
		return false
	}
	ordering := d.isRolloutPending() || d.Now().Sub(d.lastOrderAt) < d.Handover
	d.writeNote(ordering)
	err := d.Lease.Step(ctx)
	d.mergeVersionAges()
	fence, notHeld := d.Lease.Fence(d.Now())
	if (notHeld == nil) != held {
		d.Log.Info("rollout lease", zap.Bool("held", notHeld == nil), zap.Uint64("fence", fence), zap.NamedError("last_call", err))
	}
	if notHeld != nil {
		d.orderingAnnounced = false
		d.followHolder(errors.Is(err, lease.ErrNotHeld))
		return false
	}
	if err == nil {
		d.orderingAnnounced = ordering
		d.announceRenewal()
	}
	if !d.orderingAnnounced || d.isHandingOver() {
		return true
	}
	d.unmarkAllLoading()
	d.pollOrders(ctx)
	d.sendOrders(ctx)
	return true
}

// announceRenewal passes on what was just written to the lease.
func (d *Director) announceRenewal() {
	if d.Notices != nil {
		d.Notices.Announce(d.Lease.LastWrite())
	}
}

// isHandingOver tells whether orders of the holder before may be too near. A holder
// says in its note that it is about to order before it does: one that has not said
// so has ordered nothing for long.
func (d *Director) isHandingOver() bool {
	at, left := d.Lease.TakenOver()
	if at.IsZero() || d.Now().Sub(at) >= d.Handover {
		return false
	}
	previousNote, err := decodeNote(left)
	return err != nil || previousNote.Ordering
}

// pollOrders asks the engines that were given orders how far they are.
func (d *Director) pollOrders(ctx context.Context) {
	for id, l := range d.inFlight {
		report, err := d.report(ctx, l.instance)
		now, known := d.State.Instance(id)
		if !known || now.Born != l.instance.Born {
			// An order ends with the start that accepted it; the engine is ordered anew.
			d.Log.Info("order lost with its engine", zap.String("endpoint", id), zap.Bool("known", known), zap.Int64("ordered", l.version))
			delete(d.inFlight, id)
			continue
		}
		if err != nil {
			d.Log.Warn("engine does not report", zap.String("endpoint", id), zap.Error(err))
		} else {
			l.lastReport = d.Now()
			d.inFlight[id] = l
		}
		weights := report.Weights[l.instance.Model]
		d.State.ObserveWeights(id, weights)
		finished := err == nil && !report.Busy
		if finished || d.Now().Sub(l.since) > loadTimeout || d.Now().Sub(l.lastReport) > silenceTimeout {
			d.Log.Info("order ended", zap.String("endpoint", id), zap.Int64("ordered", l.version), zap.Int64("weights", weights),
				zap.Duration("took", d.Now().Sub(l.since)))
			d.observeLoadTime(d.Now().Sub(l.since))
			d.loaded[id] = loadedWeights{weights, d.Now()}
			delete(d.inFlight, id)
			d.State.SetLoading(id, false)
		}
	}
}

func (d *Director) observeLoadTime(took time.Duration) {
	const weight = 4
	if d.meanLoadTime == 0 {
		d.meanLoadTime = defaultLoadTime
	}
	d.meanLoadTime += (took - d.meanLoadTime) / weight
}

func (d *Director) report(ctx context.Context, i discovery.Instance) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := d.Engines.Report(ctx, i)
	switch {
	case errors.Is(err, ErrOtherInstance):
		d.State.MarkMisdirected(i.ID)
	case err == nil:
		d.State.ObserveStart(i.ID, report.Born, report.Weights[i.Model])
	}
	return report, err
}

// sendOrders gives the orders that Decide asks for.
func (d *Director) sendOrders(ctx context.Context) {
	members := d.members()
	orders, _ := Decide(d.desiredView(members), members)
	for _, o := range orders {
		instance, ok := d.State.Instance(o.Member.ID)
		if ok {
			d.sendOrder(ctx, instance, d.State.TargetVersion(instance.Model))
		}
	}
}

// members are the fleet's, the oldest weights first: they are the first that must
// not be served any more. Newer weights than those named are shown as the named
// ones: they are never ordered back.
func (d *Director) members() []fleet.Member {
	members := d.State.Table.Members()
	sort.SliceStable(members, func(a, b int) bool { return versionOf(members[a]) < versionOf(members[b]) })
	for i := range members {
		e := &members[i].Endpoint
		// An endpoint that is not used for its old weights is to be ordered all the more.
		e.Loading = d.State.IsLoading(members[i].ID)
		if target := d.State.TargetVersion(e.Model); versionOf(members[i]) > target {
			e.WeightVersion = discovery.VersionName(target)
		}
	}
	return members
}

// versionOf is the number of a member's weights, 0 if it has none.
func versionOf(m fleet.Member) int64 {
	version, err := strconv.ParseInt(m.Endpoint.WeightVersion, 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// desiredView states what is wanted in the form that Decide reads.
func (d *Director) desiredView(members []fleet.Member) *config.View {
	change := config.Change{Revision: 1}
	engines, versions := map[[2]string]int{}, map[string][]string{}
	for _, m := range members {
		e := m.Endpoint
		if e.Kind != fleet.KindEngine || m.State != fleet.Alive || !d.State.HasService(e.Labels[discovery.ServiceLabel]) {
			continue
		}
		engines[[2]string{e.Labels[discovery.ServiceLabel], e.Model}]++
		versions[e.Model] = append(versions[e.Model], e.WeightVersion)
	}
	for of, count := range engines {
		service, model := of[0], of[1]
		target := d.State.TargetVersion(model)
		if target == 0 {
			continue
		}
		intent := config.Intent{
			Service: service, Labels: map[string]string{discovery.ServiceLabel: service}, Model: model,
			WeightVersion: discovery.VersionName(target), AlsoVersions: versions[model], Orders: true,
			MaxLoading: d.maxConcurrentLoads(model, count),
		}
		spec, err := json.Marshal(intent)
		if err != nil {
			d.Log.Error("intent", zap.Error(err))
			continue
		}
		ref := config.Ref{Kind: config.KindIntent, ID: service + "." + model}
		change.Puts = append(change.Puts, config.Document{Ref: ref, Spec: spec})
	}
	return config.Empty().With(change)
}

// maxConcurrentLoads is how many engines may carry out orders together: few, unless the time
// for the oldest named version that is not in use everywhere runs out.
func (d *Director) maxConcurrentLoads(model string, engines int) int {
	usual := max(2, int(loadingFraction*float64(engines)))
	behind, since := d.State.EndpointsBehind(model)
	if behind == 0 {
		return usual
	}
	left := time.Duration(deadlineFraction*float64(d.Within)) - d.Now().Sub(since)
	each := d.meanLoadTime
	if each == 0 {
		each = defaultLoadTime
	}
	rounds := max(1, int(left/each))
	needed := (behind + rounds - 1) / rounds
	return max(usual, min(needed, int(maxLoadingFraction*float64(engines))))
}

// sendOrder orders one engine. Its own report comes first: it tells what the engine has
// accepted so far, which the platform's list tells late.
func (d *Director) sendOrder(ctx context.Context, i discovery.Instance, version int64) {
	report, err := d.report(ctx, i)
	if err != nil {
		d.Log.Warn("engine does not report", zap.String("endpoint", i.ID), zap.Error(err))
		return
	}
	d.State.ObserveWeights(i.ID, report.Weights[i.Model])
	if report.Busy || report.Weights[i.Model] >= version {
		if report.Busy {
			d.track(i, version)
		}
		return
	}
	// Looked at again before each order: what came before it took time.
	fence, err := d.Lease.Fence(d.Now())
	if err != nil {
		return
	}
	d.lastOrderAt = d.Now()
	call, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	err = d.Engines.Order(call, i, WeightsOrder{Model: i.Model, Version: version, Holder: d.Holder, Fence: fence, Expect: report.Orders})
	d.Log.Info("order", zap.String("endpoint", i.ID), zap.String("model", i.Model), zap.Int64("weights", version),
		zap.Int64("before", report.Weights[i.Model]), zap.Uint64("fence", fence), zap.Int64("expect", report.Orders), zap.Error(err))
	if err == nil {
		i.Born = cmp.Or(report.Born, i.Born)
		d.track(i, version)
	}
}

func (d *Director) track(i discovery.Instance, version int64) {
	d.inFlight[i.ID] = inFlightOrder{instance: i, version: version, since: d.Now(), lastReport: d.Now()}
	d.State.SetLoading(i.ID, true)
}
