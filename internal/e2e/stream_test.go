package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/engine/standin"
)

func completionBody(prompt string, maxTokens int) string {
	body, _ := json.Marshal(map[string]any{"model": "describe", "prompt": prompt, "max_tokens": maxTokens, "seed": 7, "stream": true})
	return string(body)
}

// streamedText joins a stream's texts; whole tells whether it has its end mark.
func streamedText(body string) (text string, whole bool) {
	var out strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		json.Unmarshal([]byte(data), &chunk)
		for _, c := range chunk.Choices {
			out.WriteString(c.Text)
		}
	}
	return out.String(), whole
}

// TestStreamsSurviveFaults breaks what serves a stream, before and after its
// first token, and compares what the caller got with the one right answer.
//
// The caller sees one stream: each token once, in order, to the end. Behind it
// an agent is killed or paused, an engine is killed, or a host leaves while the
// stream runs; the entry resumes on another endpoint after the tokens that the
// caller has, or the endpoint finishes what it had.
func TestStreamsSurviveFaults(t *testing.T) {
	const tokens = 60
	cases := []struct {
		name string
		// before says that the fault comes before the first token.
		before bool
		fault  func(s *site, agent, engine string)
		// logged must stand in the entry's log: the safeguard that helped.
		logged string
	}{
		{"agent killed before the first token", true, func(s *site, agent, _ string) { s.kill(agent) }, `"code":"stream_broke"`},
		{"agent killed mid-stream", false, func(s *site, agent, _ string) { s.kill(agent) }, `"code":"stream_broke"`},
		{"engine killed before the first token", true, func(s *site, _, engine string) { s.kill(engine) }, `"code":"endpoint_stream_broke"`},
		{"engine killed mid-stream", false, func(s *site, _, engine string) { s.kill(engine) }, `"code":"endpoint_stream_broke"`},
		{"agent paused for good mid-stream", false, func(s *site, agent, _ string) { s.signal(agent, syscall.SIGSTOP) }, `"code":"endpoint_gone"`},
		{"agent paused for good before the first token", true, func(s *site, agent, _ string) { s.signal(agent, syscall.SIGSTOP) }, `"msg":"hedge"`},
		{"agent paused and back mid-stream", false, func(s *site, agent, _ string) {
			s.signal(agent, syscall.SIGSTOP)
			s.eventually("suspected", func() bool { return s.alive("entry-1") < 4 })
			s.signal(agent, syscall.SIGCONT)
		}, ""},
		{"agent told to stop mid-stream", false, func(s *site, agent, _ string) { s.signal(agent, syscall.SIGTERM) }, `"attempt":1`},
		{"host leaves mid-stream", false, func(s *site, agent, _ string) { s.list(s.procs[agent], "domain-b", "leaving") }, `"attempt":1`},
		{"platform down mid-stream", false, func(s *site, _, _ string) {
			s.fault("objectapi", `{"down":true}`)
			s.fault("hostlist", `{"down":true}`)
		}, `"attempt":1`},
		{"agent killed and platform frozen mid-stream", false, func(s *site, agent, _ string) {
			s.fault("objectapi", `{"frozen":true}`)
			s.kill(agent)
		}, `"attempt":2`},
		{"agent killed and engine of another killed mid-stream", false, func(s *site, agent, engine string) {
			s.kill(agent)
			for _, other := range []string{"engine-1", "engine-2", "engine-3"} {
				if other != engine {
					s.kill(other)
					return
				}
			}
		}, `"attempt":2`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// 0.2 s of prefill.
			words, rate := 800, "4000"
			if c.before {
				// A prompt with a whole piece of context, which the engine stores at the end of its prefill.
				words, rate = 2400, "12000"
			}
			prompt := "describe: " + strings.Repeat("oak ", words)
			var s *site
			var result chan answer
			for try := 1; ; try++ {
				s = newSite(t)
				s.streamSite(3, "-token-time", "30ms", "-prefill-rate", rate)
				result = make(chan answer, 1)
				first := make(chan struct{})
				// A try that came too late may still run when the variables are those of the next.
				s, result := s, result
				go func() {
					result <- s.follow(http.MethodPost, s.url("entry-1", "/v1/completions"), customerKey, nil, completionBody(prompt, tokens), func() { close(first) })
				}()
				engine := s.busyEngine()
				if !c.before {
					<-first
				}
				c.fault(s, strings.Replace(engine, "engine", "agent", 1), engine)
				if !c.before || !s.prefilled(engine) {
					break
				}
				// On a machine that is slow to break things the stream had begun before the fault.
				if try == 5 {
					t.Fatal("the fault came too late in all tries")
				}
				t.Logf("the fault came too late in try %d", try)
				s.end()
			}
			a := <-result
			text, whole := streamedText(a.body)
			want := strings.Join(standin.Answer(prompt, "v1", 7, tokens), "")
			if a.err != nil || !whole || text != want {
				t.Errorf("err %v, whole %v, status %d\n got %q\nwant %q\n%s", a.err, whole, a.status, text, want, a.body[max(0, len(a.body)-300):])
			}
			s.eventually(c.logged+" in the entry's log", func() bool { return strings.Contains(s.procs["entry-1"].lines(), c.logged) })
		})
	}
}

