// Package openai reads and writes the OpenAI-compatible calls: chat
// completions, completions and models.
package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"

	"limpetwall/internal/state/finding"
)

// Limits of a request.
type Limits struct {
	MaxMessages  int
	MaxMaxTokens int
	// DefaultMaxTokens is used when a request names no maximum.
	DefaultMaxTokens int
}

// Prompt is a decoded request.
type Prompt struct {
	Model string
	Text  string
	// Messages are the texts of a chat's messages, of which Text consists; nil for other prompts.
	Messages  []string
	MaxTokens int
	Seed      int64
	Stream    bool
	// IncludeUsage asks for a last chunk with token counts.
	IncludeUsage bool
	Chat         bool
	// Parameters are the sampling fields of the request, as the caller wrote
	// them: a JSON object for the engine, or nil.
	Parameters json.RawMessage
}

// sampling are the fields that are passed on to the engine unchanged.
var sampling = []string{
	"temperature", "top_p", "top_k", "min_p", "stop", "presence_penalty", "frequency_penalty", "logit_bias",
	"response_format", "reasoning_effort",
}

// parameters picks the sampling fields of a request.
func parameters(body []byte) json.RawMessage {
	d := json.NewDecoder(bytes.NewReader(body))
	if open, err := d.Token(); err != nil || open != json.Delim('{') {
		return nil
	}
	picked := map[string]json.RawMessage{}
	var value json.RawMessage
	for d.More() {
		name, err := d.Token()
		if err != nil || d.Decode(&value) != nil {
			return nil
		}
		if name, ok := name.(string); ok && slices.Contains(sampling, name) {
			picked[name] = bytes.Clone(value)
		}
	}
	if len(picked) == 0 {
		return nil
	}
	data, _ := json.Marshal(picked)
	return data
}

// errNoList is returned for a value that is not a list.
const errNoList = errors.ConstError("must be a list")

// eachItem calls use with the items of a JSON list, one after the other, and returns their number. A list takes many times its
// length once it is decoded whole. It stops at the first error of use.
func eachItem(raw json.RawMessage, use func(i int, item json.RawMessage) error) (count int, err error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	if open, err := d.Token(); err != nil || open != json.Delim('[') {
		return 0, errNoList
	}
	var item json.RawMessage
	for ; d.More(); count++ {
		if err := d.Decode(&item); err != nil {
			return count, err
		}
		if err := use(count, item); err != nil {
			return count, err
		}
	}
	return count, nil
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type     string `json:"type"`
	Text     string `json:"text"`
	ImageURL struct {
		URL string `json:"url"`
	} `json:"image_url"`
}

