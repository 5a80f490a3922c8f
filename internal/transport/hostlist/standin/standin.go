// Package standin provides an in-memory host list whose changes appear after a given delay.
package standin

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"limpetwall/internal/transport/hostlist"
	"limpetwall/internal/transport/httpjson"
)

// List is an in-memory host list. A change becomes visible only after lag.
type List struct {
	mu    sync.Mutex
	lag   time.Duration
	hosts map[string]hostlist.Host
}

// New returns an empty list whose changes become visible after lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, hosts: map[string]hostlist.Host{}}
}

// Set adds or changes a host.
func (l *List) Set(h hostlist.Host) {
	l.applyAfterLag(func() { l.hosts[h.ID] = h })
}

// Remove removes a host.
func (l *List) Remove(id string) {
	l.applyAfterLag(func() { delete(l.hosts, id) })
}

func (l *List) applyAfterLag(change func()) {
	apply := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		change()
	}
	if l.lag == 0 {
		apply()
		return
	}
	time.AfterFunc(l.lag, apply)
}

// Hosts implements hostlist.List.
func (l *List) Hosts(context.Context) ([]hostlist.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := make([]hostlist.Host, 0, len(l.hosts))
	for _, h := range l.hosts {
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts, nil
}

// Handler serves the list over HTTP. PUT and DELETE replace the platform's own tools for
// changing its list.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, _ := l.Hosts(r.Context())
		httpjson.Write(w, http.StatusOK, hosts)
	})
	mux.HandleFunc("PUT /v1/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		var h hostlist.Host
		if err := httpjson.Read(r, 1<<16, &h); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.ID = r.PathValue("id")
		l.Set(h)
		httpjson.Write(w, http.StatusOK, h)
	})
	mux.HandleFunc("DELETE /v1/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("id"))
		httpjson.Write(w, http.StatusOK, struct{}{})
	})
	return mux
}
