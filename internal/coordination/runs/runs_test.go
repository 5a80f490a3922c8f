package runs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc"

	"limpetwall/internal/coordination/idempotency"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/memquota"
	"limpetwall/internal/transport/rpc"
)

// fakeAgent answers runs with scripted events.
type fakeAgent struct {
	wire.UnimplementedAgentServer
	mu    sync.Mutex
	calls int
	// script returns the events of the n-th call, counted from 1.
	script func(n int, r *wire.RunRequest) []*wire.RunEvent
	// silentAttempt is the number of the attempt that gets no event until its context ends, 0 for
	// none. arrived is closed when it has reached the agent; ended receives its number when it has
	// ended.
	silentAttempt uint32
	arrived       chan struct{}
	ended         chan uint32
	// hangs reports whether a call gets nothing after the events of its script until its context ends; nil if none does.
	hangs func(r *wire.RunRequest) bool
}

func (f *fakeAgent) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeAgent) Run(r *wire.RunRequest, s wire.Agent_RunServer) error {
	f.mu.Lock()
	f.calls++
	n := f.calls
	f.mu.Unlock()
	if f.silentAttempt != 0 && f.silentAttempt == r.GetAttempt() {
		close(f.arrived)
		<-s.Context().Done()
		f.ended <- r.GetAttempt()
		return nil
	}
	for _, e := range f.script(n, r) {
		if err := s.Send(e); err != nil {
			return err
		}
	}
	if f.hangs != nil && f.hangs(r) {
		<-s.Context().Done()
	}
	return nil
}

// recordingSink is a sink that records the answer.
type recordingSink struct {
	tokens []string
	body   string
	status int32
}

func (c *recordingSink) Started(string, int, int) error { return nil }
func (c *recordingSink) Tokens(t []string) error        { c.tokens = append(c.tokens, t...); return nil }
func (c *recordingSink) Head(h *wire.PlainHead) error   { c.status = h.GetStatus(); return nil }
func (c *recordingSink) Body(b []byte) error            { c.body += string(b); return nil }

// eventFor sets the request ID and the attempt number of an event to those of r.
func eventFor(r *wire.RunRequest, e *wire.RunEvent) *wire.RunEvent {
	e.RequestId, e.Attempt = r.GetRequestId(), r.GetAttempt()
	return e
}

func started() *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Started{Started: &wire.Started{WeightVersion: "v1"}}}
}

func tokens(offset int, t ...string) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Tokens{Tokens: &wire.Tokens{Offset: uint32(offset), Tokens: t}}}
}

func finished(n int) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Finished{Finished: &wire.Finished{Reason: "stop", CompletionTokens: uint32(n)}}}
}

func refused(code string, ran wire.Ran) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: &wire.Refused{Code: code, Ran: ran}}}
}

