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

// errHedgeLost ends the attempt that the other one was faster than.
const errHedgeLost = errors.ConstError("another attempt was faster")

// hedgeFactor times the expected time to first token is waited for it.
const hedgeFactor = 3

// newAttempt starts a round with one attempt. What the caller already has is
// noted now: the attempt must not look at it while another may write.
func (p *progress) newAttempt(r *Runner, job *Job, c routing.Choice, number uint32, ticket *wire.Ticket) *attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner, p.attempts = nil, nil
	return p.join(&attempt{runner: r, job: job, choice: c, number: number, ticket: ticket, progress: p})
}

// addAttempt adds a second attempt to the round; nil if the first has brought
// something meanwhile.
func (p *progress) addAttempt(first *attempt, c routing.Choice, number uint32) *attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owner != nil {
		return nil
	}
	return p.join(&attempt{runner: first.runner, job: first.job, choice: c, number: number, progress: p})
}

func (p *progress) join(a *attempt) *attempt {
	a.resume, a.skip = p.tokens, p.bodyBytes
	p.attempts = append(p.attempts, a)
	return a
}

// claim makes an attempt the owner, if none is, and ends the others. Only the
// owner's events reach the caller: two streams would be mixed otherwise.
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

func (p *progress) owns(a *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner == a
}

// setCancel lets the owner end this attempt; if there is one already, at once.
func (a *attempt) setCancel(cancel context.CancelCauseFunc) {
	p := a.progress
	p.mu.Lock()
	defer p.mu.Unlock()
	a.cancel = cancel
	if p.owner != nil && p.owner != a {
		cancel(errHedgeLost)
	}
}

// round is one attempt, with a second beside it if the first token is late.
type round struct {
	job     *Job
	keys    []contextkey.Key
	request *routing.Request
	number  uint32
	p       *progress
	// failed are the members at which an attempt ended without being stopped for the other.
	failed []string
}

// ended is an attempt with its outcome.
type ended struct {
	attempt *attempt
	out     *outcome
}

// round runs an attempt. A prompt whose first token takes several times longer
// than expected gets a second attempt at another endpoint, within the retry
// budget: a paused or overloaded endpoint is left seconds before membership knows.
// It returns the outcome that counts, its choice and number.
func (r *Runner) round(ctx context.Context, in *round, choice routing.Choice) (*outcome, routing.Choice, uint32) {
	results := make(chan ended, 2)
	start := func(a *attempt) {
		go func() {
			out := r.carryOut(ctx, a)
			r.judge(a, out)
			results <- ended{a, out}
		}()
	}
	first := in.p.newAttempt(r, in.job, choice, in.number, nil)
	start(first)
	running := 1
	late := r.lateTimer(in, choice)
	defer late.Stop()
	var last ended
	for running > 0 {
		select {
		case e := <-results:
			running--
			last = in.p.counted(last, e)
			if !e.out.hasLost() {
				in.failed = append(in.failed, e.attempt.choice.Member.ID)
			}
		case <-late.C:
			if second := r.hedge(in, first); second != nil {
				start(second)
				running++
			}
		}
	}
	return last.out, last.attempt.choice, max(in.number, last.attempt.number)
}

// judge has the directory learn of an attempt's end. One that was stopped as the other was sooner says nothing about its
// endpoint: counted as a success, it would keep one that hangs from being taken out.
func (r *Runner) judge(a *attempt, out *outcome) {
	if out.hasLost() {
		r.Directory.Release(a.choice)
		return
	}
	r.Directory.Done(a.choice, out.failed, time.Now())
}

// hasLost tells that the attempt was stopped as the other of its round was sooner.
func (o *outcome) hasLost() bool { return errors.Is(o.cause, errHedgeLost) }

// counted is the end that counts after another attempt of the round has ended: the owner's,
// whatever the other says after it, or else the later. What it tells about execution is told
// for both.
func (p *progress) counted(before, now ended) ended {
	if before.attempt == nil {
		return now
	}
	if p.owns(before.attempt) {
		before, now = now, before
	}
	return ended{now.attempt, now.out.withRanOf(before.out)}
}

// lateTimer fires when the first token is late; never for runs that must not be
// doubled or have begun.
func (r *Runner) lateTimer(in *round, choice routing.Choice) *time.Timer {
	wait := max(r.HedgeAfter, hedgeFactor*choice.TTFT)
	if r.HedgeAfter == 0 || in.job.Prompt == nil {
		wait = 24 * time.Hour
	}
	return time.NewTimer(wait)
}

// hedge prepares a second attempt, or returns nil if there is no need, no budget
// or no other endpoint.
func (r *Runner) hedge(in *round, first *attempt) *attempt {
	if r.Guard.IsSuspect(in.job.fingerprint()) {
		// It may be late because it is crashing its endpoint.
		return nil
	}
	request := *in.request
	request.Now = time.Now()
	request.Exclude = append(append([]string(nil), in.request.Exclude...), first.choice.Member.ID)
	choice := r.Directory.Choose(in.job.Service.ID, in.keys, &request)
	if choice.Member.ID == "" {
		return nil
	}
	// As for retries, the budget pays only for attempts that are made.
	if !r.Budget.Spend() {
		r.Directory.Release(choice)
		return nil
	}
	second := in.p.addAttempt(first, choice, in.number+1)
	if second == nil {
		r.Budget.Refund()
		r.Directory.Release(choice)
		return nil
	}
	r.Zap.Info("hedge", zap.String("request_id", in.job.RequestID), zap.String("late", first.choice.Member.Endpoint.ID),
		zap.String("endpoint", choice.Member.Endpoint.ID), zap.Duration("expected_ttft", first.choice.TTFT))
	return second
}