// streamSite starts engines with agents and one entry.
func (s *site) streamSite(engines int, engineArgs ...string) {
	if s.procs["objectapi"] == nil {
		s.platform()
	}
	for i := 1; i <= engines; i++ {
		s.start(fmt.Sprintf("engine-%d", i), append([]string{"standin", "engine"}, engineArgs...)...)
		s.agent(fmt.Sprintf("agent-%d", i), "domain-b", "-engine", fmt.Sprintf("engine-%d", i), "pool=models")
	}
	s.entry("entry-1", "domain-a")
	s.configure("entry-1")
	s.eventually("the entry knows the engines", func() bool { return s.modelsKnown("entry-1") == engines })
}

// busyEngine waits until an engine has the one stream and names it.
func (s *site) busyEngine() string {
	name := ""
	s.eventually("an engine runs the stream", func() bool {
		for engine := range s.procs {
			if strings.HasPrefix(engine, "engine-") && s.running(engine) == 1 {
				name = engine
			}
		}
		return name != ""
	})
	return name
}

// prefilled reports whether an engine has computed a prompt: it may have sent tokens. One that does not answer has not.
func (s *site) prefilled(engine string) bool {
	a := s.try(http.MethodGet, "http://"+s.procs[engine].listen+"/events?after=0", "", nil, "")
	return a.err == nil && strings.Contains(a.body, `"stored":true`)
}

// TestLeavingEndpointGetsNoNewWork marks a host as leaving, then tells an agent
// to stop.
//
// Callers see every request served by the other endpoint. Only the host list
// says that the host leaves, the agent itself has not been told; once the entry
// knows, no request reaches its engine any more. (How soon that is stands in
// the gossip package's tests, on a clock of their own.)
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := newSite(t)
	s.streamSite(2, "-token-time", "0s", "-prefill-rate", "0")
	s.list(s.procs["agent-1"], "domain-b", "leaving")
	s.eventually("the entry knows", func() bool { return s.alive("entry-1") == 2 })
	before := s.runs("engine-1")
	tried := strings.Count(s.procs["entry-1"].lines(), `"endpoint":"agent-1"`)
	for i := range 40 {
		a := s.do(http.MethodPost, s.url("entry-1", "/v1/completions"), customerKey, nil, completionBody(fmt.Sprint("chair ", i), 2))
		if a.status != http.StatusOK {
			t.Fatalf("%d %s", a.status, a.body)
		}
	}
	if after := s.runs("engine-1"); after != before {
		t.Errorf("the leaving endpoint got %d runs", after-before)
	}
	s.eventually("all attempts are logged", func() bool { return strings.Count(s.procs["entry-1"].lines(), `"msg":"attempt"`) >= 40 })
	if after := strings.Count(s.procs["entry-1"].lines(), `"endpoint":"agent-1"`); after != tried {
		t.Errorf("the entry tried the leaving endpoint %d times", after-tried)
	}
}

// runs is the number of runs an engine has begun.
func (s *site) runs(engine string) int {
	a := s.do(http.MethodGet, "http://"+s.procs[engine].admin+"/runs", "", nil, "")
	var out struct {
		Runs     map[string]int `json:"runs"`
		Canceled int            `json:"canceled"`
	}
	json.Unmarshal([]byte(a.body), &out)
	return len(out.Runs)
}

