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
	"limpetwall/internal/transport/ingress"
	"limpetwall/internal/transport/upstream"
)

const (
	// probeTimeout bounds the connection attempt that checks whether an endpoint's process still listens:
	// a host that is up answers within a round trip.
	probeTimeout = 300 * time.Millisecond
	// crashRetention is how long a crash is remembered, for runs at the endpoint whose connections break later.
	crashRetention = 10 * time.Second
	// maxLoggedRuns bounds the requests listed in the log line of a crash.
	maxLoggedRuns = 16
)

// brokenRun is an attempt whose connection ended before the response was complete.
type brokenRun struct {
	quarantine.Attempt
	requestID string
}

// crashProbe finds out whether an endpoint has crashed after the connection of a run there ended.
type crashProbe struct {
	startedAt time.Time
	// done is closed once the result is recorded in the quarantine's crash records.
	done    chan struct{}
	crashed bool
	runs    []brokenRun
}

// crashProbes holds the probes in flight and those of endpoints that crashed recently, by incarnation.
type crashProbes struct {
	inFlight      sync.WaitGroup
	mu            sync.Mutex
	byIncarnation map[uint64]*crashProbe
}

// addRun adds a run to the probe of its endpoint's incarnation. If first is true, the caller must carry out the new
// probe. If late is true, the probe has already found a crash, and the caller must blame the run itself.
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

// finish records the result of a probe and returns its runs. Only a crash is remembered: an endpoint that is still
// alive may crash later.
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

// probeCrash probes the endpoint of a broken run, or adds the run to a probe in flight. It returns nil if there is
// nothing to find out.
func (x *exchange) probeCrash(c routing.Choice, o outcome, sent time.Time) *crashProbe {
	if o.kind != broken || x.g.Dial == nil || !connectionEnded(o.err) {
		return nil
	}
	instance, listed := x.g.State.Instance(c.Member.ID)
	if !listed || instance.Leaving {
		// A leaving endpoint exits on its own and cuts the runs that it still has.
		return nil
	}
	run := brokenRun{
		Attempt:   quarantine.Attempt{Key: x.fingerprint(), Parts: x.sharedParts(), About: x.requestInfo(), Sent: sent, Output: x.firstEventAt},
		requestID: x.call.ID,
	}
	p, first, late := x.g.crashProbes.addRun(c.Member.Incarnation, run)
	switch {
	case first:
		x.g.crashProbes.inFlight.Go(func() { x.g.runProbe(instance, c.Member.Incarnation, p) })
	case late:
		x.g.Guard.RecordCrash(run.Attempt, c.Member.Incarnation, p.startedAt)
	}
	return p
}

// errUnconfirmedEnd is returned for an answer that ended with its connection, if its endpoint is not known to have been
// alive after that: a crash closes connections as the end of an answer does.
const errUnconfirmedEnd = errors.ConstError("the endpoint may have ended before its answer was complete")

// checkEnd returns an error if an answer that was read to its end may be cut. It doesn't matter whether the endpoint is
// known to leave: one that is emptied may still crash, or exit while it answers.
func (x *exchange) checkEnd(ctx context.Context, resp *upstream.Response) error {
	if !resp.EndsWithConnection {
		return nil
	}
	evidence := resp.EndEvidence(ctx)
	x.endEvidence = evidence.String()
	if evidence.IsWhole() {
		return nil
	}
	x.g.count("answer_ends_unconfirmed")
	return errors.Trace(errUnconfirmedEnd)
}

// hasCrashed reports whether the endpoint is known to have crashed; a nil probe was never made.
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

// connectionEnded reports whether err means that the connection was closed, as opposed to silent: a host closes the
// connections of a process that crashes, but not of one that is paused or partitioned. A response to another request and
// an attempt that this process ended don't count.
func connectionEnded(err error) bool {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return false
	}
	return !errors.Is(err, upstream.ErrForeign) && !errors.Is(err, errWeightsReplaced) && !errors.Is(err, errWallRaised) && !errors.Is(err, errRunStopped)
}

// runProbe carries out a probe, and blames its runs if the endpoint has crashed.
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

