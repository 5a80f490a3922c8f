package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
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
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/receipt"
	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/ingress"
	"limpetwall/internal/transport/ring"
	"limpetwall/internal/transport/upstream"
)

const (
	// configStaleAfter without a word from the store, an unknown key or route may be one
	// that this process has not heard of yet: the caller is told to come back.
	configStaleAfter = 4 * time.Second
	// defaultTimeout is used where neither caller nor route names one.
	defaultTimeout = 30 * time.Second
)

// Gateway serves callers. Its fields are set before it serves.
type Gateway struct {
	Domain    string
	State     *discovery.State
	Watcher   *discovery.Watcher
	Directory *routing.Directory
	Pool      *upstream.Pool
	// Dial opens a connection to an endpoint whose runs have broken; nil finds out nothing.
	Dial upstream.DialFunc
	// Guard keeps requests that crash endpoints from being run; nil lets all run.
	Guard       *quarantine.Guard
	RetryBudget *runs.RetryBudget
	Codec       Codec
	// KeysValidFor is how long keys are believed after the configuration was last known to
	// be the newest: one that has been taken away meanwhile must not be served for longer.
	// 0 sets no limit.
	KeysValidFor time.Duration
	// ContextTracker plans imports and saves of context; nil does neither.
	ContextTracker *contextcache.Tracker
	// WeightQueries holds the engines that RunWeightQueries asks by AskWeights, see doubt; nil asks none.
	WeightQueries *ring.Ring[string]
	QueryWeights  QueryWeightsFunc
	// Copier copies running requests between engines; nil leaves each where it began.
	Copier RunCopier
	// IsLeader tells whether this process does what one process does for all.
	IsLeader func() bool
	Log      *zap.Logger
	Metrics  metrics.Registry
	// RequestLogLimiter bounds the log's lines of requests, which grow with what callers send;
	// all other lines come with changes of the surroundings. nil sets no bound.
	RequestLogLimiter *rate.Limiter

	// weights holds the newest version of each model that an endpoint serves.
	weights atomic.Pointer[map[string]int64]
	// promptSizes of each route's prompts.
	promptSizes requestSizes
	// engineHashes maps addresses to the hashes of the instances there.
	engineHashes atomic.Pointer[map[string]uint64]
	crashProbes  crashProbes
	pendingRuns  pendingRuns
	notReady     atomic.Bool
	drain        atomic.Pointer[drainWindow]
	inFlight     atomic.Int64
}

// drainWindow is the end of a stop.
type drainWindow struct{ refuseAfter, end time.Time }

// MarkNotReady makes the gateway say that it is not ready; requests are served on.
func (g *Gateway) MarkNotReady() { g.notReady.Store(true) }

// SetDrainWindow tells that the process ends at end. A request that begins after lateFrom is served only if
// its own time ends before, and else refused: cut at the end, it may have run.
func (g *Gateway) SetDrainWindow(refuseAfter, end time.Time) {
	g.drain.Store(&drainWindow{refuseAfter, end})
}

// InFlight counts the requests underway.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeReady answers the balancer's probe.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if g.notReady.Load() || !g.State.Ready() || g.hasStaleKeys() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// exchange is one caller's request underway.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	call    Call
	table   *routes.Table
	route   *routes.Route
	service *routes.Service
	// customer is nil on public routes.
	customer  *routes.Customer
	body      []byte
	startedAt time.Time
	deadline  time.Time

	// cachedFingerprint is the request's fingerprint, nil until it is needed.
	cachedFingerprint *fingerprint.Key
	// onTrial tells that the request is in quarantine and has this one run.
	onTrial bool
	// attempts are the attempts made, for the log.
	attempts []attemptRecord
	// onStreamBegun tells that the present attempt's stream has onStreamBegun.
	onStreamBegun func()
	// firstEventAt of the present attempt came then.
	firstEventAt time.Time
	// storedTokens of the last attempt's context that stores held, for the log.
	storedTokens int
	// trace tells how far the present attempt got on its trace.
	trace upstream.Trace
	// staleEndpoint is the endpoint whose kept connection has ended under the request.
	staleEndpoint string
	// lastFailure is the last failure that an endpoint itself gave and that may be passed on.
	lastFailure *bufferedAnswer
	// stream is what the caller has of a stream.
	stream streamState
	// relocation watches over the present attempt's run.
	relocation *relocation
	// bodyTimedOut tells that the body had not come when the request's time was up.
	bodyTimedOut bool
	// headWritten tells that the answer's head has been written, status is the one it bears.
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

