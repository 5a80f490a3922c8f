package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"limpetwall/internal/state/blockseal"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/engine/standin"
)

// contextSite is two engines, one store host and an entry.
func (s *site) contextSite() {
	s.start("store", "standin", "store")
	s.streamSite(2, "-token-time", "0s", "-prefill-rate", "0", "-piece-bytes", "1000")
	stored := fmt.Sprintf(`{"put":[{"kind":"store","id":"kv","spec":{"url":"http://%s","domain":"domain-b","tier":"memory","link_bytes_per_second":1000000000}},
	 {"kind":"service","id":"describe","spec":{"kind":"prompt","customers":["*"],"objective":{"weight_recompute":1},"limits":{}}}]}`, s.procs["store"].listen)
	if verdict := s.apply("entry-1", stored); !strings.Contains(verdict, `"applied"`) {
		s.fail("%s", verdict)
	}
	s.eventually("the agents have the store in force", func() bool {
		status := s.do(http.MethodGet, s.url("entry-1", "/v1/status"), operatorKey, nil, "").body
		return strings.Count(status, `"revision":2,"lags":false`) >= 2
	})
}

// storeUsed is the number of bytes on the store.
func (s *site) storeUsed() int64 {
	var status struct {
		Used int64 `json:"used"`
	}
	json.Unmarshal([]byte(s.do(http.MethodGet, "http://"+s.procs["store"].admin+"/status", "", nil, "").body), &status)
	return status.Used
}

// completion sends a prompt and returns its text and the tokens found in a cache.
func (s *site) completion(prompt string) (text string, cached int) {
	body := strings.Replace(completionBody(prompt, 4), `"stream":true`, `"stream":false`, 1)
	a := s.do(http.MethodPost, s.url("entry-1", "/v1/completions"), customerKey, nil, body)
	var out struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Usage struct {
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(a.body), &out); err != nil || len(out.Choices) != 1 {
		s.fail("%v: %s", err, a.body)
	}
	return out.Choices[0].Text, out.Usage.Details.Cached
}

// TestContextMovesToAnotherEngine loses the endpoint that holds a context.
//
// The caller's context was computed at one engine and copied to the store. That
// engine's agent is told to stop; the prompt returns, and the other engine, which
// never saw the context, finds it: imported, and the answer is the right one. When
// the store returns torn blocks, the next context is recomputed, with the right
// answer too.
func TestContextMovesToAnotherEngine(t *testing.T) {
	for _, torn := range []bool{false, true} {
		t.Run(fmt.Sprint("torn ", torn), func(t *testing.T) {
			s := newSite(t)
			s.platform()
			s.contextSite()
			prompt := strings.Repeat("a long ledger line. ", 3*contextkey.ChunkBytes/20+1)
			want := strings.Join(standin.Answer(prompt, "v1", 7, 4), "")
			s.eventually("the context is on the store", func() bool {
				if text, _ := s.completion(prompt); text != want {
					t.Fatalf("answer %q, want %q", text, want)
				}
				const sealed = 32 + blockseal.Overhead // the stand-in's content, framed
				return s.storeUsed() >= 3*sealed
			})
			holder := "agent-1"
			if s.runs("engine-2") > 0 {
				holder = "agent-2"
			}
			if s.runs("engine-1") > 0 && s.runs("engine-2") > 0 {
				t.Fatal("both engines have the context")
			}
			if torn {
				s.do(http.MethodPut, "http://"+s.procs["store"].admin+"/wrongs", "", nil, `{"torn":true}`)
			}
			s.signal(holder, syscall.SIGTERM)
			<-s.procs[holder].exited
			text, cached := s.completion(prompt)
			if text != want {
				t.Errorf("answer %q, want %q", text, want)
			}
			if wantCached := map[bool]int{false: 3 * contextkey.ChunkTokens, true: 0}[torn]; cached != wantCached {
				t.Errorf("%d tokens imported, want %d", cached, wantCached)
			}
		})
	}
}
