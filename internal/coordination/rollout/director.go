package rollout

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/lease"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
)

// EngineReport is what an engine reports about itself.
type EngineReport struct {
	// Weights is the version of each model.
	Weights map[string]int64
	// Busy is set while the engine carries out an order.
	Busy bool
	// Orders is the number of orders accepted since the engine's start.
	Orders int64
	// Born is the time of that start, 0 if the engine does not report it.
	Born int64
}

// WeightsOrder orders an engine to load a version of a model.
type WeightsOrder struct {
	Model   string
	Version int64
	Holder  string
	Fence   uint64
	// Expect is the number of orders accepted so far. An order whose answer was lost
	// may be carried out seconds later; by then the number differs, and the engine rejects it.
	Expect int64
}

// Errors of an order that the engine has certainly not accepted.
const (
	// ErrBusy is returned when another order is in progress, or the number of orders differs.
	ErrBusy = errors.ConstError("engine is busy or has accepted other orders")
	// ErrFenced is returned when the engine has seen a higher fencing token.
	ErrFenced = errors.ConstError("fencing token is too low")
	// ErrOrderRefused is returned when the engine does not know the order.
	ErrOrderRefused = errors.ConstError("engine refuses the order")
	// ErrOtherInstance is returned when another instance has the engine's address.
	ErrOtherInstance = errors.ConstError("another instance answers at the engine's address")
)

// Engines calls engines directly.
type Engines interface {
	Report(ctx context.Context, i discovery.Instance) (EngineReport, error)
	// Order returns nil when the engine has accepted the order, or had accepted it already.
	Order(ctx context.Context, i discovery.Instance, o WeightsOrder) error
}

// Announcer sends to the other processes what this one has written to the lease.
type Announcer interface {
	Announce(version int64, value []byte)
}

// Director orders engines to load the target weights, the versions that operators named,
// while this process holds the lease. All processes run one.
type Director struct {
	State   *discovery.State
	Lease   *lease.Lease
	Engines Engines
	Log     *zap.Logger
	Holder  string
	// Handover is how long no order is sent after the lease was taken over from another
	// holder: orders of two holders must be further apart than the engines' lease.
	Handover time.Duration
	// Within is the time in which target weights should be in use everywhere.
	Within time.Duration
	// Now is a clock that continues while the host is suspended.
	Now func() time.Time
	// Notices, if set, announces each renewal to the followers; see noticeTimeLeft.
	Notices Announcer
	// IsResting, if set, reports whether an engine accepts no calls of this process now.
	IsResting func(i discovery.Instance) bool
	// Fleet, if set, returns the number of processes that check the lease.
	Fleet func() int

	// lastOrderAt is when this process last sent an order; orderingAnnounced is set while
	// its note in the lease says that it orders.
	lastOrderAt       time.Time
	orderingAnnounced bool
	// noteOrdering is what the note to be written next says of this.
	noteOrdering bool
	// meanLoadTime is a moving average of how long orders take.
	meanLoadTime time.Duration
	// inFlight holds the orders of this process that engines are carrying out, by engine.
	inFlight map[string]inFlightOrder
	// markedLoading holds the engines that another holder reported as loading, or that this
	// process ordered before it lost the lease, each with the time when that was last known.
	markedLoading map[string]time.Time
	// loaded holds the weights of engines whose orders this process recently saw end.
	loaded map[string]loadedWeights
	// unanswered holds the engines that did not answer the last report or order.
	unanswered map[string]unansweredCall
}

