package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"limpetwall/internal/coordination/admission"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

const (
	// maxUnreached endpoints are tried in vain for one request: each costs the time
	// that a connection may take to open.
	maxUnreached = 3
	// minTimeLeft of a request's time is worth another attempt.
	minTimeLeft = 20 * time.Millisecond
	// defaultPrefillRate is a model server's reading speed before any was measured,
	// in tokens per second.
	defaultPrefillRate = 40_000
	// defaultLinkRate is a store's, in tokens per second: the slower of today's stores.
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

// run makes attempts until one answers the caller or no more is tried, and delivers an answer
// that was kept.
func (x *exchange) run(ctx context.Context) ending {
	end := x.runAttempts(ctx)
	if end.kind == endBuffered {
		x.writeAnswer(end.answer)
	}
	return end
}

// runAttempts asks one endpoint after the other until one answers the caller or no more is tried.
func (x *exchange) runAttempts(ctx context.Context) ending {
	request := x.routingRequest()
	prompt := x.promptContext()
	request.PlacementHash, request.PlacementHashKnown, request.ChunkEnds = prompt.placementHash, true, prompt.ends
	x.setHoldings(request, prompt)
	var last outcome
	sent, unreached := 0, 0
	for {
		choice := x.chooseEndpoint(request, prompt, last)
		if choice.Member.ID == "" {
			return x.noEndpointEnding(choice.Refusal, sent, last)
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
		attempt := x.newAttempt(choice, prompt)
		if last.next != nil {
			attempt.continueFrom(last.next.copyName())
		}
		if x.route.Kind == routes.Streaming {
			last = x.streamAttempt(ctx, choice, attempt)
		} else {
			last = x.plainAttempt(ctx, choice, attempt)
		}
		if last.kind == callerLeft && x.isForceStopped() {
			// A forced stop, too, ends the context and makes writes fail; its caller has not left.
			last.kind = stopped
		}
		x.recordAttempt(choice, attempt, last, started)
		probe := x.probeCrash(choice, last, started)
		if last.kind != notReached {
			sent++
		} else {
			unreached++
		}
		x.recordSurvival(last)
		switch last.kind {
		case delivered:
			return ending{kind: endAnswered}
		case callerLeft:
			return ending{kind: endCallerLeft}
		case relocated:
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

// chooseEndpoint picks the next attempt's endpoint: the one that a moved run goes on at, or the best; an
// empty choice if there is none.
func (x *exchange) chooseEndpoint(request *routing.Request, prompt promptContext, last outcome) routing.Choice {
	if last.next != nil {
		return last.next.choice
	}
	request.Now = time.Now()
	choice := x.g.Directory.Choose(x.service.Name, prompt.keys, request)
	if choice.Member.ID != "" || x.staleEndpoint == "" {
		return choice
	}
	// No other is left, and this one may serve the request on a fresh connection.
	request.Exclude = slices.DeleteFunc(request.Exclude, func(id string) bool { return id == x.staleEndpoint })
	return x.g.Directory.Choose(x.service.Name, prompt.keys, request)
}

// continueFrom makes a send go on with a copied run, whose memory holds all context.
func (a *Attempt) continueFrom(copied string) {
	a.ContinueFrom, a.ImportFrom, a.ExportTo, a.ImportUntil = copied, nil, nil, 0
}

// refuseOverload refuses a prompt that would be answered too late to be of use, before it
// takes anything of an engine.
func (x *exchange) refuseOverload(c routing.Choice, sent int) *apierror.Error {
	if x.service.Engine == nil || sent > 0 {
		return nil
	}
	ok, delay := admission.Accept(admission.Candidate{
		Wait: c.Wait, TTFT: c.TTFT, Objective: x.route.Objective, TimeLeft: x.timeLeft(), PriorityRank: x.table.PriorityRank(x.priority(), x.service.Name),
	})
	if ok {
		return nil
	}
	delay += time.Duration(rand.Int64N(int64(delay)))
	message := "the engines are full: the best would begin in " + c.Wait.Round(time.Millisecond).String()
	return apierror.Later(http.StatusServiceUnavailable, apierror.CodeOverloaded, message, delay)
}

// needsRetryBudget tells whether another attempt draws on the retry budget. What reached no endpoint
// costs none of them anything, and a run that was moved goes on.
//
// It is asked when an endpoint has been chosen: a service whose last endpoint fails would
// otherwise use up the budget of all services without a single retry.
func (o outcome) needsRetryBudget() bool {
	switch o.kind {
	case rejected, answeredFailure, broken:
		return true
	}
	return false
}

// canRetry decides whether another endpoint is asked.
func (x *exchange) canRetry(ctx context.Context, last outcome, sent, unreached int) bool {
	if ctx.Err() != nil || x.timeLeft() < minTimeLeft {
		return false
	}
	resumable := x.canResume()
	if x.headWritten && !resumable {
		// The caller has a part already: another answer would be joined to it. A run that
		// was moved and is rejected where it should go on has run as well.
		return false
	}
	switch last.kind {
	case notReached:
		return unreached < maxUnreached
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

// canResume tells whether another endpoint may go on where the last one broke off. What the
// caller has must end with an event that bears an id, as the other would otherwise repeat what
// came behind it, and the caller would read both as one answer.
func (x *exchange) canResume() bool {
	return x.route.Kind == routes.Streaming && x.route.Resumable && !x.stream.unresumable
}

// recordAttempt tells the directory how an attempt ended, and keeps it for the log.
func (x *exchange) recordAttempt(c routing.Choice, attempt Attempt, o outcome, started time.Time) {
	now := time.Now()
	record := attemptRecord{
		Endpoint: c.Member.ID, Reason: string(c.Reason), Outcome: o.kind.String(), TookMS: now.Sub(started).Milliseconds(),
		Weights: c.Member.Endpoint.WeightVersion, ExpectedMS: c.TTFT.Milliseconds(), CachedTokens: c.CachedTokens,
		Imported: strings.Join(attempt.ImportFrom, ","), Saved: strings.Join(attempt.ExportTo, ","),
		Running: c.LoadSnapshot.Running, Queued: c.LoadSnapshot.Queued, Sent: c.LoadSnapshot.Sent, Own: c.LoadSnapshot.Own,
		LoadAgeMS: c.LoadSnapshot.LoadAge.Milliseconds(), PeerRunning: c.LoadSnapshot.PeerRunning, PeerUnread: c.LoadSnapshot.PeerUnread,
	}
	record.Reused, record.Answered = x.trace.Reused, x.trace.Answered
	if x.firstEventAt.After(started) {
		record.FirstMS = x.firstEventAt.Sub(started).Milliseconds()
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
	x.g.count("attempts." + o.kind.String())
	if len(x.attempts) > 1 {
		x.g.count("retries")
	}
	x.g.reportOutcome(c, o, now)
}

// reportOutcome tells the directory how an endpoint did. Attempts that this process or the caller ended say nothing of it: an
// endpoint that hangs would stay in use if its callers' leaving counted as success.
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

// routingRequest is the decision's input that all attempts share.
func (x *exchange) routingRequest() *routing.Request {
	held, mean := x.call.PromptTokens+x.call.OutputTokens, 0
	if held > 0 {
		mean = x.g.promptSizes.observe(x.route.Name, held)
	}
	return &routing.Request{
		PromptTokens: x.call.PromptTokens, Domain: x.g.Domain, HeldTokens: held, MeanHeldTokens: mean,
		SegmentsKnown: true, Urgency: x.urgency(), CrossDomainPenalty: crossDomainPenalty,
		Objective: config.Objective{
			TTFTMS: int(x.route.Objective.Milliseconds()), WeightTTFT: 1, WeightRecompute: recomputeWeight, WeightLink: linkWeight,
		},
	}
}

// recomputeWeight weighs a thousand tokens read again against a second of waiting:
// the engine's time for them is 20 ms, and all that wait behind them feel it.
const recomputeWeight = 0.2

// crossDomainPenalty keeps requests in their failure domain unless waiting is shorter
// elsewhere by so many seconds: bytes between domains are dear, and a link more may
// fail. At 0.02 a tenth less crosses than without (31 to 28 MB in 50 s at 70 requests
// a second, three domains) and no more requests are late; at 0.04 more are where
// engines are full.
const crossDomainPenalty = 0.02

// linkWeight weighs a thousand tokens imported in the same way: the link's time for
// them is 5 ms.
const linkWeight = 0.02

// loadOf translates an endpoint's own counts.
func loadOf(l Load) fleet.Load {
	return fleet.Load{
		Running: l.Running, Queued: l.Waiting, AtMS: time.Now().UnixMilli(),
	}
}

// newAttempt says what an attempt at a chosen endpoint carries.
func (x *exchange) newAttempt(c routing.Choice, p promptContext) Attempt {
	a := Attempt{Instance: c.Member.ID, TimeLeft: x.timeLeft(), Urgency: x.urgency(), LastEvent: x.call.LastEvent}
	if x.customer != nil {
		a.Customer = x.customer.Name
	}
	if x.service.Engine != nil && p.keys != nil {
		x.planTransfers(&a, p, c)
	}
	return a
}

// priority is the customer's own, or else the route's; 0 is the highest.
func (x *exchange) priority() int {
	if x.customer != nil && x.customer.HasPriority {
		return x.customer.Priority
	}
	return x.route.Priority
}

// urgency maps priorities to the endpoints' scale.
func (x *exchange) urgency() int { return max(0, min(9, x.priority())) }
