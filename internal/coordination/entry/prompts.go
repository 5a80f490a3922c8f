package entry

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/coordination/admission"
	"limpetwall/internal/coordination/errorbudget"
	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/openai"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/finding"
)

// Headers that callers may set.
const (
	// KeyHeader holds the caller's idempotency key or a ticket.
	KeyHeader = "Idempotency-Key"
	// TimeoutHeader shortens the service's time limit, in ms.
	TimeoutHeader = "X-Limpetwall-Timeout-Ms"
	// ReplayedHeader marks an answer that an earlier call had already caused.
	ReplayedHeader = "X-Limpetwall-Replayed"
	maxKey         = 255
)

func (c *call) idempotencyKey() (string, *apierror.Error) {
	key := c.r.Header.Get(KeyHeader)
	if len(key) > maxKey {
		return "", apierror.New(http.StatusBadRequest, apierror.CodeKeyRequired, "the idempotency key is longer than 255 bytes")
	}
	return key, nil
}

// timeout is the service's limit, or less if the caller asks for less.
func (c *call) timeout(s *config.Service) (time.Duration, *apierror.Error) {
	limit := time.Duration(s.TimeoutMS) * time.Millisecond
	header := c.r.Header.Get(TimeoutHeader)
	if header == "" {
		return limit, nil
	}
	ms, err := strconv.Atoi(header)
	if err != nil || ms < 1 {
		return 0, apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, TimeoutHeader+" must be a positive number of ms")
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// admit passes the bounds and the fair queue; leave gives the place back.
func (e *Entry) admit(ctx context.Context, c *call, s *config.Service, cost int) (leave func(), refused *apierror.Error) {
	exit, refusal := e.gates.Acquire(c.customer, s, time.Now())
	if refusal != nil {
		return nil, apierror.Later(http.StatusTooManyRequests, apierror.CodeRateLimited,
			"the "+refusal.Scope+"'s limit is reached", refusal.RetryAfter)
	}
	queue := e.queue(s.ID)
	deadline, _ := ctx.Deadline()
	release, err := queue.Acquire(ctx, admission.Request{
		Customer: c.customer.ID, Share: c.customer.Share,
		Cost: float64(cost), TimeLeft: time.Until(deadline),
	})
	if err != nil {
		exit()
		return nil, queueError(err, queue.RetryAfter(c.customer.ID))
	}
	return func() { release(); exit() }, nil
}

func queueError(err error, after time.Duration) *apierror.Error {
	switch {
	case errors.Is(err, admission.ErrQueueFull), errors.Is(err, admission.ErrTooLate):
		return apierror.Later(http.StatusServiceUnavailable, apierror.CodeOverloaded, err.Error(), after)
	case errors.Is(err, context.DeadlineExceeded):
		return apierror.Later(http.StatusGatewayTimeout, apierror.CodeTimeout, "the request's time was up before an endpoint was free", after)
	case errors.Is(err, runs.ErrStopping):
		// A forced stop ends the wait like a caller that leaves, but this one is still there.
		// Taken for gone, it would read 499 and "fix the request" and not come back with a
		// request that ran nowhere. Nothing else ends a request's context with this cause.
		return apierror.Later(http.StatusServiceUnavailable, apierror.CodeStopping, "this entry stopped before an endpoint was free", after)
	default:
		return apierror.New(499, apierror.CodeClientGone, "the caller left")
	}
}

func (e *Entry) servePrompt(chat bool) func(*call) *apierror.Error {
	return func(c *call) *apierror.Error {
		body, refused := c.readBody()
		if refused != nil {
			return refused
		}
		if refused := c.holdDecoded(body, PromptFactor); refused != nil {
			return refused
		}
		prompt, err := openai.Decode(body, chat, e.cfg.Prompt)
		if err != nil {
			var found *finding.Error
			if errors.As(err, &found) {
				return apierror.FromFindings(found.Findings)
			}
			return apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, err.Error())
		}
		s, refused := c.service(prompt.Model, config.ServicePrompt)
		if refused != nil {
			return refused
		}
		job := &runs.Job{
			RequestID: c.id, Customer: c.customer, Service: s, Digest: digestOf(c.r.URL.Path, body), Prompt: e.wirePrompt(c.view, s, prompt), Messages: prompt.Messages,
		}
		return e.run(c, job, contextkey.EstimateTokens(prompt.Text), newPromptSink(c, prompt))
	}
}

// answerSink writes an answer in the form that its caller expects.
type answerSink interface {
	runs.Sink
	// firstAt is when the first token or the head arrived.
	firstAt() time.Time
	// finish writes the end of a complete answer, or returns why the answer is incomplete.
	finish(result runs.Result) *apierror.Error
	// fail ends an answer that broke off after it was begun, and returns the request's error,
	// never nil. Before that it writes nothing, and the error becomes the answer.
	fail(err *apierror.Error) *apierror.Error
}

// digestOf identifies a call by its target and its body.
func digestOf(target string, body []byte) []byte {
	h := sha256.New()
	io.WriteString(h, target+"\n")
	h.Write(body)
	return h.Sum(nil)
}

