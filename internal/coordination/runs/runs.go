// Package runs executes one request: it chooses an endpoint and relays the answer stream. After a
// failure it resumes or repeats the request at another endpoint, reattaches to the recorded
// answer, or returns the final error at once.
package runs

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/residency"
	"limpetwall/internal/transport/rpc"
)

// Codes of an agent that stops.
const (
	codeLeaving = "endpoint_leaving"
	codeCut     = "cut_by_shutdown"
)

// maxAttempts bounds the endpoints tried for one request. A hedge that does not decide its round is
// not counted.
const maxAttempts = 4

// Sink receives an answer as it arrives. An error from a method means that the caller has left.
type Sink interface {
	// Started is called at most once, before the first token.
	Started(weightVersion string, promptTokens, cachedTokens int) error
	Tokens(tokens []string) error
	// Head may be called again until the body begins; the last head counts.
	Head(h *wire.PlainHead) error
	Body(data []byte) error
}

// Job is one request: either Prompt or Plain is set.
type Job struct {
	RequestID string
	Customer  *config.Customer
	Service   *config.Service
	Prompt    *wire.Prompt
	// Messages are the texts of which a chat's prompt consists; nil for other prompts.
	Messages []string
	Plain    *wire.PlainCall
	// IdempotencyKey is empty if the caller gave none.
	IdempotencyKey string
	// Digest identifies the request; an idempotency key is bound to it.
	Digest []byte
}

