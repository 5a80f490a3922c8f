package openai

import (
	"encoding/json"
	"strings"
	"testing"

	"limpetwall/internal/state/finding"
)

var limits = Limits{MaxMessages: 3, MaxMaxTokens: 100, DefaultMaxTokens: 10}

func TestDecode(t *testing.T) {
	rows := []struct {
		name, body string
		chat       bool
		text       string
	}{
		{"chat", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, true, "<user 2>hi\n"},
		{"parts", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"image_url","image_url":{"url":"data:x"}}]}]}`, true, "<user 16>a<image 6>data:x\n"},
		{"null content", `{"model":"m","messages":[{"role":"assistant","content":null}]}`, true, "<assistant 0>\n"},
		{"completion", `{"model":"m","prompt":"hi"}`, false, "hi"},
		{"completion list", `{"model":"m","prompt":["hi"]}`, false, "hi"},
	}
	for _, row := range rows {
		p, err := Decode([]byte(row.body), row.chat, limits)
		if err != nil || p.Text != row.text || p.MaxTokens != 10 {
			t.Errorf("%s: %+v %v", row.name, p, err)
		}
	}
	p, err := Decode([]byte(`{"model":"m","prompt":"x","temperature":0.5,"stop":["a"],"user":"u"}`), false, limits)
	if err != nil || string(p.Parameters) != `{"stop":["a"],"temperature":0.5}` {
		t.Errorf("parameters %s %v", p.Parameters, err)
	}
}

func TestDecodeFindings(t *testing.T) {
	rows := []struct {
		body   string
		chat   bool
		places string
	}{
		{"{\n \"model\": }", true, "line 2 column 11"},
		{`{"model":7}`, true, "$.model"},
		{`{"messages":[]}`, true, "$.model $.messages"},
		{`{"model":"m","max_completion_tokens":101,"messages":[{"content":7}]}`, true, "$.max_completion_tokens $.messages[0].role $.messages[0].content"},
		{`{"model":"m","messages":[{},{},{},{}]}`, true, "$.messages"},
		{`{"model":"m","prompt":["a","b"]}`, false, "$.prompt"},
		{`{"model":"m","prompt":""}`, false, "$.prompt"},
	}
	for _, row := range rows {
		_, err := Decode([]byte(row.body), row.chat, limits)
		found, ok := err.(*finding.Error)
		if !ok {
			t.Errorf("%s: %v", row.body, err)
			continue
		}
		var places []string
		for _, f := range found.Findings {
			places = append(places, f.Place)
		}
		if got := strings.Join(places, " "); got != row.places {
			t.Errorf("%s: %q, want %q", row.body, got, row.places)
		}
	}
}

// FuzzDecode also looks that one caller's text can't pass for two messages.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"x"}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		p, err := Decode(body, chat, limits)
		if err == nil && (p.Model == "" || p.MaxTokens < 1 || p.MaxTokens > limits.MaxMaxTokens) {
			t.Errorf("accepted %+v", p)
		}
	})
}

func TestStreamChunksAreJSON(t *testing.T) {
	w := Writer{Prompt: Prompt{Model: "m", Chat: true, IncludeUsage: true}, ID: "id"}
	all := string(w.Chunk("a\n\n\"b\"", true)) + string(w.Last("stop", NewUsage(3, 2, 1)))
	events := strings.Split(strings.TrimSuffix(all, "\n\n"), "\n\n")
	if events[len(events)-1] != "data: [DONE]" {
		t.Errorf("ends with %q", events[len(events)-1])
	}
	for _, e := range events[:len(events)-1] {
		if !json.Valid([]byte(strings.TrimPrefix(e, "data: "))) {
			t.Errorf("not JSON: %q", e)
		}
	}
}
