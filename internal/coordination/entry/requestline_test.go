package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/coordination/admission"
	"limpetwall/internal/coordination/errorbudget"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/rpc"
)

// scriptedAgent sends the same events to each run and then ends its stream. With held it
// closes held instead and goes on only when the entry ends the run.
type scriptedAgent struct {
	wire.UnimplementedAgentServer
	events []*wire.RunEvent
	held   chan struct{}
}

func (a *scriptedAgent) Run(r *wire.RunRequest, s wire.Agent_RunServer) error {
	for _, e := range a.events {
		if err := s.Send(&wire.RunEvent{RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Event: e.GetEvent()}); err != nil {
			return err
		}
	}
	if a.held != nil {
		close(a.held)
		<-s.Context().Done()
	}
	return nil
}

func started() *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Started{Started: &wire.Started{WeightVersion: "v1"}}}
}

func token(text string) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Tokens{Tokens: &wire.Tokens{Tokens: []string{text}}}}
}

func head(status int32) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_PlainHead{PlainHead: &wire.PlainHead{Status: status}}}
}

func body(text string) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_PlainBody{PlainBody: []byte(text)}}
}

func finished(tokens uint32) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Finished{Finished: &wire.Finished{Reason: "stop", CompletionTokens: tokens}}}
}

// site is an entry with callers on one side and one agent on the other.
type site struct {
	entry   *Entry
	server  *httptest.Server
	lines   *observer.ObservedLogs
	metrics metrics.Registry
	book    *errorbudget.Recorder
	// stop ends the requests underway, as a forced stop does.
	stop context.CancelCauseFunc
}

const callerKey = "key"

func newSite(t *testing.T, scripted *scriptedAgent) *site {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent := rpc.NewServer(nil)
	wire.RegisterAgentServer(agent, scripted)
	go agent.Serve(listener)
	t.Cleanup(agent.Stop)
	now := time.Now()
	table := fleet.NewTable(fleet.DefaultConfig(), fleet.Member{ID: "entry", Role: fleet.RoleEntry}, now)
	table.Merge(fleet.Member{
		ID: "agent", Incarnation: 1, Version: 1, Address: listener.Addr().String(), Role: fleet.RoleAgent,
		Endpoint: fleet.Endpoint{ID: "agent", Labels: map[string]string{"pool": "x"}, Model: "m", WeightVersion: "v1"},
	}, now)
	store := config.NewStore()
	put := func(kind config.Kind, id, spec string) config.Document {
		return config.Document{Ref: config.Ref{Kind: kind, ID: id}, Spec: []byte(spec)}
	}
	err = store.Apply(config.Change{Revision: 1, Puts: []config.Document{
		put(config.KindCustomer, "club", `{"key_hashes":["`+config.HashKey(callerKey)+`"]}`),
		put(config.KindService, "prompts", `{"kind":"prompt","customers":["*"]}`),
		put(config.KindService, "lookups", `{"kind":"plain","customers":["*"]}`),
		put(config.KindIntent, "a", `{"service":"prompts","labels":{"pool":"x"},"model":"m"}`),
		put(config.KindIntent, "b", `{"service":"lookups","labels":{"pool":"x"},"model":"m"}`),
		put(config.KindService, "singles", `{"kind":"plain","customers":["*"]}`),
		put(config.KindIntent, "c", `{"service":"singles","labels":{"pool":"x"},"model":"m","max_concurrent":1}`),
	}})
	if err != nil {
		t.Fatal(err)
	}
	pool := rpc.NewPool(nil)
	t.Cleanup(pool.Close)
	core, lines := observer.New(zap.InfoLevel)
	directory, book := routing.NewDirectory(table, store, 100, 1), errorbudget.NewRecorder()
	e := New(DefaultConfig(), Deps{
		Store: store, Directory: directory, Book: book, Zap: zap.New(core), Metrics: metrics.NewRegistry(),
		Runner: &runs.Runner{
			Directory: directory, Table: table, Pool: pool, Tickets: runs.NewTicketPool(pool),
			Budget: runs.NewRetryBudget(0.1, 10), Store: store, Zap: zap.NewNop(),
		},
	})
	e.SetReady()
	hard, stop := context.WithCancelCause(context.Background())
	s := &site{entry: e, server: httptest.NewUnstartedServer(e.Handler()), lines: lines, metrics: e.Metrics, book: book, stop: stop}
	s.server.Config.BaseContext = func(net.Listener) context.Context { return hard }
	s.server.Start()
	t.Cleanup(s.server.Close)
	return s
}

