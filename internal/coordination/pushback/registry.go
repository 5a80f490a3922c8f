package pushback

import (
	"encoding/binary"
	"maps"
	"slices"
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

// maxFromPeers bounds the endpoints that are known from peers only.
const maxFromPeers = 1024

// Registry holds what all endpoints ask for. It is safe for concurrent use.
type Registry struct {
	// Log receives a line when an endpoint begins or ends to ask for something. Set it before use.
	Log *zap.Logger

	mu        sync.Mutex
	endpoints map[Key]*Endpoint
	// fromPeers counts the endpoints without an ID.
	fromPeers int

	// askingMu guards asking, the endpoints that ask for something; it may be locked while an Endpoint is.
	askingMu sync.Mutex
	asking   map[*Endpoint]struct{}
	// changed receives an item when a limit has begun, changed or ended, news when an answer to this
	// process asked for something else than before, leaving when an endpoint was first known to leave.
	changed, news, leaving chan struct{}
}

// NewRegistry returns a registry of endpoints that ask for nothing.
func NewRegistry() *Registry {
	return &Registry{Log: zap.NewNop(), endpoints: map[Key]*Endpoint{}, asking: map[*Endpoint]struct{}{}, changed: make(chan struct{}, 1), news: make(chan struct{}, 1), leaving: make(chan struct{}, 1)}
}

// Endpoint returns what an incarnation of an endpoint asks for; it is kept until Remove.
func (r *Registry) Endpoint(id string, incarnation uint64, domain string) *Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := KeyOf(id, incarnation)
	e := r.endpoints[key]
	if e == nil {
		e = r.add(key)
		e.name(id, domain)
	} else if e.name(id, domain) {
		r.fromPeers--
	}
	return e
}

func (r *Registry) add(key Key) *Endpoint {
	e := &Endpoint{key: key, registry: r}
	r.endpoints[key] = e
	return e
}

// name records the ID and failure domain of an endpoint. It returns whether the endpoint was known
// from peers only.
func (e *Endpoint) name(id, domain string) (unnamed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	unnamed = e.id == ""
	e.id, e.domain = id, domain
	return unnamed
}

// Remove drops an incarnation that has ended.
func (r *Registry) Remove(id string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(KeyOf(id, incarnation))
}

// remove drops an endpoint; r.mu is held.
func (r *Registry) remove(key Key) {
	if e := r.endpoints[key]; e != nil {
		r.setAsking(e, false)
	}
	delete(r.endpoints, key)
}

// Retire drops an incarnation that is no longer discovered. That it leaves is remembered for some
// time: it may be listed again by an older copy of the store.
func (r *Registry) Retire(id string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := KeyOf(id, incarnation)
	if e := r.endpoints[key]; e == nil || r.fromPeers >= maxFromPeers || !e.unname() {
		r.remove(key)
	}
}

// unname makes an endpoint that leaves one that is known by its key only, if it was named. It
// returns false for other endpoints.
func (e *Endpoint) unname() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isLeaving() || e.id == "" {
		return e.isLeaving()
	}
	e.id, e.removedAt = "", time.Now()
	e.registry.fromPeers++
	return true
}

// setAsking records whether an endpoint asks for anything.
func (r *Registry) setAsking(e *Endpoint, asks bool) {
	r.askingMu.Lock()
	defer r.askingMu.Unlock()
	e.isAsking.Store(asks)
	if asks {
		r.asking[e] = struct{}{}
	} else {
		delete(r.asking, e)
	}
}

// IsAnyAsking reports whether any endpoint asks for something.
func (r *Registry) IsAnyAsking() bool {
	r.askingMu.Lock()
	defer r.askingMu.Unlock()
	return len(r.asking) > 0
}

// allAsking returns the endpoints that ask for something.
func (r *Registry) allAsking() []*Endpoint {
	r.askingMu.Lock()
	defer r.askingMu.Unlock()
	if len(r.asking) == 0 {
		return nil
	}
	return slices.Collect(maps.Keys(r.asking))
}

// Changed returns a channel that receives an item when a limit has begun, changed or ended. It has one
// reader.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// notify adds an item to a channel that has none.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Limited is an endpoint that limits its requests.
type Limited struct {
	*Endpoint
	Key               Key
	ID, Domain        string
	RequestsPerSecond float64
	// Since is when this process learned of the limit, AsOf when an answer last named it.
	Since, AsOf time.Time
}

// Limited lists the endpoints that limit their requests and are known by more than their key.
func (r *Registry) Limited(now time.Time) []Limited {
	var out []Limited
	for _, e := range r.allAsking() {
		e.mu.Lock()
		if e.isLimited(now) && e.limit.RequestsPerSecond > 0 && e.id != "" && !e.isLeaving() {
			out = append(out, Limited{e, e.key, e.id, e.domain, e.limit.RequestsPerSecond, e.limit.Since, e.limit.AsOf})
		}
		e.updateAsking(now)
		e.mu.Unlock()
	}
	return out
}

// Usable lists the IDs of limited endpoints that this process may send a request now.
func (r *Registry) Usable(now time.Time) []string {
	var out []string
	for _, e := range r.Limited(now) {
		if ok, _ := e.Allows(now); ok {
			out = append(out, e.ID)
		}
	}
	return out
}

func (r *Registry) logLimit(message, id string, l Limit, now time.Time) {
	r.Log.Info(message, zap.String("endpoint", id), zap.Float64("per_second", l.RequestsPerSecond), zap.String("learned_from", source(l.From)),
		zap.Duration("as_of", now.Sub(l.AsOf)), zap.Duration("known_for", now.Sub(l.Since)))
}

// source names the peer that this process learned something from, or an answer of the endpoint's own.
func source(peer string) string {
	if peer == "" {
		return "an answer"
	}
	return peer
}
