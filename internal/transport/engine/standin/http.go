package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/engine"
	"limpetwall/internal/transport/httpjson"
)

// maxPrompt bounds a request's JSON body, in bytes.
const maxPrompt = 64 << 20

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.serveGenerate)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		s, _ := e.Status(r.Context())
		httpjson.Write(w, http.StatusOK, s)
	})
	mux.HandleFunc("GET /events", e.serveEvents)
	mux.HandleFunc("GET /blocks/{key}", e.serveExport)
	mux.HandleFunc("PUT /blocks/{key}", e.serveImport)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, r *http.Request) {
		httpjson.Write(w, http.StatusOK, map[string]any{"runs": e.Runs(), "canceled": e.Canceled()})
	})
	return mux
}

func fail(w http.ResponseWriter, err error) {
	status := map[error]int{
		engine.ErrBusy:       http.StatusServiceUnavailable,
		engine.ErrVersion:    http.StatusConflict,
		engine.ErrStaleFence: http.StatusPreconditionFailed,
		engine.ErrNoBlock:    http.StatusNotFound,
	}[err]
	if status == 0 {
		status = http.StatusInternalServerError
	}
	http.Error(w, err.Error(), status)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if err := httpjson.Read(r, maxPrompt, &req); err != nil || len(req.Blocks)*contextkey.ChunkBytes > len(req.Text) {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	stream, err := e.Generate(r.Context(), req)
	if err != nil {
		fail(w, err)
		return
	}
	defer stream.Close()
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for {
		ev, err := stream.Next()
		if err != nil {
			return
		}
		if out.Encode(ev) != nil || flush.Flush() != nil {
			return
		}
		if ev.Finish != "" {
			return
		}
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	events, _ := e.Events(r.Context(), after)
	httpjson.Write(w, http.StatusOK, events)
}

type blockBody struct {
	Content []byte `json:"content"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	key, ok := contextkey.Parse(r.PathValue("key"))
	content, err := e.Export(r.Context(), key)
	if !ok || err != nil {
		fail(w, engine.ErrNoBlock)
		return
	}
	httpjson.Write(w, http.StatusOK, blockBody{Content: content})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	key, ok := contextkey.Parse(r.PathValue("key"))
	var body blockBody
	if err := httpjson.Read(r, maxPrompt, &body); err != nil || !ok {
		http.Error(w, "malformed block", http.StatusBadRequest)
		return
	}
	e.Import(r.Context(), key, body.Content)
	httpjson.Write(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := httpjson.Read(r, 1<<16, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Order(r.Context(), o); err != nil {
		fail(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, o)
}
