package contexttransfer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/state/blockseal"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/state/residency"
	"limpetwall/internal/transport/boundedqueue"
	"limpetwall/internal/transport/engine"
	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/kvstore"
)

const (
	// exportQueueSize bounds the contexts waiting to be copied; more are dropped.
	exportQueueSize = 256
	// maxSeenContexts bounds the contexts remembered for the return rate.
	maxSeenContexts = 100_000
	// writeSize is the size of one write to a store, in bytes.
	writeSize = 1 << 20
	// exportTimeout bounds the copy of one context.
	exportTimeout = 30 * time.Second
)

// OpenStore returns the client of a store host.
type OpenStore func(url string) kvstore.Store

// Mover copies contexts between one engine and the stores.
type Mover struct {
	engine    engine.Engine
	openStore OpenStore
	config    *config.Store
	agents    func() int
	log       *zap.Logger
	metrics   metrics.Registry
	exports   *boundedqueue.Queue[export]

	mu         sync.Mutex
	remoteByID map[string]*remote
	residency  *Residency
	returnRate *returnTracker
	// stored holds the chunks that this agent copied to or found on a store.
	stored  map[contextkey.Key]bool
	hitRate float64
}

type remote struct {
	host *config.StoreHost
	kv   kvstore.Store
	link *Link
}

type export struct {
	customer *config.Customer
	regions  residency.Rule
	keys     []contextkey.Key
	bytes    int64
}

// HTTPStore opens stores through their HTTP adapter.
func HTTPStore() OpenStore {
	client := &http.Client{Transport: httpjson.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute})}
	return func(url string) kvstore.Store { return kvstore.NewClient(url, client) }
}

// NewMover returns a mover for an engine. agents returns how many agents share the links.
func NewMover(eng engine.Engine, open OpenStore, store *config.Store, agents func() int, logger *zap.Logger, registry metrics.Registry) *Mover {
	return &Mover{
		engine: eng, openStore: open, config: store, agents: agents, log: logger, metrics: registry,
		exports: boundedqueue.New[export](exportQueueSize), remoteByID: map[string]*remote{}, residency: NewResidency(),
		returnRate: newReturnTracker(maxSeenContexts), stored: map[contextkey.Key]bool{}, hitRate: 0.5,
	}
}

// remoteOf returns the client and link of a store. They are new if the store's URL or link rate
// has changed.
func (m *Mover) remoteOf(host *config.StoreHost) *remote {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.remoteByID[host.ID]
	if !ok || r.host.URL != host.URL || r.host.LinkBytesPerSecond != host.LinkBytesPerSecond {
		r = &remote{host: host, kv: m.openStore(host.URL), link: NewLink(float64(host.LinkBytesPerSecond))}
		m.remoteByID[host.ID] = r
	}
	return r
}

// remotes returns the stores of a chunk in the allowed regions, best first.
func (m *Mover) remotes(regions residency.Rule, chunk contextkey.Key, copies int) []*remote {
	hosts := RankStores(allowedStores(m.config.View().StoreHosts, regions), chunk, copies)
	out := make([]*remote, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, m.remoteOf(h))
	}
	return out
}

// LinkRate returns the mean rate of the links to the stores, in tokens a second.
func (m *Mover) LinkRate(chunkBytes int64) int {
	if chunkBytes <= 0 {
		return 0
	}
	hosts := m.config.View().StoreHosts
	total := 0.0
	for _, h := range hosts {
		total += m.remoteOf(h).link.Rate(time.Now())
	}
	return int(total / float64(max(1, len(hosts))) / float64(chunkBytes) * contextkey.ChunkTokens)
}

// Prompt describes a run whose context may be imported or exported.
type Prompt struct {
	Customer     *config.Customer
	Service      *config.Service
	Keys         []contextkey.Key
	Status       engine.Status
	QueuedTokens int
	RequestID    string
}

// regions returns the regions in which the prompt's context may be.
func (p Prompt) regions() residency.Rule {
	return residency.Intersect(p.Service.Regions, p.Customer.Regions)
}

