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
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/coordination/claims"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/rpc"
)

// fakeAgent answers runs with scripted events.
type fakeAgent struct {
	wire.UnimplementedAgentServer
	mu    sync.Mutex
	calls int
	// script returns the events of the n-th call, counted from 1.
	script func(n int, r *wire.RunRequest) []*wire.RunEvent
	// silent is the attempt that says nothing until its caller leaves, which ended
	// then receives; arrived is closed when it has reached the agent.
	silent  uint32
	arrived chan struct{}
	ended   chan uint32
}

func (f *fakeAgent) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeAgent) Run(r *wire.RunRequest, s wire.Agent_RunServer) error {
	f.mu.Lock()
	f.calls++
	n := f.calls
	f.mu.Unlock()
	if f.silent != 0 && f.silent == r.GetAttempt() {
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
	return nil
}

// collect is a sink that keeps what it is given.
type collect struct {
	tokens []string
	body   string
	status int32
}

func (c *collect) Started(string, int, int) error { return nil }
func (c *collect) Tokens(t []string) error        { c.tokens = append(c.tokens, t...); return nil }
func (c *collect) Head(h *wire.PlainHead) error   { c.status = h.GetStatus(); return nil }
func (c *collect) Body(b []byte) error            { c.body += string(b); return nil }

// event builds an event of a request's own attempt.
func event(r *wire.RunRequest, e *wire.RunEvent) *wire.RunEvent {
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

// runner returns a runner before some fake agents that share a script.
func runner(t *testing.T, agents int, script func(n int, r *wire.RunRequest) []*wire.RunEvent) (*Runner, *fakeAgent) {
	fake := &fakeAgent{script: script}
	now := time.Now()
	table := fleet.NewTable(fleet.DefaultConfig(), fleet.Member{ID: "entry", Role: fleet.RoleEntry}, now)
	for i := range agents {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := rpc.NewServer(nil)
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

// TestEachCallerGetsItsOwnWholeAnswer feeds a caller's stream with what a
// confused network or agent could send.
//
// The caller sees a, b, c, d once and in order, or an error; never another
// request's tokens, those of an earlier attempt, a repeated or missing one.
func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	whole := func(r *wire.RunRequest) []*wire.RunEvent {
		rest := []string{"a", "b", "c", "d"}[len(r.GetPrompt().GetResumeTokens()):]
		return []*wire.RunEvent{event(r, started()), event(r, tokens(4-len(rest), rest...)), event(r, finished(4))}
	}
	other := func(e *wire.RunEvent) *wire.RunEvent { e.RequestId, e.Attempt = "other", 1; return e }
	late := func(r *wire.RunRequest, e *wire.RunEvent) *wire.RunEvent {
		e.RequestId, e.Attempt = r.GetRequestId(), r.GetAttempt()-1
		return e
	}
	rows := []struct {
		name   string
		script func(n int, r *wire.RunRequest) []*wire.RunEvent
		calls  int
	}{
		{"in order", func(_ int, r *wire.RunRequest) []*wire.RunEvent { return whole(r) }, 1},
		{"another request's tokens between", func(_ int, r *wire.RunRequest) []*wire.RunEvent {
			return append([]*wire.RunEvent{other(tokens(0, "X")), other(finished(1))}, whole(r)...)
		}, 1},
		{"an earlier attempt's tokens between", func(_ int, r *wire.RunRequest) []*wire.RunEvent {
			return append([]*wire.RunEvent{late(r, tokens(0, "X")), late(r, finished(1))}, whole(r)...)
		}, 1},
		{"the stream ends early", func(n int, r *wire.RunRequest) []*wire.RunEvent {
			if n == 1 {
				return []*wire.RunEvent{event(r, started()), event(r, tokens(0, "a", "b"))}
			}
			return whole(r)
		}, 2},
		{"tokens are missing in the middle", func(n int, r *wire.RunRequest) []*wire.RunEvent {
			if n == 1 {
				return []*wire.RunEvent{event(r, started()), event(r, tokens(0, "a")), event(r, tokens(2, "c", "d")), event(r, finished(4))}
			}
			return whole(r)
		}, 2},
		{"the end comes before all tokens", func(n int, r *wire.RunRequest) []*wire.RunEvent {
			if n == 1 {
				return []*wire.RunEvent{event(r, started()), event(r, tokens(0, "a")), event(r, finished(4))}
			}
			return whole(r)
		}, 2},
		{"the endpoint is busy, another is not", func(n int, r *wire.RunRequest) []*wire.RunEvent {
			if n == 1 {
				return []*wire.RunEvent{event(r, refused("endpoint_busy", wire.Ran_RAN_NO))}
			}
			return whole(r)
		}, 2},
		{"the weights were swapped before it arrived", func(n int, r *wire.RunRequest) []*wire.RunEvent {
			if n == 1 {
				return []*wire.RunEvent{event(r, refused("weight_version_changed", wire.Ran_RAN_NO))}
			}
			return whole(r)
		}, 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r, fake := runner(t, 3, row.script)
			sink := &collect{}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := r.Run(ctx, promptJob(), sink)
			if err != nil || strings.Join(sink.tokens, "") != "abcd" || fake.count() != row.calls {
				t.Errorf("got %q after %d calls, %v", sink.tokens, fake.count(), err)
			}
		})
	}
}

// TestFinalAnswersComeAtOnce lets every attempt fail.
//
// The caller gets one final answer, with the truth about execution and when to
// come back; the entry does not hold it until the deadline.
func TestFinalAnswersComeAtOnce(t *testing.T) {
	rows := []struct {
		name   string
		events func(r *wire.RunRequest) []*wire.RunEvent
		status int
		ran    apierror.Ran
		code   string
	}{
		{"all busy", func(r *wire.RunRequest) []*wire.RunEvent {
			return []*wire.RunEvent{event(r, refused("endpoint_busy", wire.Ran_RAN_NO))}
		}, http.StatusServiceUnavailable, apierror.RanNo, "endpoint_busy"},
		{"all broken before the first token", func(*wire.RunRequest) []*wire.RunEvent { return nil },
			http.StatusBadGateway, apierror.RanUnknown, "stream_broke"},
		{"all broken after the first token", func(r *wire.RunRequest) []*wire.RunEvent {
			return []*wire.RunEvent{event(r, started())}
		}, http.StatusBadGateway, apierror.RanYes, apierror.CodeStreamLost},
	}
	for _, row := range rows {
		r, _ := runner(t, 2, func(_ int, q *wire.RunRequest) []*wire.RunEvent { return row.events(q) })
		_, err := r.Run(t.Context(), promptJob(), &collect{})
		if err == nil || err.Status != row.status || err.Ran != row.ran || err.Code != row.code || err.Retry.AfterMS <= 0 {
			t.Errorf("%s: %+v", row.name, err)
		}
	}
	r, _ := runner(t, 0, nil)
	if _, err := r.Run(t.Context(), promptJob(), &collect{}); err == nil || err.Code != apierror.CodeNoEndpoint || err.Ran != apierror.RanNo {
		t.Errorf("no endpoint: %+v", err)
	}
}

const closedIncarnation = 9

// addClosed adds an agent at an address that nobody listens on.
func addClosed(t *testing.T, r *Runner) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return
	}
	listener.Close()
	r.Table.Merge(fleet.Member{
		ID: "closed", Incarnation: closedIncarnation, Version: 1, Address: listener.Addr().String(), Role: fleet.RoleAgent,
		Endpoint: fleet.Endpoint{ID: "closed", Labels: map[string]string{"pool": "x"}, Model: "m", WeightVersion: "v1"},
	}, time.Now())
}

