package main

import (
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"limpetwall/internal/coordination/contexttransfer"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/fleet"
)

const (
	engines     = 9
	prefillRate = 10_000 // tokens a second
	pieceBytes  = 200 << 20
	linkRate    = 2.5e9 // bytes a second, each store's
	cachePieces = 120   // in one engine's memory
	newTokens   = 300   // of each request beyond its context
	warmup      = 0.2   // of the requests are not measured
)

type conditions struct {
	load       float64
	lag        time.Duration
	lostEvents float64
	entries    int
	// sharedPieces begin every context, as long instructions do.
	sharedPieces int
}

type result struct {
	p50, p95, p99      float64
	recomputed, linkGB float64
}

// event is something that happens at a virtual time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// fakeEngine prefills one prompt at a time and keeps pieces in LRU order.
type fakeEngine struct {
	id       string
	domain   string
	freeAt   time.Duration
	resident map[contextkey.Key]*list.Element
	lru      *list.List
	// hint is what the agent believes resident, from events that get lost.
	hint *contexttransfer.Residency
	runs int
}

type fakeStore struct {
	host   *config.StoreHost
	freeAt time.Duration
	stored map[contextkey.Key]bool
	// links hold each engine's view and upload budget.
	links []*contexttransfer.Link
}

type world struct {
	site    site
	cond    conditions
	policy  policy
	random  *rand.Rand
	now     time.Duration
	queue   events
	order   int
	engines []*fakeEngine
	stores  []*fakeStore
	hosts   []*config.StoreHost
	tables  []*fleet.Table
	dirs    []*routing.Directory
	version uint64
	returns float64

	ttft                 []float64
	promptTokens, redone float64
	linkBytes            float64
	requests             int
	roundRobin           int
	seen                 map[int]bool
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, do})
}

func newWorld(s site, c conditions, p policy, seed uint64) *world {
	w := &world{site: s, cond: c, policy: p, random: rand.New(rand.NewPCG(seed, 7)), seen: map[int]bool{}, returns: 0.5}
	for i := range engines {
		w.engines = append(w.engines, &fakeEngine{
			id: fmt.Sprint("engine-", i), domain: fmt.Sprint("domain-", i%3), resident: map[contextkey.Key]*list.Element{}, lru: list.New(), hint: contexttransfer.NewResidency(),
		})
	}
	for i := range 2 {
		host := &config.StoreHost{ID: fmt.Sprint("store-", i), Domain: fmt.Sprint("domain-", i), LinkBytesPerSecond: linkRate}
		store := &fakeStore{host: host, stored: map[contextkey.Key]bool{}}
		for range engines {
			store.links = append(store.links, contexttransfer.NewLink(linkRate))
		}
		w.stores, w.hosts = append(w.stores, store), append(w.hosts, host)
	}
	for i := range c.entries {
		w.addEntry(i, seed)
	}
	return w
}

func (w *world) addEntry(i int, seed uint64) {
	table := fleet.NewTable(fleet.DefaultConfig(), fleet.Member{ID: fmt.Sprint("entry-", i), Domain: fmt.Sprint("domain-", i%3), Role: fleet.RoleEntry}, epoch)
	for n, e := range w.engines {
		table.Merge(fleet.Member{
			ID: e.id, Incarnation: uint64(n + 1), Version: 1, Domain: e.domain, Role: fleet.RoleAgent,
			Endpoint: fleet.Endpoint{ID: e.id, Kind: fleet.KindEngine, Labels: map[string]string{"pool": "x"}, Model: "m", WeightVersion: "v1"},
		}, epoch)
	}
	store := config.NewStore()
	store.Apply(config.Change{Revision: 1, Puts: []config.Document{
		{Ref: config.Ref{Kind: config.KindIntent, ID: "i"}, Spec: []byte(`{"service":"s","labels":{"pool":"x"},"model":"m"}`)},
	}})
	w.tables = append(w.tables, table)
	w.dirs = append(w.dirs, routing.NewDirectory(table, store, 100_000, seed+uint64(i)))
}

