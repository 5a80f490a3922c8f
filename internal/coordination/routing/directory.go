package routing

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/fleet"
)

const (
	// failuresToEject in a row take an endpoint out of decisions for a while.
	failuresToEject = 3
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
)

// Directory keeps the endpoints of each service ready for decisions, and what
// this entry has itself done to them.
type Directory struct {
	table *fleet.Table
	store *config.Store
	index *Index

	mu         sync.Mutex
	generation uint64
	revision   uint64
	services   map[string][]Endpoint
	// near holds the endpoints of each service in this process's own domain.
	near     map[string][]Endpoint
	capacity map[string]int
	dynamic  map[string]*tracked
	// peers are the other processes by their life, peerWork what they have underway by
	// endpoint, heardFrom counts them by failure domain.
	peers     map[uint64]peer
	peerWork  map[uint32]*Work
	heardFrom map[string]int
	// rates by model.
	rates  map[string]*rates
	random *rand.Rand
}

// NewDirectory returns a directory over a fleet table and a configuration. The
// seed makes its random choices repeatable in tests.
func NewDirectory(table *fleet.Table, store *config.Store, indexSize int, seed uint64) *Directory {
	return &Directory{
		table: table, store: store, index: NewIndex(indexSize),
		services: map[string][]Endpoint{}, dynamic: map[string]*tracked{},
		peers: map[uint64]peer{}, peerWork: map[uint32]*Work{}, heardFrom: map[string]int{},
		rates: map[string]*rates{}, random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// refresh rebuilds the services' endpoint lists when the fleet or the
// configuration has changed; decisions in between reuse them.
func (d *Directory) refresh(now time.Time) {
	view, generation := d.store.View(), d.table.Generation()
	if d.generation == generation && d.revision == view.Revision {
		return
	}
	members := d.table.Members()
	d.services, d.near = map[string][]Endpoint{}, map[string][]Endpoint{}
	d.capacity = map[string]int{}
	for service, intents := range view.Intents {
		for _, m := range members {
			if intent := firstUsable(intents, m); intent != nil {
				d.services[service] = append(d.services[service], Endpoint{
					Member: m, Hash: HashID(m.ID), MaxConcurrent: intent.MaxConcurrent, RuntimeState: &d.track(m, now).RuntimeState,
				})
			}
		}
		list := d.services[service]
		sort.Slice(list, func(i, j int) bool { return list[i].Hash < list[j].Hash })
		d.capacity[service] = sumCapacity(list)
		d.near[service] = inDomain(list, d.table.Self().Domain)
	}
	d.forgetGone(members)
	d.generation, d.revision = generation, view.Revision
}

// inDomain keeps the endpoints of one failure domain, in their order.
func inDomain(list []Endpoint, domain string) []Endpoint {
	var out []Endpoint
	for _, e := range list {
		if e.Domain == domain {
			out = append(out, e)
		}
	}
	return out
}

func firstUsable(intents []*config.Intent, m fleet.Member) *config.Intent {
	for _, i := range intents {
		if plan.Usable(i, m) {
			return i
		}
	}
	return nil
}

func (d *Directory) track(m fleet.Member, now time.Time) *tracked {
	t, ok := d.dynamic[m.ID]
	if !ok || t.incarnation != m.Incarnation {
		if ok {
			// An endpoint that has started anew holds nothing of what it was sent.
			d.index.RemoveEndpoint(HashID(m.ID))
		}
		t = &tracked{incarnation: m.Incarnation, domain: m.Domain, RuntimeState: RuntimeState{
			FirstSeen: now, PeerWork: d.workAt(WorkID(m.ID, m.Incarnation)), HasPeerReports: d.heardFrom[m.Domain] > 0,
			ModelRate: d.ratesOf(m.Endpoint.Model),
		}}
		if len(d.dynamic) == 0 || d.generation == 0 {
			// What this entry finds at its own start is not new to the fleet.
			t.FirstSeen = now.Add(-slowStart)
		}
		d.dynamic[m.ID] = t
	}
	return t
}

func (d *Directory) ratesOf(model string) *rates {
	if d.rates[model] == nil {
		d.rates[model] = &rates{}
	}
	return d.rates[model]
}

func (d *Directory) forgetGone(members []fleet.Member) {
	live := map[string]bool{}
	for _, m := range members {
		live[m.ID] = m.State != fleet.Dead
	}
	for id, t := range d.dynamic {
		if !live[id] && t.Running == 0 {
			delete(d.dynamic, id)
		}
	}
	d.forgetIdleWork()
}

// forgetIdleWork drops the sums of endpoints that are not known and have no work.
func (d *Directory) forgetIdleWork() {
	known := make(map[uint32]bool, len(d.dynamic))
	for id, t := range d.dynamic {
		known[WorkID(id, t.incarnation)] = true
	}
	for endpoint, sum := range d.peerWork {
		if !known[endpoint] && *sum == (Work{Endpoint: endpoint}) {
			delete(d.peerWork, endpoint)
		}
	}
}

// ApplyReports takes in load reports that came through the fleet.
func (d *Directory) ApplyReports() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, t := range d.dynamic {
		if r, ok := d.table.ReportOf(id); ok && r.Incarnation == t.incarnation {
			t.observe(r.Load, r.At)
		}
	}
}

// Properties of an endpoint that do not change while it lives; 0 means unknown.
type Properties struct {
	// Slots is how many requests it runs at once.
	Slots int
	// MemoryTokens is an engine's memory.
	MemoryTokens int
	// PrefillRate in tokens per second is assumed until the endpoint reports one.
	// Without it an endpoint that was never used would look slower than the others,
	// and never be used.
	PrefillRate int
	// LinkRate in tokens per second at which context comes from stores, assumed in
	// the same way.
	LinkRate int
	// CountsOnly tells that its reports hold counts of requests, but no tokens.
	CountsOnly bool
}

// SetProperties tells an endpoint's properties.
func (d *Directory) SetProperties(member string, p Properties, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now)
	t, ok := d.dynamic[member]
	if !ok {
		return
	}
	t.Slots, t.MemoryTokens, t.CountsOnly = p.Slots, p.MemoryTokens, p.CountsOnly
	if t.Load.PrefillRate == 0 {
		t.assumedRate = float64(p.PrefillRate)
		t.Load.PrefillRate, t.Load.LinkRate = p.PrefillRate, p.LinkRate
	}
}