// unansweredCall is the last call that an engine did not answer.
type unansweredCall struct {
	// retryAt is when the engine is called again.
	retryAt time.Time
	// count is the number of such calls in succession.
	count int
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
	// and followerIdleInterval how often the others check it: all processes do, and every call
	// counts at the store. When target weights change they check it at once.
	holderIdleInterval   = 1200 * time.Millisecond
	followerIdleInterval = 2400 * time.Millisecond
	// busyInterval is how often the holder decides while engines are to be ordered, and
	// the others read which engines are loading.
	busyInterval = 250 * time.Millisecond
	// fleetInterval is the mean time between two checks of the lease by any of the followers
	// while engines are to be ordered and the holder's notices do not arrive: a hundred followers
	// that checked every busyInterval made 400 calls a second.
	fleetInterval = 10 * time.Millisecond
	// maxFollowerInterval limits the pause that results for one follower: to take over, it must
	// have seen the lease unchanged for a term.
	maxFollowerInterval = time.Second
	// noticeTTLBusy and noticeTTLIdle are how long a follower relies on the holder's last notice,
	// while engines are to be ordered and otherwise. They cover five and two notices, which may
	// be lost.
	noticeTTLBusy = 5 * busyInterval
	noticeTTLIdle = 2*holderIdleInterval + holderIdleInterval/2
	// engineTimeout limits one report or order.
	engineTimeout = 500 * time.Millisecond
	// unansweredRetry is the time after which an engine that did not answer is called again.
	unansweredRetry = time.Second
	// maxParallelCalls bounds the calls to engines at a time.
	maxParallelCalls = 64
	// loadTimeout is the time after which an accepted order is considered lost, and
	// silenceTimeout the time without a report after which an engine makes way for another.
	loadTimeout    = 8 * time.Second
	silenceTimeout = time.Second
	// loadingFraction of a model's engines carry out orders at once, but at least two: more
	// slow each other down at the weight store.
	loadingFraction = 0.2
	// defaultLoadTime is the assumed duration of an order before one has ended: an engine ends
	// its runs, then loads.
	defaultLoadTime = 1500 * time.Millisecond
	// deadlineFraction is the fraction of Within after which all engines should have new weights.
	// If that takes more orders at once, more are sent.
	deadlineFraction = 0.7
	// maxLoadingFraction is the fraction of a model's engines that carry out orders at once even
	// then: the others must serve in the meantime, and take over the runs of those that load.
	// With 12 engines, 0.5 gave 0.03 less worth than 0.34 over a day with a rollout, two new and
	// two leaving engines; 0.34 gives as much as 0.25.
	maxLoadingFraction = 0.34
)

// Run checks the lease and sends orders while holding it, until ctx ends.
func (d *Director) Run(ctx context.Context) {
	d.inFlight, d.markedLoading, d.loaded = map[string]inFlightOrder{}, map[string]time.Time{}, map[string]loadedWeights{}
	d.unanswered = map[string]unansweredCall{}
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
		// Followers that all miss a notice should not all check the lease at the same moment.
		return left + rand.N(holderIdleInterval)
	}
	if pending {
		return d.followerBusyInterval()
	}
	return followerIdleInterval
}

// followerBusyInterval returns a follower's pause between checks while engines are to be ordered.
func (d *Director) followerBusyInterval() time.Duration {
	if d.Fleet == nil {
		return busyInterval
	}
	return min(max(busyInterval, time.Duration(d.Fleet())*fleetInterval), maxFollowerInterval)
}

// noticeTimeLeft returns how much longer a follower may rely on the holder's notices instead
// of checking the lease. In half a minute with two rollouts, the checks of a hundred followers
// were 10,000 of 22,000 calls to the store. A holder that dies or is cut off sends no more
// notices, and the followers check the lease again before its term is over: the notices delay
// no takeover.
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

// IsLeader reports whether this process holds the lease.
func (d *Director) IsLeader() bool { return d.Lease.IsHeld(d.Now()) }

func (d *Director) hasEngines() bool {
	for _, i := range d.State.Instances() {
		if i.Model != "" {
			return true
		}
	}
	return false
}

// isRolloutPending reports whether an order is in flight or an engine lacks its target weights.
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
	if !held && d.noticeTimeLeft(d.isRolloutPending()) > 0 {
		d.followHolder(true)
		return false
	}
	ordering := d.isRolloutPending() || d.Now().Sub(d.lastOrderAt) < d.Handover
	d.writeNote(ordering)
	err := d.Lease.Step(ctx)
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

// announceRenewal announces what was just written to the lease.
func (d *Director) announceRenewal() {
	if d.Notices != nil {
		d.Notices.Announce(d.Lease.LastWrite())
	}
}

