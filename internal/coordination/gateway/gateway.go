package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"limpetwall/internal/coordination/contextcache"
	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/receipt"
	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/state/residency"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/boundedqueue"
	"limpetwall/internal/transport/ingress"
	"limpetwall/internal/transport/upstream"
)

const (
	// configStaleAfter is the time without an answer from the store after which the
	// configuration counts as possibly stale. An unknown key or route may then have been
	// added since, so the refusal asks the caller to retry.
	configStaleAfter = 4 * time.Second
	// defaultTimeout limits a request whose route sets no timeout.
	defaultTimeout = 30 * time.Second
)

// Gateway is the HTTP handler that serves callers. Set its exported fields before it serves.
type Gateway struct {
	Domain    string
	State     *discovery.State
	Watcher   *discovery.Watcher
	Directory *routing.Directory
	Pool      *upstream.Pool
	// Dial opens the connection that checks whether an endpoint crashed after the connection of
	// an attempt broke. If nil, crashes are not detected.
	Dial upstream.DialFunc
	// Guard refuses requests that crash endpoints. If nil, none is refused.
	Guard       *quarantine.Guard
	RetryBudget *runs.RetryBudget
	Codec       Codec
	// KeysValidFor is how long API keys are accepted after the configuration was last known
	// to be current. A key that was revoked in the meantime must not be accepted for longer.
	// 0 sets no limit.
	KeysValidFor time.Duration
	// ContextTracker plans which prompt context endpoints import and save. If nil, context is
	// neither imported nor saved.
	ContextTracker *contextcache.Tracker
	// WeightQueries holds the IDs of the engines that RunWeightQueries asks for their weights
	// with QueryWeights. If nil, none is asked.
	WeightQueries *boundedqueue.Queue[string]
	QueryWeights  QueryWeightsFunc
	// Origins holds which software version began each stream. FindOrigin also asks other processes for the origin of a
	// stream and searches the store; if it is nil, only this process's own knowledge counts.
	Origins    *streamorigin.Registry
	FindOrigin func(ctx context.Context, stream streamorigin.Key) (streamorigin.Origin, streamorigin.Source)
	// ReadVersions reads where streams may have begun before the call, from the stored record. A stream whose origin is not known
	// goes on by that only.
	ReadVersions func(ctx context.Context) (streamorigin.Recorded, error)
	// ConfirmEndpoints and ConfirmRoutes ask the store, after they are called, whether the endpoints or the routes have changed
	// unnoticed. They return an error if so, and if the store does not answer.
	ConfirmEndpoints, ConfirmRoutes func(ctx context.Context) error
	// RequiresRecord is set if streams that callers may take up begin only at software versions that the stored record holds.
	RequiresRecord bool
	// Copier copies running requests between engines. If nil, none is moved.
	Copier RunCopier
	// EndpointDrain is for how long after its notice a leaving endpoint may be sent requests. 0 sets no limit.
	EndpointDrain time.Duration
	// IsLeader reports whether this process holds the lease for the work that only one process does.
	IsLeader func() bool
	Log      *zap.Logger
	Metrics  metrics.Registry
	// RequestLogLimiter limits the rate of the log lines for requests. Their number grows with
	// the traffic, while all other lines are caused by changes in the environment. nil sets no limit.
	RequestLogLimiter *rate.Limiter

	// weights maps each model to the newest version of its weights that an endpoint serves.
	weights atomic.Pointer[map[string]int64]
	// requestSizes holds the mean size of each route's requests, in tokens.
	requestSizes requestSizes
	// answerTimes holds how long the answers of each route take.
	answerTimes answerTimes
	// customerShares measures which part of the answers each customer gets.
	customerShares customerShares
	// engineHashes maps the address of each engine to the hash of its instance ID.
	engineHashes atomic.Pointer[map[string]uint64]
	crashProbes  crashProbes
	pendingRuns  pendingRuns
	notReady     atomic.Bool
	drain        atomic.Pointer[drainWindow]
	inFlight     atomic.Int64
}

// drainWindow is a stop: requests that start after refuseAfter may be refused, and the process exits at end. began is when the process was told to stop.
type drainWindow struct{ began, refuseAfter, end time.Time }

// MarkNotReady makes the readiness probe fail. Requests are still served.
func (g *Gateway) MarkNotReady() { g.notReady.Store(true) }

