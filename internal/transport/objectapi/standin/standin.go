// Package standin is an in-memory object API for tests and the dev command.
package standin

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/objectapi"
)

// Store is the stand-in's state; it implements objectapi.API directly and over
// HTTP through Handler.
type Store struct {
	mu       sync.Mutex
	objects  map[string]objectapi.Object
	sequence int64
	changed  chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

var _ objectapi.API = (*Store)(nil)

// Get implements objectapi.API.
func (s *Store) Get(_ context.Context, key string) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(key)
}

func (s *Store) get(key string) (objectapi.Object, error) {
	o, ok := s.objects[key]
	if !ok {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return o, nil
}

// Put implements objectapi.API.
func (s *Store) Put(_ context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	if len(value) > objectapi.MaxValue {
		return objectapi.Object{}, objectapi.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	s.sequence++
	o := objectapi.Object{Key: key, Version: s.sequence, Value: append([]byte(nil), value...)}
	s.objects[key] = o
	s.notify()
	return o, nil
}

// Delete implements objectapi.API.
func (s *Store) Delete(_ context.Context, key string, version int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := s.get(key)
	if err != nil {
		return err
	}
	if o.Version != version {
		return objectapi.ErrConflict
	}
	delete(s.objects, key)
	s.notify()
	return nil
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List implements objectapi.API.
func (s *Store) List(_ context.Context, prefix string) ([]objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []objectapi.Object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

// Watch implements objectapi.API.
func (s *Store) Watch(ctx context.Context, key string, version int64, wait time.Duration) (objectapi.Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		o, err := s.get(key)
		changed := s.changed
		s.mu.Unlock()
		if err == nil && o.Version > version {
			return o, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return o, err
		case <-ctx.Done():
			return o, ctx.Err()
		}
	}
}

// Handler serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", s.serveList)
	mux.HandleFunc("GET /v1/objects/{key}", s.serveGet)
	mux.HandleFunc("PUT /v1/objects/{key}", s.servePut)
	mux.HandleFunc("DELETE /v1/objects/{key}", s.serveDelete)
	return mux
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	answer(w, list, err)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	if !query.Has("after") {
		o, err := s.Get(r.Context(), key)
		answer(w, o, err)
		return
	}
	after, err1 := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, err2 := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil {
		http.Error(w, "after and wait_ms must be integers", http.StatusBadRequest)
		return
	}
	o, err := s.Watch(r.Context(), key, after, time.Duration(waitMS)*time.Millisecond)
	answer(w, o, err)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version must be an integer", http.StatusBadRequest)
		return
	}
	var in objectapi.Object
	if err := httpjson.Read(r, 2*objectapi.MaxValue, &in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, err := s.Put(r.Context(), r.PathValue("key"), in.Value, version)
	o.Value = nil
	answer(w, o, err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version must be an integer", http.StatusBadRequest)
		return
	}
	answer(w, struct{}{}, s.Delete(r.Context(), r.PathValue("key"), version))
}

func answer(w http.ResponseWriter, value any, err error) {
	switch err {
	case nil:
		httpjson.Write(w, http.StatusOK, value)
	case objectapi.ErrNotFound:
		http.Error(w, err.Error(), http.StatusNotFound)
	case objectapi.ErrConflict:
		http.Error(w, err.Error(), http.StatusConflict)
	case objectapi.ErrTooLarge:
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
