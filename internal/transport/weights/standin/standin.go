// Package standin is a weight store that knows a fixed set of versions.
package standin

import (
	"context"
	"net/http"

	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/weights"
)

// Store is the stand-in; it implements weights.Store.
type Store struct {
	infos map[string]weights.Info
}

// New returns a store with the given versions.
func New(infos ...weights.Info) *Store {
	s := &Store{infos: map[string]weights.Info{}}
	for _, info := range infos {
		s.infos[info.Model+"/"+info.Version] = info
	}
	return s
}

// Describe implements weights.Store.
func (s *Store) Describe(_ context.Context, model, version string) (weights.Info, error) {
	info, ok := s.infos[model+"/"+version]
	if !ok {
		return weights.Info{}, weights.ErrNotFound
	}
	return info, nil
}

// Handler serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		info, err := s.Describe(r.Context(), r.PathValue("model"), r.PathValue("version"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		httpjson.Write(w, http.StatusOK, info)
	})
	return mux
}