// SetDrainWindow announces that the process exits at end. A request whose deadline is later is refused if no endpoint
// has got it by refuseAfter, or if answers of its route usually take longer than is left: it would be cut off.
func (g *Gateway) SetDrainWindow(refuseAfter, end time.Time) {
	g.drain.Store(&drainWindow{time.Now(), refuseAfter, end})
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeReady answers the load balancer's readiness probe.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if g.notReady.Load() || !g.State.Ready() || g.hasStaleKeys() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// exchange is the state of one caller's request while it is in flight.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	call    Call
	table   *routes.Table
	route   *routes.Route
	service *routes.Service
	// customer is nil on public routes.
	customer *routes.Customer
	urgency  routes.Urgency
	// residency limits the regions in which the request and its context may be.
	residency residency.Rule
	body      ingress.Body
	startedAt time.Time
	deadline  time.Time

	// cachedFingerprint is the request's fingerprint, nil until it is needed.
	cachedFingerprint *fingerprint.Key
	// cachedParts are the parts of the prompt that other requests may contain, nil until they are needed.
	cachedParts []quarantine.Part
	// heldPart is the part of the prompt for which the request was refused; zero if there is none.
	heldPart quarantine.Part
	// onTrial is set if the request is in quarantine and was admitted for a trial run.
	onTrial bool
	// attempts are the records of the attempts made so far.
	attempts []attemptRecord
	// onStreamBegun is called at the first event of the current attempt. It stops the checks
	// that cancel an attempt only while its stream has not begun.
	onStreamBegun func()
	// firstEventAt is when the first event of the current attempt arrived, zero before.
	firstEventAt time.Time
	// connectBy bounds the connection of the current attempt, zero if only the dialer does.
	connectBy time.Time
	// ranWell is set once the current attempt has shown that its request does not crash endpoints.
	ranWell bool
	// storedTokens counts the context tokens of the last attempt that stores held, for the log.
	storedTokens int
	// importsWithheld is contextcache.Plan.Withheld of the last attempt.
	importsWithheld bool
	// runGroup is the sharing group with which the current run began.
	runGroup string
	// sharedTable is the configuration by which the current attempt shares context with other customers, nil
	// if it shares none.
	sharedTable *routes.Table
	// trace records how far the current attempt got on its connection.
	trace upstream.Trace
	// endEvidence describes how the last attempt's answer ended, empty if its framing says that.
	endEvidence string
	// staleEndpoint is the ID of the endpoint whose reused connection closed before the answer
	// began. It is asked again only on a fresh connection.
	staleEndpoint string
	// lastFailure is the last failure that an endpoint answered and that may be forwarded.
	lastFailure *bufferedAnswer
	// stream records which part of a stream the caller has received.
	stream streamState
	// recordDeadline is until when the request waits for the record of a software version, zero before it waits. isUnrecorded is
	// set if it has waited in vain.
	recordDeadline time.Time
	isUnrecorded   bool
	// pauses records the pauses between the stream's events, over all attempts.
	pauses pauseRecord
	// relocation may move the run of the current attempt to another engine. hasReturned is set once a run that was
	// stopped for that goes on at its source, where it then stays.
	relocation  *relocation
	hasReturned bool
	// bodyTimedOut is set if the body was incomplete at the request's deadline, or when memory ran out.
	bodyTimedOut bool
	// headWritten is set once an endpoint's status and header have been written to the caller;
	// status is the one written, also by a refusal.
	headWritten bool
	status      int
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, startedAt: time.Now()}
	if refusal := x.prepare(); refusal != nil {
		x.finish(refusalEnding(refusal))
		return
	}
	x.finish(x.serve())
}

// finish writes the refusal if there is one, logs and counts the request, and breaks the
// connection unless the caller has received a complete answer or a refusal.
//
// An exchange without a complete answer must break the connection: when a handler returns, net/http
// completes the response. It terminates a partial stream as if it were whole, and if nothing was
// written it sends an empty 200. A caller that has closed only its sending side would treat either
// as an endpoint's answer.
func (x *exchange) finish(e ending) {
	outcome := "answered"
	switch e.kind {
	case endCallerLeft:
		outcome = "left"
	case endRefused:
		outcome = e.refusal.Code
		x.writeRefusal(e.refusal)
		x.countRefusal(e.refusal.Code)
	}
	got := x.receiptFor(e)
	x.endOrigin(got == receipt.Answer)
	isOverloaded := e.kind == endRefused && e.refusal.Code == apierror.CodeOverloaded
	if x.customer != nil && (got == receipt.Answer || isOverloaded) {
		x.g.observeShare(x.customer.Name, got == receipt.Answer)
	}
	x.countPauses()
	if e.kind == endAnswered {
		x.g.answerTimes.observe(x.route.Name, time.Since(x.startedAt))
	}
	x.logRequest(e.refusal, got)
	x.g.count("requests." + x.kind() + "." + outcome)
	metrics.GetOrRegisterTimer("gateway.request."+x.kind(), x.g.Metrics).UpdateSince(x.startedAt)
	if got == receipt.Answer || got == receipt.Refusal {
		return
	}
	if e.kind == endRefused && x.headWritten {
		x.g.count("answers_cut")
	}
	panic(http.ErrAbortHandler)
}