// report sends all engines' loads to all entries, one lag late.
func (w *world) report() {
	w.version++
	version := w.version
	loads := make([]fleet.Load, len(w.engines))
	for i := range w.engines {
		loads[i] = w.loadOf(i)
	}
	w.after(w.cond.lag, func() {
		for n, table := range w.tables {
			for i := range w.engines {
				table.SetReport(fleet.Report{Incarnation: uint64(i + 1), Version: version, Load: loads[i], At: w.clock()})
			}
			w.dirs[n].ApplyReports()
		}
	})
	if w.requests > 0 {
		w.after(500*time.Millisecond, w.report)
	}
}

// loadOf is what an engine's agent reports.
func (w *world) loadOf(i int) fleet.Load {
	e := w.engines[i]
	link := 0.0
	for _, s := range w.stores {
		link += s.links[i].Rate(w.clock()) / float64(len(w.stores))
	}
	return fleet.Load{
		AtMS: w.clock().UnixMilli(), Running: e.runs, QueuedTokens: w.backlog(e), PrefillRate: prefillRate,
		LinkRate: int(link / pieceBytes * contextkey.ChunkTokens),
	}
}

// backlog is the prefill work that an engine has, in tokens.
func (w *world) backlog(e *fakeEngine) int {
	return int(max(0, e.freeAt-w.now).Seconds() * prefillRate)
}

// contextKeys names a context's pieces; the first few may be shared by all
// contexts of one of two services.
func contextKeys(id, pieces, shared int) []contextkey.Key {
	keys := make([]contextkey.Key, pieces)
	for i := range keys {
		h := routing.HashID(fmt.Sprint(id, "/", i))
		if i < shared {
			h = routing.HashID(fmt.Sprint("shared", id%2, "/", i))
		}
		for b := range 8 {
			keys[i][b] = byte(h >> (8 * b))
		}
	}
	return keys
}

func piecesOf(s site, id int) int {
	return s.minPieces + int(routing.HashID(fmt.Sprint("size", id))%uint64(s.maxPieces-s.minPieces+1))
}

// replay runs one policy over a trace. The trace depends on the seed alone, so
// all policies see the same requests at the same times.
func replay(s site, c conditions, p policy, requests int, seed uint64) result {
	w := newWorld(s, c, p, seed)
	trace := rand.New(rand.NewPCG(seed, 99))
	mean := float64(s.minPieces+s.maxPieces) / 2 * contextkey.ChunkTokens
	// Full load is what the engines could do if every second piece were resident
	// or imported.
	perSecond := c.load * engines * prefillRate / (mean/2 + newTokens)
	w.requests = requests
	skip := int(warmup * float64(requests))
	at := time.Duration(0)
	for n := range requests {
		at += time.Duration(trace.ExpFloat64() / perSecond * float64(time.Second))
		// Contexts return after long gaps: popularity is nearly even, with some
		// that come back soon.
		id := int(math.Pow(trace.Float64(), 1.3) * float64(s.contexts))
		entry := trace.IntN(c.entries)
		heap.Push(&w.queue, event{at, n, func() { w.arrive(id, entry, n >= skip) }})
	}
	w.order = requests
	w.report()
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	sort.Float64s(w.ttft)
	q := func(p float64) float64 { return w.ttft[int(p*float64(len(w.ttft)-1))] }
	return result{p50: q(0.5), p95: q(0.95), p99: q(0.99), recomputed: w.redone / w.promptTokens, linkGB: w.linkBytes / 1e9}
}

// run is one request underway.
type run struct {
	keys     []contextkey.Key
	engine   *fakeEngine
	index    int
	began    time.Duration
	measured bool
	imported int
	done     func(cachedPieces, importedPieces int)
}

func (w *world) arrive(id, entry int, measured bool) {
	w.requests--
	const weight = 0.02
	if w.seen[id] {
		w.returns += weight * (1 - w.returns)
	} else {
		w.returns -= weight * w.returns
	}
	w.seen[id] = true
	keys := contextKeys(id, piecesOf(w.site, id), w.cond.sharedPieces)
	index, done := w.policy.choose(w, entry, keys)
	r := &run{keys: keys, engine: w.engines[index], index: index, began: w.now, measured: measured, done: done}
	w.after(w.site.rtt, func() { w.prepare(r) })
}

// residentPieces is the truth.
func (e *fakeEngine) residentPieces(keys []contextkey.Key) int {
	for i, k := range keys {
		if e.resident[k] == nil {
			return i
		}
	}
	return len(keys)
}

