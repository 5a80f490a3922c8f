package runs

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/contextkey"
)

// errHedgeLost is the cancellation cause of an attempt whose round another one won.
const errHedgeLost = errors.ConstError("another attempt was faster")

// hedgeFactor is the multiple of the expected time to first token after which a first token is late.
const hedgeFactor = 3

// startRound begins a round with one attempt. What the caller already has is recorded in the attempt
// now, because it must not read the progress while another attempt may write to it.
func (p *progress) startRound(r *Runner, job *Job, c routing.Choice, number uint32, ticket *wire.Ticket) *attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner, p.attempts = nil, nil
	return p.addLocked(&attempt{runner: r, job: job, choice: c, number: number, ticket: ticket, progress: p})
}

// addHedge adds a second attempt to the round. It returns nil if the first has become the owner
// meanwhile.
func (p *progress) addHedge(first *attempt, c routing.Choice, number uint32) *attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owner != nil {
		return nil
	}
	return p.addLocked(&attempt{runner: first.runner, job: first.job, choice: c, number: number, progress: p})
}

// addLocked adds an attempt to the round; p.mu is held.
func (p *progress) addLocked(a *attempt) *attempt {
	a.resumeTokens, a.skipBytes = p.tokens, p.bodyBytes
	p.attempts = append(p.attempts, a)
	return a
}

// claim makes an attempt the owner, if there is none, and cancels the others. It reports whether
// the attempt is the owner. Only the owner's events reach the caller: two streams would be mixed
// otherwise.
func (p *progress) claim(a *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owner != nil {
		return p.owner == a
	}
	p.owner = a
	for _, other := range p.attempts {
		if other != a && other.cancel != nil {
			other.cancel(errHedgeLost)
		}
	}
	return true
}

func (p *progress) isOwner(a *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner == a
}

// setCancel sets the function with which the owner cancels this attempt. If another attempt is the
// owner already, it is called at once.
func (a *attempt) setCancel(cancel context.CancelCauseFunc) {
	p := a.progress
	p.mu.Lock()
	defer p.mu.Unlock()
	a.cancel = cancel
	if p.owner != nil && p.owner != a {
		cancel(errHedgeLost)
	}
}

// round is one attempt, hedged by a second one if the first token is late.
type round struct {
	job     *Job
	keys    []contextkey.Key
	request *routing.Request
	number  uint32
	p       *progress
	// failedMembers are the members at which an attempt ended other than by losing to the other
	// one.
	failedMembers []string
}

// attemptResult is an attempt with its outcome.
type attemptResult struct {
	attempt *attempt
	out     *outcome
}

// runRound runs an attempt. A prompt whose first token takes several times longer than expected gets
// a second attempt at another endpoint, within the retry budget: this leaves a paused or overloaded
// endpoint seconds before membership detects it. It returns the outcome that decides the round, with
// its choice and attempt number.
func (r *Runner) runRound(ctx context.Context, rd *round, choice routing.Choice) (*outcome, routing.Choice, uint32) {
	results := make(chan attemptResult, 2)
	start := func(a *attempt) {
		go func() {
			out := r.runAttempt(ctx, a)
			r.reportToDirectory(a, out)
			results <- attemptResult{a, out}
		}()
	}
	first := rd.p.startRound(r, rd.job, choice, rd.number, nil)
	start(first)
	running := 1
	timer := r.hedgeTimer(rd, choice)
	defer timer.Stop()
	var last attemptResult
	for running > 0 {
		select {
		case res := <-results:
			running--
			last = rd.p.pickResult(last, res)
			if !res.out.isHedgeLoser() {
				rd.failedMembers = append(rd.failedMembers, res.attempt.choice.Member.ID)
			}
		case <-timer.C:
			if second := r.newHedge(rd, first); second != nil {
				start(second)
				running++
			}
		}
	}
	return last.out, last.attempt.choice, max(rd.number, last.attempt.number)
}

// reportToDirectory reports the end of an attempt to the directory. An attempt that was canceled
// because the other one was faster says nothing about its endpoint: counted as a success, it would
// keep an endpoint that hangs from being ejected.
func (r *Runner) reportToDirectory(a *attempt, out *outcome) {
	if out.isHedgeLoser() {
		r.Directory.Release(a.choice)
		return
	}
	r.Directory.Done(a.choice, out.endpointFailed, time.Now())
}

// isHedgeLoser reports whether the attempt was canceled because the other one of its round was faster.
func (o *outcome) isHedgeLoser() bool { return errors.Is(o.cause, errHedgeLost) }

// pickResult returns the result that decides the round after another of its attempts has ended: the
// owner's, whatever the other attempt reports after it, or else the later one. Its ran is merged
// from both.
func (p *progress) pickResult(earlier, later attemptResult) attemptResult {
	if earlier.attempt == nil {
		return later
	}
	if p.isOwner(earlier.attempt) {
		earlier, later = later, earlier
	}
	return attemptResult{later.attempt, later.out.withMergedRan(earlier.out)}
}

// hedgeTimer returns a timer that fires when the first token is late. With hedging disabled, and for
// plain calls, which must not run twice at once, it is set to a day, so that it never fires in
// practice.
func (r *Runner) hedgeTimer(rd *round, choice routing.Choice) *time.Timer {
	wait := max(r.HedgeAfter, hedgeFactor*choice.TTFT)
	if r.HedgeAfter == 0 || rd.job.Prompt == nil {
		wait = 24 * time.Hour
	}
	return time.NewTimer(wait)
}

// newHedge returns a second attempt for the round. It returns nil if the answer has begun, if the
// request is suspected of crashing its endpoint, or if no budget or no other endpoint is left.
func (r *Runner) newHedge(rd *round, first *attempt) *attempt {
	if r.Guard.IsSuspect(rd.job.fingerprint(), rd.job.sharedParts()...) {
		// The first token may be late because the request is crashing its endpoint.
		return nil
	}
	request := *rd.request
	request.Now = time.Now()
	request.Exclude = append(append([]string(nil), rd.request.Exclude...), first.choice.Member.ID)
	choice := r.Directory.Choose(rd.job.Service.ID, rd.keys, &request)
	if choice.Member.ID == "" {
		return nil
	}
	// As for retries, the budget is spent only on attempts that are made.
	if !r.Budget.Spend() {
		r.Directory.Release(choice)
		return nil
	}
	second := rd.p.addHedge(first, choice, rd.number+1)
	if second == nil {
		r.Budget.Refund()
		r.Directory.Release(choice)
		return nil
	}
	r.Zap.Info("hedge", zap.String("request_id", rd.job.RequestID), zap.String("late", first.choice.Member.Endpoint.ID),
		zap.String("endpoint", choice.Member.Endpoint.ID), zap.Duration("expected_ttft", first.choice.TTFT))
	return second
}