// TestDisconnectCancelsTheEngine hangs up in the middle of a stream.
//
// The caller is gone; the entry's stream to the agent ends with its connection,
// and the agent cancels the run: the engine must not go on for nobody.
func TestDisconnectCancelsTheEngine(t *testing.T) {
	s := newSite(t)
	s.streamSite(1, "-token-time", "20ms")
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.url("entry-1", "/v1/completions"), strings.NewReader(completionBody("chair", 5000)))
	r.Header.Set("Authorization", "Bearer "+customerKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	resp.Body.Close()
	s.eventually("the engine is idle and counts a cancelled run", func() bool {
		a := s.do(http.MethodGet, "http://"+s.procs["engine-1"].admin+"/runs", "", nil, "")
		return s.running("engine-1") == 0 && strings.Contains(a.body, `"canceled":1`)
	})
}

// TestCustomersShareNoContext sends the same long prompt for two customers.
//
// The second call of the same customer finds the context resident; the first
// call of the other customer finds nothing, though the text is equal.
func TestCustomersShareNoContext(t *testing.T) {
	s := newSite(t)
	s.streamSite(1, "-token-time", "0s", "-prefill-rate", "0")
	prompt := strings.Repeat("a long ledger line. ", contextkey.ChunkBytes/10)
	cached := func(key string) int {
		body := strings.Replace(completionBody(prompt, 1), `"stream":true`, `"stream":false`, 1)
		a := s.do(http.MethodPost, s.url("entry-1", "/v1/completions"), key, nil, body)
		var out struct {
			Usage struct {
				Details struct {
					Cached int `json:"cached_tokens"`
				} `json:"prompt_tokens_details"`
			} `json:"usage"`
		}
		if err := json.Unmarshal([]byte(a.body), &out); err != nil {
			t.Fatalf("%v: %s", err, a.body)
		}
		return out.Usage.Details.Cached
	}
	if n := cached(customerKey); n != 0 {
		t.Errorf("first call found %d tokens", n)
	}
	if n := cached(customerKey); n != 2*contextkey.ChunkTokens {
		t.Errorf("second call found %d tokens", n)
	}
	if n := cached(otherKey); n != 0 {
		t.Errorf("the other customer's call found %d tokens", n)
	}
}

// TestNewRequestsMoveToNewWeights swaps an engine's weights between requests.
//
// The caller's next request is answered by the new version only (its system
// fingerprint says so) and uses no block of the old one, though it has the same
// text; the entry learns of the swap from the agent or by its refusal.
func TestNewRequestsMoveToNewWeights(t *testing.T) {
	s := newSite(t)
	s.streamSite(1, "-token-time", "0s", "-prefill-rate", "0", "-load-time", "0s")
	prompt := strings.Repeat("a long ledger line. ", contextkey.ChunkBytes/10)
	body := strings.Replace(completionBody(prompt, 1), `"stream":true`, `"stream":false`, 1)
	call := func() answer {
		return s.do(http.MethodPost, s.url("entry-1", "/v1/completions"), customerKey, nil, body)
	}
	if a := call(); !strings.Contains(a.body, `"system_fingerprint":"v1"`) {
		t.Fatalf("before: %s", a.body)
	}
	s.do(http.MethodPost, "http://"+s.procs["engine-1"].listen+"/order", "", nil, `{"fence":1,"model":"toy","weight_version":"v2"}`)
	var a answer
	s.eventually("the new version answers", func() bool {
		a = call()
		if a.status == http.StatusOK && strings.Contains(a.body, `"v1"`) {
			t.Fatal("the old version's name on an answer after the swap")
		}
		return a.status == http.StatusOK
	})
	want := strings.Join(standin.Answer(prompt, "v2", 7, 1), "")
	if !strings.Contains(a.body, want) || !strings.Contains(a.body, `"cached_tokens":0`) {
		t.Errorf("after the swap: %s, want %q", a.body, want)
	}
}

// TestOfficialClient uses the OpenAI client library unchanged.
func TestOfficialClient(t *testing.T) {
	s := newSite(t)
	s.streamSite(1, "-token-time", "0s")
	client := openai.NewClient(option.WithBaseURL(s.url("entry-1", "/v1/")), option.WithAPIKey(customerKey), option.WithMaxRetries(0))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	params := openai.ChatCompletionNewParams{
		Model: "describe", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("an oak chair")},
		MaxCompletionTokens: openai.Int(5), Seed: openai.Int(7),
	}
	whole, err := client.Chat.Completions.New(ctx, params)
	if err != nil {
		t.Fatal(err)
	}
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if stream.Err() != nil || text.String() != whole.Choices[0].Message.Content || text.Len() == 0 {
		t.Errorf("streamed %q, whole %q, %v", text.String(), whole.Choices[0].Message.Content, stream.Err())
	}
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "describe" {
		t.Errorf("models: %v %v", models, err)
	}
	wrong := openai.NewClient(option.WithBaseURL(s.url("entry-1", "/v1/")), option.WithAPIKey("wrong"))
	_, err = wrong.Chat.Completions.New(ctx, params)
	if e, ok := err.(*openai.Error); !ok || e.StatusCode != http.StatusUnauthorized || e.Code != "unauthorized" {
		t.Errorf("wrong key: %v", err)
	}
}