func plainJob(method string) *Job {
	job := promptJob()
	job.Prompt, job.Plain = nil, &wire.PlainCall{Method: method, Path: "/"}
	job.Service.Kind = config.ServicePlain
	return job
}

// TestNotRunSpeaksForAllAttempts loses the answer of a request at one endpoint and has the
// next one not run it.
//
// The caller must not be told "ran: no" with 503: the first endpoint may have run it, and
// only the attempt after it provably did not, as it was refused or reached nobody.
func TestNotRunSpeaksForAllAttempts(t *testing.T) {
	refusedAfterLoss := func(n int, q *wire.RunRequest) []*wire.RunEvent {
		if n == 1 {
			return nil
		}
		return []*wire.RunEvent{event(q, refused("endpoint_busy", wire.Ran_RAN_NO))}
	}
	t.Run("a prompt is refused", func(t *testing.T) {
		r, fake := runner(t, 2, refusedAfterLoss)
		checkRanUnknown(t, r, fake, promptJob(), 2)
	})
	t.Run("a GET is refused", func(t *testing.T) {
		r, fake := runner(t, 2, refusedAfterLoss)
		checkRanUnknown(t, r, fake, plainJob(http.MethodGet), 2)
	})
	t.Run("two are refused", func(t *testing.T) {
		r, fake := runner(t, 3, refusedAfterLoss)
		checkRanUnknown(t, r, fake, promptJob(), 3)
	})
	t.Run("the budget is used up after a refusal", func(t *testing.T) {
		r, fake := runner(t, 3, refusedAfterLoss)
		r.Budget = NewRetryBudget(0, 1)
		checkRanUnknown(t, r, fake, promptJob(), 2)
	})
	t.Run("the other is not reached", func(t *testing.T) {
		var r *Runner
		r, fake := runner(t, 1, func(int, *wire.RunRequest) []*wire.RunEvent {
			// Only now is there another endpoint, so that it is the second that is chosen.
			addClosed(t, r)
			return nil
		})
		checkRanUnknown(t, r, fake, promptJob(), 1)
	})
}