// ImportContext imports the chunks that are worth importing before a run, and returns the number
// of imported tokens. The engine recomputes all that could not be imported.
func (m *Mover) ImportContext(ctx context.Context, p Prompt) int {
	if len(p.Keys) == 0 {
		return 0
	}
	m.returnRate.observe(p.Keys[0])
	plan := PlanImport(m.importInput(p, m.residentChunks(p.Keys)))
	imported := 0
	for _, key := range p.Keys[plan.From:plan.To] {
		found := m.importChunk(ctx, p, key)
		m.recordLookup(key, found)
		if !found {
			break
		}
		imported++
	}
	metrics.GetOrRegisterCounter("agent.imported_pieces", m.metrics).Inc(int64(imported))
	return imported * contextkey.ChunkTokens
}

// importInput returns the input of PlanImport for a prompt: the link rate is the mean over the
// missing chunks, and the backlog is the largest of their links.
func (m *Mover) importInput(p Prompt, resident int) ImportInput {
	now := time.Now()
	in := ImportInput{
		Chunks: len(p.Keys), Resident: resident, StoredProbability: m.storedProbability(p.Keys[resident:]),
		ChunkBytes: p.Status.PieceBytes, PrefillRate: p.Status.PrefillRate, PrefillTokens: p.QueuedTokens, Objective: p.Service.Objective,
	}
	missing := p.Keys[resident:]
	for _, key := range missing {
		for _, r := range m.remotes(p.regions(), key, 1) {
			in.LinkRate += r.link.Rate(now) / float64(len(missing))
			in.LinkBacklog = max(in.LinkBacklog, r.link.Backlog())
		}
	}
	return in
}

// storedProbability returns the mean probability that the chunks are stored: 1 for a chunk that
// this agent copied or found itself, else hitRate.
func (m *Mover) storedProbability(keys []contextkey.Key) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0.0
	for _, key := range keys {
		if m.stored[key] {
			sum++
			continue
		}
		sum += m.hitRate
	}
	return sum / float64(max(1, len(keys)))
}

func (m *Mover) recordLookup(key contextkey.Key, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	const weight, floor = 0.1, 0.05
	if found {
		m.markStored(key)
		m.hitRate += weight * (1 - m.hitRate)
		return
	}
	m.hitRate = max(floor, m.hitRate-weight*m.hitRate)
	delete(m.stored, key)
}

// markStored records that a chunk is on its store. The caller holds m.mu.
func (m *Mover) markStored(key contextkey.Key) {
	if len(m.stored) >= maxTrackedChunks {
		clear(m.stored)
	}
	m.stored[key] = true
}

// timeout returns how long the import of one chunk may take: a store that is frozen or whose
// link is down must not delay a prompt that the engine could compute in the meantime.
func (r *remote) timeout(bytes int64) time.Duration {
	const floor, slack = 200 * time.Millisecond, 4
	nominal := time.Duration(float64(bytes) / float64(r.host.LinkBytesPerSecond) * float64(time.Second))
	return max(floor, slack*nominal)
}

// importChunk reads a chunk from the first of its stores that has it, verifies it and passes it
// to the engine. Nothing that fails verification reaches the engine: a freed slot, a torn or
// outdated block or another customer's block would otherwise end up in this caller's answer.
func (m *Mover) importChunk(ctx context.Context, p Prompt, key contextkey.Key) bool {
	for _, r := range m.remotes(p.regions(), key, p.Service.Copies()) {
		if m.importFrom(ctx, r, p, key) {
			return true
		}
	}
	return false
}

