package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"limpetwall/internal/transport/engine/standin"
)

// TestStreamKeepsSoftwareVersion guards against an answer of the own interface that an engine of another software version
// goes on with after the agent of its first engine was killed.
func TestStreamKeepsSoftwareVersion(t *testing.T) {
	const tokens = 60
	for _, row := range []struct {
		name     string
		versions []string
		// goesOn is set if another engine of each version is left.
		goesOn bool
	}{
		{"another engine of its version is left", []string{"1.1", "1.2", "1.1", "1.2"}, true},
		{"none is left", []string{"1.1", "1.2", "1.3"}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.platform()
			for i, version := range row.versions {
				engine := fmt.Sprintf("engine-%d", i+1)
				s.start(engine, "standin", "engine", "-token-time", "30ms", "-software-version", version)
				s.agent(fmt.Sprintf("agent-%d", i+1), "domain-b", "-engine", engine, "pool=models")
			}
			s.entry("entry-1", "domain-a")
			s.configure("entry-1")
			s.eventually("the entry knows the engines", func() bool { return s.modelsKnown("entry-1") == len(row.versions) })
			const prompt = "describe an oak chair"
			result, first := make(chan answer, 1), make(chan struct{})
			go func() {
				result <- s.follow(http.MethodPost, s.url("entry-1", "/v1/completions"), customerKey, nil, completionBody(prompt, tokens), func() { close(first) })
			}()
			engine := s.busyEngine()
			<-first
			s.kill(strings.Replace(engine, "engine", "agent", 1))
			a := <-result
			var number int
			fmt.Sscanf(engine, "engine-%d", &number)
			text, whole := streamedText(a.body)
			want := strings.Join(standin.Answer(prompt, "v1"+row.versions[number-1], 7, tokens), "")
			if !strings.HasPrefix(want, text) || text == "" || whole != row.goesOn {
				t.Errorf("err %v, whole %v, want whole %v\n got %q\nwant %q or its beginning", a.err, whole, row.goesOn, text, want)
			}
		})
	}
}