// newRunner returns a runner with the given number of agents, which share one fake and its script.
func newRunner(t *testing.T, agents int, script func(n int, r *wire.RunRequest) []*wire.RunEvent, options ...grpc.ServerOption) (*Runner, *fakeAgent) {
	fake := &fakeAgent{script: script}
	now := time.Now()
	table := fleet.NewTable(fleet.DefaultConfig(), fleet.Member{ID: "entry", Role: fleet.RoleEntry}, now)
	for i := range agents {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := rpc.NewServer(nil, options...)
		wire.RegisterAgentServer(server, fake)
		go server.Serve(listener)
		t.Cleanup(server.Stop)
		id := fmt.Sprint("agent-", i)
		table.Merge(fleet.Member{
			ID: id, Incarnation: uint64(i + 1), Version: 1, Address: listener.Addr().String(), Role: fleet.RoleAgent,
			Endpoint: fleet.Endpoint{ID: id, Labels: map[string]string{"pool": "x"}, Model: "m", WeightVersion: "v1"},
		}, now)
	}
	store := config.NewStore()
	err := store.Apply(config.Change{Revision: 1, Puts: []config.Document{
		{Ref: config.Ref{Kind: config.KindIntent, ID: "i"}, Spec: []byte(`{"service":"s","labels":{"pool":"x"},"model":"m"}`)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	pool := rpc.NewPool(nil)
	t.Cleanup(pool.Close)
	return &Runner{
		Directory: routing.NewDirectory(table, store, 100, 1), Table: table, Pool: pool, Tickets: NewTicketPool(pool),
		Budget: NewRetryBudget(0.1, 10), Store: store, Zap: zap.NewNop(),
	}, fake
}

func promptJob() *Job {
	return &Job{
		RequestID: "mine", Customer: &config.Customer{ID: "c", Salt: []byte("s")},
		Service: &config.Service{ID: "s", Kind: config.ServicePrompt, Objective: config.Objective{WeightTTFT: 1}},
		Prompt:  &wire.Prompt{Model: "m", Text: "chair", MaxTokens: 4},
	}
}

// TestAnswerIsCompleteAndInOrder guards against a caller that gets another request's tokens, those
// of an earlier attempt, or its own with some repeated or missing. Agents send misdirected or
// incomplete streams, or refuse; the caller must get a, b, c, d once and in order.
func TestAnswerIsCompleteAndInOrder(t *testing.T) {
	wholeAnswer := func(r *wire.RunRequest) []*wire.RunEvent {
		rest := []string{"a", "b", "c", "d"}[len(r.GetPrompt().GetResumeTokens()):]
		return []*wire.RunEvent{eventFor(r, started()), eventFor(r, tokens(4-len(rest), rest...)), eventFor(r, finished(4))}
	}
	fromOtherRequest := func(e *wire.RunEvent) *wire.RunEvent { e.RequestId, e.Attempt = "other", 1; return e }
	fromEarlierAttempt := func(r *wire.RunRequest, e *wire.RunEvent) *wire.RunEvent {
		e.RequestId, e.Attempt = r.GetRequestId(), r.GetAttempt()-1
		return e
	}
	rows := []struct {
		name   string
		script func(n int, r *wire.RunRequest) []*wire.RunEvent
		calls  int
	}{
		{"in order", func(_ int, r *wire.RunRequest) []*wire.RunEvent { return wholeAnswer(r) }, 1},
		{"another request's tokens between", func(_ int, r *wire.RunRequest) []*wire.RunEvent {
			return append([]*wire.RunEvent{fromOtherRequest(tokens(0, "X")), fromOtherRequest(finished(1))}, wholeAnswer(r)...)
		}, 1},
		{"an earlier attempt's tokens between", func(_ int, r *wire.RunRequest) []*wire.RunEvent {
			return append([]*wire.RunEvent{fromEarlierAttempt(r, tokens(0, "X")), fromEarlierAttempt(r, finished(1))}, wholeAnswer(r)...)
		}, 1},
		{"the stream ends early", func(n int, r *wire.RunRequest) []*wire.RunEvent {
			if n == 1 {
				return []*wire.RunEvent{eventFor(r, started()), eventFor(r, tokens(0, "a", "b"))}
			}
			return wholeAnswer(r)
		}, 2},
		{"tokens are missing in the middle", func(n int, r *wire.RunRequest) []*wire.RunEvent {
			if n == 1 {
				return []*wire.RunEvent{eventFor(r, started()), eventFor(r, tokens(0, "a")), eventFor(r, tokens(2, "c", "d")), eventFor(r, finished(4))}
			}
			return wholeAnswer(r)
		}, 2},
		{"the end comes before all tokens", func(n int, r *wire.RunRequest) []*wire.RunEvent {
			if n == 1 {
				return []*wire.RunEvent{eventFor(r, started()), eventFor(r, tokens(0, "a")), eventFor(r, finished(4))}
			}
			return wholeAnswer(r)
		}, 2},
		{"the endpoint is busy, another is not", func(n int, r *wire.RunRequest) []*wire.RunEvent {
			if n == 1 {
				return []*wire.RunEvent{eventFor(r, refused("endpoint_busy", wire.Ran_RAN_NO))}
			}
			return wholeAnswer(r)
		}, 2},
		{"the weights were swapped before it arrived", func(n int, r *wire.RunRequest) []*wire.RunEvent {
			if n == 1 {
				return []*wire.RunEvent{eventFor(r, refused("weight_version_changed", wire.Ran_RAN_NO))}
			}
			return wholeAnswer(r)
		}, 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r, fake := newRunner(t, 3, row.script)
			sink := &recordingSink{}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := r.Run(ctx, promptJob(), sink)
			if err != nil || strings.Join(sink.tokens, "") != "abcd" || fake.callCount() != row.calls {
				t.Errorf("got %q after %d calls, error %v; want abcd", sink.tokens, fake.callCount(), err)
			}
		})
	}
}

// TestFinalErrorIsReturnedAtOnce guards against a caller that waits for its deadline after every
// attempt has failed, or that gets an error without when to retry or with a wrong statement of
// whether the request ran.
func TestFinalErrorIsReturnedAtOnce(t *testing.T) {
	rows := []struct {
		name   string
		events func(r *wire.RunRequest) []*wire.RunEvent
		status int
		ran    apierror.Ran
		code   string
	}{
		{"all busy", func(r *wire.RunRequest) []*wire.RunEvent {
			return []*wire.RunEvent{eventFor(r, refused("endpoint_busy", wire.Ran_RAN_NO))}
		}, http.StatusServiceUnavailable, apierror.RanNo, "endpoint_busy"},
		{"all broken before the first token", func(*wire.RunRequest) []*wire.RunEvent { return nil },
			http.StatusBadGateway, apierror.RanUnknown, "stream_broke"},
		{"all broken after the first token", func(r *wire.RunRequest) []*wire.RunEvent {
			return []*wire.RunEvent{eventFor(r, started())}
		}, http.StatusBadGateway, apierror.RanYes, apierror.CodeStreamLost},
	}
	for _, row := range rows {
		r, _ := newRunner(t, 2, func(_ int, q *wire.RunRequest) []*wire.RunEvent { return row.events(q) })
		_, err := r.Run(t.Context(), promptJob(), &recordingSink{})
		if err == nil || err.Status != row.status || err.Ran != row.ran || err.Code != row.code || err.Retry.AfterMS <= 0 {
			t.Errorf("%s: got error %+v", row.name, err)
		}
	}
	r, _ := newRunner(t, 0, nil)
	if _, err := r.Run(t.Context(), promptJob(), &recordingSink{}); err == nil || err.Code != apierror.CodeNoEndpoint || err.Ran != apierror.RanNo {
		t.Errorf("no endpoint: got error %+v", err)
	}
}

const unreachableIncarnation = 9

// addUnreachableAgent adds an agent at an address that nobody listens on.
func addUnreachableAgent(t *testing.T, r *Runner) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return
	}
	listener.Close()
	r.Table.Merge(fleet.Member{
		ID: "closed", Incarnation: unreachableIncarnation, Version: 1, Address: listener.Addr().String(), Role: fleet.RoleAgent,
		Endpoint: fleet.Endpoint{ID: "closed", Labels: map[string]string{"pool": "x"}, Model: "m", WeightVersion: "v1"},
	}, time.Now())
}

func plainJob(method string) *Job {
	job := promptJob()
	job.Prompt, job.Plain = nil, &wire.PlainCall{Method: method, Path: "/"}
	job.Service.Kind = config.ServicePlain
	return job
}

// TestAgentWithoutMemoryIsNotRun guards against a request that counts as run because an agent had no memory to receive it.
func TestAgentWithoutMemoryIsNotRun(t *testing.T) {
	limit := rpc.LimitRequests(memquota.New(1, 0), zap.NewNop(), metrics.NewRegistry())
	r, agent := newRunner(t, 2, func(int, *wire.RunRequest) []*wire.RunEvent { return nil }, limit)
	_, err := r.Run(t.Context(), promptJob(), &recordingSink{})
	if err == nil || err.Status != http.StatusServiceUnavailable || err.Code != apierror.CodeNoMemory || err.Ran != apierror.RanNo {
		t.Errorf("%+v, want 503 no_memory, not run", err)
	}
	if calls := agent.callCount(); calls != 0 {
		t.Errorf("%d calls, want 0", calls)
	}
}

// TestRanIsMergedAcrossAttempts guards against 503 with "ran: no" for a request that may have run.
// The first endpoint's answer is lost, so it may have run the request. Only the attempt after it
// provably did not run, because it was refused or did not reach its agent.
func TestRanIsMergedAcrossAttempts(t *testing.T) {
	refusedAfterLoss := func(n int, q *wire.RunRequest) []*wire.RunEvent {
		if n == 1 {
			return nil
		}
		return []*wire.RunEvent{eventFor(q, refused("endpoint_busy", wire.Ran_RAN_NO))}
	}
	t.Run("a prompt is refused", func(t *testing.T) {
		r, fake := newRunner(t, 2, refusedAfterLoss)
		checkRanUnknown(t, r, fake, promptJob(), 2)
	})
	t.Run("a GET is refused", func(t *testing.T) {
		r, fake := newRunner(t, 2, refusedAfterLoss)
		checkRanUnknown(t, r, fake, plainJob(http.MethodGet), 2)
	})
	t.Run("two are refused", func(t *testing.T) {
		r, fake := newRunner(t, 3, refusedAfterLoss)
		checkRanUnknown(t, r, fake, promptJob(), 3)
	})
	t.Run("the budget is used up after a refusal", func(t *testing.T) {
		r, fake := newRunner(t, 3, refusedAfterLoss)
		r.Budget = NewRetryBudget(0, 1)
		checkRanUnknown(t, r, fake, promptJob(), 2)
	})
	t.Run("the other is not reached", func(t *testing.T) {
		var r *Runner
		r, fake := newRunner(t, 1, func(int, *wire.RunRequest) []*wire.RunEvent {
			// The other endpoint is added only now, so that it is chosen second.
			addUnreachableAgent(t, r)
			return nil
		})
		checkRanUnknown(t, r, fake, promptJob(), 1)
	})
}

// TestRanIsMergedAcrossHedge guards against 503 with "ran: no" for a prompt that may have run. The
// first token of one attempt is late and its answer is then lost, so its endpoint may have run the
// prompt. The second attempt is refused; this comes last and decides the round.
func TestRanIsMergedAcrossHedge(t *testing.T) {
	second, firstEnded := make(chan struct{}), make(chan struct{})
	r, fake := newRunner(t, 2, func(n int, q *wire.RunRequest) []*wire.RunEvent {
		switch n {
		case 1:
			<-second
			return nil
		case 2:
			close(second)
			<-firstEnded
		}
		return []*wire.RunEvent{eventFor(q, refused("endpoint_busy", wire.Ran_RAN_NO))}
	})
	r.HedgeAfter = time.Millisecond
	var once sync.Once
	onAttemptEnd(r, func() { once.Do(func() { close(firstEnded) }) })
	checkRanUnknown(t, r, fake, promptJob(), 2)
}

// onAttemptEnd calls back when an attempt is logged: its outcome is then decided.
func onAttemptEnd(r *Runner, callback func()) {
	core, _ := observer.New(zap.InfoLevel)
	r.Zap = zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
		if e.Message == "attempt" {
			callback()
		}
		return nil
	}))
}

