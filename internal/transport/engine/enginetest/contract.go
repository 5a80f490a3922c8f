// Package enginetest is the contract that every implementation of the engine
// port must pass.
package enginetest

import (
	"context"
	"strings"
	"testing"

	"github.com/juju/errors"

	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/engine"
)

// Options describe what the engine under test serves.
type Options struct {
	Model, WeightVersion string
	// ChecksFence is false for engines that ignore fencing numbers.
	ChecksFence bool
}

// Run runs the contract; open returns an idle engine.
func Run(t *testing.T, o Options, open func(t *testing.T) engine.Engine) {
	rows := []struct {
		name string
		run  func(t *testing.T, o Options, e engine.Engine)
	}{
		{"a stream starts, yields its tokens and finishes", whole},
		{"a resumed stream yields the rest only", resumed},
		{"another weight version is refused before it runs", version},
		{"a second prompt finds its context resident", resident},
		{"an exported block can be imported and is used", moved},
		{"a closed stream frees its place", closed},
		{"an order changes the version; an old fence is refused if checked", ordered},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { row.run(t, o, open(t)) })
	}
}

func request(o Options, id, text string) engine.Request {
	scope := contextkey.Scope{Salt: []byte("salt"), Model: o.Model, WeightVersion: o.WeightVersion}
	return engine.Request{
		RequestID: id, Model: o.Model, WeightVersion: o.WeightVersion, Text: text,
		Blocks: contextkey.ChunkKeys(scope, text), MaxTokens: 6, Seed: 3,
	}
}

// run reads a stream to its end.
func run(t *testing.T, e engine.Engine, r engine.Request) (started engine.Started, tokens []string) {
	t.Helper()
	stream, err := e.Generate(t.Context(), r)
	if err != nil {
		t.Fatalf("generate: %v", err)
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		switch {
		case err != nil:
			t.Fatalf("stream: %v", err)
		case event.Started != nil:
			started = *event.Started
		case event.Finish != "":
			return started, tokens
		default:
			tokens = append(tokens, event.Tokens...)
		}
	}
}

func whole(t *testing.T, o Options, e engine.Engine) {
	started, tokens := run(t, e, request(o, "a", "an oak chair"))
	if started.WeightVersion != o.WeightVersion || started.PromptTokens == 0 || len(tokens) != 6 {
		t.Errorf("%+v, %d tokens", started, len(tokens))
	}
}

func resumed(t *testing.T, o Options, e engine.Engine) {
	_, all := run(t, e, request(o, "a", "an oak chair"))
	r := request(o, "b", "an oak chair")
	r.ResumeTokens = all[:4]
	_, rest := run(t, e, r)
	if strings.Join(rest, "") != strings.Join(all[4:], "") {
		t.Errorf("resumed %q, want %q", rest, all[4:])
	}
}

func version(t *testing.T, o Options, e engine.Engine) {
	r := request(o, "a", "an oak chair")
	r.WeightVersion = "other"
	if _, err := e.Generate(t.Context(), r); !errors.Is(err, engine.ErrVersion) {
		t.Errorf("generate: %v", err)
	}
}

func longText() string { return strings.Repeat("x", 2*contextkey.ChunkBytes+10) }

func resident(t *testing.T, o Options, e engine.Engine) {
	first, _ := run(t, e, request(o, "a", longText()))
	second, _ := run(t, e, request(o, "b", longText()))
	if first.CachedTokens != 0 || second.CachedTokens != 2*contextkey.ChunkTokens {
		t.Errorf("cached %d, then %d", first.CachedTokens, second.CachedTokens)
	}
	events, err := e.Events(t.Context(), 0)
	if err != nil || len(events) != 2 || !events[0].Stored {
		t.Errorf("events %+v %v", events, err)
	}
	if later, _ := e.Events(t.Context(), events[0].Sequence); len(later) != 1 {
		t.Errorf("events after the first: %+v", later)
	}
}

func moved(t *testing.T, o Options, e engine.Engine) {
	r := request(o, "a", longText())
	_, want := run(t, e, r)
	content, err := e.Export(t.Context(), r.Blocks[0])
	if err != nil {
		t.Fatalf("export: %v", err)
	}
	if _, err := e.Export(t.Context(), contextkey.Key{9}); !errors.Is(err, engine.ErrNoBlock) {
		t.Errorf("export of a missing block: %v", err)
	}
	if err := e.Import(t.Context(), r.Blocks[0], content); err != nil {
		t.Fatalf("import: %v", err)
	}
	r.RequestID = "b"
	if _, got := run(t, e, r); strings.Join(got, "") != strings.Join(want, "") {
		t.Errorf("answer %q after import, want %q", got, want)
	}
}

func closed(t *testing.T, o Options, e engine.Engine) {
	ctx, cancel := context.WithCancel(t.Context())
	r := request(o, "a", "an oak chair")
	r.MaxTokens = 1 << 20
	stream, err := e.Generate(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Next(); err != nil {
		t.Fatal(err)
	}
	cancel()
	stream.Close()
	for {
		status, err := e.Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if status.Running == 0 && status.Queued == 0 {
			return
		}
	}
}

func ordered(t *testing.T, o Options, e engine.Engine) {
	if err := e.Order(t.Context(), engine.Order{Fence: 5, Model: o.Model, WeightVersion: "next"}); err != nil {
		t.Fatal(err)
	}
	status, err := e.Status(t.Context())
	if err != nil || status.WeightVersion != "next" {
		t.Errorf("status %+v %v", status, err)
	}
	err = e.Order(t.Context(), engine.Order{Fence: 4, Model: o.Model, WeightVersion: "old"})
	if o.ChecksFence != errors.Is(err, engine.ErrStaleFence) {
		t.Errorf("order with an old fence: %v", err)
	}
}
