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
	// keepProbe is how long the crash of an endpoint is remembered for runs whose connections break later.
	keepProbe = 10 * time.Second
	// runsLogged bounds the requests named in the line on an endpoint's end.
	runsLogged = 16
)

// brokenRun is an attempt whose connection ended without a whole answer.
type brokenRun struct {
	quarantine.Run
	requestID string
}

// crashProbe finds out what became of an endpoint when a run's connection had ended.
type crashProbe struct {
	opened time.Time
	// done is closed when what was found is in the evidence.
	done    chan struct{}
	crashed bool
	runs    []brokenRun
}

// crashProbes are those underway, and of endpoints that crashed of late, by incarnation.
type crashProbes struct {
	underway sync.WaitGroup
	mu       sync.Mutex
	open     map[uint64]*crashProbe
}

// join adds a run to its endpoint's probe. The caller has to carry out the first of an incarnation, and to
// report a run that comes late, when the probe has been concluded.
func (q *crashProbes) join(incarnation uint64, run brokenRun) (p *crashProbe, first, late bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.open[incarnation]; p != nil {
		p.runs = append(p.runs, run)
		return p, false, p.crashed
	}
	if q.open == nil {
		q.open = map[uint64]*crashProbe{}
	}
	p = &crashProbe{opened: time.Now(), done: make(chan struct{}), runs: []brokenRun{run}}
	q.open[incarnation] = p
	return p, true, false
}

// conclude notes what was found. An endpoint that lives may end later: only an end is remembered.
func (q *crashProbes) conclude(incarnation uint64, p *crashProbe, crashed bool) []brokenRun {
	q.mu.Lock()
	defer q.mu.Unlock()
	p.crashed = crashed
	if !crashed {
		delete(q.open, incarnation)
	} else {
		time.AfterFunc(keepProbe, func() { q.forget(incarnation) })
	}
	return p.runs
}

func (q *crashProbes) forget(incarnation uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, incarnation)
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
	run := brokenRun{quarantine.Run{Key: x.fingerprint(), About: x.about(), Sent: sent, Output: x.firstEventAt}, x.call.ID}
	p, first, late := x.g.crashProbes.join(c.Member.Incarnation, run)
	switch {
	case first:
		x.g.crashProbes.underway.Go(func() { x.g.runProbe(instance, c.Member.Incarnation, p) })
	case late:
		x.g.Guard.Blame(run.Run, c.Member.Incarnation, p.opened)
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
	return !errors.Is(err, upstream.ErrForeign) && !errors.Is(err, errWeightsReplaced) && !errors.Is(err, errStopped)
}

// runProbe carries out a probe.
func (g *Gateway) runProbe(i discovery.Instance, incarnation uint64, p *crashProbe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	crashed := upstream.HasEnded(ctx, g.Dial, i.Address)
	runs := g.crashProbes.conclude(incarnation, p, crashed)
	defer close(p.done)
	if !crashed {
		g.count("connections_ended")
		return
	}
	for _, run := range runs {
		g.Guard.Blame(run.Run, incarnation, p.opened)
	}
	g.count("endpoints_crashed")
	g.Log.Warn("endpoint crashed", zap.String("endpoint", i.ID), zap.String("service", i.Service), zap.String("address", i.Address),
		zap.Int("runs_broken", len(runs)), zap.Any("runs", linesOf(runs[:min(len(runs), runsLogged)], p.opened)))
}

// runLine is a broken run as the log tells of it.
type runLine struct {
	RequestID   string          `json:"request_id"`
	Fingerprint fingerprint.Key `json:"fingerprint"`
	// SentMS and OutputMS tell how long before the endpoint's end it was sent, and had its first event.
	SentMS   int64 `json:"sent_ms"`
	OutputMS int64 `json:"output_ms,omitempty"`
}

func linesOf(broken []brokenRun, end time.Time) []runLine {
	out := make([]runLine, 0, len(broken))
	for _, run := range broken {
		line := runLine{RequestID: run.requestID, Fingerprint: run.Key, SentMS: end.Sub(run.Sent).Milliseconds()}
		if !run.Output.IsZero() {
			line.OutputMS = end.Sub(run.Output).Milliseconds()
		}
		out = append(out, line)
	}
	return out
}