// describe formats what a caller reads of an error.
func describe(err *apierror.Error) string {
	if err == nil {
		return "nothing"
	}
	return fmt.Sprintf("%d %s, ran %s, %s", err.Status, err.Code, err.Ran, err.Retry.Advice)
}

// checkRanUnknown runs a job that fails, and checks that the caller learns that it may have run.
func checkRanUnknown(t *testing.T, r *Runner, fake *fakeAgent, job *Job, calls int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := r.Run(ctx, job, &recordingSink{})
	if err == nil || err.Ran != apierror.RanUnknown || err.Status != http.StatusBadGateway {
		t.Errorf("got %s, want 502, ran unknown", describe(err))
	}
	if fake.callCount() != calls {
		t.Errorf("got %d calls, want %d", fake.callCount(), calls)
	}
}

// TestRefusalTakesPrecedenceOverContextEnd guards against a conclusive refusal that is replaced by
// the error of the request's context, which ends after the refusal has arrived and before the runner
// continues.
//
// With "timeout, ran unknown" instead, the caller has to assume that a request may have run which
// provably did not, or repeats one that can never be answered. The context's error goes first only
// if the refusal is not conclusive, or if the caller left.
func TestRefusalTakesPrecedenceOverContextEnd(t *testing.T) {
	rows := []struct {
		name  string
		job   *Job
		lost  bool // the first endpoint's answer is lost, then another endpoint refuses
		code  string
		ran   wire.Ran
		cause error
		want  string
	}{
		{"a prompt's refusal, the time is up", promptJob(), false, "endpoint_busy", wire.Ran_RAN_NO, context.DeadlineExceeded,
			"503 endpoint_busy, ran no, retry_after"},
		{"a prompt's refusal, the entry stops", promptJob(), false, "endpoint_busy", wire.Ran_RAN_NO, ErrStopping,
			"503 endpoint_busy, ran no, retry_after"},
		{"a prompt's refusal, the caller leaves", promptJob(), false, "endpoint_busy", wire.Ran_RAN_NO, context.Canceled,
			"499 client_gone, ran no, fix_request"},
		{"a prompt's refusal after a lost answer", promptJob(), true, "endpoint_busy", wire.Ran_RAN_NO, context.DeadlineExceeded,
			"504 timeout, ran unknown, retry_after"},
		{"a prompt broken at the agent", promptJob(), false, "endpoint_stream_broke", wire.Ran_RAN_YES, context.DeadlineExceeded,
			"504 timeout, ran yes, retry_after"},
		{"a keyed call's key is used", keyedJob(1), false, "key_used_for_other_request", wire.Ran_RAN_NO, context.DeadlineExceeded,
			"409 key_used_for_other_request, ran no, fix_request"},
		{"a keyed call's answer is not kept", keyedJob(1), false, "answer_not_kept", wire.Ran_RAN_YES, context.DeadlineExceeded,
			"410 answer_not_kept, ran yes, do_not_retry"},
		{"a keyed call's record is gone", keyedJob(1), false, "outcome_unknown", wire.Ran_RAN_UNKNOWN, ErrStopping,
			"409 outcome_unknown, ran unknown, do_not_retry"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r, _ := newRunner(t, 2, func(n int, q *wire.RunRequest) []*wire.RunEvent {
				if row.lost && n == 1 {
					return nil
				}
				return []*wire.RunEvent{eventFor(q, refused(row.code, row.ran))}
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			attemptsLeft := 1
			if row.lost {
				attemptsLeft = 2
			}
			onAttemptEnd(r, func() {
				if attemptsLeft--; attemptsLeft == 0 {
					cancel(row.cause)
				}
			})
			_, err := r.Run(ctx, row.job, &recordingSink{})
			if got := describe(err); got != row.want {
				t.Errorf("got %s, want %s", got, row.want)
			}
		})
	}
}

// TestKeyedCallToUnreachableAgent guards against "ran: no" for a keyed call whose time is up while
// its agent can't be reached. It sent nothing, but an earlier call with the same key may have
// reached the agent and run.
func TestKeyedCallToUnreachableAgent(t *testing.T) {
	r, _ := newRunner(t, 0, nil)
	addUnreachableAgent(t, r)
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	onAttemptEnd(r, func() { cancel(context.DeadlineExceeded) })
	_, err := r.Run(ctx, keyedJob(unreachableIncarnation), &recordingSink{})
	if got, want := describe(err), "504 timeout, ran unknown, retry_after"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestKeyedCallBeforeAgentIsKnown guards against "will not be run" from an entry that has just started, of an agent it has yet to hear of.
func TestKeyedCallBeforeAgentIsKnown(t *testing.T) {
	const notKnownYet, final = "503 not_ready, ran unknown, retry_same_key", "409 outcome_unknown, ran unknown, do_not_retry"
	member := fleet.Member{ID: "agent-0", Incarnation: 1, Version: 1, Role: fleet.RoleAgent}
	rows := []struct {
		name string
		// hears is what the entry hears of the agent, after it has run for a time.
		hears func(table *fleet.Table)
		runs  time.Duration
		want  string
	}{
		{"nothing", func(*fleet.Table) {}, 0, notKnownYet},
		{"nothing, for long", func(*fleet.Table) {}, time.Minute, final},
		{"it is dead", func(table *fleet.Table) {
			table.Merge(member, time.Now())
			dead := member
			dead.State = fleet.Dead
			table.Merge(dead, time.Now())
		}, 0, final},
		{"it is dead, from a table that is fetched whole", func(table *fleet.Table) {
			dead := member
			dead.State = fleet.Dead
			table.Learn(dead, time.Now())
		}, 0, final},
		{"it has restarted", func(table *fleet.Table) {
			table.Merge(member, time.Now())
			next := member
			next.Incarnation, next.Version = 2, 2
			table.Merge(next, time.Now())
		}, 0, final},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, _ := newRunner(t, 0, nil)
				row.hears(r.Table)
				time.Sleep(row.runs)
				_, err := r.Run(t.Context(), keyedJob(1), &recordingSink{})
				if got := describe(err); got != row.want {
					t.Errorf("got %s, want %s", got, row.want)
				}
			})
		})
	}
}