// TestConfigurationOutlivesOutageAndRestart accepts a change, takes the platform
// down and replaces an entry.
//
// Operators see the accepted revision on the new entry, which found the platform
// down and took the configuration from its peers; callers are served by it.
func TestConfigurationOutlivesOutageAndRestart(t *testing.T) {
	s := newSite(t)
	s.whole(1, "-token-time", "0s", "-prefill-rate", "0")
	more := `{"put":[{"kind":"service","id":"more","spec":{"kind":"prompt","customers":["*"],"objective":{},"limits":{}}}]}`
	if verdict := s.apply("entry-1", more); !strings.Contains(verdict, `"applied"`) {
		t.Fatal(verdict)
	}
	s.fault("objectapi", `{"down":true}`)
	s.kill("entry-2")
	s.entry("entry-2", "domain-b")
	if got := s.revision("entry-2"); got != 2 {
		t.Errorf("revision %d in force after the restart, want 2", got)
	}
	a := s.do(http.MethodPost, s.url("entry-2", "/v1/completions"), customerKey, nil, completionBody("chair", 2))
	if a.status != http.StatusOK {
		t.Errorf("%d %s", a.status, a.body)
	}
}

// TestConfigurationOutlivesOlderCopy guards against an accepted change that is lost, and against operators who can change
// nothing more, after the object API came back from a copy without it.
func TestConfigurationOutlivesOlderCopy(t *testing.T) {
	s := newSite(t)
	s.whole(1, "-token-time", "0s", "-prefill-rate", "0")
	change := func(id string) string {
		return fmt.Sprintf(`{"put":[{"kind":"service","id":%q,"spec":{"kind":"prompt","customers":["*"],"objective":{},"limits":{}}}]}`, id)
	}
	admin := "http://" + s.procs["objectapi"].admin
	s.do(http.MethodPost, admin+"/copy", "", nil, "")
	if verdict := s.apply("entry-1", change("lost")); !strings.Contains(verdict, `"applied"`) {
		t.Fatal(verdict)
	}
	s.eventually("both entries know the change", func() bool { return s.revision("entry-2") == 2 })
	s.do(http.MethodPost, admin+"/restore", "", nil, "")
	if verdict := s.apply("entry-2", change("next")); !strings.Contains(verdict, `"applied"`) {
		t.Fatal(verdict)
	}
	s.kill("entry-2")
	s.entry("entry-2", "domain-b")
	s.eventually("the restarted entry knows both changes", func() bool { return s.revision("entry-2") == 3 })
}

// TestLimitsKeepCustomersApart sets a rate limit on one customer.
func TestLimitsKeepCustomersApart(t *testing.T) {
	s := newSite(t)
	s.streamSite(1, "-token-time", "0s", "-prefill-rate", "0")
	limited := fmt.Sprintf(`{"put":[{"kind":"customer","id":"balkan","spec":{"key_hashes":[%q],"limits":{"requests_per_second":0.01,"burst":2}}}]}`, config.HashKey(otherKey))
	if verdict := s.apply("entry-1", limited); !strings.Contains(verdict, `"applied"`) {
		t.Fatal(verdict)
	}
	var last answer
	for range 3 {
		last = s.do(http.MethodPost, s.url("entry-1", "/v1/completions"), otherKey, nil, completionBody("dues", 1))
	}
	if last.status != http.StatusTooManyRequests || ran(last) != "no" || last.header.Get("Retry-After") == "" {
		t.Errorf("third request: %d ran %q %s", last.status, ran(last), last.body)
	}
	if a := s.do(http.MethodPost, s.url("entry-1", "/v1/completions"), customerKey, nil, completionBody("chair", 1)); a.status != http.StatusOK {
		t.Errorf("the other customer: %d", a.status)
	}
}

