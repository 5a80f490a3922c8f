// Package standin is a plain service that books: it counts how often each
// request body was executed, so a test sees a doubled booking.
package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"limpetwall/internal/transport/httpjson"
)

// Service is the stand-in.
type Service struct {
	delay time.Duration
	mu    sync.Mutex
	runs  map[string]int
}

// New returns a service whose calls take delay.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, runs: map[string]int{}}
}

// Runs counts executions by request body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for body, n := range s.runs {
		out[body] = n
	}
	return out
}

// Handler serves any method and path; GET /runs gives the counts.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, r *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	n := s.runs[string(body)]
	s.mu.Unlock()
	time.Sleep(s.delay)
	w.Header().Set("X-Booking", fmt.Sprint(n))
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "%s %s booked %q, execution %d\n", r.Method, r.URL.RequestURI(), body, n)
}