// count increments a counter. Names must be made of constants only, never of data from requests.
func (g *Gateway) count(name string) {
	metrics.GetOrRegisterCounter("gateway."+name, g.Metrics).Inc(1)
}

// countRefusal counts a refusal by its reason and the request's urgency, at most routes.MaxUrgencyLevel+1 counters for each
// code. Requests that were refused before they had a service have no urgency.
func (x *exchange) countRefusal(code string) {
	if x.service != nil {
		x.g.count("refusals." + code + ".urgency_" + strconv.Itoa(x.urgency.Level))
	}
}

func (x *exchange) kind() string {
	if x.route == nil {
		return "unrouted"
	}
	return x.route.Kind.String()
}

// isForceStopped reports whether a forced stop of this process canceled the request's context. The
// caller is then still connected and gets a refusal unless an answer has begun. Only the first
// cause of a cancellation is kept: a caller that left before the stop still counts as gone.
func (x *exchange) isForceStopped() bool {
	return errors.Is(context.Cause(x.r.Context()), runs.ErrStopping)
}

// hasCallerLeft reports whether the caller has disconnected. net/http also cancels the request's
// context when a read of the body times out; that caller is still connected.
func (x *exchange) hasCallerLeft() bool {
	return x.r.Context().Err() != nil && !x.isForceStopped() && !x.bodyTimedOut
}

func (x *exchange) writeRefusal(e *apierror.Error) {
	if x.headWritten || x.hasCallerLeft() {
		return
	}
	x.g.Codec.EncodeID(x.w.Header(), x.call.ID)
	if e.Retry.AfterMS > 0 {
		x.g.Codec.EncodeRetryAfter(x.w.Header(), time.Duration(e.Retry.AfterMS)*time.Millisecond)
	}
	e.RequestID = x.call.ID
	x.status = e.Status
	e.Write(x.w)
}

// prepare checks and authorizes the request, sets its deadline and reads its body. It returns the
// refusal, or nil if the request can be served.
func (x *exchange) prepare() *apierror.Error {
	x.table = x.g.State.Routes()
	if x.table == nil {
		return refuseNotReady("the configuration is not known yet")
	}
	if err := ingress.Admit(x.r); err != nil {
		return refuseNoMemory(err)
	}
	if headerSize(x.r) > x.table.Limits.HeaderBytes && x.table.Limits.HeaderBytes > 0 {
		return apierror.New(http.StatusRequestHeaderFieldsTooLarge, apierror.CodeTooLarge, "the header is too large")
	}
	var err error
	if x.call, err = x.g.Codec.DecodeCall(x.r.Header); err != nil {
		return apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, err.Error())
	}
	ingress.NameRequest(x.r.Context(), x.call.ID)
	if !strings.HasPrefix(x.r.RequestURI, "/") {
		return apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "the request target must be a path")
	}
	if refused := x.authorize(); refused != nil {
		return refused
	}
	x.setDeadline()
	return x.readBody()
}

func refuseNotReady(message string) *apierror.Error {
	return apierror.Later(http.StatusServiceUnavailable, apierror.CodeNotReady, message, notReadyRetryAfter)
}

// refuseNoMemory refuses a request that has not been sent to any endpoint.
func refuseNoMemory(err error) *apierror.Error {
	return apierror.Later(http.StatusServiceUnavailable, apierror.CodeNoMemory, err.Error(), noMemoryRetryAfter)
}

// noMemoryRetryAfter is about as long as a process takes to close the requests that hold most.
const noMemoryRetryAfter = time.Second

// notReadyRetryAfter is about as long as a starting process takes to list the configuration.
const notReadyRetryAfter = 500 * time.Millisecond

// headerSize returns the size in bytes of a request's header on the wire.
func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n")
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(size)
}