func (w *world) storeOf(key contextkey.Key) *fakeStore {
	best := contexttransfer.RankStores(w.hosts, key, 1)[0]
	for _, s := range w.stores {
		if s.host == best {
			return s
		}
	}
	return nil
}

// stored is how many pieces from one on are on their stores.
func (w *world) stored(keys []contextkey.Key, from int) int {
	n := 0
	for _, k := range keys[from:] {
		if !w.storeOf(k).stored[k] {
			break
		}
		n++
	}
	return n
}

// prepare imports what the policy wants and queues the prefill.
func (w *world) prepare(r *run) {
	from, n := w.policy.source(w, r)
	n = min(n, w.stored(r.keys, from))
	ready := w.now
	for _, key := range r.keys[from : from+n] {
		ready = max(ready, w.transfer(w.storeOf(key), r))
	}
	r.engine.runs++
	r.imported = n
	w.after(ready-w.now, func() {
		for _, k := range r.keys[from : from+n] {
			w.touch(r.engine, k)
		}
		w.prefill(r)
	})
}

// transfer moves one piece over a store's link and returns when it arrives.
func (w *world) transfer(store *fakeStore, r *run) time.Duration {
	took := time.Duration(float64(pieceBytes) / linkRate * float64(time.Second))
	store.freeAt = max(w.now, store.freeAt) + took
	if r.measured {
		w.linkBytes += pieceBytes
	}
	link, began, ready := store.links[r.index], w.now, store.freeAt
	link.Begin(pieceBytes)
	// An agent sees the whole wait, also behind the transfers of others.
	w.after(ready-began, func() { link.End(pieceBytes, ready-began, true, w.clock()) })
	return ready
}

func (w *world) prefill(r *run) {
	cached := r.engine.residentPieces(r.keys)
	tokens := (len(r.keys)-cached)*contextkey.ChunkTokens + newTokens
	start := max(w.now, r.engine.freeAt)
	end := start + time.Duration(float64(tokens)/prefillRate*float64(time.Second))
	r.engine.freeAt = end
	// The pieces in use are pinned from here on.
	for _, k := range r.keys {
		w.touch(r.engine, k)
	}
	w.after(end-w.now, func() { w.started(r, cached, tokens) })
}

func (w *world) started(r *run, cached, tokens int) {
	r.engine.runs--
	for _, k := range r.keys {
		// An agent knows what it ran, whatever events are lost.
		r.engine.hint.MarkUsed(k, w.clock())
	}
	if r.measured {
		w.ttft = append(w.ttft, float64((w.now-r.began+w.site.rtt).Microseconds())/1000)
		w.promptTokens += float64(len(r.keys)*contextkey.ChunkTokens + newTokens)
		w.redone += float64(tokens)
	}
	r.done(cached, r.imported)
	w.export(r)
}

// export copies what is worth it while the budget allows.
func (w *world) export(r *run) {
	if !w.policy.exports {
		return
	}
	for _, k := range r.keys {
		store := w.storeOf(k)
		if store.stored[k] {
			continue
		}
		link := store.links[r.index]
		worth := contexttransfer.BenefitRatio(contexttransfer.CopyCandidate{
			ReturnProbability: w.returns, ChunkBytes: pieceBytes, PrefillRate: prefillRate, Objective: w.site.objective, LinkRate: link.Rate(w.clock()),
		})
		if (worth < 1 && !w.policy.always) || !link.AllowUpload(pieceBytes, engines, w.clock()) {
			return
		}
		if r.measured {
			w.linkBytes += pieceBytes
		}
		store.stored[k] = true
	}
}

// touch makes a piece resident and most recently used; events tell the agent,
// unless they are lost.
func (w *world) touch(e *fakeEngine, k contextkey.Key) {
	if at, ok := e.resident[k]; ok {
		e.lru.MoveToFront(at)
		return
	}
	e.resident[k] = e.lru.PushFront(k)
	if w.random.Float64() >= w.cond.lostEvents {
		e.hint.MarkStored(k, w.clock())
	}
	for e.lru.Len() > cachePieces {
		last := e.lru.Back()
		gone := last.Value.(contextkey.Key)
		e.lru.Remove(last)
		delete(e.resident, gone)
		if w.random.Float64() >= w.cond.lostEvents {
			e.hint.MarkEvicted(gone)
		}
	}
}