type request struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Seed                int64           `json:"seed"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N *int `json:"n"`
}

// Decode reads a chat or plain completion request. Its error is a *finding.Error.
// Other fields of the OpenAI API are accepted and passed over, since official
// clients send them.
func Decode(body []byte, chat bool, limits Limits) (Prompt, error) {
	var l finding.List
	var r request
	if err := json.Unmarshal(body, &r); err != nil {
		l.Add(jsonPlace(body, err), "%v", err)
		return Prompt{}, l.Err()
	}
	p := Prompt{
		Model: r.Model, Seed: r.Seed, Stream: r.Stream, Chat: chat,
		IncludeUsage: r.StreamOptions.IncludeUsage, MaxTokens: limits.DefaultMaxTokens,
		Parameters: parameters(body),
	}
	if r.Model == "" {
		l.Add("$.model", "is required")
	}
	if r.N != nil && *r.N != 1 {
		l.Add("$.n", "is %d, only 1 is served", *r.N)
	}
	setMaxTokens(&l, &p, r, limits)
	if chat {
		p.Messages = chatTexts(&l, r.Messages, limits)
		p.Text = strings.Join(p.Messages, "")
	} else {
		p.Text = promptText(&l, r.Prompt)
	}
	return p, l.Err()
}

func setMaxTokens(l *finding.List, p *Prompt, r request, limits Limits) {
	place, given := "$.max_tokens", r.MaxTokens
	if r.MaxCompletionTokens != nil {
		place, given = "$.max_completion_tokens", r.MaxCompletionTokens
	}
	if given == nil {
		return
	}
	p.MaxTokens = *given
	if *given < 1 || *given > limits.MaxMaxTokens {
		l.Add(place, "is %d, must be 1 to %d", *given, limits.MaxMaxTokens)
	}
}

// chatTexts returns the text of each message.
func chatTexts(l *finding.List, raw json.RawMessage, limits Limits) (texts []string) {
	if isAbsent(raw) {
		raw = json.RawMessage("[]")
	}
	count, err := eachItem(raw, func(int, json.RawMessage) error { return nil })
	switch {
	case err != nil:
		l.Add("$.messages", "%v", err)
		return nil
	case count == 0:
		l.Add("$.messages", "is required, with at least one message")
		return nil
	case count > limits.MaxMessages:
		l.Add("$.messages", "has %d messages, at most %d are accepted", count, limits.MaxMessages)
		return nil
	}
	eachItem(raw, func(i int, item json.RawMessage) error {
		place := fmt.Sprintf("$.messages[%d]", i)
		var m message
		if err := json.Unmarshal(item, &m); err != nil {
			l.Add(place, "%v", err)
			return nil
		}
		if m.Role == "" {
			l.Add(place+".role", "is required")
		}
		content := contentText(l, place+".content", m.Content)
		// Lengths keep apart what a caller's text could otherwise imitate.
		texts = append(texts, fmt.Sprintf("<%s %d>%s\n", m.Role, len(content), content))
		return nil
	})
	return texts
}

// isAbsent reports whether a field is missing or null.
func isAbsent(raw json.RawMessage) bool { return len(raw) == 0 || bytes.Equal(raw, []byte("null")) }

func contentText(l *finding.List, place string, raw json.RawMessage) string {
	var s string
	if isAbsent(raw) {
		return ""
	}
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var text strings.Builder
	_, err := eachItem(raw, func(i int, item json.RawMessage) error {
		var part contentPart
		if err := json.Unmarshal(item, &part); err != nil {
			return errNoList
		}
		partPlace := fmt.Sprintf("%s[%d]", place, i)
		switch part.Type {
		case "text":
			text.WriteString(part.Text)
		case "image_url":
			if part.ImageURL.URL == "" {
				l.Add(partPlace+".image_url.url", "is required")
			}
			fmt.Fprintf(&text, "<image %d>%s", len(part.ImageURL.URL), part.ImageURL.URL)
		default:
			l.Add(partPlace+".type", "%q is not served, only text and image_url", part.Type)
		}
		return nil
	})
	if err != nil {
		l.Add(place, "must be a text or a list of parts")
		return ""
	}
	return text.String()
}

func promptText(l *finding.List, raw json.RawMessage) string {
	var s, first string
	if json.Unmarshal(raw, &s) == nil && s != "" {
		return s
	}
	count, err := eachItem(raw, func(i int, item json.RawMessage) error {
		if i > 0 {
			return nil
		}
		return json.Unmarshal(item, &first)
	})
	if err == nil && count == 1 && first != "" {
		return first
	}
	l.Add("$.prompt", "must be a text, or a list of one text, and not empty")
	return ""
}

// jsonPlace gives line and column of a syntax error, or the field of a type error.
func jsonPlace(body []byte, err error) string {
	switch e := err.(type) {
	case *json.SyntaxError:
		upTo := body[:min(int(e.Offset), len(body))]
		line := bytes.Count(upTo, []byte("\n")) + 1
		column := len(upTo) - bytes.LastIndexByte(upTo, '\n') - 1
		return fmt.Sprintf("line %d column %d", line, column)
	case *json.UnmarshalTypeError:
		return "$." + e.Field
	}
	return "$"
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails holds how much of a prompt was found in a cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// NewUsage returns a usage with its total.
func NewUsage(prompt, cached, completion int) *Usage {
	return &Usage{
		PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion,
		Details: &UsageDetails{CachedTokens: cached},
	}
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// SystemFingerprint names the weight version that answered.
	SystemFingerprint string `json:"system_fingerprint,omitempty"`
}

// Writer encodes the answers to one request.
type Writer struct {
	Prompt  Prompt
	ID      string
	Created int64
	// WeightVersion becomes the answer's system fingerprint.
	WeightVersion string
}

func (w *Writer) base(object string) answer {
	return answer{
		ID: w.ID, Object: object, Created: w.Created, Model: w.Prompt.Model,
		SystemFingerprint: w.WeightVersion, Choices: []choice{},
	}
}

// Whole encodes a non-streamed answer.
func (w *Writer) Whole(text, reason string, usage *Usage) []byte {
	a := w.base("text_completion")
	c := choice{FinishReason: &reason}
	if w.Prompt.Chat {
		a.Object = "chat.completion"
		c.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	a.Choices = append(a.Choices, c)
	a.Usage = usage
	data, _ := json.Marshal(a)
	return append(data, '\n')
}

// Chunk encodes a part of a streamed answer as one server-sent event.
func (w *Writer) Chunk(text string, first bool) []byte {
	a := w.base("text_completion")
	c := choice{}
	if w.Prompt.Chat {
		a.Object = "chat.completion.chunk"
		c.Delta = &chatMessage{Content: text}
		if first {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	a.Choices = append(a.Choices, c)
	return event(a)
}

// Last encodes the end of a streamed answer.
func (w *Writer) Last(reason string, usage *Usage) []byte {
	a := w.base("text_completion")
	c := choice{FinishReason: &reason}
	empty := ""
	if w.Prompt.Chat {
		a.Object = "chat.completion.chunk"
		c.Delta = &chatMessage{}
	} else {
		c.Text = &empty
	}
	a.Choices = append(a.Choices, c)
	out := event(a)
	if w.Prompt.IncludeUsage {
		a.Choices, a.Usage = []choice{}, usage
		out = append(out, event(a)...)
	}
	return append(out, "data: [DONE]\n\n"...)
}

func event(a answer) []byte {
	data, _ := json.Marshal(a)
	out := append([]byte("data: "), data...)
	return append(out, "\n\n"...)
}

// ErrorEvent encodes an error after a stream has begun.
func ErrorEvent(body []byte) []byte {
	out := append([]byte("data: "), bytes.TrimSpace(body)...)
	return append(out, "\n\n"...)
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModel(id string, created int64) model {
	return model{ID: id, Object: "model", Created: created, OwnedBy: "limpetwall"}
}

// Model encodes one model.
func Model(id string, created int64) []byte {
	data, _ := json.Marshal(newModel(id, created))
	return append(data, '\n')
}

// Models encodes the list of models a customer may use.
func Models(ids []string, created int64) []byte {
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, id := range ids {
		list.Data = append(list.Data, newModel(id, created))
	}
	data, _ := json.Marshal(list)
	return append(data, '\n')
}