// run admits a job, carries it out and books its outcome.
func (e *Entry) run(c *call, job *runs.Job, cost int, sink answerSink) *apierror.Error {
	key, refused := c.idempotencyKey()
	if refused != nil {
		return refused
	}
	job.IdempotencyKey = key
	timeout, refused := c.timeout(job.Service)
	if refused != nil {
		return refused
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), timeout)
	defer cancel()
	leave, refused := e.admit(ctx, c, job.Service, cost)
	if refused != nil {
		e.observe(c, job.Service, sink.firstAt(), refused)
		return refused
	}
	defer leave()
	result, refused := e.Runner.Run(ctx, job, sink)
	if refused == nil {
		refused = sink.finish(result)
	} else {
		// The error goes on whether fail wrote or not: no error means a whole answer, and the
		// log and the counters would show a broken one as such.
		refused = sink.fail(refused)
	}
	e.observe(c, job.Service, sink.firstAt(), refused)
	return refused
}

// wirePrompt names the model of the service's first intent; endpoints of all
// its intents must serve it to be usable.
func (e *Entry) wirePrompt(v *config.View, s *config.Service, p openai.Prompt) *wire.Prompt {
	out := &wire.Prompt{Text: p.Text, MaxTokens: uint32(p.MaxTokens), Seed: p.Seed, Priority: int32(s.Priority), Parameters: p.Parameters}
	if intents := v.Intents[s.ID]; len(intents) > 0 {
		out.Model, out.Adapter = intents[0].Model, intents[0].Adapter
	}
	return out
}

// observe books a request for the burn report. What the caller did wrong or
// gave up on does not count against the service.
func (e *Entry) observe(c *call, s *config.Service, first time.Time, err *apierror.Error) {
	if err != nil && err.Status < 500 && err.Status != http.StatusTooManyRequests {
		return
	}
	e.Book.Observe(errorbudget.Observation{
		Key:    errorbudget.Key{Customer: c.customer.ID, Service: s.ID},
		Target: s.Objective.Target, TTFTMS: s.Objective.TTFTMS,
		TTFT: first.Sub(c.started), Failed: err != nil, At: time.Now(),
	})
}

// promptSink writes an answer in the form that the caller asked for.
type promptSink struct {
	c       *call
	prompt  openai.Prompt
	out     openai.Writer
	text    strings.Builder
	first   time.Time
	opened  bool
	chunks  int
	prompts int
	cached  int
	flush   *http.ResponseController
}

func newPromptSink(c *call, p openai.Prompt) *promptSink {
	prefix := "cmpl-"
	if p.Chat {
		prefix = "chatcmpl-"
	}
	return &promptSink{
		c: c, prompt: p, flush: http.NewResponseController(c.w),
		out: openai.Writer{Prompt: p, ID: prefix + c.id, Created: time.Now().Unix()},
	}
}

// Started implements runs.Sink.
func (s *promptSink) Started(weightVersion string, promptTokens, cachedTokens int) error {
	s.out.WeightVersion = weightVersion
	s.prompts, s.cached = promptTokens, cachedTokens
	return nil
}

func (s *promptSink) firstAt() time.Time { return s.first }

func (s *promptSink) open() {
	if s.opened {
		return
	}
	s.opened = true
	h := s.c.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.c.w.WriteHeader(http.StatusOK)
}

// Tokens implements runs.Sink.
func (s *promptSink) Tokens(tokens []string) error {
	if s.first.IsZero() {
		s.first = time.Now()
	}
	text := strings.Join(tokens, "")
	if !s.prompt.Stream {
		s.text.WriteString(text)
		return nil
	}
	s.open()
	s.chunks++
	if _, err := s.c.w.Write(s.out.Chunk(text, s.chunks == 1)); err != nil {
		return err
	}
	return s.flush.Flush()
}

// Head implements runs.Sink; prompts have no plain answers.
func (s *promptSink) Head(*wire.PlainHead) error { return nil }

// Body implements runs.Sink; prompts have no plain answers.
func (s *promptSink) Body([]byte) error { return nil }

func (s *promptSink) finish(result runs.Result) *apierror.Error {
	usage := openai.NewUsage(s.prompts, s.cached, result.CompletionTokens)
	if s.prompt.Stream {
		s.open()
		s.c.w.Write(s.out.Last(result.FinishReason, usage))
		return nil
	}
	h := s.c.w.Header()
	h.Set("Content-Type", "application/json")
	if result.Replayed {
		h.Set(ReplayedHeader, "true")
	}
	s.c.w.Write(s.out.Whole(s.text.String(), result.FinishReason, usage))
	return nil
}

// fail ends a stream that has begun with an error event and without the end
// mark, so that no caller takes the part for the whole.
func (s *promptSink) fail(err *apierror.Error) *apierror.Error {
	if s.opened {
		err.RequestID = s.c.id
		s.c.w.Write(openai.ErrorEvent(err.Body()))
	}
	return err
}

func (e *Entry) modelIDs(c *call) []string {
	var ids []string
	for id, s := range c.view.Services {
		if s.Kind == config.ServicePrompt && s.Allows(c.customer.ID) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (e *Entry) serveModels(c *call) *apierror.Error {
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Write(openai.Models(e.modelIDs(c), 0))
	return nil
}

func (e *Entry) serveModel(c *call) *apierror.Error {
	if _, refused := c.service(c.r.PathValue("id"), config.ServicePrompt); refused != nil {
		return refused
	}
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Write(openai.Model(c.r.PathValue("id"), 0))
	return nil
}