// keyedJob returns a call that must not be repeated, with a ticket of an agent incarnation as its
// key.
func keyedJob(incarnation uint64) *Job {
	job := plainJob(http.MethodPost)
	job.Service.NotRepeatable = true
	job.IdempotencyKey = TicketKey(job.Customer, job.Service.ID, idempotency.Ticket{Incarnation: incarnation, Sequence: 1})
	return job
}

// TestResumeKeepsWeightVersion guards against an answer that is resumed with another weight version
// than it began with: after the stream breaks, only endpoints with another version are left.
func TestResumeKeepsWeightVersion(t *testing.T) {
	r, fake := newRunner(t, 2, func(_ int, q *wire.RunRequest) []*wire.RunEvent {
		e := started()
		e.GetStarted().WeightVersion = "v2" // swapped between admission and start
		return []*wire.RunEvent{eventFor(q, e), eventFor(q, tokens(0, "a"))}
	})
	_, err := r.Run(t.Context(), promptJob(), &recordingSink{})
	if err == nil || err.Code != apierror.CodeStreamLost || fake.callCount() != 1 {
		t.Errorf("got error %+v after %d calls, want a lost stream after 1", err, fake.callCount())
	}
}

// TestResumeKeepsSoftwareVersion guards against an answer that another software version goes on with: after the stream
// breaks, only endpoints of another version are left.
func TestResumeKeepsSoftwareVersion(t *testing.T) {
	rows := []struct {
		name  string
		job   *Job
		begin func(q *wire.RunRequest) []*wire.RunEvent
		code  string
	}{
		{"prompt", promptJob(), func(q *wire.RunRequest) []*wire.RunEvent {
			return []*wire.RunEvent{eventFor(q, started()), eventFor(q, tokens(0, "a"))}
		}, apierror.CodeStreamLost},
		{"plain call", plainJob(http.MethodGet), func(q *wire.RunRequest) []*wire.RunEvent {
			return []*wire.RunEvent{
				eventFor(q, &wire.RunEvent{Event: &wire.RunEvent_PlainHead{PlainHead: &wire.PlainHead{Status: http.StatusOK}}}),
				eventFor(q, &wire.RunEvent{Event: &wire.RunEvent_PlainBody{PlainBody: []byte("a")}}),
			}
		}, apierror.CodeStreamLost},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r, fake := newRunner(t, 2, func(_ int, q *wire.RunRequest) []*wire.RunEvent { return row.begin(q) })
			for _, m := range r.Table.Members() {
				if m.Role == fleet.RoleAgent {
					m.Version, m.Endpoint.SoftwareVersion = m.Version+1, "of "+m.ID
					r.Table.Merge(m, time.Now())
				}
			}
			_, err := r.Run(t.Context(), row.job, &recordingSink{})
			if err == nil || err.Code != row.code || fake.callCount() != 1 {
				t.Errorf("got error %+v after %d calls, want %s after 1", err, fake.callCount(), row.code)
			}
		})
	}
}

