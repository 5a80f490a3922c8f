package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/receipt"
	"limpetwall/internal/transport/ingress"
)

// answerWriter remembers the status of the head that was written; 0 before.
type answerWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	informational := status < 200 && status != http.StatusSwitchingProtocols
	if w.status == 0 && !informational {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(data []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap serves http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// received returns what the caller has received, before an error answer is written. The error alone
// doesn't: one that comes after a head was written is counted like any other, but its status
// reaches nobody.
func (c *call) received(err *apierror.Error) receipt.Receipt {
	switch {
	case err == nil:
		return receipt.Answer
	case c.w.status != 0:
		return receipt.Part
	case c.left(err):
		return receipt.Nothing
	}
	return receipt.Refusal
}

// left reports whether the caller is gone. A forced stop ends the request's context as well, with
// a cause of its own, and so does net/http when a read of the body times out; those callers are
// still there.
func (c *call) left(err *apierror.Error) bool {
	cause := context.Cause(c.r.Context())
	if c.bodyLate || errors.Is(cause, runs.ErrStopping) {
		return false
	}
	return cause != nil || (err != nil && err.Code == apierror.CodeClientGone)
}

// end writes the error answer, if one is due, and the log line. Only then it breaks the
// connection of an answer that was cut: net/http does so on a panic, which ends the handler,
// so a sink that panicked itself would leave the request without line, counter and timer.
func (e *Entry) end(c *call, err *apierror.Error) {
	got := c.received(err)
	if err != nil && c.w.status == 0 {
		err.RequestID = c.id
		err.Write(c.w)
	}
	e.logCall(c, err, got)
	if c.cut {
		panic(http.ErrAbortHandler)
	}
}

// logCall writes the request's one line and counts it.
func (e *Entry) logCall(c *call, err *apierror.Error, got receipt.Receipt) {
	fields := []zap.Field{
		zap.String("request_id", c.id), zap.String("method", c.r.Method), zap.String("path", c.r.URL.Path),
		zap.Duration("took", time.Since(c.started)), zap.String("caller_got", string(got)),
	}
	if got != receipt.Nothing {
		fields = append(fields, zap.Int("caller_status", c.w.status))
	}
	if c.left(err) {
		fields = append(fields, zap.String("caller_left_by", ingress.CallerEnd(c.r.Context())))
	}
	if c.customer != nil {
		fields = append(fields, zap.String("customer", c.customer.ID))
	}
	if err != nil {
		fields = append(fields, zap.String("code", err.Code), zap.String("ran", string(err.Ran)), zap.String("reason", err.Message))
		metrics.GetOrRegisterCounter("entry.errors."+err.Code, e.Metrics).Inc(1)
	}
	if got == receipt.Part && !c.left(err) {
		metrics.GetOrRegisterCounter("entry.answers_cut", e.Metrics).Inc(1)
	}
	metrics.GetOrRegisterTimer("entry.request", e.Metrics).UpdateSince(c.started)
	e.Zap.Info("request", fields...)
}
