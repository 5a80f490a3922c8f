package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/transport/upstream"
)

const (
	// probeTimeout bounds the connection that tells whether an endpoint's process still listens:
	// a host that is up answers within a round trip.
	probeTimeout = 300 * time.Millisecond
	// crashRetention is how long the crash of an endpoint is remembered for runs whose connections break later.
	crashRetention = 10 * time.Second
	// maxLoggedRuns bounds the requests named in the line on an endpoint's end.
	maxLoggedRuns = 16
)

// brokenRun is an attempt whose connection ended without a whole answer.
type brokenRun struct {
	quarantine.Attempt
	requestID string
}

// crashProbe finds out what became of an endpoint when a run's connection had ended.
type crashProbe struct {
	startedAt time.Time
	// done is closed when what was found is in the evidence.
	done    chan struct{}
	crashed bool
	runs    []brokenRun
}

// crashProbes are those underway, and of endpoints that crashed of late, by incarnation.
type crashProbes struct {
	inFlight      sync.WaitGroup
	mu            sync.Mutex
	byIncarnation map[uint64]*crashProbe
}

// addRun adds a run to its endpoint's probe. The caller has to carry out the first of an incarnation, and to
// report a run that comes late, when the probe has been concluded.
func (q *crashProbes) addRun(incarnation uint64, run brokenRun) (p *crashProbe, first, late bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.byIncarnation[incarnation]; p != nil {
		p.runs = append(p.runs, run)
		return p, false, p.crashed
	}
	if q.byIncarnation == nil {
		q.byIncarnation = map[uint64]*crashProbe{}
	}
	p = &crashProbe{startedAt: time.Now(), done: make(chan struct{}), runs: []brokenRun{run}}
	q.byIncarnation[incarnation] = p
	return p, true, false
}

// finish notes what was found. An endpoint that lives may end later: only an end is remembered.
func (q *crashProbes) finish(incarnation uint64, p *crashProbe, crashed bool) []brokenRun {
	q.mu.Lock()
	defer q.mu.Unlock()
	p.crashed = crashed
	if !crashed {
		delete(q.byIncarnation, incarnation)
	} else {
		time.AfterFunc(crashRetention, func() { q.remove(incarnation) })
	}
	return p.runs
}

func (q *crashProbes) remove(incarnation uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.byIncarnation, incarnation)
}

// probeCrash has an endpoint probed under which a run broke. nil means that there is nothing to find out.
func (x *exchange) probeCrash(c routing.Choice, o outcome, sent time.Time) *crashProbe {
	if o.kind != broken || x.g.Dial == nil || !connectionEnded(o.err) {
		return nil
	}
	instance, listed := x.g.State.Instance(c.Member.ID)
	if !listed || instance.Leaving {
		// One that leaves ends by itself, and cuts what it still runs.
		return nil
	}
	run := brokenRun{quarantine.Attempt{Key: x.fingerprint(), About: x.requestInfo(), Sent: sent, Output: x.firstEventAt}, x.call.ID}
	p, first, late := x.g.crashProbes.addRun(c.Member.Incarnation, run)
	switch {
	case first:
		x.g.crashProbes.inFlight.Go(func() { x.g.runProbe(instance, c.Member.Incarnation, p) })
	case late:
		x.g.Guard.RecordCrash(run.Attempt, c.Member.Incarnation, p.startedAt)
	}
	return p
}

// hasCrashed tells whether the endpoint is known to have crashed; nil was never probed.
func (p *crashProbe) hasCrashed() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return p.crashed
	default:
		return false
	}
}

// connectionEnded tells an end of the connection from silence: a process that crashes has its
// connections closed by its host, one that is cut off or paused has not.
func connectionEnded(err error) bool {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return false
	}
	return !errors.Is(err, upstream.ErrForeign) && !errors.Is(err, errWeightsReplaced) && !errors.Is(err, errRunStopped)
}

// runProbe carries out a probe.
func (g *Gateway) runProbe(i discovery.Instance, incarnation uint64, p *crashProbe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	crashed := upstream.HasEnded(ctx, g.Dial, i.Address)
	runs := g.crashProbes.finish(incarnation, p, crashed)
	defer close(p.done)
	if !crashed {
		g.count("connections_ended")
		return
	}
	for _, run := range runs {
		g.Guard.RecordCrash(run.Attempt, incarnation, p.startedAt)
	}
	g.count("endpoints_crashed")
	g.Log.Warn("endpoint crashed", zap.String("endpoint", i.ID), zap.String("service", i.Service), zap.String("address", i.Address),
		zap.Int("runs_broken", len(runs)), zap.Any("runs", loggedRuns(runs[:min(len(runs), maxLoggedRuns)], p.startedAt)))
}

// loggedRun is a broken run as the log tells of it.
type loggedRun struct {
	RequestID   string          `json:"request_id"`
	Fingerprint fingerprint.Key `json:"fingerprint"`
	// SentMS and OutputMS tell how long before the endpoint's end it was sent, and had its first event.
	SentMS   int64 `json:"sent_ms"`
	OutputMS int64 `json:"output_ms,omitempty"`
}

func loggedRuns(broken []brokenRun, crashedAt time.Time) []loggedRun {
	out := make([]loggedRun, 0, len(broken))
	for _, run := range broken {
		line := loggedRun{RequestID: run.requestID, Fingerprint: run.Key, SentMS: crashedAt.Sub(run.Sent).Milliseconds()}
		if !run.Output.IsZero() {
			line.OutputMS = crashedAt.Sub(run.Output).Milliseconds()
		}
		out = append(out, line)
	}
	return out
}

