package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// tokenBytes is the size of one token's KV cache.
	tokenBytes = 18432
	// prefillPerMS is the number of prompt tokens that a server reads in a millisecond.
	prefillPerMS = 48.2
	// engineSlots is the number of requests that a server runs at once.
	engineSlots = 64
	// engineTokens is the server's memory for KV cache.
	engineTokens = 93455
	// loadTime is the time to load new weights.
	loadTime = 900 * time.Millisecond
)

// cachedPart is one part in a server's cache.
type cachedPart struct {
	tokens int
	// tenant and attempt name the request that made it; version is that of the weights.
	tenant, attempt string
	version         int64
	usedAt          time.Time
}

// use is the use of a part that another request has made.
type use struct {
	at                          time.Time
	attempt, tenant, part, salt string
	madeBy, maker               string
}

// engine is a stand-in of a model server.
type engine struct {
	id, zone, service, model string
	address                  string
	store                    *metaStore
	kept                     *keptStore
	changes                  *changes

	// prefill is held while the server reads a part of a prompt: it reads one at a time.
	prefill sync.Mutex

	mu       sync.Mutex
	version  int64
	loading  bool
	sequence int64
	running  int
	used     int
	cache    map[partKey]*cachedPart
	idle     *sync.Cond
	// uses are the uses of parts that other requests made; torn are the fetches that were used although their part was
	// freed before their end.
	uses []use
	torn []*fetch
	runs int
	// unsalted counts the runs without a salt.
	unsalted int
	// fromStore counts the parts that were fetched from the store.
	fromStore int
	stopped   bool
}

func newEngine(id, zone, service, model string, store *metaStore, kept *keptStore) *engine {
	e := &engine{id: id, zone: zone, service: service, model: model, store: store, kept: kept, changes: newChanges(), version: 1, cache: map[partKey]*cachedPart{}}
	e.idle = sync.NewCond(&e.mu)
	mux := http.NewServeMux()
	mux.Handle("GET /kv-events", e.changes)
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("GET /health", e.health)
	mux.HandleFunc("POST /kv-move", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusNotFound, nil) })
	mux.HandleFunc("DELETE /kv-handle/{id}", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, nil) })
	mux.HandleFunc("/", e.run)
	e.address = serve(mux)
	e.list()
	return e
}

// list writes the server's entry.
func (e *engine) list() { e.store.put("servers", e.id, e.entry()) }

// entryWithoutModels is the entry as another writer leaves it.
func (e *engine) entryWithoutModels() map[string]any {
	entry := e.entry()
	delete(entry, "models")
	return entry
}

func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready", "cold_remaining_ms": 0,
		"sequence": e.sequence, "stage": "colocated", "models": []any{map[string]any{"name": e.model, "version": e.version, "adapters": []string{}}},
	}
}