// open sends one request and returns when its answer begins.
func (s *site) open(t *testing.T, ctx context.Context, key, path, content string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+path, strings.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	return s.server.Client().Do(r)
}

// ask sends one request and returns what its caller sees: the status, what came of the
// body, and whether the connection broke before the answer's end.
func (s *site) ask(t *testing.T, key, path, content string) (status int, text string, cut bool) {
	t.Helper()
	resp, err := s.open(t, t.Context(), key, path, content)
	if err != nil {
		return 0, "", true
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err != nil
}

// line waits for the handlers' end and returns the request's only line.
func (s *site) line(t *testing.T) map[string]any {
	t.Helper()
	s.server.Close()
	all := s.lines.FilterMessage("request").All()
	if len(all) != 1 {
		t.Errorf("%d request lines, want 1", len(all))
		return nil
	}
	return all[0].ContextMap()
}

func (s *site) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.metrics).Count()
}

// booked counts the requests that the burn report has as served and as not served.
func (s *site) booked() (good, bad int64) {
	for _, series := range s.book.Snapshot(time.Now()).Series {
		for _, m := range series.Minutes {
			good, bad = good+m.Good, bad+m.Bad
		}
	}
	return good, bad
}

const (
	streamed  = `{"model":"prompts","prompt":"chair","stream":true}`
	whole     = `{"model":"prompts","prompt":"chair"}`
	promptURL = "/v1/completions"
	plainURL  = "/v1/services/lookups/a"
	// singleURL is of a service with one place.
	singleURL = "/v1/services/singles/a"
)

// TestRequestLineTellsWhatTheCallerGot ends requests in each way and compares the request's
// line and the counters with what its caller saw.
//
// A prompt's stream that breaks after its first token ends with an error event under a status
// of 200. A line without that error, and a counter that stays, report a whole answer that the
// caller has not got. A plain service's answer that breaks off can only be told by a cut
// connection, after which nothing more of the handler runs: what is logged after the cut is
// never logged.
func TestRequestLineTellsWhatTheCallerGot(t *testing.T) {
	rows := []struct {
		name, key, path, content string
		events                   []*wire.RunEvent
		// What the caller sees: the status, and the end of the text.
		status int
		end    string
		cut    bool
		// What the line and the counters say; no code: a whole answer.
		code string
		got  string
	}{
		{"a whole stream", callerKey, promptURL, streamed, []*wire.RunEvent{started(), token("a"), finished(1)},
			200, "data: [DONE]\n\n", false, "", "answer"},
		{"a whole answer", callerKey, promptURL, whole, []*wire.RunEvent{started(), token("a"), finished(1)},
			200, "}\n", false, "", "answer"},
		{"a stream that breaks", callerKey, promptURL, streamed, []*wire.RunEvent{started(), token("a")},
			200, "}}\n\n", false, apierror.CodeStreamLost, "part"},
		{"a stream that breaks before its first token", callerKey, promptURL, streamed, []*wire.RunEvent{started()},
			502, "}}\n", false, apierror.CodeStreamLost, "refusal"},
		{"an answer that breaks", callerKey, promptURL, whole, []*wire.RunEvent{started(), token("a")},
			502, "}}\n", false, apierror.CodeStreamLost, "refusal"},
		{"a plain answer", callerKey, plainURL, "", []*wire.RunEvent{head(201), body("a"), finished(0)},
			201, "a", false, "", "answer"},
		{"a plain answer that breaks", callerKey, plainURL, "", []*wire.RunEvent{head(201), body("a")},
			201, "a", true, apierror.CodeStreamLost, "part"},
		{"a plain failure that breaks", callerKey, plainURL, "", []*wire.RunEvent{head(502), body("a")},
			502, "a", true, apierror.CodeStreamLost, "part"},
		{"a plain answer that breaks before its body", callerKey, plainURL, "", []*wire.RunEvent{head(201)},
			502, "}}\n", false, apierror.CodeStreamLost, "refusal"},
		{"a key that is not known", "other", promptURL, whole, nil,
			401, "}}\n", false, apierror.CodeUnauthorized, "refusal"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, &scriptedAgent{events: row.events})
			status, text, cut := s.ask(t, row.key, row.path, row.content)
			if status != row.status || cut != row.cut || !strings.HasSuffix(text, row.end) {
				t.Errorf("the caller saw %d, %q, cut %v; want %d, …%q, %v", status, text, cut, row.status, row.end, row.cut)
			}
			line := s.line(t)
			if code, _ := line["code"].(string); code != row.code {
				t.Errorf("the line's code is %q, want %q", code, row.code)
			}
			if line["caller_got"] != row.got || line["caller_status"] != int64(row.status) {
				t.Errorf("the line says %v, status %v; want %v, %v", line["caller_got"], line["caller_status"], row.got, row.status)
			}
			if row.code != "" && s.counter("entry.errors."+row.code) != 1 {
				t.Errorf("errors counted as %s: %d, want 1", row.code, s.counter("entry.errors."+row.code))
			}
			wantCut := int64(0)
			if row.got == "part" {
				wantCut = 1
			}
			if n := s.counter("entry.answers_cut"); n != wantCut {
				t.Errorf("answers cut: %d, want %d", n, wantCut)
			}
			if n := metrics.GetOrRegisterTimer("entry.request", s.metrics).Count(); n != 1 {
				t.Errorf("requests timed: %d, want 1", n)
			}
		})
	}
}