// quarantined refuses a request that crashes endpoints. To a gateway each attempt of a caller is a new request: without
// a memory that all share, one that crashes endpoints takes one away with every attempt, at every gateway.
func (x *exchange) quarantined(ctx context.Context) *apierror.Error {
	if x.g.Guard.IsIdle() {
		return nil
	}
	refusal := x.g.Guard.Admit(ctx, x.fingerprint())
	x.onTrial = refusal == nil && x.g.Guard.Blocks(x.fingerprint())
	return refusal
}

// errBlamed ends an attempt that has no answer yet when its request is to blame for the crashes of others.
const errBlamed = errors.ConstError("the request has crashed other endpoints")

// waitingRun is an attempt that has no answer yet.
type waitingRun struct {
	request fingerprint.Request
	body    []byte
	cancel  context.CancelCauseFunc
}

// waitingRuns are those that are called back when their requests are found to be to blame. Their fingerprints are computed
// only then: most runs are sent while no crash is known.
type waitingRuns struct {
	watch sync.Once
	mu    sync.Mutex
	runs  map[*waitingRun]struct{}
	// blamed are the requests to look for, looking tells that someone does.
	blamed  map[fingerprint.Key]struct{}
	looking bool
}

func (w *waitingRuns) add(run *waitingRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = map[*waitingRun]struct{}{}
	}
	w.runs[run] = struct{}{}
}

func (w *waitingRuns) remove(run *waitingRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.runs, run)
}

// blame has the runs of a request called back.
func (w *waitingRuns) blame(key fingerprint.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.blamed == nil {
		w.blamed = map[fingerprint.Key]struct{}{}
	}
	w.blamed[key] = struct{}{}
	if !w.looking {
		w.looking = true
		go w.look()
	}
}

func (w *waitingRuns) look() {
	for {
		runs, blamed := w.take()
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

// take returns the requests to look for, and where; none if all are done.
func (w *waitingRuns) take() ([]*waitingRun, map[fingerprint.Key]struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	blamed := w.blamed
	w.blamed = nil
	w.looking = len(blamed) > 0
	return slices.Collect(maps.Keys(w.runs)), blamed
}

// callBackWhenBlamed cancels an attempt once its request is to blame; it would crash this endpoint as well. The returned
// function ends that.
func (x *exchange) callBackWhenBlamed(cancel context.CancelCauseFunc) (stop func()) {
	if x.g.Guard == nil || x.onTrial {
		return func() {}
	}
	w := &x.g.waitingRuns
	w.watch.Do(func() { x.g.Guard.Book.OnBlame(w.blame) })
	run := &waitingRun{x.identity(), x.body, cancel}
	w.add(run)
	if !x.g.Guard.IsIdle() && x.g.Guard.Blocks(x.fingerprint()) {
		cancel(errBlamed)
	}
	return func() { w.remove(run) }
}

// hasCrashedTooMany tells whether a request must not be sent to another endpoint. After a run that broke it waits for what
// became of the endpoint: otherwise a request that may be repeated would crash a second before the first counts.
// A trial that no endpoint ran, as they were full, goes on: it would else be wasted.
func (x *exchange) hasCrashedTooMany(ctx context.Context, p *crashProbe) bool {
	if p == nil {
		return !x.onTrial && !x.g.Guard.IsIdle() && x.g.Guard.Blocks(x.fingerprint())
	}
	select {
	case <-p.done:
	case <-ctx.Done():
	}
	return x.g.Guard.Blocks(x.fingerprint())
}

// noteSurvival clears a request that an endpoint has run to its end, also to one that is a failure.
func (x *exchange) noteSurvival(o outcome) {
	if (o.kind == delivered || o.kind == answeredFailure) && !x.g.Guard.IsIdle() {
		x.g.Guard.Survived(x.fingerprint())
	}
}

// about describes the request to operators.
func (x *exchange) about() quarantine.About {
	about := quarantine.About{Service: x.service.Name, Method: x.r.Method, Target: x.r.RequestURI}
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