// TestReplacedEngineDoesNotGoOn guards against an answer that an engine goes on with that was replaced by one of another
// software version behind the same agent, before the agent has read its status.
func TestReplacedEngineDoesNotGoOn(t *testing.T) {
	r, fake := newRunner(t, 2, func(n int, q *wire.RunRequest) []*wire.RunEvent {
		begin := started()
		if n == 1 {
			return []*wire.RunEvent{eventFor(q, begin), eventFor(q, tokens(0, "a"))}
		}
		begin.GetStarted().SoftwareVersion = "new"
		return []*wire.RunEvent{eventFor(q, begin), eventFor(q, tokens(1, "b")), eventFor(q, finished(2))}
	})
	sink := &recordingSink{}
	_, err := r.Run(t.Context(), promptJob(), sink)
	if err == nil || err.Code != apierror.CodeStreamLost || strings.Join(sink.tokens, "") != "a" || fake.callCount() != 2 {
		t.Errorf("got %q and error %+v after %d calls, want a lost stream after a", sink.tokens, err, fake.callCount())
	}
}

// TestLateFirstTokenIsHedged guards against a caller that waits for an endpoint that stays silent.
// The caller must get the whole answer from a second endpoint, once, and the silent attempt must be
// canceled. Without a budget, or for a plain call, there is no second attempt.
//
// The second endpoint answers only when the silent one has been reached: an attempt that is
// canceled while it still connects reaches no agent.
func TestLateFirstTokenIsHedged(t *testing.T) {
	arrived := make(chan struct{})
	whole := func(_ int, r *wire.RunRequest) []*wire.RunEvent {
		<-arrived
		return []*wire.RunEvent{eventFor(r, started()), eventFor(r, tokens(0, "a", "b")), eventFor(r, finished(2))}
	}
	r, fake := newRunner(t, 2, whole)
	r.HedgeAfter = time.Millisecond
	fake.silentAttempt, fake.arrived, fake.ended = 1, arrived, make(chan uint32, 1)
	sink := &recordingSink{}
	result, err := r.Run(t.Context(), promptJob(), sink)
	if err != nil || strings.Join(sink.tokens, "") != "ab" || result.Attempts != 2 {
		t.Errorf("got %q, %+v, error %v; want ab after 2 attempts", sink.tokens, result, err)
	}
	if n := <-fake.ended; n != 1 {
		t.Errorf("attempt %d was canceled, want 1", n)
	}

	r.Budget = NewRetryBudget(0, 0)
	job, p := promptJob(), &progress{}
	rd := &round{job: job, request: r.newRoutingRequest(job, nil), number: 1, p: p}
	choice := r.Directory.Choose("s", nil, rd.request)
	first := p.startRound(r, job, choice, 1, nil)
	if second := r.newHedge(rd, first); second != nil {
		t.Error("got a second attempt without a budget")
	}
	second := p.addHedge(first, choice, 2)
	if !p.claim(second) || p.claim(first) || !p.claim(second) {
		t.Error("the round has no owner, or more than one")
	}
	if p.addHedge(first, choice, 3) != nil {
		t.Error("got a second attempt after the answer has begun")
	}
	plain := &round{job: &Job{Plain: &wire.PlainCall{}}}
	if timer := r.hedgeTimer(plain, choice); !timer.Reset(time.Hour) {
		t.Error("the hedge timer of a plain call has fired")
	}
}

