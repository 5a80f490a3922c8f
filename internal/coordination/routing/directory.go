package routing

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/coordination/warmup"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/fleet"
)

const (
	// failuresToEject is how many failed runs in a row eject an endpoint for a while.
	failuresToEject = 3
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
)

// Directory holds the endpoints of each service for decisions, their reported load
// and what this process has itself sent to them.
type Directory struct {
	// Pushback holds what the endpoints ask for.
	Pushback *pushback.Registry
	// Senders returns how many processes send to the endpoints, this one among them, for limits that
	// come with load reports. If nil, only this one does. Set it before use.
	Senders func() int

	table *fleet.Table
	store *config.Store
	index *Index

	mu              sync.Mutex
	fleetGeneration uint64
	configRevision  uint64
	// endpoints, localEndpoints (those in this process's own failure domain) and
	// capacity are by service, tracked by member id.
	endpoints      map[string][]Endpoint
	localEndpoints map[string][]Endpoint
	capacity       map[string]int
	tracked        map[string]*trackedEndpoint
	// peers are the last reports of other processes by Sender, peerWork what they have
	// in flight by WorkID, and reportingPeers their number by failure domain.
	peers          map[uint64]peer
	peerWork       map[uint32]*Work
	reportingPeers map[string]int
	// senders is what Senders returned when the fleet last changed.
	senders int
	// modelRates holds the mean prefill rates by model.
	modelRates map[string]*modelRate
	// hasChosen is set once an endpoint was chosen.
	hasChosen bool
	// callTimes holds the mean times of plain calls by service.
	callTimes map[string]*callTime
	random    *rand.Rand
}

// NewDirectory returns a directory over a fleet table and a configuration. The
// seed makes its random choices repeatable in tests.
func NewDirectory(table *fleet.Table, store *config.Store, indexSize int, seed uint64) *Directory {
	return &Directory{
		Pushback: pushback.NewRegistry(), senders: 1,
		table: table, store: store, index: NewIndex(indexSize),
		endpoints: map[string][]Endpoint{}, tracked: map[string]*trackedEndpoint{},
		peers: map[uint64]peer{}, peerWork: map[uint32]*Work{}, reportingPeers: map[string]int{},
		modelRates: map[string]*modelRate{}, callTimes: map[string]*callTime{}, random: rand.New(rand.NewPCG(seed, seed)),
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
			if view.Evacuations[m.Domain] != nil {
				continue
			}
			if intent := firstUsableIntent(intents, m); intent != nil {
				d.endpoints[service] = append(d.endpoints[service], Endpoint{
					Member: m, Hash: HashID(m.ID), MaxConcurrent: intent.MaxConcurrent, ColdRate: intent.ColdRate, RuntimeState: &d.track(m, now).RuntimeState,
				})
			}
		}
		list := d.endpoints[service]
		sort.Slice(list, func(i, j int) bool { return list[i].Hash < list[j].Hash })
		d.capacity[service] = totalCapacity(list)
		d.localEndpoints[service] = endpointsInDomain(list, d.table.Self().Domain)
	}
	d.removeDead(members)
	if d.Senders != nil {
		d.senders = max(1, d.Senders())
	}
	d.fleetGeneration, d.configRevision = generation, view.Revision
}

// endpointsInDomain returns the endpoints of one failure domain, in their order.
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
		if plan.IsUsable(i, m) {
			return i
		}
	}
	return nil
}

