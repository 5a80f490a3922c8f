package pushback

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Key identifies an incarnation of an endpoint, the same in all processes.
type Key uint64

// KeyOf returns the key of an endpoint's incarnation.
func KeyOf(id string, incarnation uint64) Key {
	return Key(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(id), incarnation)))
}

// Registry holds what all endpoints ask for. It is safe for concurrent use.
type Registry struct {
	// Log receives a line when an endpoint begins or ends to ask for something. Set it before use.
	Log *zap.Logger

	mu        sync.Mutex
	endpoints map[Key]*Endpoint
}

// NewRegistry returns a registry of endpoints that ask for nothing.
func NewRegistry() *Registry {
	return &Registry{Log: zap.NewNop(), endpoints: map[Key]*Endpoint{}}
}

// Endpoint returns what an incarnation of an endpoint asks for; it is kept until Remove.
func (r *Registry) Endpoint(id string, incarnation uint64) *Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := KeyOf(id, incarnation)
	if r.endpoints[key] == nil {
		r.endpoints[key] = &Endpoint{id: id, log: r.logLimit}
	}
	return r.endpoints[key]
}

// Remove forgets an incarnation that has ended.
func (r *Registry) Remove(id string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.endpoints, KeyOf(id, incarnation))
}

// Limited returns how many endpoints limit their requests.
func (r *Registry) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, e := range r.endpoints {
		if e.Limit().RequestsPerSecond > 0 {
			count++
		}
	}
	return count
}

func (r *Registry) logLimit(e *Endpoint, message string, l Limit) {
	r.Log.Info(message, zap.String("endpoint", e.id), zap.Float64("per_second", l.RequestsPerSecond), zap.Duration("limited_for", time.Since(l.Since)))
}