// TestNotRunSpeaksForBothOfARound loses the answer of an attempt whose first token is late,
// and has the second attempt beside it refused.
//
// The caller must not be told "ran: no" with 503: the refusal comes last and counts, but the
// first endpoint may have run the prompt.
func TestNotRunSpeaksForBothOfARound(t *testing.T) {
	second, firstEnded := make(chan struct{}), make(chan struct{})
	r, fake := runner(t, 2, func(n int, q *wire.RunRequest) []*wire.RunEvent {
		switch n {
		case 1:
			<-second
			return nil
		case 2:
			close(second)
			<-firstEnded
		}
		return []*wire.RunEvent{event(q, refused("endpoint_busy", wire.Ran_RAN_NO))}
	})
	r.HedgeAfter = time.Millisecond
	var once sync.Once
	onAttemptEnd(r, func() { once.Do(func() { close(firstEnded) }) })
	checkRanUnknown(t, r, fake, promptJob(), 2)
}

// onAttemptEnd calls back at the log line of each attempt's end, when its outcome is decided.
func onAttemptEnd(r *Runner, callback func()) {
	core, _ := observer.New(zap.InfoLevel)
	r.Zap = zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
		if e.Message == "attempt" {
			callback()
		}
		return nil
	}))
}

// told is what a caller reads of an error.
func told(err *apierror.Error) string {
	if err == nil {
		return "nothing"
	}
	return fmt.Sprintf("%d %s, ran %s, %s", err.Status, err.Code, err.Ran, err.Retry.Advice)
}

// checkRanUnknown runs a job that fails and may have run.
func checkRanUnknown(t *testing.T, r *Runner, fake *fakeAgent, job *Job, calls int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := r.Run(ctx, job, &collect{})
	if err == nil || err.Ran != apierror.RanUnknown || err.Status != http.StatusBadGateway {
		t.Errorf("the caller is told %s; want 502, ran unknown", told(err))
	}
	if fake.count() != calls {
		t.Errorf("%d runs arrived, want %d", fake.count(), calls)
	}
}