// track returns what is known about a member. It starts from scratch if the member is new or
// has restarted.
func (d *Directory) track(m fleet.Member, now time.Time) *trackedEndpoint {
	t, ok := d.tracked[m.ID]
	if !ok || t.incarnation != m.Incarnation {
		if ok {
			// A restarted endpoint holds no context that was sent to it before.
			d.index.RemoveEndpoint(HashID(m.ID))
			d.Pushback.Retire(m.ID, t.incarnation)
		}
		t = &trackedEndpoint{incarnation: m.Incarnation, domain: m.Domain, RuntimeState: RuntimeState{
			FirstSeen: now, PeerWork: d.peerWorkOf(WorkID(m.ID, m.Incarnation)), HasPeerReports: d.reportingPeers[m.Domain] > 0,
			ModelRate: d.modelRateOf(m.Endpoint.Model), Pushback: d.Pushback.Endpoint(m.ID, m.Incarnation, m.Domain),
		}}
		if !d.hasChosen {
			// Endpoints that this process finds before its first choice were in use before it started.
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

// removeDead stops tracking endpoints that are gone or dead, unless this process still has runs
// there.
func (d *Directory) removeDead(members []fleet.Member) {
	live := map[string]bool{}
	for _, m := range members {
		live[m.ID] = m.State != fleet.Dead
	}
	for id, t := range d.tracked {
		if !live[id] && t.Running == 0 {
			delete(d.tracked, id)
			d.Pushback.Retire(id, t.incarnation)
		}
	}
	d.removeIdlePeerWork()
	d.removeUnusedCallTimes()
}

// removeIdlePeerWork removes the sums of unknown endpoints without work.
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

// ApplyReports applies the load reports of the fleet table.
func (d *Directory) ApplyReports() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, t := range d.tracked {
		if r, ok := d.table.ReportOf(id); ok && r.Incarnation == t.incarnation {
			t.observeReport(r.Load, d.senders, r.At)
		}
	}
}

// Properties are those of an endpoint that do not change while its process runs; 0 means
// unknown.
type Properties struct {
	// Slots is how many requests it runs at once.
	Slots int
	// MemoryTokens is the engine's memory for context and running requests.
	MemoryTokens int
	// PrefillRate, in tokens per second, is assumed until the endpoint reports one.
	// Without it an endpoint that was never used would look slower than the others
	// and never be used.
	PrefillRate int
	// LinkRate is the rate, in tokens per second, at which context is imported from
	// stores, assumed in the same way.
	LinkRate int
	// CountsOnly is set if its reports hold counts of requests, but no tokens.
	CountsOnly bool
	// PlainService names the service whose plain calls it serves, empty if it runs a model.
	PlainService string
}

// SetProperties sets the properties of an endpoint. Unknown members are ignored.
func (d *Directory) SetProperties(member string, p Properties, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now)
	t, ok := d.tracked[member]
	if !ok {
		return
	}
	t.Slots, t.MemoryTokens, t.CountsOnly = p.Slots, p.MemoryTokens, p.CountsOnly
	t.CallTime = nil
	if p.PlainService != "" {
		t.CallTime = d.callTimeOf(p.PlainService)
	}
	if t.Load.PrefillRate == 0 {
		t.assumedRate = float64(p.PrefillRate)
		t.Load.PrefillRate, t.Load.LinkRate = p.PrefillRate, p.LinkRate
	}
}

// ObserveLoad applies a load that came with the answer to a choice and says nothing of what the
// endpoint asks for. It is ignored if the endpoint has restarted since, because it describes the
// earlier incarnation.
func (d *Directory) ObserveLoad(c Choice, load fleet.Load, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.trackedFor(c); t != nil {
		t.observe(load, now)
	}
}

// ObserveReport applies an agent's report that came with the answer to a choice. It holds the load and
// what the endpoint asks for, and is ignored like a load.
func (d *Directory) ObserveReport(c Choice, report fleet.Load, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.trackedFor(c); t != nil {
		t.observeReport(report, d.senders, now)
	}
}

// ObservePushback applies what the answer to a choice asks for. It is ignored if the endpoint has
// restarted since.
func (d *Directory) ObservePushback(c Choice, s pushback.Signal, sent, now time.Time) {
	d.mu.Lock()
	t := d.trackedFor(c)
	d.mu.Unlock()
	if t != nil {
		t.Pushback.Observe(s, sent, now)
	}
}

// Choice is a decision of Choose, with the expectations that its outcome is compared to.
// A Choice without a Member is a refusal.
type Choice struct {
	Member     fleet.Member
	Reason     Reason
	TTFT, Wait time.Duration
	// CapacityWait is the part of Wait that is for a slot and memory.
	CapacityWait time.Duration
	CachedTokens int
	Refusal      Refusal
	// RetryIn is set with RefusalAllCold and RefusalPushback: when the first of the endpoints may be
	// usable.
	RetryIn time.Duration
	// LoadSnapshot is the endpoint's state as the decision saw it.
	LoadSnapshot LoadSnapshot
	holding      Holding
	keys         []contextkey.Key
	endpointHash uint64
	// seen is set if any holding of the context was known.
	seen       bool
	heldTokens int
	chosenAt   time.Time
	// slowdown is how many times as long as usual the work was expected to take.
	slowdown float64
	prefill  *prefill
	// isProbe is set if the endpoint was on probation.
	isProbe bool
}

// prefill is the computation of a run's prompt, until its answer begins.
type prefill struct {
	// tokens are to be computed for the prompt and queuedTokens before them, as expected
	// by the decision.
	tokens, queuedTokens int
	// otherWait is the part of the expected time to the first token that depends neither on these
	// tokens nor on the model: transfers, slots, memory and the way.
	otherWait time.Duration
	urgency   int
	done      bool
	// answered is set once a first token has come: the run is a stream.
	answered bool
}

// Choose picks an endpoint for a request to a service and counts the request as sent.
// It fills in r what the caller left unknown. keys may be nil. The caller ends the run
// with Done, DoneUnreachable, DoneRefused or Release.
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
		key := d.index.PlacementKey(keys)
		r.PlacementHash = PlacementHash([]contextkey.Key{key}, "")
	}
	if list := d.endpoints[service]; len(list) > 0 && !r.HoldingsKnown {
		preferred := preferredEndpoints(list, r.PlacementHash)[0].Hash
		r.Holdings = d.index.AddPreferred(preferred, r.ContextTokens, r.Holdings)
	}
	r.UsableLimited = r.UsableLimited[:0]
	for _, id := range d.Pushback.Usable(r.Now) {
		r.UsableLimited = append(r.UsableLimited, HashID(id))
	}
	if r.CrossDomainPenalty > 0 {
		r.Local = d.localEndpoints[service]
	}
	decision := Decide(d.endpoints[service], r, d.random)
	if decision.Endpoint == nil {
		if decision.Refusal == RefusalPushback {
			for _, e := range d.endpoints[service] {
				e.Pushback.RecordUnserved(r.Now)
			}
		}
		return Choice{Refusal: decision.Refusal, RetryIn: decision.RetryIn}
	}
	d.hasChosen = true
	e := decision.Endpoint
	snapshot := d.tracked[e.ID].snapshot(r.Now)
	if e.isCold(r.Now) {
		e.Warmup.Record(r.Now)
	}
	e.Running++
	if e.OnProbation {
		e.Probes++
	}
	e.HeldTokens += r.HeldTokens
	pending := &prefill{tokens: decision.WorkTokens, queuedTokens: e.queuedTokens(r.Urgency), urgency: r.Urgency}
	usual := e.fixedTime() + e.usualCallTime() + seconds(float64(pending.tokens)/e.prefillRate())
	slowdown := e.slowdown(r.Now, usual)
	pending.otherWait = decision.TTFT - time.Duration(slowdown*float64(usual+seconds(float64(pending.queuedTokens)/e.prefillRate())))
	e.Unread[r.Urgency] += decision.WorkTokens
	d.tracked[e.ID].recordSend(decision.WorkTokens, r.Now)
	e.Pushback.RecordSend(r.Now)
	c := Choice{
		Member: e.Member, Reason: decision.Reason, TTFT: decision.TTFT, Wait: decision.Wait, CapacityWait: decision.CapacityWait, CachedTokens: decision.CachedTokens, keys: keys, endpointHash: e.Hash, seen: seen,
		heldTokens: r.HeldTokens, chosenAt: r.Now, slowdown: slowdown, LoadSnapshot: snapshot, prefill: pending, isProbe: e.OnProbation,
	}
	for _, h := range r.Holdings {
		if h.Endpoint == e.Hash {
			c.holding = h
		}
	}
	return c
}