// finish finishes an exchange: it writes a refusal that is due, logs and counts, and breaks the
// connection unless the caller has a whole answer or a refusal.
//
// An exchange that ends without a whole answer must break the connection: when a handler returns,
// net/http completes what was written, a begun stream with its finish and nothing at all with an
// empty 200. A caller that closed only its sending side would take either for an endpoint's answer.
func (x *exchange) finish(e ending) {
	outcome := "answered"
	switch e.kind {
	case endCallerLeft:
		outcome = "left"
	case endRefused:
		outcome = e.refusal.Code
		x.writeRefusal(e.refusal)
	}
	got := x.receiptFor(e)
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

// count raises a counter; names are made of words fixed in the program only.
func (g *Gateway) count(name string) {
	metrics.GetOrRegisterCounter("gateway."+name, g.Metrics).Inc(1)
}

func (x *exchange) kind() string {
	if x.route == nil {
		return "unrouted"
	}
	return x.route.Kind.String()
}

// isForceStopped tells whether a forced stop of this process has ended the request's context. Its
// caller is still there then, and has a last answer to get unless one has begun. The first cause
// of a context stands: a caller that had left before stays one that left.
func (x *exchange) isForceStopped() bool {
	return errors.Is(context.Cause(x.r.Context()), runs.ErrStopping)
}

// hasCallerLeft tells whether the caller is gone. net/http ends the request's context also when a
// read of the body times out; that caller is still there.
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

// prepare decides who calls what, and reads the request whole.
func (x *exchange) prepare() *apierror.Error {
	x.table = x.g.State.Routes()
	if x.table == nil {
		return refuseNotReady("the configuration is not known yet")
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

// notReadyRetryAfter is about the time of a start's first list.
const notReadyRetryAfter = 500 * time.Millisecond

// headerSize is the size of a request's header as it was sent.
func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n")
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(size)
}

// authorize finds the route and the customer.
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
	x.service = x.table.Services[route.Pick(rand.Uint64())]
	if x.service == nil {
		return x.refuseUnknown(http.StatusNotFound, apierror.CodeNotFound, "the route's service does not exist")
	}
	return nil
}

// hasStaleKeys tells whether a key that was taken away may still be known here.
func (g *Gateway) hasStaleKeys() bool {
	return g.KeysValidFor > 0 && g.Watcher.ConfigAge() > g.KeysValidFor
}

// refuseUnknown refuses what the configuration in force does not hold. When it may be
// outdated, a refusal for good would be wrong for what was added since.
func (x *exchange) refuseUnknown(status int, code, message string) *apierror.Error {
	if age := x.g.Watcher.Age(time.Now()); age > configStaleAfter {
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

// readBody reads the body whole: it may be sent a second time, and an endpoint
// that answers early must not leave the rest of it on a connection.
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
	// The end of the request's context doesn't end a read of its body; a deadline in the past does.
	// No path that leaves the body unread clears the deadline: before it answers, net/http reads the
	// rest of the body, and would wait for it.
	defer context.AfterFunc(x.r.Context(), func() { control.SetReadDeadline(time.Unix(1, 0)) })()
	err := x.readAll()
	if x.isForceStopped() {
		return x.forcedStopEnding().refusal
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

// maxPreallocated bounds the memory that a body takes by the length it announces; a longer one takes
// it as it comes.
const maxPreallocated = 1 << 20

func (x *exchange) readAll() error {
	var err error
	if x.r.ContentLength > 0 && x.r.ContentLength <= maxPreallocated {
		x.body = make([]byte, x.r.ContentLength)
		_, err = io.ReadFull(x.r.Body, x.body)
	} else {
		x.body, err = io.ReadAll(x.r.Body)
	}
	return err
}

// isTooLate tells whether the process may end before the request does, which came when that was known.
func (x *exchange) isTooLate() bool {
	d := x.g.drain.Load()
	return d != nil && x.startedAt.After(d.refuseAfter) && x.deadline.After(d.end)
}

// serve carries out the request until its deadline or the caller's end.
func (x *exchange) serve() ending {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.g.RetryBudget.Earn()
	if x.isForceStopped() {
		// Nothing may be sent any more: a connection to an endpoint closes too late to prevent it.
		return x.forcedStopEnding()
	}
	if x.isTooLate() {
		return notRunEnding(apierror.CodeStopping, "the gateway stops before the request's time is up")
	}
	if refusal := x.checkQuarantine(ctx); refusal != nil {
		return refusalEnding(refusal)
	}
	return x.run(ctx)
}
