// Package standin is a model engine without a model. Its answer is a function of
// the contents of the context blocks it used, the rest of the text, the weight
// version and the seed, so a test sees at once when a wrong block was read.
package standin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/engine"
)

// Config sizes a stand-in engine.
type Config struct {
	Model         string
	WeightVersion string
	// SoftwareVersion is the version of the engine's own software. Answers of two versions differ.
	SoftwareVersion string
	Adapter         string
	Role            string
	// PrefillRate is in tokens per second; 0 takes no time.
	PrefillRate int
	// TokenTime is the time between tokens.
	TokenTime time.Duration
	// Slots is the number of prompts that run together, MaxQueue of those that wait.
	Slots    int
	MaxQueue int
	// CacheBlocks is the number of context blocks the engine's memory holds.
	CacheBlocks int
	// PieceBytes is the size reported for one exported piece.
	PieceBytes int64
	// IgnoreFence makes the engine accept orders with old fencing numbers.
	IgnoreFence bool
	// LoadTime is how long an order takes to load weights.
	LoadTime time.Duration
	// StatusLag is the age of the reported load.
	StatusLag time.Duration
}

type block struct {
	content []byte
	used    uint64
}

// Engine is the stand-in; it implements engine.Engine.
type Engine struct {
	cfg   Config
	slots chan struct{}
	// prefill admits one prompt at a time, as an engine's prefill does.
	prefill chan struct{}

	mu       sync.Mutex
	status   engine.Status
	reported engine.Status
	reportAt time.Time
	blocks   map[contextkey.Key]*block
	clock    uint64
	events   []engine.CacheEvent
	runs     map[string]int
	canceled int
}

// New returns an idle engine.
func New(cfg Config) *Engine {
	return &Engine{
		cfg:     cfg,
		slots:   make(chan struct{}, cfg.Slots),
		prefill: make(chan struct{}, 1),
		blocks:  map[contextkey.Key]*block{},
		runs:    map[string]int{},
		status: engine.Status{
			Model: cfg.Model, WeightVersion: cfg.WeightVersion, Adapter: cfg.Adapter,
			Role: cfg.Role, PrefillRate: cfg.PrefillRate, PieceBytes: cfg.PieceBytes, SoftwareVersion: cfg.SoftwareVersion,
		},
	}
}

var _ engine.Engine = (*Engine)(nil)

// Runs counts how often each request id started to run.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		out[id] = n
	}
	return out
}

// Canceled counts the runs that ended because their caller went away.
func (e *Engine) Canceled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canceled
}

// Generate implements engine.Engine.
func (e *Engine) Generate(ctx context.Context, r engine.Request) (engine.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status.Loading {
		return nil, engine.ErrBusy
	}
	if r.Model != e.status.Model || (r.WeightVersion != "" && r.WeightVersion != e.status.WeightVersion) {
		return nil, engine.ErrVersion
	}
	if e.status.Queued >= e.cfg.MaxQueue {
		return nil, engine.ErrBusy
	}
	e.runs[r.RequestID]++
	e.status.Queued++
	e.status.QueuedTokens += contextkey.EstimateTokens(r.Text)
	ctx, cancel := context.WithCancel(ctx)
	s := &run{ctx: ctx, cancel: cancel, events: make(chan engine.Event)}
	go e.run(s, r, e.status.WeightVersion)
	return s, nil
}

type run struct {
	ctx    context.Context
	cancel context.CancelFunc
	events chan engine.Event
}

// Next implements engine.Stream.
func (s *run) Next() (engine.Event, error) {
	e, ok := <-s.events
	if !ok {
		return engine.Event{}, engine.ErrBroken
	}
	return e, nil
}

// Close implements engine.Stream.
func (s *run) Close() error {
	s.cancel()
	return nil
}

func (e *Engine) run(s *run, r engine.Request, version string) {
	defer close(s.events)
	defer s.cancel()
	tokens := contextkey.EstimateTokens(r.Text)
	select {
	case e.slots <- struct{}{}:
	case <-s.ctx.Done():
		e.leaveQueue(tokens, false)
		return
	}
	defer func() { <-e.slots }()
	e.leaveQueue(tokens, true)
	defer e.leaveRunning()

	cached, seed := e.useBlocks(r)
	computed := max(0, tokens-cached*contextkey.ChunkTokens)
	if !e.spendPrefill(s.ctx, computed) {
		e.countCanceled()
		return
	}
	e.storeBlocks(r, cached)
	if !s.send(engine.Event{Started: &engine.Started{
		WeightVersion: version, CachedTokens: cached * contextkey.ChunkTokens, PromptTokens: tokens, SoftwareVersion: e.cfg.SoftwareVersion,
	}}) {
		e.countCanceled()
		return
	}
	for i := len(r.ResumeTokens); i < r.MaxTokens; i++ {
		if !sleep(s.ctx, e.cfg.TokenTime) || !s.send(engine.Event{Tokens: []string{Token(seed, version+e.cfg.SoftwareVersion, r.Seed, i)}}) {
			e.countCanceled()
			return
		}
	}
	s.send(engine.Event{Finish: "length"})
}

func (s *run) send(ev engine.Event) bool {
	select {
	case s.events <- ev:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func (e *Engine) countCanceled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled++
}

func (e *Engine) leaveQueue(tokens int, running bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.Queued--
	e.status.QueuedTokens -= tokens
	if running {
		e.status.Running++
	}
}

func (e *Engine) leaveRunning() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.Running--
}