// checkQuarantine refuses a request that crashes endpoints. To a gateway each attempt of a caller is a new request: without
// a memory that all share, one that crashes endpoints takes one away with every attempt, at every gateway.
func (x *exchange) checkQuarantine(ctx context.Context) *apierror.Error {
	if x.g.Guard.IsIdle() {
		return nil
	}
	refusal := x.g.Guard.Admit(ctx, x.fingerprint())
	x.onTrial = refusal == nil && x.g.Guard.IsBlocked(x.fingerprint())
	return refusal
}

// errBlamed ends an attempt that has no answer yet when its request is to blame for the crashes of others.
const errBlamed = errors.ConstError("the request has crashed other endpoints")

// pendingRun is an attempt that has no answer yet.
type pendingRun struct {
	request fingerprint.Request
	body    []byte
	cancel  context.CancelCauseFunc
}

// pendingRuns are those that are called back when their requests are found to be to blame. Their fingerprints are computed
// only then: most runs are sent while no crash is known.
type pendingRuns struct {
	subscribe sync.Once
	mu        sync.Mutex
	runs      map[*pendingRun]struct{}
	// blamed are the requests to look for, looking tells that someone does.
	blamed    map[fingerprint.Key]struct{}
	searching bool
}

func (p *pendingRuns) add(run *pendingRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs == nil {
		p.runs = map[*pendingRun]struct{}{}
	}
	p.runs[run] = struct{}{}
}

func (p *pendingRuns) remove(run *pendingRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runs, run)
}

// onBlame has the runs of a request called back.
func (p *pendingRuns) onBlame(key fingerprint.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blamed == nil {
		p.blamed = map[fingerprint.Key]struct{}{}
	}
	p.blamed[key] = struct{}{}
	if !p.searching {
		p.searching = true
		go p.cancelBlamed()
	}
}

func (p *pendingRuns) cancelBlamed() {
	for {
		runs, blamed := p.drainBlamed()
		if len(blamed) == 0 {
			return
		}
		for _, run := range runs {
			if _, found := blamed[fingerprint.Of(run.request, run.body)]; found {
				run.cancel(errBlamed)
			}
		}
	}
}

// drainBlamed returns the requests to look for, and where; none if all are done.
func (p *pendingRuns) drainBlamed() ([]*pendingRun, map[fingerprint.Key]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	blamed := p.blamed
	p.blamed = nil
	p.searching = len(blamed) > 0
	return slices.Collect(maps.Keys(p.runs)), blamed
}

// cancelWhenBlamed cancels an attempt once its request is to blame; it would crash this endpoint as well. The returned
// function ends that.
func (x *exchange) cancelWhenBlamed(cancel context.CancelCauseFunc) (stop func()) {
	if x.g.Guard == nil || x.onTrial {
		return func() {}
	}
	pending := &x.g.pendingRuns
	pending.subscribe.Do(func() { x.g.Guard.Quarantines.OnBlame(pending.onBlame) })
	run := &pendingRun{x.identity(), x.body, cancel}
	pending.add(run)
	if !x.g.Guard.IsIdle() && x.g.Guard.IsBlocked(x.fingerprint()) {
		cancel(errBlamed)
	}
	return func() { pending.remove(run) }
}

// isRetryBlocked tells whether a request must not be sent to another endpoint. After a run that broke it waits for what
// became of the endpoint: otherwise a request that may be repeated would crash a second before the first counts.
// A trial that no endpoint ran, as they were full, goes on: it would else be wasted.
func (x *exchange) isRetryBlocked(ctx context.Context, p *crashProbe) bool {
	if p == nil {
		return !x.onTrial && !x.g.Guard.IsIdle() && x.g.Guard.IsBlocked(x.fingerprint())
	}
	select {
	case <-p.done:
	case <-ctx.Done():
	}
	return x.g.Guard.IsBlocked(x.fingerprint())
}

// recordSurvival clears a request that an endpoint has run to its end, also to one that is a failure.
func (x *exchange) recordSurvival(o outcome) {
	if (o.kind == delivered || o.kind == answeredFailure) && !x.g.Guard.IsIdle() {
		x.g.Guard.RecordCompletion(x.fingerprint())
	}
}

// requestInfo describes the request to operators.
func (x *exchange) requestInfo() quarantine.RequestInfo {
	about := quarantine.RequestInfo{Service: x.service.Name, Method: x.r.Method, Target: x.r.RequestURI}
	if x.customer != nil {
		about.Customer = x.customer.Name
	}
	return about
}

// fingerprint names the request; it is computed only where something is to be found out.
func (x *exchange) fingerprint() fingerprint.Key {
	if x.cachedFingerprint == nil {
		key := fingerprint.Of(x.identity(), x.body)
		x.cachedFingerprint = &key
	}
	return *x.cachedFingerprint
}

// identity is what makes the request the same as another, beside the body.
func (x *exchange) identity() fingerprint.Request {
	request := fingerprint.Request{Host: x.r.Host, Method: x.r.Method, Target: x.r.RequestURI}
	if x.customer != nil {
		request.Customer = x.customer.Name
	}
	return request
}