// TestLimitedEngineIsNotCrowded guards against an engine in need that gets more prompts than the limit
// which it names, from two entries, while another engine is free, and against one that is not used any
// more afterwards.
func TestLimitedEngineIsNotCrowded(t *testing.T) {
	s := newSite(t)
	s.whole(2, "-token-time", "0s", "-prefill-rate", "0")
	const limit, window = 2, 4 * time.Second
	s.fault("engine-1", `{"rate_limit":2}`)
	s.eventually("both entries know of the limit", func() bool {
		for _, entry := range []string{"entry-1", "entry-2"} {
			s.do(http.MethodPost, s.url(entry, "/v1/completions"), customerKey, nil, completionBody("chair", 1))
			if !strings.Contains(s.procs[entry].lines(), "endpoint limits its requests") {
				return false
			}
		}
		return true
	})
	before, sent := s.runs("engine-1"), 0
	for end := time.Now().Add(window); time.Now().Before(end); sent++ {
		entry := []string{"entry-1", "entry-2"}[sent%2]
		if a := s.do(http.MethodPost, s.url(entry, "/v1/completions"), customerKey, nil, completionBody(fmt.Sprint("chair ", sent), 1)); a.status != http.StatusOK {
			t.Errorf("a prompt got %d %s", a.status, a.body)
		}
	}
	if got, allowed := s.runs("engine-1")-before, int(1.5*limit*window.Seconds())+5; got > allowed || got == 0 {
		t.Errorf("the limited engine got %d of %d prompts in %v, want 1 to %d", got, sent, window, allowed)
	}
	s.fault("engine-1", `{}`)
	before = s.runs("engine-1")
	s.eventually("the engine is used again", func() bool {
		s.do(http.MethodPost, s.url("entry-1", "/v1/completions"), customerKey, nil, completionBody("chair", 1))
		return s.runs("engine-1")-before > 3*limit
	})
}

// TestEngineThatSaysItLeavesGetsNoPrompts guards against prompts to an engine whose own answers say that
// it shuts down, which neither its agent nor the platform knows, and against one that is not used after
// its restart.
func TestEngineThatSaysItLeavesGetsNoPrompts(t *testing.T) {
	s := newSite(t)
	s.whole(2, "-token-time", "0s", "-prefill-rate", "0")
	prompt := func(i int) {
		entry := []string{"entry-1", "entry-2"}[i%2]
		if a := s.do(http.MethodPost, s.url(entry, "/v1/completions"), customerKey, nil, completionBody(fmt.Sprint("chair ", i), 1)); a.status != http.StatusOK {
			t.Errorf("a prompt got %d %s", a.status, a.body)
		}
	}
	s.fault("engine-1", `{"leaving":true}`)
	s.eventually("the engine's agent knows", func() bool { return strings.Contains(s.procs["agent-1"].lines(), "endpoint says that it leaves") })
	before := s.runs("engine-1")
	for i := range 100 {
		prompt(i)
	}
	if got := s.runs("engine-1") - before; got != 0 {
		t.Errorf("the leaving engine got %d prompts", got)
	}
	s.fault("engine-1", `{}`)
	s.eventually("the engine is used again", func() bool {
		prompt(0)
		prompt(1)
		return s.runs("engine-1") > before
	})
}

// TestEngineThatAsksForRestGetsIt guards against prompts that go on to an engine which turns them away with
// 503 and the time for which it accepts none.
func TestEngineThatAsksForRestGetsIt(t *testing.T) {
	s := newSite(t)
	s.whole(2, "-token-time", "0s", "-prefill-rate", "0")
	s.fault("engine-1", `{"retry_after_ms":60000}`)
	calls := func() int {
		var counts map[string]int
		json.Unmarshal([]byte(s.do(http.MethodGet, "http://"+s.procs["engine-1"].admin+"/calls", "", nil, "").body), &counts)
		return counts[http.MethodPost]
	}
	prompt := func(i int) {
		entry := []string{"entry-1", "entry-2"}[i%2]
		if a := s.do(http.MethodPost, s.url(entry, "/v1/completions"), customerKey, nil, completionBody(fmt.Sprint("chair ", i), 1)); a.status != http.StatusOK {
			t.Errorf("a prompt got %d %s", a.status, a.body)
		}
	}
	i := 0
	s.eventually("the engine turns a prompt away", func() bool {
		i++
		prompt(i)
		return strings.Contains(s.procs["agent-1"].lines(), "endpoint asks for rest")
	})
	before := calls()
	for range 100 {
		i++
		prompt(i)
	}
	if got := calls() - before; got != 0 {
		t.Errorf("the resting engine got %d prompts", got)
	}
}