// loggedRun is a broken run as written to the log.
type loggedRun struct {
	RequestID   string          `json:"request_id"`
	Fingerprint fingerprint.Key `json:"fingerprint"`
	// SentMS and OutputMS are how long before the crash the run was sent and had its first event.
	SentMS   int64    `json:"sent_ms"`
	OutputMS int64    `json:"output_ms,omitempty"`
	Parts    []string `json:"parts,omitempty"`
}

func loggedRuns(broken []brokenRun, crashedAt time.Time) []loggedRun {
	out := make([]loggedRun, 0, len(broken))
	for _, run := range broken {
		line := loggedRun{RequestID: run.requestID, Fingerprint: run.Key, SentMS: crashedAt.Sub(run.Sent).Milliseconds(), Parts: partIDs(run.Parts)}
		if !run.Output.IsZero() {
			line.OutputMS = crashedAt.Sub(run.Output).Milliseconds()
		}
		out = append(out, line)
	}
	return out
}

func partIDs(parts []quarantine.Part) (ids []string) {
	for _, p := range parts {
		ids = append(ids, p.ID)
	}
	return ids
}

// checkQuarantine refuses a request that crashes endpoints. To a gateway, each attempt of a caller is a new request:
// unless all gateways share what is known of crashes, such a request crashes another endpoint with every attempt, at
// every gateway.
func (x *exchange) checkQuarantine(ctx context.Context) *apierror.Error {
	if x.g.Guard.IsIdle() {
		return nil
	}
	refusal := x.g.Guard.Admit(ctx, x.fingerprint(), x.sharedParts()...)
	x.onTrial = refusal == nil && x.isBlocked()
	if refusal != nil {
		x.heldPart, _ = x.g.Guard.HeldPart(x.fingerprint(), x.sharedParts()...)
	}
	return refusal
}

// errBlamed cancels an attempt without a response whose request is blamed for crashes of other endpoints.
const errBlamed = errors.ConstError("the request has crashed other endpoints")

// pendingRun is an attempt that has no response yet.
type pendingRun struct {
	request fingerprint.Request
	body    ingress.Body
	parts   []quarantine.Part
	cancel  context.CancelCauseFunc
}

// pendingRuns holds the runs to cancel when their requests are blamed for crashes. Fingerprints are computed only then,
// as most runs are sent while no crash is known.
type pendingRuns struct {
	subscribe sync.Once
	mu        sync.Mutex
	runs      map[*pendingRun]struct{}
	// blamed are the requests and the parts of prompts whose runs are still to be canceled; searching is true while a goroutine does so.
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

// onBlame cancels the pending runs of a request in the background.
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
			if run.isBlamed(blamed) {
				run.cancel(errBlamed)
			}
		}
	}
}

// isBlamed reports whether a run's request or one of the parts of its prompt is blamed.
func (r *pendingRun) isBlamed(blamed map[fingerprint.Key]struct{}) bool {
	for _, p := range r.parts {
		if _, found := blamed[p.Key]; found {
			return true
		}
	}
	_, found := blamed[fingerprint.Of(r.request, r.body...)]
	return found
}

// drainBlamed returns the pending runs and the requests to look for among them. Without such requests it ends the search.
func (p *pendingRuns) drainBlamed() ([]*pendingRun, map[fingerprint.Key]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	blamed := p.blamed
	p.blamed = nil
	p.searching = len(blamed) > 0
	return slices.Collect(maps.Keys(p.runs)), blamed
}

// cancelWhenBlamed cancels an attempt as soon as its request is blamed for crashes: it would crash this endpoint as well.
// The returned function stops watching. A trial run is not canceled.
func (x *exchange) cancelWhenBlamed(cancel context.CancelCauseFunc) (stop func()) {
	if x.g.Guard == nil || x.onTrial {
		return func() {}
	}
	pending := &x.g.pendingRuns
	pending.subscribe.Do(func() { x.g.Guard.Quarantines.OnBlame(pending.onBlame) })
	run := &pendingRun{x.identity(), x.body, x.sharedParts(), cancel}
	pending.add(run)
	if x.isBlocked() {
		cancel(errBlamed)
	}
	return func() { pending.remove(run) }
}

