// Package standin is an in-memory store host that can misbehave as real ones
// do: torn blocks, another block's bytes, an old block, a full memory.
package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/kvstore"
)

// Wrongs makes a store return wrong bytes. The zero value is correct.
type Wrongs struct {
	// Torn returns only the first half of a block.
	Torn bool `json:"torn"`
	// Misdirected returns another block's bytes if it holds one.
	Misdirected bool `json:"misdirected"`
	// Unsealed also returns blocks that are not sealed.
	Unsealed bool `json:"unsealed"`
	// AfterFree also returns blocks that were freed.
	AfterFree bool `json:"after_free"`
	// Flipped changes one bit of what it returns.
	Flipped bool `json:"flipped"`
}

type slot struct {
	key        contextkey.Key
	generation uint64
	data       []byte
	sealed     bool
	free       bool
}

// Store is the stand-in; it implements kvstore.Store.
type Store struct {
	mu       sync.Mutex
	capacity int64
	used     int64
	wrongs   Wrongs
	slots    map[uint64]*slot
	sealed   map[contextkey.Key]uint64
	latest   map[contextkey.Key]uint64
	next     uint64
}

// New returns an empty store of capacity bytes.
func New(capacity int64) *Store {
	return &Store{
		capacity: capacity, slots: map[uint64]*slot{},
		sealed: map[contextkey.Key]uint64{}, latest: map[contextkey.Key]uint64{},
	}
}

var _ kvstore.Store = (*Store)(nil)

// SetWrongs replaces the way the store misbehaves.
func (s *Store) SetWrongs(w Wrongs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrongs = w
}

// Reserve implements kvstore.Store.
func (s *Store) Reserve(_ context.Context, key contextkey.Key, size int) (kvstore.Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used+int64(size) > s.capacity {
		return kvstore.Slot{}, kvstore.ErrFull
	}
	s.used += int64(size)
	s.next++
	s.slots[s.next] = &slot{key: key, generation: s.next, data: make([]byte, size)}
	s.latest[key] = s.next
	return kvstore.Slot{ID: s.next, Generation: s.next}, nil
}

func (s *Store) find(ref kvstore.Slot) (*slot, error) {
	sl, ok := s.slots[ref.ID]
	if !ok || sl.free || sl.generation != ref.Generation {
		return nil, kvstore.ErrGeneration
	}
	return sl, nil
}

// Write implements kvstore.Store.
func (s *Store) Write(_ context.Context, ref kvstore.Slot, offset int, part []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl, err := s.find(ref)
	if err != nil {
		return err
	}
	if sl.sealed || offset < 0 || offset+len(part) > len(sl.data) {
		return kvstore.ErrGeneration
	}
	copy(sl.data[offset:], part)
	return nil
}

// Seal implements kvstore.Store.
func (s *Store) Seal(_ context.Context, ref kvstore.Slot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl, err := s.find(ref)
	if err != nil {
		return err
	}
	if old, ok := s.sealed[sl.key]; ok && old != ref.ID {
		s.release(old)
	}
	sl.sealed = true
	s.sealed[sl.key] = ref.ID
	return nil
}

func (s *Store) release(id uint64) {
	sl := s.slots[id]
	sl.free = true
	sl.generation++
	s.used -= int64(len(sl.data))
}

// Read implements kvstore.Store.
func (s *Store) Read(_ context.Context, key contextkey.Key) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.sealed[key]
	if s.wrongs.Unsealed || s.wrongs.AfterFree {
		if last, had := s.latest[key]; had {
			id, ok = last, true
		}
	}
	if s.wrongs.Misdirected {
		for other, otherID := range s.sealed {
			if other != key {
				id, ok = otherID, true
			}
		}
	}
	if !ok {
		return nil, kvstore.ErrNotFound
	}
	data := append([]byte(nil), s.slots[id].data...)
	if s.wrongs.Torn {
		data = data[:len(data)/2]
	}
	if s.wrongs.Flipped && len(data) > 0 {
		data[len(data)/2] ^= 1
	}
	return data, nil
}

// Free implements kvstore.Store.
func (s *Store) Free(_ context.Context, key contextkey.Key) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.sealed[key]; ok {
		s.release(id)
		delete(s.sealed, key)
	}
	return nil
}

// Status implements kvstore.Store.
func (s *Store) Status(context.Context) (kvstore.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return kvstore.Status{Capacity: s.capacity, Used: s.used}, nil
}

// Handler serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /blocks/{key}/slots", func(w http.ResponseWriter, r *http.Request) {
		key, ok := contextkey.Parse(r.PathValue("key"))
		size, err := strconv.Atoi(r.URL.Query().Get("size"))
		if !ok || err != nil || size < 0 {
			http.Error(w, "malformed reservation", http.StatusBadRequest)
			return
		}
		ref, err := s.Reserve(r.Context(), key, size)
		answer(w, ref, err)
	})
	mux.HandleFunc("PUT /slots/{id}", func(w http.ResponseWriter, r *http.Request) {
		ref, ok := slotOf(r)
		offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
		var part kvstore.Part
		if !ok || err != nil || httpjson.Read(r, 64<<20, &part) != nil {
			http.Error(w, "malformed part", http.StatusBadRequest)
			return
		}
		answer(w, struct{}{}, s.Write(r.Context(), ref, offset, part.Data))
	})
	mux.HandleFunc("POST /slots/{id}/seal", func(w http.ResponseWriter, r *http.Request) {
		ref, ok := slotOf(r)
		if !ok {
			http.Error(w, "malformed slot", http.StatusBadRequest)
			return
		}
		answer(w, struct{}{}, s.Seal(r.Context(), ref))
	})
	mux.HandleFunc("GET /blocks/{key}", func(w http.ResponseWriter, r *http.Request) {
		key, _ := contextkey.Parse(r.PathValue("key"))
		data, err := s.Read(r.Context(), key)
		answer(w, kvstore.Part{Data: data}, err)
	})
	mux.HandleFunc("DELETE /blocks/{key}", func(w http.ResponseWriter, r *http.Request) {
		key, _ := contextkey.Parse(r.PathValue("key"))
		answer(w, struct{}{}, s.Free(r.Context(), key))
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		status, err := s.Status(r.Context())
		answer(w, status, err)
	})
	return mux
}

func slotOf(r *http.Request) (kvstore.Slot, bool) {
	id, err1 := strconv.ParseUint(r.PathValue("id"), 10, 64)
	generation, err2 := strconv.ParseUint(r.URL.Query().Get("generation"), 10, 64)
	return kvstore.Slot{ID: id, Generation: generation}, err1 == nil && err2 == nil
}

func answer(w http.ResponseWriter, value any, err error) {
	switch err {
	case nil:
		httpjson.Write(w, http.StatusOK, value)
	case kvstore.ErrNotFound:
		http.Error(w, err.Error(), http.StatusNotFound)
	case kvstore.ErrFull:
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
	default:
		http.Error(w, err.Error(), http.StatusConflict)
	}
}