// TestRefusalGoesBeforeTheContextsEnd ends a request's context just after an endpoint's word
// has arrived, and before the runner goes on.
//
// The caller must read that word. "The time is up, ran: unknown" in its place has it doubt a
// request that provably did not run, or repeat one that can never be answered. Only a word
// that is not certain, or one that comes to a caller that left, gives way.
func TestRefusalGoesBeforeTheContextsEnd(t *testing.T) {
	rows := []struct {
		name  string
		job   *Job
		lost  bool // the first answer, before another endpoint refuses
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
			r, _ := runner(t, 2, func(n int, q *wire.RunRequest) []*wire.RunEvent {
				if row.lost && n == 1 {
					return nil
				}
				return []*wire.RunEvent{event(q, refused(row.code, row.ran))}
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			left := 1
			if row.lost {
				left = 2
			}
			onAttemptEnd(r, func() {
				if left--; left == 0 {
					cancel(row.cause)
				}
			})
			_, err := r.Run(ctx, row.job, &collect{})
			if got := told(err); got != row.want {
				t.Errorf("the caller is told %s; want %s", got, row.want)
			}
		})
	}
}

// TestKeyedCallThatReachesNobody ends the time of a call whose agent can't be reached.
//
// Nothing was sent, but the caller must not be told "ran: no": an earlier call with the same
// key may have reached the agent and run.
func TestKeyedCallThatReachesNobody(t *testing.T) {
	r, _ := runner(t, 0, nil)
	addClosed(t, r)
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	onAttemptEnd(r, func() { cancel(context.DeadlineExceeded) })
	_, err := r.Run(ctx, keyedJob(closedIncarnation), &collect{})
	if got, want := told(err), "504 timeout, ran unknown, retry_after"; got != want {
		t.Errorf("the caller is told %s; want %s", got, want)
	}
}

// keyedJob is a call that may not be repeated, with a ticket of an agent as key.
func keyedJob(incarnation uint64) *Job {
	job := plainJob(http.MethodPost)
	job.Service.NotRepeatable = true
	job.IdempotencyKey = TicketKey(job.Customer, job.Service.ID, claims.Ticket{Incarnation: incarnation, Sequence: 1})
	return job
}

// TestResumeKeepsItsVersion breaks a stream and leaves only another weight
// version: the answer is not continued by it.
func TestResumeKeepsItsVersion(t *testing.T) {
	r, fake := runner(t, 2, func(_ int, q *wire.RunRequest) []*wire.RunEvent {
		e := started()
		e.GetStarted().WeightVersion = "v2" // swapped between admission and start
		return []*wire.RunEvent{event(q, e), event(q, tokens(0, "a"))}
	})
	_, err := r.Run(t.Context(), promptJob(), &collect{})
	if err == nil || err.Code != apierror.CodeStreamLost || fake.count() != 1 {
		t.Errorf("%+v after %d calls", err, fake.count())
	}
}

// TestLateFirstTokenIsHedged makes the first endpoint silent.
//
// The caller gets the whole answer from the second endpoint, once; the silent
// attempt is ended. Without budget, or for a plain call, there is no
// second attempt. The second endpoint answers only when the silent one has been
// reached: an attempt that is overtaken while it still connects reaches nobody.
func TestLateFirstTokenIsHedged(t *testing.T) {
	arrived := make(chan struct{})
	whole := func(_ int, r *wire.RunRequest) []*wire.RunEvent {
		<-arrived
		return []*wire.RunEvent{event(r, started()), event(r, tokens(0, "a", "b")), event(r, finished(2))}
	}
	r, fake := runner(t, 2, whole)
	r.HedgeAfter = time.Millisecond
	fake.silent, fake.arrived, fake.ended = 1, arrived, make(chan uint32, 1)
	sink := &collect{}
	result, err := r.Run(t.Context(), promptJob(), sink)
	if err != nil || strings.Join(sink.tokens, "") != "ab" || result.Attempts != 2 {
		t.Errorf("%q %+v %v", sink.tokens, result, err)
	}
	if n := <-fake.ended; n != 1 {
		t.Errorf("attempt %d was ended", n)
	}

	r.Budget = NewRetryBudget(0, 0)
	job, p := promptJob(), &progress{}
	in := &round{job: job, request: r.routingRequest(job, nil), number: 1, p: p}
	choice := r.Directory.Choose("s", nil, in.request)
	first := p.newAttempt(r, job, choice, 1, nil)
	if second := r.hedge(in, first); second != nil {
		t.Error("a second attempt without a budget")
	}
	second := p.addAttempt(first, choice, 2)
	if !p.claim(second) || p.claim(first) || !p.claim(second) {
		t.Error("two attempts own one round")
	}
	if p.addAttempt(first, choice, 3) != nil {
		t.Error("a second attempt after the first token")
	}
	plain := &round{job: &Job{Plain: &wire.PlainCall{}}}
	if late := r.lateTimer(plain, choice); !late.Reset(time.Hour) {
		t.Error("a plain call has a second attempt due")
	}
}

