package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store as it is on the wire.
type object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
	kind    string
}

// store is the platform's metadata store. Each gateway reaches it at an address of its own, so that the store can turn
// single machines away.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{}
	// refused holds the machines that get 503.
	refused map[string]bool
	// onWrite is called, without the lock, after each write that a machine made.
	onWrite func(machine, kind, name string)
}

func newStore() *store {
	return &store{kinds: map[string]map[string]object{}, changed: make(chan struct{}), refused: map[string]bool{}}
}

// listen serves the store to one machine and returns the address.
func (s *store) listen(machine, ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) }))
	return l.Addr().String()
}

// refuse makes the store turn a machine away with 503, or serve it again. Waiting watches of the machine are cut off.
func (s *store) refuse(machine string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[machine] = refused
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isRefused(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[machine]
}

// put writes an object as the operator or a server would, and returns its revision.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, data).Meta.Revision
}

func (s *store) set(kind, name string, spec json.RawMessage) object {
	s.revision++
	var o object
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, spec
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = o
	s.publish(event{Object: o, kind: kind})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.publish(event{Removed: true, Object: o, kind: kind})
}

func (s *store) publish(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	if s.isRefused(machine) {
		reply(w, http.StatusServiceUnavailable, nil)
		return
	}
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
		s.watch(machine, w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.write(machine, w, r, kind, name)
	}
}

// pageSize is the number of objects on one page of a list.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.kinds[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names[:min(pageSize, len(names))] {
		items = append(items, s.kinds[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(names) > pageSize, "store_revision": s.revision})
}

func (s *store) watch(machine string, w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > since {
				found = append(found, e)
			}
		}
		revision, changed, refused := s.revision, s.changed, s.refused[machine]
		s.mu.Unlock()
		if refused {
			panic(http.ErrAbortHandler)
		}
		if len(found) > 0 || isOver {
			reply(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(machine string, w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = sent.Meta.Name
	}
	s.mu.Lock()
	status, o := s.apply(r, kind, name, sent)
	s.mu.Unlock()
	if status == http.StatusOK && s.onWrite != nil {
		s.onWrite(machine, kind, name)
	}
	reply(w, status, o)
}

// apply carries out a write; s.mu is held.
func (s *store) apply(r *http.Request, kind, name string, sent object) (int, object) {
	old, exists := s.kinds[kind][name]
	if r.Method == http.MethodPost {
		if exists {
			return http.StatusConflict, old
		}
		return http.StatusOK, s.set(kind, name, sent.Spec)
	}
	if !exists {
		return http.StatusNotFound, object{}
	}
	want := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		want, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case want != 0 && want != old.Meta.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.revision++
		gone := old
		gone.Meta.Revision = s.revision
		s.publish(event{Removed: true, Object: gone, kind: kind})
		return http.StatusOK, old
	case string(old.Spec) == string(sent.Spec):
		return http.StatusOK, old
	}
	return http.StatusOK, s.set(kind, name, sent.Spec)
}