func (e *engine) isOther(w http.ResponseWriter, r *http.Request) bool {
	want := r.Header.Get("Expect-Instance")
	if want == "" || want == e.id {
		return false
	}
	w.Header().Set("Instance-Id", e.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (e *engine) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Instance-Id", e.id)
	w.WriteHeader(http.StatusOK)
}

func (e *engine) report(w http.ResponseWriter, r *http.Request) {
	if e.isOther(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": e.model, "version": e.version, "adapters": []string{}}}, "busy": e.loading,
		"sequence": e.sequence, "queued": 0, "running": e.running, "kv_used": 0, "kv_total": engineTokens, "handles": 0, "clock_ms": time.Now().UnixMilli(),
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	if e.isOther(w, r) {
		return
	}
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Version   int64  `json:"version"`
		Holder    string `json:"holder"`
		Expect    *int64 `json:"expect"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Operation != "version" || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Version == e.version:
		w.WriteHeader(http.StatusOK)
		return
	case e.loading || (o.Expect != nil && *o.Expect != e.sequence):
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	e.loading = true
	note("%s takes the order of %s for version %d", e.id, o.Holder, o.Version)
	go e.load(o.Version)
	w.WriteHeader(http.StatusAccepted)
}

// load brings new weights once the runs have ended.
func (e *engine) load(version int64) {
	e.mu.Lock()
	for e.running > 0 {
		e.idle.Wait()
	}
	e.mu.Unlock()
	time.Sleep(loadTime)
	e.mu.Lock()
	for key := range e.cache {
		e.changes.add("-", key, 0, e.model)
	}
	e.cache, e.used = map[partKey]*cachedPart{}, 0
	e.version, e.loading = version, false
	e.mu.Unlock()
	note("%s has version %d", e.id, version)
	e.list()
}

// promptPart is one part of a prompt as the caller names it.
type promptPart struct {
	id     string
	tokens int
	source string
	target string
}

func partsOf(h http.Header) []promptPart {
	var out []promptPart
	sources, targets := strings.Split(h.Get("Kv-Source"), ","), strings.Split(h.Get("Kv-Target"), ",")
	for i, entry := range strings.Split(h.Get("Prompt-Prefix"), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(entry), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil {
			continue
		}
		out = append(out, promptPart{id, n, at(sources, i), at(targets, i)})
	}
	return out
}

func at(list []string, i int) string {
	if i < len(list) && list[i] != "-" {
		return strings.TrimSpace(list[i])
	}
	return ""
}

// stop makes the server refuse connections' requests: it has left.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
}

func (e *engine) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	if e.isOther(w, r) {
		return
	}
	attempt, tenant, salt := r.Header.Get("Attempt-Id"), r.Header.Get("Tenant"), r.Header.Get("Cache-Salt")
	if attempt == "" {
		e.refuse(w, r, http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.stopped {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	want, _ := strconv.ParseInt(r.Header.Get("Expect-Version"), 10, 64)
	switch {
	case want != 0 && want != e.version:
		e.mu.Unlock()
		e.refuse(w, r, http.StatusMisdirectedRequest)
		return
	case e.loading || e.running >= engineSlots:
		e.mu.Unlock()
		e.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.runs++
	if salt == "" {
		e.unsalted++
	}
	version := e.version
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.idle.Broadcast()
		e.mu.Unlock()
	}()
	parts := partsOf(r.Header)
	note("%s runs %s of tenant %q, salt %q, version %d, parts %s, from %q", e.id, attempt, tenant, salt, version, r.Header.Get("Prompt-Prefix"), r.Header.Get("Kv-Source"))
	e.read(r, attempt, tenant, salt, parts)
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Stamp", e.id+"."+attempt)
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", e.load64(), engineSlots))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 3; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", i, attempt, i)
		w.(http.Flusher).Flush()
		time.Sleep(4 * time.Millisecond)
	}
}

func (e *engine) load64() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// read reads a prompt: what is cached is used, what a source keeps is fetched, the rest is computed.
func (e *engine) read(r *http.Request, attempt, tenant, salt string, parts []promptPart) {
	until := time.Now().Add(time.Hour)
	if ms, err := strconv.ParseInt(r.Header.Get("Kv-Until"), 10, 64); err == nil {
		until = time.UnixMilli(ms)
	}
	contiguous := true
	for _, p := range parts {
		key := partKey{salt, p.id}
		switch {
		case contiguous && e.useCached(key, attempt, tenant):
			continue
		case contiguous && e.kept != nil && p.source == e.kept.address && e.fetch(key, attempt, until):
			e.insert(key, &cachedPart{tokens: p.tokens, tenant: "(store)", attempt: "(store)", usedAt: time.Now()})
			continue
		}
		e.prefill.Lock()
		if contiguous && e.useCached(key, attempt, tenant) {
			// Another request has read the part meanwhile.
			e.prefill.Unlock()
			continue
		}
		contiguous = false
		time.Sleep(time.Duration(float64(p.tokens) / prefillPerMS * float64(time.Millisecond)))
		e.insert(key, &cachedPart{tokens: p.tokens, tenant: tenant, attempt: attempt, usedAt: time.Now()})
		e.prefill.Unlock()
		if e.kept != nil && p.target == e.kept.address {
			e.kept.savePart(key, p.tokens, e.zone)
		}
	}
}

func (e *engine) useCached(key partKey, attempt, tenant string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.cache[key]
	if c == nil {
		return false
	}
	c.usedAt = time.Now()
	e.uses = append(e.uses, use{time.Now(), attempt, tenant, key.id, key.salt, c.tenant, c.attempt})
	return true
}

func (e *engine) fetch(key partKey, attempt string, until time.Time) bool {
	f := &fetch{attempt: attempt, server: e.id}
	ok := e.kept.fetchPart(key, e.zone, until, f)
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok {
		e.fromStore++
	}
	if ok && !f.freedAt.IsZero() {
		e.torn = append(e.torn, f)
		note("%s goes on with part %s for %s, which was freed %v after its fetch began", e.id, key.id, attempt, f.freedAt.Sub(f.begun).Round(time.Millisecond))
	}
	return ok
}

// insert adds a part to the cache; the least recently used ones yield.
func (e *engine) insert(key partKey, c *cachedPart) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache[key] != nil {
		return
	}
	for e.used+c.tokens > engineTokens && len(e.cache) > 0 {
		var oldest partKey
		for k, other := range e.cache {
			if o := e.cache[oldest]; o == nil || other.usedAt.Before(o.usedAt) {
				oldest = k
			}
		}
		e.used -= e.cache[oldest].tokens
		delete(e.cache, oldest)
		e.changes.add("-", oldest, 0, e.model)
	}
	e.cache[key] = c
	e.used += c.tokens
	e.changes.add("+", key, c.tokens, e.model)
}
