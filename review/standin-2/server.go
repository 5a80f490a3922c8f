package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	modelName = "daka510000"
	// reportLag is how old the values of a report are.
	reportLag = 100 * time.Millisecond
	// entryLag is the time after which the store has a change of a server.
	entryLag = 300 * time.Millisecond
)

// order is what a server received at /order.
type order struct {
	at      time.Time
	server  string
	holder  string
	fence   uint64
	version int64
	status  int
}

// modelServer is a sound model server as far as orders are concerned.
type modelServer struct {
	id, service, zone, address string
	store                      *store
	rec                        *record
	loadTime                   time.Duration
	named                      func(version int64) bool
	onOrder                    func(order)

	mu       sync.Mutex
	version  int64
	sequence int64
	// loading is the version being loaded, 0 if none; doneAt is when the last load ended or will end.
	loading int64
	doneAt  time.Time
	before  int64
}

func newModelServer(id, service, zone string, number int, s *store, rec *record, loadTime time.Duration) *modelServer {
	l, err := net.Listen("tcp", machineIP(number)+":0")
	must(err)
	m := &modelServer{id: id, service: service, zone: zone, address: l.Addr().String(), store: s, rec: rec, loadTime: loadTime, version: 1, before: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", m.report)
	mux.HandleFunc("POST /order", m.order)
	mux.HandleFunc("GET /kv-events", m.events)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Instance-Id", id) })
	go http.Serve(l, mux)
	m.register()
	return m
}

// register writes the server's entry in the store.
func (m *modelServer) register() {
	m.mu.Lock()
	entry := map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"stage": "colocated", "models": []any{map[string]any{"name": modelName, "version": m.version, "adapters": []any{}}}, "sequence": m.sequence,
	}
	m.mu.Unlock()
	m.store.put("servers", m.id, entry)
}

func (m *modelServer) isExpected(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
		w.Header().Set("Instance-Id", m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (m *modelServer) report(w http.ResponseWriter, r *http.Request) {
	if !m.isExpected(w, r) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	busy, version := m.loading != 0, m.version
	if time.Since(m.doneAt) < reportLag && m.before != m.version {
		busy, version = true, m.before
	}
	reply(w, http.StatusOK, map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": modelName, "version": version, "adapters": []any{}}}, "busy": busy, "sequence": m.sequence,
		"queued": 0, "running": 0, "kv_used": 0, "kv_total": 93455, "handles": 0, "state": "ready", "runs": []any{},
	})
}

func (m *modelServer) order(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	var o struct {
		Operation string  `json:"operation"`
		Model     string  `json:"model"`
		Version   int64   `json:"version"`
		Holder    string  `json:"holder"`
		Fence     *uint64 `json:"fence"`
		Expect    *int64  `json:"expect"`
	}
	if !m.isExpected(w, r) {
		return
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == nil || o.Operation != "version" || !m.named(o.Version) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	status := http.StatusAccepted
	switch {
	case m.loading != 0, o.Expect != nil && *o.Expect != m.sequence:
		status = http.StatusConflict
	case o.Version == m.version:
		status = http.StatusOK
	default:
		m.sequence++
		m.loading = o.Version
		time.AfterFunc(m.loadTime, m.finishLoad)
	}
	m.mu.Unlock()
	m.rec.printf("server %s gets an order: version %d from holder %s, fencing token %d; answers %d", m.id, o.Version, o.Holder, *o.Fence, status)
	m.onOrder(order{at, m.id, o.Holder, *o.Fence, o.Version, status})
	w.WriteHeader(status)
}

func (m *modelServer) finishLoad() {
	m.mu.Lock()
	m.before, m.version, m.loading, m.doneAt = m.version, m.loading, 0, time.Now()
	m.rec.printf("server %s has version %d", m.id, m.version)
	m.mu.Unlock()
	time.AfterFunc(entryLag, m.register)
}

// events answers that nothing has changed, after the time that the caller waits.
func (m *modelServer) events(w http.ResponseWriter, r *http.Request) {
	if wait, err := time.ParseDuration(r.Header.Get("Wait-Ms") + "ms"); err == nil {
		select {
		case <-time.After(min(wait, time.Second)):
		case <-r.Context().Done():
		}
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"epoch":77120,"next_token":1,"lost":false,"events":[],"clock_ms":%d}`, time.Now().UnixMilli())
}
