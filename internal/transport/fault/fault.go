// Package fault injects faults into the stand-ins for external systems. Product code
// never imports it: faults are set through the admin port of a stand-in.
package fault

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/pushbackheader"
)

// Faults holds the faults of a stand-in. The zero value injects none.
type Faults struct {
	// Down rejects every call with status 503 before it takes effect.
	Down bool `json:"down"`
	// Frozen blocks every call, before it takes effect, until the fault ends.
	Frozen bool `json:"frozen"`
	// LatencyMS delays every call, in milliseconds.
	LatencyMS int `json:"latency_ms"`
	// LostAnswers is the number of next writes (calls other than GET) that take effect
	// but whose connection is dropped without a response.
	LostAnswers int `json:"lost_answers"`
	// RateLimit makes every answer name a limit of so many requests per second; 0 names none.
	RateLimit float64 `json:"rate_limit"`
	// Leaving makes every answer say that the server shuts down.
	Leaving bool `json:"leaving"`
	// Unframed makes every answer end with its connection, with neither a length nor chunks.
	Unframed bool `json:"unframed"`
	// RetryAfterMS rejects every call other than GET with status 503 and asks for rest, in
	// milliseconds.
	RetryAfterMS int `json:"retry_after_ms"`
	// Noise answers every call with bytes that come until the caller closes; empty for none.
	Noise Noise `json:"noise"`
}

// Injector applies faults to the HTTP handler of a stand-in.
type Injector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	calls   map[string]int64
}

// NewInjector returns an injector without faults.
func NewInjector() *Injector {
	return &Injector{changed: make(chan struct{}), calls: map[string]int64{}}
}

// Set replaces the active faults.
func (in *Injector) Set(f Faults) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faults = f
	close(in.changed)
	in.changed = make(chan struct{})
}

// Calls returns the number of calls received, by HTTP method.
func (in *Injector) Calls() map[string]int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	counts := make(map[string]int64, len(in.calls))
	for method, n := range in.calls {
		counts[method] = n
	}
	return counts
}

func (in *Injector) current() (Faults, <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.faults, in.changed
}

func (in *Injector) consumeLostAnswer() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.faults.LostAnswers == 0 {
		return false
	}
	in.faults.LostAnswers--
	return true
}

func (in *Injector) count(method string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.calls[method]++
}

// Wrap returns a handler that applies the active faults before it calls next.
func (in *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in.count(r.Method)
		faults, changed := in.current()
		for faults.Frozen {
			select {
			case <-changed:
				faults, changed = in.current()
			case <-r.Context().Done():
				return
			}
		}
		if faults.LatencyMS > 0 {
			select {
			case <-time.After(time.Duration(faults.LatencyMS) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if faults.Down {
			http.Error(w, "injected outage", http.StatusServiceUnavailable)
			return
		}
		if faults.Noise != "" {
			faults.Noise.Answer(w)
			return
		}
		if r.Method != http.MethodGet && in.consumeLostAnswer() {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		asks := pushbackheader.Asks{RequestsPerSecond: faults.RateLimit, Leaving: faults.Leaving}
		isTurnedAway := faults.RetryAfterMS > 0 && r.Method != http.MethodGet
		if isTurnedAway {
			asks.RetryAfter = time.Duration(faults.RetryAfterMS) * time.Millisecond
		}
		asks.Encode(w.Header())
		if faults.Unframed {
			w.Header().Set("Transfer-Encoding", "identity")
		}
		if isTurnedAway {
			http.Error(w, "asking for rest", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Admin returns a handler for PUT /faults, which sets the active faults, and GET /calls,
// which returns the number of calls by HTTP method.
func (in *Injector) Admin() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := httpjson.Read(r, 1<<20, &f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		in.Set(f)
		httpjson.Write(w, http.StatusOK, f)
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, r *http.Request) {
		httpjson.Write(w, http.StatusOK, in.Calls())
	})
	return mux
}