// canRepeat reports whether a job that may have run can be sent again. Prompts always can. A
// plain service that is not marked as NotRepeatable may still have a side effect at each POST, so
// only methods that HTTP defines as idempotent are repeated.
func (j *Job) canRepeat() bool {
	if j.Plain == nil {
		return true
	}
	switch j.Plain.GetMethod() {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// Result describes an answer that was delivered completely.
type Result struct {
	FinishReason     string
	CompletionTokens int
	Replayed         bool
	Attempts         int
	Endpoint         string
}

// Runner executes the jobs of one entry.
type Runner struct {
	Directory *routing.Directory
	Table     *fleet.Table
	Pool      *rpc.Pool
	Tickets   *TicketPool
	Binder    Binder
	Budget    *RetryBudget
	Store     *config.Store
	Zap       *zap.Logger
	// Guard refuses requests that crash endpoints; nil refuses none.
	Guard *quarantine.Guard
	// HedgeAfter is the shortest wait for a first token before a second attempt is started;
	// 0 disables hedging.
	HedgeAfter time.Duration

	mu               sync.Mutex
	attemptsByMember map[string]map[*attempt]struct{}
	// lastCheck is when the attempts at gone members were last looked for, resumedAt when that was late because this process
	// was paused.
	lastCheck, resumedAt time.Time
}

// progress is what the caller has received so far. Only the attempt that owns it writes to it;
// while two attempts run, the first to receive an event other than a refusal becomes the owner.
type progress struct {
	mu       sync.Mutex
	owner    *attempt
	attempts []*attempt

	sink          Sink
	started       bool
	weightVersion string
	// softwareVersion is that of the endpoint that began the stream.
	softwareVersion string
	tokens          []string
	headSent        bool
	bodyBytes       int
}

// Run executes a job. The error is the final answer to its caller.
func (r *Runner) Run(ctx context.Context, job *Job, sink Sink) (Result, *apierror.Error) {
	r.Budget.Earn()
	if refusal := r.checkQuarantine(ctx, job); refusal != nil {
		return Result{}, refusal
	}
	p := &progress{sink: sink}
	if job.Service.NotRepeatable {
		return r.runAtMostOnce(ctx, job, p)
	}
	return r.runRepeatable(ctx, job, p)
}

// contextKeys returns the keys of the prompt's chunks in the entry's index. They leave out the
// weight version: the index records where a context was, and the engine decides whether it can
// be used.
func contextKeys(job *Job) []contextkey.Key {
	if job.Prompt == nil {
		return nil
	}
	scope := contextkey.Scope{Salt: job.Customer.Salt, Model: job.Prompt.GetModel(), Adapter: job.Prompt.GetAdapter()}
	return contextkey.ChunkKeys(scope, job.Prompt.GetText())
}

func (r *Runner) newRoutingRequest(job *Job, keys []contextkey.Key) *routing.Request {
	text := job.RequestID
	tokens := 0
	if job.Prompt != nil {
		text = job.Prompt.GetText()
		tokens = contextkey.EstimateTokens(text)
	}
	return &routing.Request{
		PlacementHash: routing.PlacementHash(keys, text), PromptTokens: tokens, Objective: job.Service.Objective,
		Domain: r.Table.Self().Domain, Residency: residency.Intersect(job.Service.Regions, job.Customer.Regions),
	}
}

func (r *Runner) runRepeatable(ctx context.Context, job *Job, p *progress) (Result, *apierror.Error) {
	keys := contextKeys(job)
	request := r.newRoutingRequest(job, keys)
	var last *outcome
	for number := uint32(1); number <= maxAttempts; number++ {
		request.Now, request.WeightVersion = time.Now(), p.weightVersion
		request.SoftwarePinned, request.SoftwareVersion = p.started, p.softwareVersion
		choice := r.Directory.Choose(job.Service.ID, keys, request)
		if choice.Member.ID == "" {
			return Result{}, noEndpointError(choice, last, p)
		}
		// All services share the budget. If it were spent before an endpoint is chosen, a
		// service whose only endpoint fails would drain it without making a retry, and callers
		// of other services would get errors that a retry could have avoided. From here on the
		// retry is made.
		if number > 1 && last.needsRetryBudget() && !r.Budget.Spend() {
			r.Directory.Release(choice)
			return Result{}, last.retryLaterError(p, "the retry budget is used up")
		}
		var out *outcome
		rd := &round{job: job, keys: keys, request: request, number: number, p: p}
		out, choice, number = r.runRound(ctx, rd, choice)
		if out.done {
			return out.result(number, choice), nil
		}
		last = out.withMergedRan(last)
		if ctx.Err() != nil {
			if last.hasPrecedence(ctx, p) {
				return Result{}, last.retryLaterError(p, "")
			}
			return Result{}, contextError(ctx, p, ranFromWire(last.ran))
		}
		if out.clientGone || (out.ran != wire.Ran_RAN_NO && (p.bodyBytes > 0 || !job.canRepeat())) {
			return Result{}, last.retryLaterError(p, "")
		}
		if out.crashedIncarnation != 0 && r.Guard.IsBlocked(job.fingerprint(), job.sharedParts()...) {
			return Result{}, last.retryLaterError(p, "the request has crashed too many endpoints")
		}
		request.Exclude = append(request.Exclude, rd.failedMembers...)
	}
	return Result{}, last.retryLaterError(p, "all attempts failed")
}

// outcome is the result of one attempt.
type outcome struct {
	done     bool
	finished *wire.Finished
	// endpointFailed: the endpoint or the connection to it failed.
	endpointFailed bool
	// sent: the request may have reached the agent.
	sent bool
	// refused: the agent itself reported this outcome, in a Refused event.
	refused    bool
	clientGone bool
	ran        wire.Ran
	code       string
	message    string
	cause      error
	retryAfter time.Duration
	// crashedIncarnation is the endpoint's incarnation that crashed during the attempt, 0 if none did.
	crashedIncarnation uint64
}

// needsRetryBudget reports whether the attempt after this outcome spends retry budget. None is spent if the agent said
// that it stops, or if membership found it gone: each of its runs ends so once, and it is sent no others.
func (o *outcome) needsRetryBudget() bool {
	isStop := o.refused && (o.code == codeCut || o.code == codeLeaving)
	return !isStop && !errors.Is(o.cause, errEndpointGone)
}

func (o *outcome) result(number uint32, c routing.Choice) Result {
	return Result{
		FinishReason: o.finished.GetReason(), CompletionTokens: int(o.finished.GetCompletionTokens()),
		Replayed: o.finished.GetReplayed(), Attempts: int(number), Endpoint: c.Member.Endpoint.ID,
	}
}

// runNewAttempt runs an attempt that is not hedged.
func (r *Runner) runNewAttempt(ctx context.Context, job *Job, c routing.Choice, number uint32, ticket *wire.Ticket, p *progress) *outcome {
	return r.runAttempt(ctx, p.startRound(r, job, c, number, ticket))
}

// runAttempt runs an attempt to its end and reports its outcome to the guard and the log.
func (r *Runner) runAttempt(ctx context.Context, a *attempt) *outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.setCancel(cancel)
	r.register(a)
	defer r.unregister(a)
	sent := time.Now()
	out := a.run(ctx)
	r.reportToGuard(a, out, sent)
	r.Zap.Info("attempt",
		zap.String("request_id", a.job.RequestID), zap.String("customer", a.job.Customer.ID),
		zap.String("service", a.job.Service.ID), zap.String("endpoint", a.choice.Member.Endpoint.ID),
		zap.Uint32("attempt", a.number), zap.String("decision", string(a.choice.Reason)),
		zap.Duration("expected_ttft", a.choice.TTFT), zap.Bool("done", out.done), zap.String("code", out.code),
		zap.String("reason", out.message), zap.Bool("endpoint_crashed", out.crashedIncarnation != 0))
	return out
}

// RetryBudget limits retries to a fraction of the requests, so that a failing fleet is not loaded
// with a multiple of its traffic.
type RetryBudget struct {
	mu        sync.Mutex
	tokens    float64
	ratio     float64
	maxTokens float64
}

// NewRetryBudget allows ratio retries per request, and up to burst at once.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{tokens: burst, ratio: ratio, maxTokens: burst}
}

// Earn credits the budget for a new request.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.ratio)
}

// Spend takes one retry from the budget. It reports false if none is left.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a retry that was spent but not made.
func (b *RetryBudget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+1)
}

// waitBackoff waits before the next reattachment: an exponential backoff with full jitter.
func waitBackoff(ctx context.Context, number uint32) {
	limit := min(time.Second, 20*time.Millisecond<<min(number, 8))
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(limit))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