// TestHedgeLoserIsNotCountedAsSuccess guards against an endpoint that hangs and stays in use, because
// each attempt at it that was canceled counts as a success.
func TestHedgeLoserIsNotCountedAsSuccess(t *testing.T) {
	stopped := map[string]func(*Runner, *round, *attempt){
		"the other attempt was faster": func(r *Runner, _ *round, a *attempt) { r.reportToDirectory(a, hedgeLostOutcome()) },
		"the first attempt was faster before the second began": func(r *Runner, rd *round, a *attempt) {
			r.Directory.Release(a.choice)
			first := &attempt{runner: r, job: rd.job, progress: rd.p, choice: routing.Choice{Member: fleet.Member{ID: "other"}}}
			rd.p.owner = first
			if r.newHedge(rd, first) != nil {
				t.Error("got a second attempt after the answer has begun")
			}
		},
	}
	for name, stop := range stopped {
		t.Run(name, func(t *testing.T) {
			r, rd, first := newRound(t, 2)
			hanging := first.choice.Member.ID
			for _, m := range r.Table.Members() {
				if m.ID != hanging {
					rd.request.Exclude = append(rd.request.Exclude, m.ID)
				}
			}
			for n := range 4 {
				if n > 0 {
					first = rd.p.startRound(r, rd.job, r.Directory.Choose("s", nil, rd.request), 1, nil)
				}
				if n == 2 {
					stop(r, rd, first)
					continue
				}
				r.reportToDirectory(first, &outcome{endpointFailed: true})
			}
			rd.request.Exclude = nil
			for range 20 {
				if choice := r.Directory.Choose("s", nil, rd.request); choice.Member.ID == hanging {
					t.Fatal("the hanging endpoint is chosen after three failures")
				}
			}
		})
	}
}

// TestRetryExcludesBothFailedEndpoints guards against a retry at one of the two endpoints whose
// attempts have failed in the same round.
func TestRetryExcludesBothFailedEndpoints(t *testing.T) {
	var mu sync.Mutex
	var tried []uint64
	both := make(chan struct{})
	r, _ := newRunner(t, 3, func(n int, q *wire.RunRequest) []*wire.RunEvent {
		mu.Lock()
		tried = append(tried, q.GetWantIncarnation())
		mu.Unlock()
		switch n {
		case 1:
			<-both
			return nil
		case 2:
			close(both)
			return nil
		}
		return []*wire.RunEvent{eventFor(q, started()), eventFor(q, tokens(0, "a")), eventFor(q, finished(1))}
	})
	r.HedgeAfter, r.Budget = time.Millisecond, NewRetryBudget(1, 100)
	if _, err := r.Run(t.Context(), promptJob(), &recordingSink{}); err != nil {
		t.Error(err)
	}
	slices.Sort(tried)
	if !slices.Equal(tried, []uint64{1, 2, 3}) {
		t.Errorf("tried incarnations %v, want [1 2 3]", tried)
	}
}