func (e *Engine) spendPrefill(ctx context.Context, tokens int) bool {
	if e.cfg.PrefillRate == 0 {
		return true
	}
	select {
	case e.prefill <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.prefill }()
	return sleep(ctx, time.Duration(tokens)*time.Second/time.Duration(e.cfg.PrefillRate))
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// useBlocks finds the resident prefix and folds the contents it would read into
// the answer's seed; what is not resident is computed from the text.
func (e *Engine) useBlocks(r engine.Request) (cached int, seed [sha256.Size]byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := sha256.New()
	resident := true
	for i, key := range r.Blocks {
		b, ok := e.blocks[key]
		resident = resident && ok
		if resident {
			cached++
			e.clock++
			b.used = e.clock
			h.Write(b.content)
			continue
		}
		h.Write(BlockContent(piece(r.Text, i)))
	}
	h.Write([]byte(r.Text[len(r.Blocks)*contextkey.ChunkBytes:]))
	h.Sum(seed[:0])
	return cached, seed
}

func piece(text string, i int) string {
	return text[i*contextkey.ChunkBytes : (i+1)*contextkey.ChunkBytes]
}

// BlockContent is the content a correct engine computes for a piece of text.
func BlockContent(text string) []byte {
	h := sha256.Sum256([]byte(text))
	return h[:]
}

// Answer is the answer a correct engine gives to a prompt.
func Answer(text, version string, seed int64, maxTokens int) []string {
	h := sha256.New()
	pieces := len(text) / contextkey.ChunkBytes
	for i := range pieces {
		h.Write(BlockContent(piece(text, i)))
	}
	h.Write([]byte(text[pieces*contextkey.ChunkBytes:]))
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = Token(sum, version, seed, i)
	}
	return tokens
}

// Token is the i-th token of an answer.
func Token(seed [sha256.Size]byte, version string, n int64, i int) string {
	buf := append(seed[:], version...)
	buf = binary.BigEndian.AppendUint64(buf, uint64(n))
	buf = binary.BigEndian.AppendUint64(buf, uint64(i))
	h := sha256.Sum256(buf)
	return fmt.Sprintf("w%x ", h[:2])
}

func (e *Engine) storeBlocks(r engine.Request, cached int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, key := range r.Blocks {
		if i >= cached {
			e.store(key, BlockContent(piece(r.Text, i)))
		}
	}
}

// store adds a block, evicting the least recently used one when memory is full.
func (e *Engine) store(key contextkey.Key, content []byte) {
	if e.cfg.CacheBlocks == 0 {
		return
	}
	if _, ok := e.blocks[key]; !ok && len(e.blocks) >= e.cfg.CacheBlocks {
		e.evict()
	}
	e.clock++
	e.blocks[key] = &block{content: content, used: e.clock}
	e.event(key, true)
}

func (e *Engine) evict() {
	var oldest contextkey.Key
	used := uint64(1<<63 - 1)
	for key, b := range e.blocks {
		if b.used < used {
			oldest, used = key, b.used
		}
	}
	delete(e.blocks, oldest)
	e.event(oldest, false)
}

// maxEvents bounds the events kept; a slow reader sees a gap.
const maxEvents = 4096

func (e *Engine) event(key contextkey.Key, stored bool) {
	next := uint64(1)
	if n := len(e.events); n > 0 {
		next = e.events[n-1].Sequence + 1
	}
	e.events = append(e.events, engine.CacheEvent{Sequence: next, Block: key, Stored: stored})
	if len(e.events) > maxEvents {
		e.events = append([]engine.CacheEvent(nil), e.events[maxEvents/2:]...)
	}
}

// Status implements engine.Engine; its load part is StatusLag old.
func (e *Engine) Status(context.Context) (engine.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reportAt) >= e.cfg.StatusLag {
		e.reported, e.reportAt = e.status, now
	}
	s := e.status
	s.Running, s.Queued, s.QueuedTokens = e.reported.Running, e.reported.Queued, e.reported.QueuedTokens
	return s, nil
}

// Events implements engine.Engine.
func (e *Engine) Events(_ context.Context, after uint64) ([]engine.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []engine.CacheEvent{}
	for _, ev := range e.events {
		if ev.Sequence > after {
			out = append(out, ev)
		}
	}
	return out, nil
}

// Export implements engine.Engine.
func (e *Engine) Export(_ context.Context, key contextkey.Key) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.blocks[key]
	if !ok {
		return nil, engine.ErrNoBlock
	}
	return append([]byte(nil), b.content...), nil
}

// Import implements engine.Engine.
func (e *Engine) Import(_ context.Context, key contextkey.Key, content []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store(key, append([]byte(nil), content...))
	return nil
}

// Order implements engine.Engine.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	e.mu.Lock()
	if o.Fence < e.status.Fence && !e.cfg.IgnoreFence {
		e.mu.Unlock()
		return engine.ErrStaleFence
	}
	e.status.Fence = o.Fence
	e.status.Loading = true
	e.mu.Unlock()
	sleep(ctx, e.cfg.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.Loading = false
	e.status.Model, e.status.WeightVersion = o.Model, o.WeightVersion
	e.status.Adapter, e.status.Role = o.Adapter, o.Role
	clear(e.blocks)
	return nil
}
