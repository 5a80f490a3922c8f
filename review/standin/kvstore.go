package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// storedPart is one part in a store of kept KV cache.
type storedPart struct {
	tokens   int
	complete bool
	// fetches are the transfers of this part that are under way.
	fetches map[*fetch]struct{}
}

// fetch is a transfer from the store to a model server. freedAt is when the part was freed before its end.
type fetch struct {
	attempt, server string
	begun, freedAt  time.Time
}

// keptStore is a stand-in of a managed store of kept KV cache.
type keptStore struct {
	zone     string
	address  string
	capacity int
	// bytesPerMS is the rate of the link, first the additional wait of each transfer.
	bytesPerMS float64
	first      time.Duration
	model      string

	link    link
	changes *changes

	mu    sync.Mutex
	parts map[partKey]*storedPart
	used  int
}

func newKeptStore(zone, model string, capacity int, linkMbps float64, first time.Duration) *keptStore {
	s := &keptStore{zone: zone, model: model, capacity: capacity, bytesPerMS: linkMbps * 125, first: first, changes: newChanges(), parts: map[partKey]*storedPart{}}
	mux := http.NewServeMux()
	mux.Handle("GET /kv-events", s.changes)
	mux.HandleFunc("GET /kv-list", s.list)
	mux.HandleFunc("POST /kv-free", s.free)
	mux.HandleFunc("GET /report", s.report)
	s.address = serve(mux)
	return s
}

func (s *keptStore) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"kv_used": s.used, "kv_total": s.capacity, "epoch": s.changes.epoch, "clock_ms": time.Now().UnixMilli()})
}

func (s *keptStore) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	held, partial := [][]any{}, [][]any{}
	for key, p := range s.parts {
		if p.complete {
			held = append(held, []any{key.salt, key.id, p.tokens, s.model})
		} else {
			partial = append(partial, []any{key.salt, key.id, 0, p.tokens})
		}
	}
	s.mu.Unlock()
	s.changes.mu.Lock()
	next, epoch := s.changes.next, s.changes.epoch
	s.changes.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"epoch": epoch, "next_token": next, "held": held, "partial": partial})
}

func (s *keptStore) free(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Parts [][2]string `json:"parts"`
		Epoch *int64      `json:"epoch"`
		Until int64       `json:"until_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, err.Error())
		return
	}
	now := time.Now()
	if (body.Epoch != nil && *body.Epoch != s.changes.epoch) || (body.Until > 0 && now.UnixMilli() > body.Until) {
		reply(w, http.StatusConflict, nil)
		return
	}
	freed, underway := 0, 0
	s.mu.Lock()
	for _, name := range body.Parts {
		key := partKey{name[0], name[1]}
		p := s.parts[key]
		if p == nil {
			continue
		}
		for f := range p.fetches {
			f.freedAt = now
			underway++
		}
		delete(s.parts, key)
		s.used -= p.tokens
		freed++
		s.changes.add("-", key, 0, s.model)
	}
	s.mu.Unlock()
	note("kv-free from %s: %d parts freed, %d fetches of them under way", r.RemoteAddr, freed, underway)
	reply(w, http.StatusOK, nil)
}

// duration of a transfer to or from a zone.
func (s *keptStore) duration(tokens int, zone string) time.Duration {
	d := time.Duration(float64(tokens*tokenBytes) / s.bytesPerMS * float64(time.Millisecond))
	if zone != s.zone {
		d *= 2
	}
	return s.first + d
}

// fetchPart sends a part to a model server. It returns false for a miss, and when the transfer ends later than until.
func (s *keptStore) fetchPart(key partKey, zone string, until time.Time, f *fetch) bool {
	if !s.link.begin() {
		return false
	}
	defer s.link.end()
	s.mu.Lock()
	p := s.parts[key]
	if p == nil || !p.complete {
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
		return false
	}
	f.begun = time.Now()
	p.fetches[f] = struct{}{}
	s.mu.Unlock()
	left := time.Until(until)
	took := s.duration(p.tokens, zone)
	time.Sleep(min(took, max(0, left)))
	s.mu.Lock()
	delete(p.fetches, f)
	s.mu.Unlock()
	return took <= left
}

// savePart takes a part from a model server: its space is reserved at once, or it is lost.
func (s *keptStore) savePart(key partKey, tokens int, zone string) {
	s.mu.Lock()
	if s.parts[key] != nil || s.used+tokens > s.capacity {
		s.mu.Unlock()
		return
	}
	p := &storedPart{tokens: tokens, fetches: map[*fetch]struct{}{}}
	s.parts[key] = p
	s.used += tokens
	s.mu.Unlock()
	go func() {
		if !s.link.begin() {
			return
		}
		time.Sleep(s.duration(tokens, zone))
		s.link.end()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.parts[key] == p {
			p.complete = true
			s.changes.add("+", key, tokens, s.model)
		}
	}()
}