// TestStoppedAttemptsSayNothing guards against an endpoint that hangs and stays in use, as each attempt at it that was
// stopped counts as a success.
func TestStoppedAttemptsSayNothing(t *testing.T) {
	stopped := map[string]func(*Runner, *round, *attempt){
		"the other attempt was sooner": func(r *Runner, _ *round, a *attempt) { r.judge(a, hedgeLost()) },
		"the first attempt was sooner before it began": func(r *Runner, in *round, a *attempt) {
			r.Directory.Release(a.choice)
			first := &attempt{runner: r, job: in.job, progress: in.p, choice: routing.Choice{Member: fleet.Member{ID: "other"}}}
			in.p.owner = first
			if r.hedge(in, first) != nil {
				t.Error("a second attempt after the first token")
			}
		},
	}
	for name, stop := range stopped {
		t.Run(name, func(t *testing.T) {
			r, in, first := lateRound(t, 2)
			hanging := first.choice.Member.ID
			for _, m := range r.Table.Members() {
				if m.ID != hanging {
					in.request.Exclude = append(in.request.Exclude, m.ID)
				}
			}
			for n := range 4 {
				if n > 0 {
					first = in.p.newAttempt(r, in.job, r.Directory.Choose("s", nil, in.request), 1, nil)
				}
				if n == 2 {
					stop(r, in, first)
					continue
				}
				r.judge(first, &outcome{failed: true})
			}
			in.request.Exclude = nil
			for range 20 {
				if choice := r.Directory.Choose("s", nil, in.request); choice.Member.ID == hanging {
					t.Fatal("it is used after three failures")
				}
			}
		})
	}
}

// TestFailedRoundGoesElsewhere guards against a retry at an endpoint that has just failed beside another.
func TestFailedRoundGoesElsewhere(t *testing.T) {
	var mu sync.Mutex
	var tried []uint64
	both := make(chan struct{})
	r, _ := runner(t, 3, func(n int, q *wire.RunRequest) []*wire.RunEvent {
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
		return []*wire.RunEvent{event(q, started()), event(q, tokens(0, "a")), event(q, finished(1))}
	})
	r.HedgeAfter, r.Budget = time.Millisecond, NewRetryBudget(1, 100)
	if _, err := r.Run(t.Context(), promptJob(), &collect{}); err != nil {
		t.Error(err)
	}
	slices.Sort(tried)
	if !slices.Equal(tried, []uint64{1, 2, 3}) {
		t.Errorf("tried %v", tried)
	}
}

// TestHedgesDoNotMix lets both attempts of many runs answer at about the same time.
func TestHedgesDoNotMix(t *testing.T) {
	r, _ := runner(t, 3, func(n int, r *wire.RunRequest) []*wire.RunEvent {
		time.Sleep(time.Duration(n%3) * time.Millisecond)
		mine := fmt.Sprint(r.GetAttempt())
		return []*wire.RunEvent{event(r, started()), event(r, tokens(0, mine)), event(r, tokens(1, mine)), event(r, tokens(2, mine)), event(r, finished(3))}
	})
	r.HedgeAfter, r.Budget = time.Microsecond, NewRetryBudget(1, 1000)
	for range 200 {
		sink := &collect{}
		if _, err := r.Run(t.Context(), promptJob(), sink); err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(sink.tokens, ""); got != "111" && got != "222" {
			t.Fatalf("two answers were mixed: %q", got)
		}
	}
}