// TestRequestLineOfAnEndedRequest ends a request from outside while the agent holds it.
//
// A caller that leaves has nothing, so no status may be named. A forced stop ends the
// request's context too, but its caller is there and gets an error: taking the one for the
// other hides the answers that a stop cut.
func TestRequestLineOfAnEndedRequest(t *testing.T) {
	rows := []struct {
		name    string
		content string
		events  []*wire.RunEvent
		leaves  bool
		code    string
		got     string
		status  any
	}{
		{"the caller leaves", whole, []*wire.RunEvent{started()}, true, apierror.CodeClientGone, "nothing", nil},
		{"the caller leaves within a stream", streamed, []*wire.RunEvent{started(), token("a")}, true, apierror.CodeClientGone, "part", int64(200)},
		{"a forced stop", whole, []*wire.RunEvent{started()}, false, apierror.CodeStopping, "refusal", int64(503)},
		{"a forced stop within a stream", streamed, []*wire.RunEvent{started(), token("a")}, false, apierror.CodeStopping, "part", int64(200)},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			agent := &scriptedAgent{events: row.events, held: make(chan struct{})}
			s := newSite(t, agent)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			begun, ended := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(ended)
				resp, err := s.open(t, ctx, callerKey, promptURL, row.content)
				close(begun)
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}()
			<-agent.held
			if row.content == streamed {
				<-begun
			}
			if row.leaves {
				leave()
			} else {
				s.stop(runs.ErrStopping)
			}
			<-ended
			line := s.line(t)
			if line["code"] != row.code || line["caller_got"] != row.got || line["caller_status"] != row.status {
				t.Errorf("the line says %v, %v, status %v; want %v, %v, %v",
					line["code"], line["caller_got"], line["caller_status"], row.code, row.got, row.status)
			}
			cuts := metrics.GetOrRegisterCounter("entry.answers_cut", s.metrics).Count()
			if brokenHere := row.got == "part" && !row.leaves; (cuts == 1) != brokenHere {
				t.Errorf("%d answers count as cut", cuts)
			}
		})
	}
}