func (m *Mover) importFrom(ctx context.Context, r *remote, p Prompt, key contextkey.Key) bool {
	bytes := p.Status.PieceBytes
	ctx, cancel := context.WithTimeout(ctx, r.timeout(bytes))
	defer cancel()
	started := time.Now()
	r.link.Begin(bytes)
	sealed, err := r.kv.Read(ctx, key)
	r.link.End(bytes, time.Since(started), err == nil || isMissing(err), time.Now())
	if err != nil {
		return false
	}
	content, err := blockseal.Open(p.Customer.Salt, key, sealed)
	if err != nil {
		metrics.GetOrRegisterCounter("agent.import_refused", m.metrics).Inc(1)
		m.log.Warn("stored block failed verification", zap.String("store", r.host.ID), zap.String("request_id", p.RequestID), zap.Error(err))
		r.kv.Free(ctx, key)
		return false
	}
	if m.engine.Import(ctx, key, content) != nil {
		return false
	}
	metrics.GetOrRegisterCounter("agent.link_bytes", m.metrics).Inc(bytes)
	m.markUsed(key)
	return true
}

// RecordComputed records that the engine has computed a context, and queues it for export if a
// copy is worth its cost.
func (m *Mover) RecordComputed(p Prompt) {
	if len(p.Keys) == 0 {
		return
	}
	m.markUsed(p.Keys...)
	missing := m.notStored(p.Keys)
	remotes := m.remotes(p.regions(), p.Keys[0], 1)
	if len(remotes) == 0 || len(missing) == 0 {
		return
	}
	ratio := BenefitRatio(CopyCandidate{
		ReturnProbability: m.returnRate.rate(), ChunkBytes: p.Status.PieceBytes, PrefillRate: p.Status.PrefillRate,
		Objective: p.Service.Objective, LinkRate: remotes[0].link.Rate(time.Now()),
	})
	if ratio >= 1 {
		m.exports.TryPush(export{customer: p.Customer, regions: p.regions(), keys: missing, bytes: p.Status.PieceBytes})
	}
}

func (m *Mover) notStored(keys []contextkey.Key) []contextkey.Key {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []contextkey.Key
	for _, key := range keys {
		if !m.stored[key] {
			out = append(out, key)
		}
	}
	return out
}

// RunExports copies queued contexts to their stores until ctx ends.
func (m *Mover) RunExports(ctx context.Context) {
	for {
		e, err := m.exports.Pop(ctx)
		if err != nil {
			return
		}
		m.export(ctx, e)
	}
}

// export copies chunks in order and stops at the first that fails: a later chunk can't be used
// without those before it.
func (m *Mover) export(ctx context.Context, e export) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	agents := m.agents()
	for _, key := range e.keys {
		r := m.remotes(e.regions, key, 1)
		if len(r) == 0 {
			return
		}
		if !r[0].link.AllowUpload(e.bytes, agents, time.Now()) {
			metrics.GetOrRegisterCounter("agent.export_no_budget", m.metrics).Inc(1)
			return
		}
		if !m.exportChunk(ctx, r[0], e, key) {
			return
		}
		m.mu.Lock()
		m.markStored(key)
		m.mu.Unlock()
	}
}

func (m *Mover) exportChunk(ctx context.Context, r *remote, e export, key contextkey.Key) bool {
	content, err := m.engine.Export(ctx, key)
	if err != nil {
		return false
	}
	started := time.Now()
	r.link.Begin(e.bytes)
	err = writeBlock(ctx, r.kv, key, blockseal.Seal(e.customer.Salt, key, content))
	r.link.End(e.bytes, time.Since(started), err == nil || isFull(err), time.Now())
	if err != nil {
		return false
	}
	metrics.GetOrRegisterCounter("agent.exported_pieces", m.metrics).Inc(1)
	metrics.GetOrRegisterCounter("agent.link_bytes", m.metrics).Inc(e.bytes)
	return true
}

// writeBlock writes a block in several calls and seals it at the end: before that the store
// returns it to no reader.
func writeBlock(ctx context.Context, kv kvstore.Store, key contextkey.Key, data []byte) error {
	slot, err := kv.Reserve(ctx, key, len(data))
	if err != nil {
		return err
	}
	for offset := 0; offset < len(data); offset += writeSize {
		end := min(offset+writeSize, len(data))
		if err := kv.Write(ctx, slot, offset, data[offset:end]); err != nil {
			return err
		}
	}
	return kv.Seal(ctx, slot)
}
