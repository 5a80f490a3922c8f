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
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
)

// Directory keeps the endpoints of each service ready for decisions, and what
// this entry has itself done to them.
type Directory struct {
	table *fleet.Table
	store *config.Store
	index *Index

	mu              sync.Mutex
	fleetGeneration uint64
	configRevision  uint64
	endpoints       map[string][]Endpoint
	// localEndpoints holds the endpoints of each service in this process's own domain.
	localEndpoints map[string][]Endpoint
	capacity       map[string]int
	tracked        map[string]*trackedEndpoint
	// peers are the other processes by their life, peerWork what they have underway by
	// endpoint, heardFrom counts them by failure domain.
	peers          map[uint64]peer
	peerWork       map[uint32]*Work
	reportingPeers map[string]int
	// modelRates by model.
	modelRates map[string]*modelRate
	random     *rand.Rand
}

// NewDirectory returns a directory over a fleet table and a configuration. The
// seed makes its random choices repeatable in tests.
func NewDirectory(table *fleet.Table, store *config.Store, indexSize int, seed uint64) *Directory {
	return &Directory{
		table: table, store: store, index: NewIndex(indexSize),
		endpoints: map[string][]Endpoint{}, tracked: map[string]*trackedEndpoint{},
		peers: map[uint64]peer{}, peerWork: map[uint32]*Work{}, reportingPeers: map[string]int{},
		modelRates: map[string]*modelRate{}, random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// refresh rebuilds the services' endpoint lists when the fleet or the
// configuration has changed; decisions in between reuse them.
func (d *Directory) refresh(now time.Time) {
	view, generation := d.store.View(), d.table.Generation()
	if d.fleetGeneration == generation && d.configRevision == view.Revision {
		return
	}
	members := d.table.Members()
	d.endpoints, d.localEndpoints = map[string][]Endpoint{}, map[string][]Endpoint{}
	d.capacity = map[string]int{}
	for service, intents := range view.Intents {
		for _, m := range members {
			if intent := firstUsableIntent(intents, m); intent != nil {
				d.endpoints[service] = append(d.endpoints[service], Endpoint{
					Member: m, Hash: HashID(m.ID), MaxConcurrent: intent.MaxConcurrent, RuntimeState: &d.track(m, now).RuntimeState,
				})
			}
		}
		list := d.endpoints[service]
		sort.Slice(list, func(i, j int) bool { return list[i].Hash < list[j].Hash })
		d.capacity[service] = totalCapacity(list)
		d.localEndpoints[service] = endpointsInDomain(list, d.table.Self().Domain)
	}
	d.removeDead(members)
	d.fleetGeneration, d.configRevision = generation, view.Revision
}

// endpointsInDomain keeps the endpoints of one failure domain, in their order.
func endpointsInDomain(list []Endpoint, domain string) []Endpoint {
	var out []Endpoint
	for _, e := range list {
		if e.Domain == domain {
			out = append(out, e)
		}
	}
	return out
}

func firstUsableIntent(intents []*config.Intent, m fleet.Member) *config.Intent {
	for _, i := range intents {
		if plan.Usable(i, m) {
			return i
		}
	}
	return nil
}

func (d *Directory) track(m fleet.Member, now time.Time) *trackedEndpoint {
	t, ok := d.tracked[m.ID]
	if !ok || t.incarnation != m.Incarnation {
		if ok {
			// An endpoint that has started anew holds nothing of what it was sent.
			d.index.RemoveEndpoint(HashID(m.ID))
		}
		t = &trackedEndpoint{incarnation: m.Incarnation, domain: m.Domain, RuntimeState: RuntimeState{
			FirstSeen: now, PeerWork: d.peerWorkOf(WorkID(m.ID, m.Incarnation)), HasPeerReports: d.reportingPeers[m.Domain] > 0,
			ModelRate: d.modelRateOf(m.Endpoint.Model),
		}}
		if len(d.tracked) == 0 || d.fleetGeneration == 0 {
			// What this entry finds at its own start is not new to the fleet.
			t.FirstSeen = now.Add(-slowStart)
		}
		d.tracked[m.ID] = t
	}
	return t
}

func (d *Directory) modelRateOf(model string) *modelRate {
	if d.modelRates[model] == nil {
		d.modelRates[model] = &modelRate{}
	}
	return d.modelRates[model]
}

func (d *Directory) removeDead(members []fleet.Member) {
	live := map[string]bool{}
	for _, m := range members {
		live[m.ID] = m.State != fleet.Dead
	}
	for id, t := range d.tracked {
		if !live[id] && t.Running == 0 {
			delete(d.tracked, id)
		}
	}
	d.removeIdlePeerWork()
}

// removeIdlePeerWork drops the sums of endpoints that are not known and have no work.
func (d *Directory) removeIdlePeerWork() {
	known := make(map[uint32]bool, len(d.tracked))
	for id, t := range d.tracked {
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
	for id, t := range d.tracked {
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
	t, ok := d.tracked[member]
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
	if t := d.trackedFor(c); t != nil {
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
	endpointHash uint64
	seen         bool
	heldTokens   int
	chosenAt     time.Time
	prefill      *prefill
}

// prefill is a run's prompt until its answer begins.
type prefill struct {
	// tokens to be read for it, and queuedTokens before them, as decided.
	tokens, queuedTokens int
	urgency              int
	done                 bool
}

// Choose decides for a service's request and counts it as sent; call Done when
// the run has ended. keys may be nil.
func (d *Directory) Choose(service string, keys []contextkey.Key, r *Request) Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(r.Now)
	var buffer [holdersPerChunk + 1]Holding
	if !r.HoldingsKnown {
		r.Holdings = d.index.Lookup(keys, r.ChunkEnds, r.Now, buffer[:0])
	}
	seen := len(r.Holdings) > 0
	if !r.SegmentsKnown {
		r.ImportShare = d.index.ImportShare(seen)
	}
	r.ContextTokens, r.KnownTokens, r.KnownAge = tokensUpTo(r.ChunkEnds, len(keys)), 0, 0
	for _, h := range r.Holdings {
		if h.Tokens > r.KnownTokens {
			r.KnownTokens, r.KnownAge = h.Tokens, h.Age
		}
	}
	if len(keys) > 0 && !r.PlacementHashKnown {
		root := d.index.PlacementKey(keys)
		r.PlacementHash = PlacementHash([]contextkey.Key{root}, "")
	}
	if list := d.endpoints[service]; len(list) > 0 && !r.HoldingsKnown {
		preferred := preferredEndpoints(list, r.PlacementHash)[0].Hash
		r.Holdings = d.index.AddPreferred(preferred, r.ContextTokens, r.Holdings)
	}
	if r.CrossDomainPenalty > 0 {
		r.Local = d.localEndpoints[service]
	}
	v := Decide(d.endpoints[service], r, d.random)
	if v.Endpoint == nil {
		return Choice{Refusal: v.Refusal}
	}
	e := v.Endpoint
	snapshot := d.tracked[e.ID].snapshot(r.Now)
	e.Running++
	e.HeldTokens += r.HeldTokens
	pending := &prefill{tokens: v.WorkTokens, queuedTokens: e.queuedTokens(r.Urgency), urgency: r.Urgency}
	e.Unread[r.Urgency] += v.WorkTokens
	d.tracked[e.ID].recordSend(v.WorkTokens, r.Now)
	c := Choice{
		Member: e.Member, Reason: v.Reason, TTFT: v.TTFT, Wait: v.Wait, CapacityWait: v.CapacityWait, CachedTokens: v.CachedTokens, keys: keys, endpointHash: e.Hash, seen: seen,
		heldTokens: r.HeldTokens, chosenAt: r.Now, LoadSnapshot: snapshot, prefill: pending,
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
	d.index.Add(c.keys, c.endpointHash, now)
}

// UsableMembers lists the members that a service may use now.
func (d *Directory) UsableMembers(service string, now time.Time) []fleet.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now)
	out := make([]fleet.Member, 0, len(d.endpoints[service]))
	for _, e := range d.endpoints[service] {
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

func totalCapacity(list []Endpoint) int {
	sum := 0
	for _, e := range list {
		if e.MaxConcurrent == 0 {
			return 0
		}
		sum += e.MaxConcurrent
	}
	return sum
}