// isHandingOver reports whether orders of the previous holder may be too recent. A holder
// writes to its note that it is about to order before it does so: one whose note does not
// say so has not ordered for long.
func (d *Director) isHandingOver() bool {
	at, previousData := d.Lease.TakenOver()
	if at.IsZero() || d.Now().Sub(at) >= d.Handover {
		return false
	}
	previousNote, err := decodeNote(previousData)
	return err != nil || previousNote.Ordering
}

// pollOrders asks the engines with an order in flight for their progress.
func (d *Director) pollOrders(ctx context.Context) {
	var polled []inFlightOrder
	for id, l := range d.inFlight {
		if d.isResting(l.instance) {
			l.lastReport = d.Now()
			d.inFlight[id] = l
			continue
		}
		polled = append(polled, l)
	}
	reports, failures := make([]EngineReport, len(polled)), make([]error, len(polled))
	inParallel(len(polled), func(n int) { reports[n], failures[n] = d.report(ctx, polled[n].instance) })
	for n, l := range polled {
		d.recordProgress(l, reports[n], failures[n])
	}
}

// inParallel calls f with 0 to n-1, maxParallelCalls at a time, and waits for all. Engines that do not answer would
// otherwise take up the time of the others, and the lease.
func inParallel(n int, f func(int)) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i := range n {
		group.Go(func() error {
			f(i)
			return nil
		})
	}
	group.Wait()
}

