package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/juju/errors"

	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/engine"
	"limpetwall/internal/transport/engine/enginetest"
	"limpetwall/internal/transport/engine/standin"
)

func config(ignoreFence bool) standin.Config {
	return standin.Config{Model: "toy", WeightVersion: "v1", Slots: 4, MaxQueue: 4, CacheBlocks: 8, IgnoreFence: ignoreFence}
}

func TestStandinContract(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		enginetest.Run(t, enginetest.Options{Model: "toy", WeightVersion: "v1", ChecksFence: !ignore}, func(*testing.T) engine.Engine {
			return standin.New(config(ignore))
		})
	}
}

func TestClientContract(t *testing.T) {
	enginetest.Run(t, enginetest.Options{Model: "toy", WeightVersion: "v1", ChecksFence: true}, func(t *testing.T) engine.Engine {
		server := httptest.NewServer(standin.New(config(false)).Handler())
		t.Cleanup(server.Close)
		return engine.NewClient(server.URL, server.Client())
	})
}

func FuzzDecodeEvent(f *testing.F) {
	f.Add([]byte(`{"started":{"weight_version":"v1"}}`))
	f.Add([]byte(`{"tokens":["a"]}`))
	f.Add([]byte(`{"finish":"stop"}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		e, err := engine.DecodeEvent(line)
		if err == nil && e.Started == nil && e.Tokens == nil && e.Finish == "" {
			t.Errorf("an event without a field was accepted: %q", line)
		}
	})
}

// TestCutStreamIsBroken guards against a stream that is cut and ends as a whole one.
func TestCutStreamIsBroken(t *testing.T) {
	const head, event = "HTTP/1.1 200 OK\r\n\r\n", `{"tokens":["a"]}`
	for name, answer := range map[string]string{
		"inside the status line":     "HTTP/1.1 20",
		"behind the status line":     "HTTP/1.1 200 OK\r\n",
		"inside a header line":       "HTTP/1.1 200 OK\r\nContent-Ty",
		"behind the head":            head,
		"no body":                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"no content":                 "HTTP/1.1 204 No Content\r\n\r\n",
		"behind an event":            head + event + "\n",
		"inside an event":            head + event + "\n" + event[:8],
		"inside the end":             head + event + "\n" + `{"finish":"st`,
		"before the end's brace":     head + event + "\n" + `{"finish":"stop"`,
		"an event without fields":    head + event + "\n{}\n",
		"inside a chunk":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n" + event + "\n",
		"the last chunk before it":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n" + event + "\n\r\n0\r\n\r\n",
		"inside the declared length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + event + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			stream, err := engine.NewClient(respondBytes(t, answer), &http.Client{}).Generate(t.Context(), engine.Request{})
			if err != nil {
				return
			}
			defer stream.Close()
			var e engine.Event
			for err == nil && e.Finish == "" {
				e, err = stream.Next()
			}
			if !errors.Is(err, engine.ErrBroken) {
				t.Errorf("got %+v, error %v; want ErrBroken", e, err)
			}
		})
	}
}

// respondBytes starts a server that answers each request with the given bytes and ends the connection, and returns its base URL.
func respondBytes(t *testing.T, answer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				io.Copy(io.Discard, r.Body)
				io.WriteString(c, answer)
			}
			c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestExportWithoutContentIsNone guards against an answer without a block's content that is stored, and imported elsewhere, as
// the block.
func TestExportWithoutContentIsNone(t *testing.T) {
	for _, answer := range []string{"", "{", "{}", "null", `{"content":""}`, `{"content":null}`, `{"content":"YQ=="`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, answer) }))
		defer server.Close()
		if content, err := engine.NewClient(server.URL, server.Client()).Export(t.Context(), contextkey.Key{1}); err == nil {
			t.Errorf("answer %q: got %d bytes, want an error", answer, len(content))
		}
	}
}