// ObserveLoad takes in a load that came along with a choice's answer. That of an endpoint that
// has started anew meanwhile says nothing of the present start.
func (d *Directory) ObserveLoad(c Choice, load fleet.Load, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.open(c); t != nil {
		t.observe(load, now)
	}
}

// Choice is a decision with what its outcome will be compared to.
type Choice struct {
	Member     fleet.Member
	Reason     Reason
	TTFT, Wait time.Duration
	// CapacityWait is the part of Wait that is for a slot and memory.
	CapacityWait time.Duration
	CachedTokens int
	Refusal      Refusal
	// LoadSnapshot is what the decision took the endpoint's state to be.
	LoadSnapshot LoadSnapshot
	holding      Holding
	keys         []contextkey.Key
	hash         uint64
	seen         bool
	held         int
	began        time.Time
	reading      *reading
}

// reading is a run's prompt until its answer begins.
type reading struct {
	// tokens to be read for it, and queued before them, as decided.
	tokens, queued int
	urgency        int
	ended          bool
}

// Choose decides for a service's request and counts it as sent; call Done when
// the run has ended. keys may be nil.
func (d *Directory) Choose(service string, keys []contextkey.Key, r *Request) Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(r.Now)
	var space [holders + 1]Holding
	if !r.HoldingsKnown {
		r.Holdings = d.index.Lookup(keys, r.ChunkEnds, r.Now, space[:0])
	}
	seen := len(r.Holdings) > 0
	if !r.SegmentsKnown {
		r.ImportShare = d.index.ImportShare(seen)
	}
	r.ContextTokens, r.KnownTokens, r.KnownAge = tokensTo(r.ChunkEnds, len(keys)), 0, 0
	for _, h := range r.Holdings {
		if h.Tokens > r.KnownTokens {
			r.KnownTokens, r.KnownAge = h.Tokens, h.Age
		}
	}
	if len(keys) > 0 && !r.PlacementHashKnown {
		root := d.index.PlacementKey(keys)
		r.PlacementHash = PlacementHash([]contextkey.Key{root}, "")
	}
	if list := d.services[service]; len(list) > 0 && !r.HoldingsKnown {
		home := homesOf(list, r.PlacementHash)[0].Hash
		r.Holdings = d.index.AddPreferred(home, r.ContextTokens, r.Holdings)
	}
	if r.CrossDomainPenalty > 0 {
		r.Local = d.near[service]
	}
	v := Decide(d.services[service], r, d.random)
	if v.Endpoint == nil {
		return Choice{Refusal: v.Refusal}
	}
	e := v.Endpoint
	believed := d.dynamic[e.ID].belief(r.Now)
	e.Running++
	e.HeldTokens += r.HeldTokens
	read := &reading{tokens: v.WorkTokens, queued: e.queuedTokens(r.Urgency), urgency: r.Urgency}
	e.Unread[r.Urgency] += v.WorkTokens
	d.dynamic[e.ID].sent(v.WorkTokens, r.Now)
	c := Choice{
		Member: e.Member, Reason: v.Reason, TTFT: v.TTFT, Wait: v.Wait, CapacityWait: v.CapacityWait, CachedTokens: v.CachedTokens, keys: keys, hash: e.Hash, seen: seen,
		held: r.HeldTokens, began: r.Now, LoadSnapshot: believed, reading: read,
	}
	for _, h := range r.Holdings {
		if h.Endpoint == e.Hash {
			c.holding = h
		}
	}
	return c
}

// RecordCachedTokens tells what the engine found for a choice: cached tokens in all, and
// those of them that were imported for it.
func (d *Directory) RecordCachedTokens(c Choice, cachedTokens, importedTokens int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	resident := cachedTokens - importedTokens
	d.index.ObserveHit(c.holding, resident)
	d.index.ObserveImport(c.seen, len(c.keys)*contextkey.PieceTokens-resident, importedTokens)
	d.index.Add(c.keys, c.hash, now)
}

// UsableMembers lists the members that a service may use now.
func (d *Directory) UsableMembers(service string, now time.Time) []fleet.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now)
	out := make([]fleet.Member, 0, len(d.services[service]))
	for _, e := range d.services[service] {
		out = append(out, e.Member)
	}
	return out
}

// Capacity is the number of runs that this entry may have on a service's
// endpoints together; 0 means no bound.
func (d *Directory) Capacity(service string, now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now)
	return d.capacity[service]
}

func sumCapacity(list []Endpoint) int {
	sum := 0
	for _, e := range list {
		if e.MaxConcurrent == 0 {
			return 0
		}
		sum += e.MaxConcurrent
	}
	return sum
}
