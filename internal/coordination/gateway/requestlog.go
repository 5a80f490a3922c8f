package gateway

import (
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/receipt"
	"limpetwall/internal/transport/ingress"
)

// attemptRecord describes one attempt in the log: its outcome, and what was known of the endpoint when
// it was chosen.
type attemptRecord struct {
	Endpoint string `json:"endpoint"`
	Reason   string `json:"reason"`
	Outcome  string `json:"outcome"`
	Error    string `json:"error,omitempty"`
	Status   int    `json:"status,omitempty"`
	Weights  string `json:"weights,omitempty"`
	// ReplacedForMS is how long ago the weights had been replaced by ReplacedBy when the attempt ended,
	// as far as this process knows.
	ReplacedForMS int64 `json:"weights_replaced_for_ms,omitempty"`
	ReplacedBy    int64 `json:"weights_replaced_by,omitempty"`
	// SoftwareVersion is that of the endpoint.
	SoftwareVersion string `json:"software_version,omitempty"`
	// Reused is set if the connection had carried another request, Answered if any byte of an
	// answer came back on it.
	Reused   bool `json:"connection_reused"`
	Answered bool `json:"answer_begun"`
	// TookMS is the duration of the attempt, FirstMS the time to its first event.
	TookMS  int64 `json:"took_ms"`
	FirstMS int64 `json:"first_ms,omitempty"`
	// FirstEvent is the id of the first event of a stream, EventsSkipped the number of those that the caller had already.
	FirstEvent    string `json:"first_event,omitempty"`
	EventsSkipped int    `json:"events_skipped,omitempty"`
	// ExpectedMS is the predicted time to the first event, CachedTokens the prompt tokens that
	// were expected to be in the endpoint's cache.
	ExpectedMS   int64 `json:"expected_ms"`
	CachedTokens int   `json:"cached_tokens,omitempty"`
	// Imported lists the addresses to import context from, Saved those to save it to.
	Imported string `json:"imported,omitempty"`
	Saved    string `json:"saved,omitempty"`
	// ContinuedFrom names the copy of the run that the attempt continues.
	ContinuedFrom string `json:"continued_from,omitempty"`
	// ImportUntilMS is when imports must end, by the endpoints' clock in Unix ms.
	ImportUntilMS int64 `json:"import_until_ms,omitempty"`
	// ImportsWithheld is set if stores held segments that were not imported from them, as the weights
	// may have been replaced.
	ImportsWithheld bool `json:"imports_withheld,omitempty"`
	// Running and Queued are the load that the endpoint reported LoadAgeMS earlier. Sent counts the
	// requests sent by this process since that report, Own its requests in flight there.
	Running   int   `json:"running"`
	Queued    int   `json:"queued"`
	Sent      int   `json:"sent"`
	Own       int   `json:"own"`
	LoadAgeMS int64 `json:"load_age_ms"`
	// Slowdown is how many times as long as usual work took there by that report, omitted if it did
	// not say.
	Slowdown float64 `json:"slowdown,omitempty"`
	// PeerRunning counts the runs that other processes reported in flight there, PeerUnread the
	// prompt tokens of theirs that the endpoint has not read yet.
	PeerRunning int `json:"peer_running"`
	PeerUnread  int `json:"peer_unread"`
	// LimitPerSecond is the request rate that the endpoint accepts from all processes, omitted if it
	// names none. SentInWindow counts this process's requests in pushback.Window before.
	LimitPerSecond float64 `json:"limit_per_s,omitempty"`
	SentInWindow   int     `json:"sent_in_window,omitempty"`
	// LeavingForMS is how long ago an answer first said that the endpoint leaves, omitted if none did.
	LeavingForMS int64 `json:"leaving_for_ms,omitempty"`
	// RestLeftMS is for how much longer the endpoint accepted no requests of this process.
	RestLeftMS int64 `json:"rest_left_ms,omitempty"`
	// AnswerEnd is the evidence about the end of an answer without a length, omitted for others.
	AnswerEnd string `json:"answer_end,omitempty"`
}

// receiptFor returns what the caller has received. The ending alone doesn't say: a refusal after a head
// was written is decided and counted like any other, but its status never reaches the caller.
func (x *exchange) receiptFor(e ending) receipt.Receipt {
	switch {
	case e.kind == endAnswered || e.kind == endBuffered:
		return receipt.Answer
	case x.headWritten:
		return receipt.Part
	case x.status != 0:
		return receipt.Refusal
	}
	return receipt.Nothing
}

// logRequest writes the log line of the request, at most one for each. A forced stop cuts many at once, and each has its line.
func (x *exchange) logRequest(refusal *apierror.Error, got receipt.Receipt) {
	if x.g.RequestLogLimiter != nil && !x.isForceStopped() && !x.g.RequestLogLimiter.Allow() {
		x.g.count("request_lines_dropped")
		return
	}
	fields := []zap.Field{
		zap.String("request_id", x.call.ID), zap.String("path", x.r.URL.Path), zap.Duration("took", time.Since(x.startedAt)), zap.Any("attempts", x.attempts),
	}
	if !x.deadline.IsZero() {
		fields = append(fields, zap.Duration("time_given", x.deadline.Sub(x.startedAt)))
	}
	fields = append(fields, zap.String("caller_got", string(got)))
	if got != receipt.Nothing {
		fields = append(fields, zap.Int("caller_status", x.status))
	}
	if x.hasCallerLeft() {
		fields = append(fields, zap.String("caller_left_by", ingress.CallerEnd(x.r.Context())))
	}
	if x.call.Resumes != "" {
		fields = append(fields, zap.String("resumes", x.call.Resumes), zap.String("last_event", x.call.LastEvent))
	}
	if x.call.PromptTokens > 0 {
		fields = append(fields, zap.Int("prompt_tokens", x.call.PromptTokens), zap.Int("stored_tokens", x.storedTokens))
	}
	fields = append(fields, x.pauses.logFields(time.Now())...)
	if d := x.g.drain.Load(); d != nil {
		fields = append(fields, zap.Duration("stopping_for", time.Since(d.began)), zap.Duration("began_in_stop", x.startedAt.Sub(d.began)))
	}
	if x.table != nil {
		fields = append(fields, zap.Uint64("config_version", x.table.Version))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name))
	}
	if x.customer != nil {
		fields = append(fields, zap.String("customer", x.customer.Name))
	}
	if x.service != nil {
		fields = append(fields, zap.Int("urgency", x.urgency.Level))
	}
	if x.cachedFingerprint != nil {
		fields = append(fields, zap.Stringer("fingerprint", *x.cachedFingerprint))
	}
	if x.heldPart.ID != "" {
		fields = append(fields, zap.String("held_part", x.heldPart.ID), zap.Stringer("held_part_fingerprint", x.heldPart.Key))
	}
	if refusal != nil {
		fields = append(fields, zap.Int("status", refusal.Status), zap.String("code", refusal.Code),
			zap.String("ran", string(refusal.Ran)), zap.String("reason", refusal.Message))
		if refusal.Retry.AfterMS > 0 {
			fields = append(fields, zap.Int64("retry_after_ms", refusal.Retry.AfterMS))
		}
	}
	x.g.Log.Info("request", fields...)
}