// RecordCachedTokens records how many of the prompt's tokens the engine found cached, and
// how many of those were imported for this run, and that the endpoint now holds the context.
func (d *Directory) RecordCachedTokens(c Choice, cachedTokens, importedTokens int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	resident := cachedTokens - importedTokens
	d.index.ObserveHit(c.holding, resident)
	d.index.ObserveImport(c.seen, len(c.keys)*contextkey.ChunkTokens-resident, importedTokens)
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

// ColdEndpoints lists the cold endpoints of this process's failure domain. It implements
// warmup.Directory.
func (d *Directory) ColdEndpoints(now time.Time) []warmup.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now)
	var out []warmup.Endpoint
	for _, list := range d.localEndpoints {
		for i := range list {
			if e := &list[i]; e.isCold(now) {
				out = append(out, warmup.Endpoint{ID: e.ID, Incarnation: e.Incarnation, Until: e.Member.Endpoint.ColdUntil, PerSecond: e.ColdRate})
			}
		}
	}
	return out
}

// AllowCold lets an endpoint get requests while it is cold, unless it has restarted since it was
// claimed. It implements warmup.Directory.
func (d *Directory) AllowCold(id string, incarnation uint64, w *warmup.Window) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.tracked[id]; t != nil && t.incarnation == incarnation {
		t.Warmup = w
	}
}

// Capacity returns how many runs this process may have at all endpoints of a service
// together; 0 means no bound.
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
