package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is one object of the metadata store.
type object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type storeEvent struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
	kind    string
}

// metaStore is a stand-in of the platform's metadata store.
type metaStore struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []storeEvent
	changed  chan struct{}
}

func newMetaStore() *metaStore {
	return &metaStore{kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

// storeDoor is one process's way to the store. While it is closed, the store turns the process away.
type storeDoor struct {
	store  *metaStore
	closed atomic.Bool
	// shut is closed when the door closes, which cuts the waiting watches off.
	mu   sync.Mutex
	shut chan struct{}
}

func (s *metaStore) open() (*storeDoor, string) {
	d := &storeDoor{store: s, shut: make(chan struct{})}
	return d, serve(d)
}

func (d *storeDoor) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed.Store(true)
	close(d.shut)
}

func (d *storeDoor) reopen() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = make(chan struct{})
	d.closed.Store(false)
}

// serve serves a handler on a free loopback port and returns the address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go http.Serve(l, h)
	return l.Addr().String()
}

// put writes an object as the operator or a server does, and returns its revision.
func (s *metaStore) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		cannotRun("marshal: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(kind, name, data).Meta.Revision
}

func (s *metaStore) putLocked(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	var o object
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, spec
	s.kinds[kind][name] = o
	s.publish(storeEvent{Object: o, kind: kind})
	return o
}

func (s *metaStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.publish(storeEvent{Removed: true, Object: o, kind: kind})
}

func (s *metaStore) publish(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// holder returns the holder that the lease of the rollout names.
func (s *metaStore) holder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.kinds["limpetwall"] {
		var own struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		}
		var content struct {
			Holder string `json:"holder"`
		}
		if json.Unmarshal(o.Spec, &own) == nil && own.Key == "lease.rollout" && json.Unmarshal(own.Value, &content) == nil {
			return content.Holder
		}
	}
	return ""
}

// ServeHTTP implements http.Handler.
func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	shut := d.shut
	d.mu.Unlock()
	if d.closed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s := d.store
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && named:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind, shut)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	default:
		s.write(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *metaStore) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Meta.Name < items[b].Meta.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *metaStore) watch(w http.ResponseWriter, r *http.Request, kind string, shut chan struct{}) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		found := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > since {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
			return
		case <-shut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *metaStore) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			reply(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	s.mu.Lock()
	status, o := s.apply(r, kind, name, sent)
	s.mu.Unlock()
	reply(w, status, o)
}

// apply carries out a write; s.mu is held.
func (s *metaStore) apply(r *http.Request, kind, name string, sent object) (int, object) {
	if r.Method == http.MethodPost {
		if o, exists := s.kinds[kind][sent.Meta.Name]; exists {
			return http.StatusConflict, o
		}
		return http.StatusCreated, s.putLocked(kind, sent.Meta.Name, sent.Spec)
	}
	old, exists := s.kinds[kind][name]
	if !exists {
		return http.StatusNotFound, object{}
	}
	want := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		want, _ = strconv.ParseUint(text, 10, 64)
	}
	if want != 0 && want != old.Meta.Revision {
		return http.StatusConflict, old
	}
	if r.Method == http.MethodDelete {
		delete(s.kinds[kind], name)
		s.revision++
		removed := old
		removed.Meta.Revision = s.revision
		s.publish(storeEvent{Removed: true, Object: removed, kind: kind})
		return http.StatusOK, old
	}
	if string(old.Spec) == string(sent.Spec) {
		return http.StatusOK, old
	}
	return http.StatusOK, s.putLocked(kind, name, sent.Spec)
}