// authorize finds the route, the customer and the service.
func (x *exchange) authorize() *apierror.Error {
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	route, ok := x.table.Match(x.r.Host, path)
	if !ok {
		return x.refuseUnknown(http.StatusNotFound, apierror.CodeNotFound, "no route leads there")
	}
	x.route = route
	if x.table.KeysRequired && !route.Public {
		if x.g.hasStaleKeys() {
			return refuseNotReady("keys may have been taken away since the store last answered")
		}
		x.customer, ok = x.table.CustomerOf(x.call.Key)
		if !ok {
			return x.refuseUnknown(http.StatusUnauthorized, apierror.CodeUnauthorized, "the API key is not known")
		}
	}
	x.residency = residency.Intersect(route.Regions)
	if x.customer != nil {
		ingress.SetCustomer(x.r.Context(), x.customer.Name)
		x.residency = residency.Intersect(route.Regions, x.customer.Regions)
	}
	if x.residency.AllowsNone() {
		return apierror.New(http.StatusServiceUnavailable, apierror.CodeNoEndpoint, "the route and the customer have no allowed region in common")
	}
	x.service = x.table.Services[route.Pick(rand.Uint64())]
	if x.service == nil {
		return x.refuseUnknown(http.StatusNotFound, apierror.CodeNotFound, "the route's service does not exist")
	}
	x.urgency = x.table.Urgency(x.customer, route, x.service.Name)
	return nil
}

// hasStaleKeys reports whether the known keys may include one that was revoked more than
// KeysValidFor ago.
func (g *Gateway) hasStaleKeys() bool {
	return g.KeysValidFor > 0 && g.Watcher.ConfigAge() > g.KeysValidFor
}

// refuseUnknown refuses a request for something that the configuration does not contain. If the
// configuration may be stale, the refusal asks the caller to retry instead, as it may have been
// added since.
func (x *exchange) refuseUnknown(status int, code, message string) *apierror.Error {
	if age := x.g.Watcher.ConfigAnswerAge(time.Now()); age > configStaleAfter {
		return refuseNotReady(message + ", but the configuration may be outdated")
	}
	return apierror.New(status, code, message)
}

func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if x.call.Deadline > 0 {
		limit = min(limit, x.call.Deadline)
	}
	x.deadline = x.startedAt.Add(limit)
}

func (x *exchange) timeLeft() time.Duration { return time.Until(x.deadline) }

// readBody reads the whole body: it may be sent again in a retry, and an endpoint that answers
// early must not leave the rest of it on a connection.
func (x *exchange) readBody() *apierror.Error {
	limit := x.table.Limits.BodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		return apierror.New(http.StatusRequestEntityTooLarge, apierror.CodeTooLarge, "the body is too large")
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	if limit > 0 {
		x.r.Body = ingress.MaxBytesReader(x.w, x.r.Body, limit)
	}
	control := http.NewResponseController(x.w)
	control.SetReadDeadline(x.deadline)
	// Canceling the request's context doesn't interrupt a read of its body; a deadline in the past
	// does. A path that leaves the body unread must not clear the deadline: net/http reads the rest
	// of the body before it answers, and would wait for it.
	defer context.AfterFunc(x.r.Context(), func() { control.SetReadDeadline(time.Unix(1, 0)) })()
	var err error
	x.body, err = ingress.ReadAll(x.r)
	if x.isForceStopped() {
		return x.forcedStopEnding().refusal
	}
	if ingress.IsRefused(err) {
		// The read's deadline may have ended the request's context, as below.
		x.bodyTimedOut = true
		return refuseNoMemory(err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.bodyTimedOut = true
		return apierror.Later(http.StatusServiceUnavailable, apierror.CodeTimeout, "the body did not come in time", notReadyRetryAfter)
	}
	control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return apierror.New(http.StatusRequestEntityTooLarge, apierror.CodeTooLarge, "the body is too large")
	case err != nil:
		return apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "the body is malformed: "+err.Error())
	}
	return nil
}

// isTooLate reports whether a request that would begin now might be cut off by the process's exit, see SetDrainWindow.
func (x *exchange) isTooLate(now time.Time) bool {
	d := x.g.drain.Load()
	if d == nil || !x.deadline.After(d.end) {
		return false
	}
	return now.After(d.refuseAfter) || now.Add(x.g.answerTimes.most(x.route.Name)).After(d.end)
}

// isEndingWithin reports whether the process is to exit before a time has passed.
func (g *Gateway) isEndingWithin(t time.Duration) bool {
	d := g.drain.Load()
	return d != nil && time.Until(d.end) < t
}

// serve runs the prepared request until it has an ending, its deadline passes or the caller leaves.
func (x *exchange) serve() ending {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.g.RetryBudget.Earn()
	if x.isForceStopped() {
		// Don't send anything now: closing the endpoint's connection would come too late to keep the
		// request from running.
		return x.forcedStopEnding()
	}
	if x.isTooLate(time.Now()) {
		return tooLateEnding()
	}
	if refusal := x.checkQuarantine(ctx); refusal != nil {
		return refusalEnding(refusal)
	}
	if refusal := x.resolveResumption(ctx); refusal != nil {
		return refusalEnding(refusal)
	}
	return x.run(ctx)
}
