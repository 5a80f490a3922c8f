package runs

import (
	"context"
	"time"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/fingerprint"
)

// fingerprint identifies the request by its content: its digest covers path and body.
func (j *Job) fingerprint() fingerprint.Key {
	return fingerprint.Of(fingerprint.Request{Customer: j.Customer.ID, Host: j.Service.ID}, j.Digest)
}

// about describes the request to operators.
func (j *Job) about() quarantine.RequestInfo {
	about := quarantine.RequestInfo{Service: j.Service.ID, Customer: j.Customer.ID, Method: "prompt"}
	if j.Plain != nil {
		about.Method, about.Target = j.Plain.GetMethod(), j.Plain.GetPath()
	}
	return about
}

// checkQuarantine refuses a request that crashes endpoints. If it has an idempotency key, an earlier
// call may have run, though this one did not.
func (r *Runner) checkQuarantine(ctx context.Context, job *Job) *apierror.Error {
	if r.Guard.IsIdle() {
		return nil
	}
	refusal := r.Guard.Admit(ctx, job.fingerprint())
	if refusal != nil && job.IdempotencyKey != "" {
		refusal = refusal.WithRan(apierror.RanUnknown, apierror.AdviceSameKey)
	}
	return refusal
}

// reportToGuard reports to the guard how an attempt ended.
func (r *Runner) reportToGuard(a *attempt, out *outcome, sent time.Time) {
	switch {
	case r.Guard == nil:
	case out.crashedIncarnation != 0:
		run := quarantine.Attempt{Key: a.job.fingerprint(), About: a.job.about(), Sent: sent, Output: a.outputAt}
		r.Guard.RecordCrash(run, out.crashedIncarnation, time.Now())
	case out.done && !r.Guard.IsIdle():
		r.Guard.RecordCompletion(a.job.fingerprint())
	}
}
