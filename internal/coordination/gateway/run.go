package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"limpetwall/internal/coordination/admission"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

const (
	// maxUnreached bounds the unreachable endpoints that are tried for one request. Each
	// costs up to the timeout for opening a connection.
	maxUnreached = 3
	// minTimeLeft is the least time before the deadline in which another attempt is worthwhile.
	minTimeLeft = 20 * time.Millisecond
	// defaultPrefillRate is the assumed prefill rate of a model server before one has been
	// measured, in tokens per second.
	defaultPrefillRate = 40_000
	// defaultLinkRate is the assumed transfer rate of a store's link, in tokens per second:
	// that of the slower of the present stores.
	defaultLinkRate = 190_000
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func splitList(list string) []string {
	fields := strings.Split(list, ",")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	return fields
}

// run makes attempts until one answers the caller or none is left, and then writes the buffered
// answer if the ending is one.
func (x *exchange) run(ctx context.Context) ending {
	end := x.runAttempts(ctx)
	if end.kind == endBuffered {
		x.writeAnswer(end.answer)
	}
	return end
}

// runAttempts tries one endpoint after another until one answers the caller or no further attempt
// is allowed or possible.
func (x *exchange) runAttempts(ctx context.Context) ending {
	request := x.routingRequest()
	prompt := x.setPrompt(request)
	var last outcome
	sent, unreached := 0, 0
	for {
		if last.next == nil && !x.headWritten && x.hasNotRun() && x.isTooLate(time.Now()) {
			return tooLateEnding()
		}
		if last.next == nil && prompt.sharingGroup != x.sharingGroup() {
			prompt = x.setPrompt(request)
		}
		choice := x.chooseEndpoint(request, prompt, last)
		for choice.Member.ID == "" && x.awaitRecord(ctx, request.SoftwareVersions) {
			choice = x.chooseEndpoint(request, prompt, last)
		}
		if choice.Member.ID == "" {
			return x.noEndpointEnding(choice, sent, last)
		}
		if refusal := x.refuseOverload(choice, sent); refusal != nil {
			x.g.Directory.Release(choice)
			return refusalEnding(refusal)
		}
		if last.needsRetryBudget() && !x.g.RetryBudget.Spend() {
			x.g.count("retry_budget_used_up")
			x.g.Directory.Release(choice)
			return x.finalEnding(last, sent)
		}
		started := time.Now()
		continued := last.next
		attempt := x.newAttempt(choice, prompt, continued != nil)
		x.connectBy = time.Time{}
		if continued != nil {
			attempt.continueFrom(continued.copyName())
			x.connectBy = x.g.connectBy(continued)
		}
		if x.route.Kind == routes.Streaming {
			last = x.streamAttempt(ctx, choice, attempt)
		} else {
			last = x.plainAttempt(ctx, choice, attempt)
		}
		if last.kind == callerLeft && x.isForceStopped() {
			// A forced stop also cancels the context and makes writes fail, but the caller is still there.
			last.kind = stopped
		}
		x.recordAttempt(choice, attempt, last, started)
		probe := x.probeCrash(choice, last, started)
		switch {
		case last.kind == notReached:
			unreached++
		case continued == nil || !continued.returned:
			// The source of a moved run has been counted.
			sent++
		}
		x.recordSurvival(last, started)
		if continued != nil && x.canReturn(ctx, continued, last, probe) {
			request.Exclude = append(request.Exclude, choice.Member.ID)
			last = x.returnToSource(continued, last)
		}
		switch last.kind {
		case delivered:
			return ending{kind: endAnswered}
		case callerLeft:
			return ending{kind: endCallerLeft}
		case relocated:
			if !x.ranWell && x.isBlocked() {
				// The run has not shown that it spares its engine, and its request crashes engines.
				x.abandon(last.next)
				return x.finalEnding(outcome{kind: canceledByQuarantine, err: errBlamed}, sent)
			}
			continue
		}
		if !x.canRetry(ctx, last, sent, unreached) || x.isRetryBlocked(ctx, probe) {
			return x.finalEnding(last, sent)
		}
		switch {
		case last.staleConnection && !probe.hasCrashed():
			x.staleEndpoint = choice.Member.ID
		case x.staleEndpoint == choice.Member.ID:
			x.staleEndpoint = ""
		}
		request.Exclude = append(request.Exclude, choice.Member.ID)
	}
}

// chooseEndpoint chooses the endpoint of the next attempt: the one where a moved run continues, or
// else the best. The choice is empty if there is none.
func (x *exchange) chooseEndpoint(request *routing.Request, prompt promptContext, last outcome) routing.Choice {
	if last.next != nil {
		return last.next.choice
	}
	request.Now = time.Now()
	if x.canRefuseForWait() {
		request.MaxWait = x.admissionCandidate().MaxWait()
	}
	if origin := x.stream.origin; origin != nil {
		request.SoftwarePinned, request.SoftwareVersion = true, origin.Version
	}
	request.SoftwareVersions, _, request.SoftwareLimited = x.recordedVersions()
	choice := x.g.Directory.Choose(x.service.Name, prompt.keys, request)
	if choice.Member.ID != "" || x.staleEndpoint == "" {
		return choice
	}
	// No other endpoint is left, and this one may serve the request on a fresh connection.
	request.Exclude = slices.DeleteFunc(request.Exclude, func(id string) bool { return id == x.staleEndpoint })
	return x.g.Directory.Choose(x.service.Name, prompt.keys, request)
}

// continueFrom makes an attempt continue a copied run. Its memory already holds the whole context,
// so nothing is imported or exported.
func (a *Attempt) continueFrom(copied string) {
	a.ContinueFrom, a.ImportFrom, a.ExportTo, a.ImportUntil = copied, nil, nil, 0
}

// canRefuseForWait reports whether the request may be refused because its answer would begin late. The
// caller of a resumed stream has a part of its answer already, and few engines may go on with it.
func (x *exchange) canRefuseForWait() bool {
	return x.service.Engine != nil && !x.stream.isResumption
}

// admissionCandidate returns what is known of the request before an endpoint is chosen.
func (x *exchange) admissionCandidate() admission.Candidate {
	return admission.Candidate{Objective: x.urgency.StrictestObjective, TimeLeft: x.timeLeft(), PriorityRank: x.urgency.Rank}
}

// refuseOverload refuses a prompt whose answer would begin too late to be useful, before the prompt
// uses any capacity of an engine.
func (x *exchange) refuseOverload(c routing.Choice, sent int) *apierror.Error {
	if x.service.Engine == nil || sent > 0 {
		return nil
	}
	if !x.canRefuseForWait() && c.Wait < x.timeLeft() {
		return nil
	}
	candidate := x.admissionCandidate()
	candidate.Wait, candidate.TTFT = c.Wait, c.TTFT
	ok, delay := admission.Accept(candidate)
	if ok {
		return nil
	}
	delay += time.Duration(rand.Int64N(int64(delay)))
	message := "the engines are full: the best would begin in " + c.Wait.Round(time.Millisecond).String()
	return apierror.Later(http.StatusServiceUnavailable, apierror.CodeOverloaded, message, delay)
}

// needsRetryBudget reports whether the attempt after this outcome spends retry budget. An attempt
// that reached no endpoint has cost none of them anything, and a moved run only continues.
//
// It is called only once an endpoint has been chosen. Otherwise a service whose last endpoint fails
// would use up the budget of all services without a single retry.
func (o outcome) needsRetryBudget() bool {
	switch o.kind {
	case rejected, answeredFailure, broken:
		return true
	}
	return false
}

// canRetry reports whether another endpoint may be tried.
func (x *exchange) canRetry(ctx context.Context, last outcome, sent, unreached int) bool {
	if ctx.Err() != nil || x.timeLeft() < minTimeLeft {
		return false
	}
	resumable := x.canResume()
	if x.headWritten && !resumable {
		// The caller has received part of an answer, and another answer would be appended to it.
		// This also applies to a moved run that is rejected at its destination: it has run.
		return false
	}
	switch last.kind {
	case notReached:
		if unreached >= maxUnreached {
			return false
		}
	case rejected:
	case answeredFailure, broken:
		if !x.route.IsRepeatable() && !resumable {
			return false
		}
	default:
		return false
	}
	return sent < x.route.MaxAttempts
}

// canResume reports whether another endpoint may continue the stream where the last one broke off.
// The last event that the caller received must have an id. Otherwise the next endpoint would repeat
// the events after the last id, and the caller would read both as one answer.
func (x *exchange) canResume() bool {
	return x.route.Kind == routes.Streaming && x.route.Resumable && !x.stream.unresumable
}

// recordAttempt records how an attempt ended, for the log, the metrics and the directory.
func (x *exchange) recordAttempt(c routing.Choice, attempt Attempt, o outcome, started time.Time) {
	now := time.Now()
	record := attemptRecord{
		Endpoint: c.Member.ID, Reason: string(c.Reason), Outcome: o.kind.String(), TookMS: now.Sub(started).Milliseconds(),
		Weights: c.Member.Endpoint.WeightVersion, SoftwareVersion: c.Member.Endpoint.SoftwareVersion, ExpectedMS: c.TTFT.Milliseconds(), CachedTokens: c.CachedTokens,
		Imported: strings.Join(attempt.ImportFrom, ","), Saved: strings.Join(attempt.ExportTo, ","), ImportUntilMS: attempt.ImportUntil, ImportsWithheld: x.importsWithheld, ContinuedFrom: attempt.ContinueFrom,
		Running: c.LoadSnapshot.Running, Queued: c.LoadSnapshot.Queued, Sent: c.LoadSnapshot.Sent, Own: c.LoadSnapshot.Own,
		LoadAgeMS: c.LoadSnapshot.LoadAge.Milliseconds(), Slowdown: c.LoadSnapshot.Slowdown, PeerRunning: c.LoadSnapshot.PeerRunning, PeerUnread: c.LoadSnapshot.PeerUnread,
	}
	if attempt.Weights > 0 {
		age, by := x.g.State.ReplacedFor(c.Member.Endpoint.Model, attempt.Weights)
		record.ReplacedForMS, record.ReplacedBy = age.Milliseconds(), by
	}
	record.Reused, record.Answered, record.AnswerEnd = x.trace.Reused, x.trace.Answered, x.endEvidence
	record.LeavingForMS, record.RestLeftMS = c.LoadSnapshot.LeavingFor.Milliseconds(), c.LoadSnapshot.RestLeft.Milliseconds()
	if c.LoadSnapshot.RequestsPerSecond > 0 {
		record.LimitPerSecond, record.SentInWindow = c.LoadSnapshot.RequestsPerSecond, c.LoadSnapshot.SentInWindow
	}
	if x.firstEventAt.After(started) {
		record.FirstMS = x.firstEventAt.Sub(started).Milliseconds()
	}
	if x.route.Kind == routes.Streaming {
		record.FirstEvent, record.EventsSkipped = x.stream.firstID, x.stream.skipped
	}
	if o.answer != nil {
		record.Status = o.answer.status
		if x.canForwardStatus(o.answer.status) {
			x.lastFailure = o.answer
		}
	}
	if o.err != nil {
		record.Error = o.err.Error()
	}
	x.attempts = append(x.attempts, record)
	if o.kind == delivered {
		x.observeEstimate(c.TTFT, x.answerTime(started, now))
	}
	x.g.count("attempts." + o.kind.String())
	if len(x.attempts) > 1 {
		x.g.count("retries")
	}
	x.g.reportOutcome(c, o, now)
}

// answerTime returns the time that an attempt's estimate is about: until the first event of a stream,
// until the end of a plain call.
func (x *exchange) answerTime(started, now time.Time) time.Duration {
	if x.firstEventAt.After(started) {
		return x.firstEventAt.Sub(started)
	}
	return now.Sub(started)
}

// observeEstimate measures the error of an estimate. An estimate is off if it missed by more than half
// of the route's objective: by less, it rarely decides whether an answer is on time.
func (x *exchange) observeEstimate(expected, took time.Duration) {
	name, missed := "estimates."+x.kind()+".answered_later", took-expected
	if missed < 0 {
		name, missed = "estimates."+x.kind()+".answered_earlier", -missed
	}
	metrics.GetOrRegisterTimer("gateway."+name, x.g.Metrics).Update(missed)
	if objective := x.route.Objective; objective > 0 && missed > objective/2 {
		x.g.count("estimates." + x.kind() + ".off")
	}
}

// reportOutcome reports the outcome of an attempt to the directory. Attempts that this process or the
// caller ended count neither as success nor as failure: an endpoint that hangs would stay in use if
// each caller that gives up on it counted as a success.
func (g *Gateway) reportOutcome(c routing.Choice, o outcome, now time.Time) {
	if o.stopOrdered {
		g.Directory.Release(c)
		return
	}
	switch o.kind {
	case notReached:
		g.Directory.DoneUnreachable(c, now)
	case rejected:
		g.Directory.DoneRefused(c, now)
	case broken, answeredFailure, timedOut:
		g.Directory.Done(c, true, now)
	case relocated, callerLeft, stopped, canceledByQuarantine:
		g.Directory.Release(c)
	case delivered:
		g.Directory.Done(c, false, now)
	}
}

// routingRequest returns the input of the routing decision that is the same for all attempts.
func (x *exchange) routingRequest() *routing.Request {
	held, mean := x.call.PromptTokens+x.call.OutputTokens, 0
	if held > 0 {
		mean = x.g.requestSizes.observe(x.route.Name, held)
	}
	return &routing.Request{
		PromptTokens: x.call.PromptTokens, Domain: x.g.Domain, HeldTokens: held, MeanHeldTokens: mean,
		SegmentsKnown: true, MayCrash: x.onTrial, Urgency: x.urgency.Level, CrossDomainPenalty: crossDomainPenalty, Residency: x.residency,
		Objective: config.Objective{
			TTFTMS: int(x.route.Objective.Milliseconds()), WeightTTFT: 1, WeightRecompute: recomputeWeight, WeightLink: linkWeight,
		},
	}
}

// recomputeWeight is the cost of computing a thousand tokens again, relative to a second of
// waiting. It takes the engine 20 ms, and all requests queued behind are delayed by it.
const recomputeWeight = 0.2

// crossDomainPenalty keeps requests in their failure domain unless the wait elsewhere is shorter
// by this many seconds. Traffic between domains is expensive, and it depends on one more link that
// may fail. At 0.02 a tenth less traffic crosses domains than without a penalty (28 instead of 31 MB
// in 50 s at 70 requests a second in three domains), and the number of late requests does not rise.
// At 0.04 it rises where engines are full.
const crossDomainPenalty = 0.02

// linkWeight is the cost of importing a thousand tokens, relative to a second of waiting. It takes
// the link 5 ms.
const linkWeight = 0.02

// loadOf converts the load that an endpoint reports, as of now.
func loadOf(l Load) fleet.Load {
	return fleet.Load{
		Running: l.Running, Queued: l.Waiting, Slowdown: l.Slowdown, AtMS: time.Now().UnixMilli(),
	}
}

// newAttempt returns the attempt to send to a chosen endpoint, there to begin or to go on with a run.
func (x *exchange) newAttempt(c routing.Choice, p promptContext, isContinued bool) Attempt {
	a := Attempt{Instance: c.Member.ID, TimeLeft: x.timeLeft(), Urgency: x.urgency.Level, LastEvent: x.call.LastEvent}
	if x.customer != nil {
		a.Customer = x.customer.Name
	}
	if x.service.Engine != nil && p.keys != nil {
		x.planTransfers(&a, p, c, isContinued)
	}
	return a
}