// TestHedgedAnswersAreNotMixed guards against an answer with tokens of both attempts of a round, when
// both answer at about the same time.
func TestHedgedAnswersAreNotMixed(t *testing.T) {
	r, _ := newRunner(t, 3, func(n int, r *wire.RunRequest) []*wire.RunEvent {
		time.Sleep(time.Duration(n%3) * time.Millisecond)
		mine := fmt.Sprint(r.GetAttempt())
		return []*wire.RunEvent{eventFor(r, started()), eventFor(r, tokens(0, mine)), eventFor(r, tokens(1, mine)), eventFor(r, tokens(2, mine)), eventFor(r, finished(3))}
	})
	r.HedgeAfter, r.Budget = time.Microsecond, NewRetryBudget(1, 1000)
	for range 200 {
		sink := &recordingSink{}
		if _, err := r.Run(t.Context(), promptJob(), sink); err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(sink.tokens, ""); got != "111" && got != "222" {
			t.Fatalf("two answers were mixed: %q", got)
		}
	}
}

// TestOnlyIdempotentMethodsAreRepeated guards against a POST that is run twice. After the stream of a
// call broke, a GET is sent to another endpoint. A POST is not, though its service is not marked as
// NotRepeatable, and its caller learns that the outcome is unknown. A POST that provably did not run
// is sent to another endpoint.
func TestOnlyIdempotentMethodsAreRepeated(t *testing.T) {
	rows := []struct {
		method string
		events func(r *wire.RunRequest) []*wire.RunEvent
		calls  int
	}{
		{http.MethodGet, func(*wire.RunRequest) []*wire.RunEvent { return nil }, 3},
		{http.MethodPut, func(*wire.RunRequest) []*wire.RunEvent { return nil }, 3},
		{http.MethodPost, func(*wire.RunRequest) []*wire.RunEvent { return nil }, 1},
		{http.MethodPatch, func(*wire.RunRequest) []*wire.RunEvent { return nil }, 1},
		{http.MethodPost, func(r *wire.RunRequest) []*wire.RunEvent {
			return []*wire.RunEvent{eventFor(r, refused("endpoint_not_reached", wire.Ran_RAN_NO))}
		}, 3},
	}
	for _, row := range rows {
		r, fake := newRunner(t, 3, func(_ int, q *wire.RunRequest) []*wire.RunEvent { return row.events(q) })
		job := promptJob()
		job.Prompt, job.Plain = nil, &wire.PlainCall{Method: row.method, Path: "/"}
		job.Service.Kind = config.ServicePlain
		if _, err := r.Run(t.Context(), job, &recordingSink{}); err == nil || fake.callCount() != row.calls {
			t.Errorf("%s: got %d calls, want %d; error %v", row.method, fake.callCount(), row.calls, err)
		}
	}
}

// TestRetryAfterHeadWithoutBody guards against the error "the answer broke off" for an answer of which
// the caller has no byte of the body yet.
func TestRetryAfterHeadWithoutBody(t *testing.T) {
	head := func(status int32) *wire.RunEvent {
		return &wire.RunEvent{Event: &wire.RunEvent_PlainHead{PlainHead: &wire.PlainHead{Status: status}}}
	}
	body := func(data string) *wire.RunEvent {
		return &wire.RunEvent{Event: &wire.RunEvent_PlainBody{PlainBody: []byte(data)}}
	}
	rows := []struct {
		name   string
		method string
		// firstAnswer holds the events that arrive of the first answer.
		firstAnswer []*wire.RunEvent
		calls       int
		whole       bool
		status      int32
	}{
		{"head", http.MethodGet, []*wire.RunEvent{head(200)}, 2, true, 201},
		{"head, may not be repeated", http.MethodPost, []*wire.RunEvent{head(200)}, 1, false, 200},
		{"part of the body", http.MethodGet, []*wire.RunEvent{head(200), body("wh")}, 1, false, 200},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r, fake := newRunner(t, 2, func(n int, q *wire.RunRequest) []*wire.RunEvent {
				events := row.firstAnswer
				if n > 1 {
					events = []*wire.RunEvent{head(201), body("whole"), finished(0)}
				}
				for _, e := range events {
					eventFor(q, e)
				}
				return events
			})
			job := promptJob()
			job.Prompt, job.Plain = nil, &wire.PlainCall{Method: row.method, Path: "/"}
			job.Service.Kind = config.ServicePlain
			sink := &recordingSink{}
			_, err := r.Run(t.Context(), job, sink)
			if (err == nil) != row.whole || fake.callCount() != row.calls || sink.status != row.status {
				t.Errorf("got %d calls, status %d, error %v", fake.callCount(), sink.status, err)
			}
			if row.whole && sink.body != "whole" {
				t.Errorf("%q", sink.body)
			}
		})
	}
}

func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(0.1, 2)
	spent := 0
	for range 100 {
		b.Earn()
		for b.Spend() {
			spent++
		}
	}
	if spent < 10 || spent > 12 {
		t.Errorf("got %d retries for 100 requests, want 10 to 12", spent)
	}
}