// TestStopWhileWaitingInQueue has a caller wait for the one place of a service, which is taken,
// until a forced stop.
//
// The waiting caller is still there and must read 503 with "ran: no" and when to come back.
// The stop ends its context as a caller that leaves does, and 499 with "fix the request" keeps
// it from repeating a request that ran nowhere.
func TestStopWhileWaitingInQueue(t *testing.T) {
	s := newSite(t, &scriptedAgent{})
	queue := s.entry.queue("singles")
	release, err := queue.Acquire(t.Context(), admission.Request{Customer: "other", Share: 1, Cost: 1, TimeLeft: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	type answer struct {
		status int
		text   string
	}
	waiting := make(chan answer)
	go func() {
		status, text, _ := s.ask(t, callerKey, singleURL, "")
		waiting <- answer{status, text}
	}()
	for queue.Waiting() == 0 {
		select {
		case got := <-waiting:
			t.Fatalf("the request did not wait: %d %s", got.status, got.text)
		default:
			runtime.Gosched()
		}
	}
	s.stop(runs.ErrStopping)
	got := <-waiting
	if got.status != http.StatusServiceUnavailable {
		t.Errorf("the caller saw %d, want 503", got.status)
	}
	for _, told := range []string{`"code":"stopping"`, `"ran":"no"`, `"advice":"retry_after","after_ms":`} {
		if !strings.Contains(got.text, told) {
			t.Errorf("the caller is not told %s but %q", told, got.text)
		}
	}
}

// TestPlainAnswerWithoutHead has an agent end a plain answer, or begin its body, without a
// head that names a status.
//
// There is no status to pass on: net/http panics on the 0 that stands for it, which breaks
// the connection and leaves the request unlogged. As the request may have run, its caller must
// be told that the outcome is unknown, and not to send it again.
func TestPlainAnswerWithoutHead(t *testing.T) {
	rows := []struct {
		name   string
		events []*wire.RunEvent
	}{
		{"an end only", []*wire.RunEvent{finished(0)}},
		{"a body only", []*wire.RunEvent{body("a"), finished(0)}},
		{"a body before its head", []*wire.RunEvent{body("a"), head(200), finished(0)}},
		{"a head without a status", []*wire.RunEvent{head(0), body("a"), finished(0)}},
		{"a head with no final status", []*wire.RunEvent{head(100), body("a"), finished(0)}},
		{"a head with a status of four digits", []*wire.RunEvent{head(1000), body("a"), finished(0)}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, &scriptedAgent{events: row.events})
			status, text, cut := s.ask(t, callerKey, plainURL, "")
			if status != http.StatusBadGateway || cut {
				t.Errorf("the caller saw %d, %q, cut %v; want 502", status, text, cut)
			}
			for _, told := range []string{`"code":"outcome_unknown"`, `"ran":"unknown"`, `"advice":"do_not_retry"`} {
				if !strings.Contains(text, told) {
					t.Errorf("the caller is not told %s but %q", told, text)
				}
			}
			line := s.line(t)
			if line["code"] != apierror.CodeOutcomeUnknown || line["caller_got"] != "refusal" || line["caller_status"] != int64(502) {
				t.Errorf("the line says %v, %v, status %v", line["code"], line["caller_got"], line["caller_status"])
			}
			if n := s.counter("entry.errors." + apierror.CodeOutcomeUnknown); n != 1 {
				t.Errorf("errors counted as %s: %d, want 1", apierror.CodeOutcomeUnknown, n)
			}
			if good, bad := s.booked(); good != 0 || bad != 1 {
				t.Errorf("the burn report has %d served and %d not, want 0 and 1", good, bad)
			}
		})
	}
}

// TestBodyThatDoesNotComeInTime sends half a body and waits.
//
// The caller must read 408 at the end of its body's time. net/http ends the request's context then as it
// does when a caller leaves, and before it answers it waits for the body's rest: the caller would
// read nothing, and the line would say so.
func TestBodyThatDoesNotComeInTime(t *testing.T) {
	s := newSite(t, &scriptedAgent{})
	s.entry.cfg.BodyTime = 50 * time.Millisecond
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\n{}", promptURL, callerKey)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestTimeout {
		t.Fatalf("%v %v, want 408", resp, err)
	}
	if line := s.line(t); line["caller_got"] != "refusal" || line["caller_status"] != int64(http.StatusRequestTimeout) {
		t.Errorf("the line says %v, status %v", line["caller_got"], line["caller_status"])
	}
}