// recordProgress records what an engine with an order in flight has reported.
func (d *Director) recordProgress(l inFlightOrder, report EngineReport, err error) {
	id := l.instance.ID
	now, known := d.State.Instance(id)
	if !known || now.Born != l.instance.Born {
		// An order ends when the engine that accepted it starts again; the engine is
		// ordered again.
		d.Log.Info("order lost with its engine", zap.String("endpoint", id), zap.Bool("known", known), zap.Int64("ordered", l.version))
		delete(d.inFlight, id)
		return
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

// sendOrders sends the orders that Decide returns.
func (d *Director) sendOrders(ctx context.Context) {
	members := d.members()
	orders, _ := Decide(d.desiredView(members), slices.DeleteFunc(members, d.isLeftOut))
	var sent []sentOrder
	for _, o := range orders {
		instance, ok := d.State.Instance(o.Member.ID)
		if ok && !d.isResting(instance) {
			sent = append(sent, sentOrder{instance: instance, version: d.State.TargetVersion(instance.Model)})
		}
	}
	inParallel(len(sent), func(n int) { d.sendOrder(ctx, &sent[n]) })
	for _, o := range sent {
		d.recordSent(o)
	}
	maps.DeleteFunc(d.unanswered, func(_ string, call unansweredCall) bool { return d.Now().Sub(call.retryAt) > loadTimeout })
}

// isLeftOut reports whether an engine is left out of the next orders because it has not answered repeatedly. After the first
// time it keeps its place among those that load: it may have accepted the order.
func (d *Director) isLeftOut(m fleet.Member) bool {
	call, ok := d.unanswered[m.ID]
	return ok && call.count > 1 && d.Now().Before(call.retryAt)
}

// mayBeLoading reports whether an engine may have accepted the order that it has not answered.
func (d *Director) mayBeLoading(id string) bool {
	call, ok := d.unanswered[id]
	return ok && d.Now().Before(call.retryAt)
}

func (d *Director) isResting(i discovery.Instance) bool { return d.IsResting != nil && d.IsResting(i) }

// members returns the fleet's members, those with the oldest weights first: these are the
// first that must not be served any more. Weights newer than the target are shown as the
// target, so that engines are never ordered back.
func (d *Director) members() []fleet.Member {
	members := d.State.Table.Members()
	sort.SliceStable(members, func(a, b int) bool { return versionOf(members[a]) < versionOf(members[b]) })
	for i := range members {
		e := &members[i].Endpoint
		// The table also shows endpoints as loading that get no requests because their weights
		// are old; these must be ordered all the more.
		e.Loading = d.State.IsLoading(members[i].ID) || d.mayBeLoading(members[i].ID)
		if target := d.State.TargetVersion(e.Model); versionOf(members[i]) > target {
			e.WeightVersion = discovery.VersionName(target)
		}
	}
	return members
}

// versionOf returns the version number of a member's weights, 0 if it has none.
func versionOf(m fleet.Member) int64 {
	version, err := strconv.ParseInt(m.Endpoint.WeightVersion, 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// desiredView returns the target weights as the intents that Decide reads.
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
	for key, count := range engines {
		service, model := key[0], key[1]
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

// maxConcurrentLoads returns how many engines may carry out orders at once: few, unless the
// time for the oldest target version that is not in use everywhere runs out.
func (d *Director) maxConcurrentLoads(model string, engines int) int {
	usualLoads := max(2, int(loadingFraction*float64(engines)))
	behind, since := d.State.EndpointsBehind(model)
	if behind == 0 {
		return usualLoads
	}
	left := time.Duration(deadlineFraction*float64(d.Within)) - d.Now().Sub(since)
	loadTime := d.meanLoadTime
	if loadTime == 0 {
		loadTime = defaultLoadTime
	}
	rounds := max(1, int(left/loadTime))
	needed := (behind + rounds - 1) / rounds
	return max(usualLoads, min(needed, int(maxLoadingFraction*float64(engines))))
}

// sentOrder is an order of one round and what became of it.
type sentOrder struct {
	instance discovery.Instance
	version  int64
	report   EngineReport
	// isAnswered is set unless the engine did not answer the last call.
	isAnswered bool
	// isLoading is set if the engine carries out this order or another one.
	isLoading bool
	// wasSent is set once the order itself was sent.
	wasSent bool
}

// sendOrder orders one engine. It first asks the engine for its report, which has the orders
// accepted so far; the platform's list shows them late.
func (d *Director) sendOrder(ctx context.Context, o *sentOrder) {
	i := o.instance
	report, err := d.report(ctx, i)
	if err != nil {
		d.Log.Warn("engine does not report", zap.String("endpoint", i.ID), zap.Error(err))
		return
	}
	o.report, o.isAnswered = report, true
	d.State.ObserveWeights(i.ID, report.Weights[i.Model])
	if report.Busy || report.Weights[i.Model] >= o.version {
		o.isLoading = report.Busy
		return
	}
	// The lease is checked again before each order, since what came before it took time.
	fence, err := d.Lease.Fence(d.Now())
	if err != nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	err = d.Engines.Order(callCtx, i, WeightsOrder{Model: i.Model, Version: o.version, Holder: d.Holder, Fence: fence, Expect: report.Orders})
	d.Log.Info("order", zap.String("endpoint", i.ID), zap.String("model", i.Model), zap.Int64("weights", o.version),
		zap.Int64("before", report.Weights[i.Model]), zap.Uint64("fence", fence), zap.Int64("expect", report.Orders), zap.Error(err))
	o.isLoading, o.isAnswered = err == nil, err == nil || isRefusal(err)
	o.wasSent = true
}

// isRefusal reports whether an error says that the engine has certainly not accepted an order.
func isRefusal(err error) bool {
	for _, refusal := range [...]error{ErrBusy, ErrFenced, ErrOrderRefused, ErrOtherInstance} {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

// recordSent records what became of an order.
func (d *Director) recordSent(o sentOrder) {
	id := o.instance.ID
	if o.wasSent {
		d.lastOrderAt = d.Now()
	}
	if o.isAnswered {
		delete(d.unanswered, id)
	} else {
		d.unanswered[id] = unansweredCall{retryAt: d.Now().Add(unansweredRetry), count: d.unanswered[id].count + 1}
	}
	if o.isLoading {
		o.instance.Born = cmp.Or(o.report.Born, o.instance.Born)
		d.track(o.instance, o.version)
	}
}

func (d *Director) track(i discovery.Instance, version int64) {
	d.inFlight[i.ID] = inFlightOrder{instance: i, version: version, since: d.Now(), lastReport: d.Now()}
	d.State.SetLoading(i.ID, true)
}