// TestBudgetIsSpentOnlyOnRetriesMade guards against a budget that is spent though no retry is made,
// because no other endpoint is left or the first attempt has answered meanwhile.
//
// All services share the budget: if it is spent before an endpoint is chosen, a service whose only
// endpoint fails drains it without a retry, and callers of other services get errors that a retry
// could have avoided.
func TestBudgetIsSpentOnlyOnRetriesMade(t *testing.T) {
	broken := func(int, *wire.RunRequest) []*wire.RunEvent { return nil }
	t.Run("no other endpoint for a retry", func(t *testing.T) {
		r, _ := newRunner(t, 1, broken)
		r.Budget = NewRetryBudget(0, 1)
		if _, err := r.Run(t.Context(), promptJob(), &recordingSink{}); err == nil || err.Code != "stream_broke" {
			t.Errorf("got %s, want stream_broke", describe(err))
		}
		checkOneRetryLeft(t, r)
	})
	t.Run("no other endpoint for a second attempt", func(t *testing.T) {
		r, rd, first := newRound(t, 1)
		r.Budget = NewRetryBudget(0, 1)
		if r.newHedge(rd, first) != nil {
			t.Error("got a second attempt without another endpoint")
		}
		checkOneRetryLeft(t, r)
	})
	t.Run("the first attempt has answered meanwhile", func(t *testing.T) {
		r, rd, first := newRound(t, 2)
		r.Budget = NewRetryBudget(0, 1)
		rd.p.claim(first)
		if r.newHedge(rd, first) != nil {
			t.Error("got a second attempt after the answer has begun")
		}
		checkOneRetryLeft(t, r)
	})
}

// TestChoiceIsReleasedWithoutBudget guards against a choice that stays counted as a run when the
// budget is used up and the request is not sent. The endpoint would look busier with each such
// request, though it gets none, and routing would avoid it in the end.
func TestChoiceIsReleasedWithoutBudget(t *testing.T) {
	t.Run("a retry", func(t *testing.T) {
		r, fake := newRunner(t, 2, func(int, *wire.RunRequest) []*wire.RunEvent { return nil })
		r.Budget = NewRetryBudget(0, 0)
		if _, err := r.Run(t.Context(), promptJob(), &recordingSink{}); err == nil || fake.callCount() != 1 {
			t.Errorf("got %s after %d calls, want an error after 1", describe(err), fake.callCount())
		}
		if work := r.Directory.OwnWork(); len(work) != 0 {
			t.Errorf("still counted as in flight: %+v", work)
		}
	})
	t.Run("a second attempt", func(t *testing.T) {
		r, rd, first := newRound(t, 2)
		r.Budget = NewRetryBudget(0, 0)
		if r.newHedge(rd, first) != nil {
			t.Error("got a second attempt without a budget")
		}
		r.Directory.Release(first.choice)
		if work := r.Directory.OwnWork(); len(work) != 0 {
			t.Errorf("still counted as in flight: %+v", work)
		}
	})
}

// newRound returns a round whose first attempt has received no event yet.
func newRound(t *testing.T, agents int) (*Runner, *round, *attempt) {
	t.Helper()
	r, _ := newRunner(t, agents, nil)
	job, p := promptJob(), &progress{}
	rd := &round{job: job, request: r.newRoutingRequest(job, nil), number: 1, p: p}
	rd.request.Now = time.Now()
	choice := r.Directory.Choose("s", nil, rd.request)
	return r, rd, p.startRound(r, job, choice, 1, nil)
}

// checkOneRetryLeft checks that the one retry of a budget was not spent.
func checkOneRetryLeft(t *testing.T, r *Runner) {
	t.Helper()
	if !r.Budget.Spend() {
		t.Error("the budget was spent although no retry was made")
	}
}

func TestTicketKeys(t *testing.T) {
	mine := &config.Customer{ID: "a", Salt: []byte("a")}
	ticket := idempotency.Ticket{Incarnation: 1 << 60, Sequence: 7}
	key := TicketKey(mine, "s", ticket)
	if got, ok := ParseTicketKey(mine, "s", key); !ok || got != ticket {
		t.Errorf("got %v, %v; want the ticket that the key encodes", got, ok)
	}
	if _, ok := ParseTicketKey(&config.Customer{ID: "b", Salt: []byte("b")}, "s", key); ok {
		t.Error("another customer's ticket is accepted")
	}
	if _, ok := ParseTicketKey(mine, "t", key); ok {
		t.Error("another service's ticket is accepted")
	}
}

func FuzzParseTicketKey(f *testing.F) {
	c := &config.Customer{Salt: []byte("salt")}
	f.Add(TicketKey(c, "s", idempotency.Ticket{Incarnation: 1, Sequence: 2}))
	f.Fuzz(func(t *testing.T, key string) {
		if ticket, ok := ParseTicketKey(c, "s", key); ok && !strings.EqualFold(TicketKey(c, "s", ticket), key) {
			t.Errorf("key %q is accepted for %v", key, ticket)
		}
	})
}
