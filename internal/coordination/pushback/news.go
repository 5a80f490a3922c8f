package pushback

import "time"

// News is what one process knows of an endpoint's limit, for its peers.
type News struct {
	Endpoint Key
	// RequestsPerSecond is 0 if the endpoint names no limit any more.
	RequestsPerSecond float64
	AsOf              time.Time
}

// PopNews returns the limits that answers to this process have changed since the last call.
func (r *Registry) PopNews() []News {
	var out []News
	for _, e := range r.allAsking() {
		e.mu.Lock()
		if e.pending {
			e.pending = false
			out = append(out, e.currentNews())
		}
		e.mu.Unlock()
	}
	return out
}

// News returns a channel that receives an item when PopNews has something new. It has one reader.
func (r *Registry) News() <-chan struct{} { return r.news }

// NewsOf returns what this process knows of some endpoints' limits.
func (r *Registry) NewsOf(endpoints []Key) []News {
	out := make([]News, 0, len(endpoints))
	for _, key := range endpoints {
		if e := r.Find(key); e != nil {
			e.mu.Lock()
			out = append(out, e.currentNews())
			e.mu.Unlock()
		}
	}
	return out
}

// AllNews returns all limits in force.
func (r *Registry) AllNews() []News {
	var out []News
	for _, e := range r.allAsking() {
		e.mu.Lock()
		if e.limit.RequestsPerSecond > 0 {
			out = append(out, e.currentNews())
		}
		e.mu.Unlock()
	}
	return out
}

// currentNews returns what this process knows of the limit; e.mu is held.
func (e *Endpoint) currentNews() News { return News{e.key, e.limit.RequestsPerSecond, e.limit.AsOf} }

// Merge applies what a peer knows. The newer knowledge wins; what is older than limitTTL says
// nothing.
func (r *Registry) Merge(n News, from string, now time.Time) {
	if now.Sub(n.AsOf) > limitTTL {
		return
	}
	e := r.Find(n.Endpoint)
	if e == nil && n.RequestsPerSecond > 0 {
		e = r.addFromPeer(n.Endpoint)
	}
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !n.AsOf.After(e.limit.AsOf) || (n.RequestsPerSecond == 0 && e.limit.RequestsPerSecond == 0) {
		return
	}
	e.setLimit(Limit{RequestsPerSecond: n.RequestsPerSecond, AsOf: n.AsOf, From: from}, now)
}

// addFromPeer remembers an endpoint that a peer names and this process has not discovered. It returns
// nil if there are too many.
func (r *Registry) addFromPeer(key Key) *Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[key]; e != nil {
		return e
	}
	if r.fromPeers >= maxFromPeers {
		return nil
	}
	r.fromPeers++
	return r.add(key)
}

// findOrAdd returns an endpoint by its key. It remembers one that this process has not discovered, and
// returns nil if there are too many.
func (r *Registry) findOrAdd(key Key) *Endpoint {
	if e := r.Find(key); e != nil {
		return e
	}
	return r.addFromPeer(key)
}

// Find returns an endpoint by its key, nil if it is not known.
func (r *Registry) Find(key Key) *Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[key]
}

// DropUnknown drops endpoints that are known from peers only and ask for nothing any more.
func (r *Registry) DropUnknown(now time.Time) {
	for _, e := range r.allAsking() {
		e.mu.Lock()
		drop := e.id == "" && !e.isLimited(now) && now.Sub(e.leavingSince) > leavingUnknown && now.Sub(e.removedAt) > leavingUnknown
		e.mu.Unlock()
		if !drop {
			continue
		}
		r.setAsking(e, false)
		r.mu.Lock()
		if r.endpoints[e.key] == e {
			delete(r.endpoints, e.key)
			r.fromPeers--
		}
		r.mu.Unlock()
	}
}