// TestOnlyIdempotentMethodsAreRepeated breaks a plain call that may have run.
//
// A GET is sent to another endpoint; a POST is not, though its service is not
// marked, and its caller learns that the outcome is unknown. A POST that provably
// did not run may go elsewhere.
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
			return []*wire.RunEvent{event(r, refused("endpoint_not_reached", wire.Ran_RAN_NO))}
		}, 3},
	}
	for _, row := range rows {
		r, fake := runner(t, 3, func(_ int, q *wire.RunRequest) []*wire.RunEvent { return row.events(q) })
		job := promptJob()
		job.Prompt, job.Plain = nil, &wire.PlainCall{Method: row.method, Path: "/"}
		job.Service.Kind = config.ServicePlain
		if _, err := r.Run(t.Context(), job, &collect{}); err == nil || fake.count() != row.calls {
			t.Errorf("%s: %d calls, want %d, %v", row.method, fake.count(), row.calls, err)
		}
	}
}

// TestHeadWithoutBodyIsRepeated guards against "the answer broke off" where the caller has no byte of it yet.
func TestHeadWithoutBodyIsRepeated(t *testing.T) {
	head := func(status int32) *wire.RunEvent {
		return &wire.RunEvent{Event: &wire.RunEvent_PlainHead{PlainHead: &wire.PlainHead{Status: status}}}
	}
	body := func(data string) *wire.RunEvent {
		return &wire.RunEvent{Event: &wire.RunEvent_PlainBody{PlainBody: []byte(data)}}
	}
	rows := []struct {
		name   string
		method string
		// begun is what came of the first answer.
		begun  []*wire.RunEvent
		calls  int
		whole  bool
		status int32
	}{
		{"head", http.MethodGet, []*wire.RunEvent{head(200)}, 2, true, 201},
		{"head, may not be repeated", http.MethodPost, []*wire.RunEvent{head(200)}, 1, false, 200},
		{"part of the body", http.MethodGet, []*wire.RunEvent{head(200), body("wh")}, 1, false, 200},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r, fake := runner(t, 2, func(n int, q *wire.RunRequest) []*wire.RunEvent {
				events := row.begun
				if n > 1 {
					events = []*wire.RunEvent{head(201), body("whole"), finished(0)}
				}
				for _, e := range events {
					event(q, e)
				}
				return events
			})
			job := promptJob()
			job.Prompt, job.Plain = nil, &wire.PlainCall{Method: row.method, Path: "/"}
			job.Service.Kind = config.ServicePlain
			sink := &collect{}
			_, err := r.Run(t.Context(), job, sink)
			if (err == nil) != row.whole || fake.count() != row.calls || sink.status != row.status {
				t.Errorf("%d calls, status %d, %v", fake.count(), sink.status, err)
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
		t.Errorf("%d retries for 100 requests", spent)
	}
}

// TestBudgetPaysOnlyForRetriesMade has a request fail where no other endpoint is left.
//
// The budget is shared by all services: if it is spent before an endpoint is looked for, a
// service whose only endpoint fails drains it without a retry, and callers of the others get
// errors that a retry would have saved them from.
func TestBudgetPaysOnlyForRetriesMade(t *testing.T) {
	broken := func(int, *wire.RunRequest) []*wire.RunEvent { return nil }
	t.Run("no other endpoint for a retry", func(t *testing.T) {
		r, _ := runner(t, 1, broken)
		r.Budget = NewRetryBudget(0, 1)
		if _, err := r.Run(t.Context(), promptJob(), &collect{}); err == nil || err.Code != "stream_broke" {
			t.Errorf("the caller is told %s; want stream_broke", told(err))
		}
		checkUnspent(t, r)
	})
	t.Run("no other endpoint for a second attempt", func(t *testing.T) {
		r, in, first := lateRound(t, 1)
		r.Budget = NewRetryBudget(0, 1)
		if r.hedge(in, first) != nil {
			t.Error("a second attempt without an endpoint")
		}
		checkUnspent(t, r)
	})
	t.Run("the first attempt has brought something meanwhile", func(t *testing.T) {
		r, in, first := lateRound(t, 2)
		r.Budget = NewRetryBudget(0, 1)
		in.p.claim(first)
		if r.hedge(in, first) != nil {
			t.Error("a second attempt after the first token")
		}
		checkUnspent(t, r)
	})
}

// TestChoiceIsReleasedWithoutBudget has the budget used up where another endpoint is left.
//
// The choice of that endpoint counts as a run. If it is not taken back, the endpoint looks
// busier with each such request, though it gets none, and is avoided in the end.
func TestChoiceIsReleasedWithoutBudget(t *testing.T) {
	t.Run("a retry", func(t *testing.T) {
		r, fake := runner(t, 2, func(int, *wire.RunRequest) []*wire.RunEvent { return nil })
		r.Budget = NewRetryBudget(0, 0)
		if _, err := r.Run(t.Context(), promptJob(), &collect{}); err == nil || fake.count() != 1 {
			t.Errorf("the caller is told %s after %d runs; want an error after 1", told(err), fake.count())
		}
		if work := r.Directory.OwnWork(); len(work) != 0 {
			t.Errorf("counted as underway: %+v", work)
		}
	})
	t.Run("a second attempt", func(t *testing.T) {
		r, in, first := lateRound(t, 2)
		r.Budget = NewRetryBudget(0, 0)
		if r.hedge(in, first) != nil {
			t.Error("a second attempt without a budget")
		}
		r.Directory.Release(first.choice)
		if work := r.Directory.OwnWork(); len(work) != 0 {
			t.Errorf("counted as underway: %+v", work)
		}
	})
}

// lateRound is a round whose first attempt has brought nothing yet.
func lateRound(t *testing.T, agents int) (*Runner, *round, *attempt) {
	t.Helper()
	r, _ := runner(t, agents, nil)
	job, p := promptJob(), &progress{}
	in := &round{job: job, request: r.routingRequest(job, nil), number: 1, p: p}
	in.request.Now = time.Now()
	choice := r.Directory.Choose("s", nil, in.request)
	return r, in, p.newAttempt(r, job, choice, 1, nil)
}

// checkUnspent looks for the one retry that a budget held at first.
func checkUnspent(t *testing.T, r *Runner) {
	t.Helper()
	if !r.Budget.Spend() {
		t.Error("the budget was spent without a retry")
	}
}

func TestTicketKeys(t *testing.T) {
	mine := &config.Customer{ID: "a", Salt: []byte("a")}
	ticket := claims.Ticket{Incarnation: 1 << 60, Sequence: 7}
	key := TicketKey(mine, "s", ticket)
	if got, ok := ParseTicketKey(mine, "s", key); !ok || got != ticket {
		t.Errorf("%v %v", got, ok)
	}
	if _, ok := ParseTicketKey(&config.Customer{ID: "b", Salt: []byte("b")}, "s", key); ok {
		t.Error("another customer's ticket passes")
	}
	if _, ok := ParseTicketKey(mine, "t", key); ok {
		t.Error("another service's ticket passes")
	}
}

func FuzzParseTicketKey(f *testing.F) {
	c := &config.Customer{Salt: []byte("salt")}
	f.Add(TicketKey(c, "s", claims.Ticket{Incarnation: 1, Sequence: 2}))
	f.Fuzz(func(t *testing.T, key string) {
		if ticket, ok := ParseTicketKey(c, "s", key); ok && !strings.EqualFold(TicketKey(c, "s", ticket), key) {
			t.Errorf("%q passes for %v", key, ticket)
		}
	})
}
