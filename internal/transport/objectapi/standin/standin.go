// Package standin is an in-memory object API for tests and the dev command.
package standin

import (
	"context"
	"maps"
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
	era      uint64
	eras     objectapi.Eras
}

// Copy is what a store held at one moment.
type Copy struct {
	objects  map[string]objectapi.Object
	sequence int64
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

var _ objectapi.API = (*Store)(nil)

// Copy returns a copy of all that the store holds.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.objects), s.sequence}
}

// Restore makes the store come back from a copy: what was written since is gone, and its numbers
// are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eras.Observe(s.era)
	s.objects, s.sequence = maps.Clone(c.objects), c.sequence
	s.era++
	s.eras.Observe(s.era)
	s.notify()
}

// Eras implements objectapi.API.
func (s *Store) Eras() *objectapi.Eras { return &s.eras }

// withEra turns an object's number into a version.
func withEra(o objectapi.Object, era uint64) (objectapi.Object, error) {
	revision, err := objectapi.NewRevision(era, uint64(o.Version))
	o.Version = int64(revision)
	return o, err
}

// number returns the number of a version, or -1, which no object has, for one of an earlier era.
func (s *Store) number(version int64) int64 {
	r := objectapi.Revision(version)
	if version != 0 && r.Era() != s.era {
		return -1
	}
	return int64(r.Number())
}

// Get implements objectapi.API.
func (s *Store) Get(_ context.Context, key string) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := s.get(key)
	if err != nil {
		return o, err
	}
	return withEra(o, s.era)
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
	s.mu.Lock()
	defer s.mu.Unlock()
	o, err := s.put(key, value, s.number(version))
	if err != nil {
		return o, err
	}
	return withEra(o, s.era)
}

func (s *Store) put(key string, value []byte, number int64) (objectapi.Object, error) {
	if len(value) > objectapi.MaxValue {
		return objectapi.Object{}, objectapi.ErrTooLarge
	}
	if s.objects[key].Version != number {
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
	return s.delete(key, s.number(version))
}

func (s *Store) delete(key string, number int64) error {
	o, err := s.get(key)
	if err != nil {
		return err
	}
	if o.Version != number {
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
	list := s.list(prefix)
	for i := range list {
		var err error
		if list[i], err = withEra(list[i], s.era); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func (s *Store) list(prefix string) []objectapi.Object {
	list := []objectapi.Object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// Watch implements objectapi.API.
func (s *Store) Watch(ctx context.Context, key string, version int64, wait time.Duration) (objectapi.Object, error) {
	s.mu.Lock()
	number := s.number(version)
	s.mu.Unlock()
	o, era, err := s.watch(ctx, key, number, wait)
	if err != nil {
		return o, err
	}
	return withEra(o, era)
}

// watch waits until the object's number is above the given one, or the store comes back.
func (s *Store) watch(ctx context.Context, key string, number int64, wait time.Duration) (objectapi.Object, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	began := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		o, err := s.get(key)
		changed, era := s.changed, s.era
		s.mu.Unlock()
		if era != began || (err == nil && o.Version > number) {
			return o, era, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return o, era, err
		case <-ctx.Done():
			return o, era, ctx.Err()
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
	s.mu.Lock()
	list, era := s.list(r.URL.Query().Get("prefix")), s.era
	s.mu.Unlock()
	answer(w, list, era, nil)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	if !query.Has("after") {
		s.mu.Lock()
		o, err := s.get(key)
		era := s.era
		s.mu.Unlock()
		answer(w, o, era, err)
		return
	}
	after, err1 := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, err2 := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil {
		http.Error(w, "after and wait_ms must be integers", http.StatusBadRequest)
		return
	}
	o, era, err := s.watch(r.Context(), key, after, time.Duration(waitMS)*time.Millisecond)
	answer(w, o, era, err)
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
	s.mu.Lock()
	o, err := s.put(r.PathValue("key"), in.Value, version)
	era := s.era
	s.mu.Unlock()
	o.Value = nil
	answer(w, o, era, err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version must be an integer", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	err = s.delete(r.PathValue("key"), version)
	era := s.era
	s.mu.Unlock()
	answer(w, struct{}{}, era, err)
}

func answer(w http.ResponseWriter, value any, era uint64, err error) {
	w.Header().Set(objectapi.EraHeader, strconv.FormatUint(era, 10))
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