// isRetryBlocked reports whether a request must not be sent to another endpoint because it crashes endpoints. After a
// broken run it waits for the result of the probe: otherwise a repeatable request would crash a second endpoint before
// the first crash counts. A trial that full endpoints rejected may be retried, or it would be used up without a run.
func (x *exchange) isRetryBlocked(ctx context.Context, p *crashProbe) bool {
	if p == nil {
		return !x.onTrial && x.isBlocked()
	}
	select {
	case <-p.done:
	case <-ctx.Done():
	}
	return x.isBlocked()
}

// isBlocked reports whether the request crashes endpoints and must not be sent to another.
func (x *exchange) isBlocked() bool {
	return !x.g.Guard.IsIdle() && x.g.Guard.IsBlocked(x.fingerprint(), x.sharedParts()...)
}

// recordSurvival clears a request that an endpoint has run to its end, even if the result is a failure. The parts of its
// prompt are cleared only if it was answered: an endpoint that fails may not have read them.
func (x *exchange) recordSurvival(o outcome, started time.Time) {
	if o.kind == delivered {
		began := x.firstEventAt
		if began.IsZero() {
			began = started
		}
		x.recordRanWell(began)
	}
	if (o.kind == delivered || o.kind == answeredFailure) && !x.g.Guard.IsIdle() {
		x.g.Guard.RecordCompletion(x.fingerprint())
	}
}

// recordRanWell records once for an attempt that its answer, which began at a time, has shown that the parts of its
// prompt do not crash endpoints.
func (x *exchange) recordRanWell(began time.Time) {
	if !x.ranWell {
		x.ranWell = true
		x.g.Guard.RecordRanWell(x.sharedParts(), time.Since(began))
	}
}

// requestInfo returns what operators see of a quarantined request.
func (x *exchange) requestInfo() quarantine.RequestInfo {
	about := quarantine.RequestInfo{Service: x.service.Name, Method: x.r.Method, Target: x.r.RequestURI}
	if x.customer != nil {
		about.Customer = x.customer.Name
	}
	return about
}

// fingerprint identifies the request. It is computed on first use, as most requests need none.
func (x *exchange) fingerprint() fingerprint.Key {
	if x.cachedFingerprint == nil {
		key := fingerprint.Of(x.identity(), x.body...)
		x.cachedFingerprint = &key
	}
	return *x.cachedFingerprint
}

// maxSharedParts bounds the parts of one prompt of which evidence is kept: a few requests with thousands of parts would
// otherwise displace all other evidence.
const maxSharedParts = 64

// sharedParts returns the parts of the prompt that other requests may contain: all but the last. They are computed on
// first use.
func (x *exchange) sharedParts() []quarantine.Part {
	if x.cachedParts == nil && len(x.call.Segments) > 1 {
		shared := x.call.Segments[:len(x.call.Segments)-1]
		for _, segment := range shared[:min(len(shared), maxSharedParts)] {
			x.cachedParts = append(x.cachedParts, quarantine.Part{Key: fingerprint.OfPart(x.evidenceGroup(), segment.ID), ID: segment.ID})
		}
	}
	return x.cachedParts
}

// sharedEvidence is the group of customers that are not isolated, for evidence against parts.
const sharedEvidence = "shared"

// evidenceGroup returns the group of customers among whom evidence against a part counts. Unlike
// the sharing group it stays when others are isolated: a part that crashes endpoints goes on doing so.
func (x *exchange) evidenceGroup() string {
	if x.customer != nil && x.customer.Isolated {
		return "customer " + x.customer.Name
	}
	return sharedEvidence
}

// identity is what a request has in common with its repetitions, apart from the body.
func (x *exchange) identity() fingerprint.Request {
	request := fingerprint.Request{Host: x.r.Host, Method: x.r.Method, Target: x.r.RequestURI}
	if x.customer != nil {
		request.Customer = x.customer.Name
	}
	return request
}
