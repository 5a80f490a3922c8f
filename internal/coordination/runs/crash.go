package runs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/fingerprint"
)

// fingerprint identifies the request by its content: its digest covers path and body.
func (j *Job) fingerprint() fingerprint.Key {
	return fingerprint.Of(fingerprint.Request{Customer: j.Customer.ID, Host: j.Service.ID}, j.Digest)
}

// sharedParts returns the messages that other requests of the customer may contain: all but the last.
func (j *Job) sharedParts() (parts []quarantine.Part) {
	for i := 0; i+1 < len(j.Messages); i++ {
		digest := sha256.Sum256([]byte(j.Messages[i]))
		id := hex.EncodeToString(digest[:messageIDBytes])
		parts = append(parts, quarantine.Part{Key: fingerprint.OfPart("customer "+j.Customer.ID, id), ID: id})
	}
	return parts
}

// messageIDBytes is the length of the hash by which a message is known to operators.
const messageIDBytes = 8

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
	refusal := r.Guard.Admit(ctx, job.fingerprint(), job.sharedParts()...)
	if refusal != nil && job.IdempotencyKey != "" {
		refusal = refusal.WithRan(apierror.RanUnknown, apierror.AdviceSameKey)
	}
	return refusal
}

// reportToGuard reports to the guard how an attempt ended.
func (r *Runner) reportToGuard(a *attempt, out *outcome, sent time.Time) {
	if r.Guard == nil {
		return
	}
	if out.done {
		began := a.outputAt
		if began.IsZero() {
			began = sent
		}
		r.Guard.RecordRanWell(a.job.sharedParts(), time.Since(began))
	}
	switch {
	case out.crashedIncarnation != 0:
		run := quarantine.Attempt{Key: a.job.fingerprint(), Parts: a.job.sharedParts(), About: a.job.about(), Sent: sent, Output: a.outputAt}
		r.Guard.RecordCrash(run, out.crashedIncarnation, time.Now())
	case out.done && !r.Guard.IsIdle():
		r.Guard.RecordCompletion(a.job.fingerprint())
	}
}
