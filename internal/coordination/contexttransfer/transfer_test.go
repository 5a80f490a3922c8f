package contexttransfer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/contexttransfer"
	"limpetwall/internal/state/blockseal"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/engine"
	enginestandin "limpetwall/internal/transport/engine/standin"
	"limpetwall/internal/transport/kvstore"
	kvstandin "limpetwall/internal/transport/kvstore/standin"
)

var (
	ttftOnly        = config.Objective{WeightTTFT: 1}
	recomputeSaving = config.Objective{WeightTTFT: 0.01, WeightRecompute: 1, WeightLink: 0.2}
	linkSaving      = config.Objective{WeightTTFT: 0.01, WeightRecompute: 0.2, WeightLink: 1}
)

func TestPlanImport(t *testing.T) {
	base := contexttransfer.ImportInput{
		Chunks: 10, StoredProbability: 1, ChunkBytes: 100 << 20, LinkRate: 1 << 30, PrefillRate: 8000, Objective: ttftOnly,
	}
	rows := []struct {
		name   string
		change func(s *contexttransfer.ImportInput)
		// want is the number of imported chunks.
		want int
	}{
		{"a fast link imports all", func(*contexttransfer.ImportInput) {}, 10},
		{"resident chunks are not imported", func(s *contexttransfer.ImportInput) { s.Resident = 7 }, 3},
		{"nothing is missing", func(s *contexttransfer.ImportInput) { s.Resident = 10 }, 0},
		{"nothing is stored", func(s *contexttransfer.ImportInput) { s.StoredProbability = 0 }, 0},
		{"the store is suspended", func(s *contexttransfer.ImportInput) { s.LinkRate = 0 }, 0},
		{"a link slower than the prefill imports nothing", func(s *contexttransfer.ImportInput) { s.LinkRate = 100 << 20; s.PrefillRate = 20000 }, 0},
		{"a slow link fills the engine's queue time only", func(s *contexttransfer.ImportInput) {
			s.LinkRate, s.PrefillRate, s.PrefillTokens = 100<<20, 20000, 80000
		}, 4},
		{"a backlog on the link uses up the free time", func(s *contexttransfer.ImportInput) {
			s.LinkRate, s.PrefillRate, s.PrefillTokens, s.LinkBacklog = 100<<20, 20000, 80000, 400<<20
		}, 0},
		{"a high weight of recomputation imports over a slow link", func(s *contexttransfer.ImportInput) {
			s.LinkRate, s.PrefillRate, s.Objective = 100<<20, 20000, recomputeSaving
		}, 10},
		{"a high weight of link use recomputes despite a fast link", func(s *contexttransfer.ImportInput) { s.Objective = linkSaving }, 0},
	}
	for _, row := range rows {
		s := base
		row.change(&s)
		p := contexttransfer.PlanImport(s)
		if got := p.To - p.From; got != row.want || p.From != s.Resident || p.Cost > p.CostRecompute {
			t.Errorf("%s: got %+v, want %d imported chunks", row.name, p, row.want)
		}
	}
}

// FuzzPlanImport checks that a plan imports only missing chunks and never costs more than
// recomputing them.
func FuzzPlanImport(f *testing.F) {
	f.Add(uint8(10), uint8(0), uint32(8000), uint32(80000), uint32(100), uint32(0), uint8(1), uint8(1), uint8(1))
	f.Fuzz(func(t *testing.T, chunks, resident uint8, rate, queued, linkMB, backlogMB uint32, a, b, c uint8) {
		s := contexttransfer.ImportInput{
			Chunks: int(chunks % 40), StoredProbability: 1, ChunkBytes: 100 << 20, LinkRate: float64(linkMB%5000) * (1 << 20),
			LinkBacklog: int64(backlogMB%2000) << 20, PrefillRate: int(rate % 100_000), PrefillTokens: int(queued % 1_000_000),
			Objective: config.Objective{WeightTTFT: float64(a), WeightRecompute: float64(b) / 100, WeightLink: float64(c) / 100},
		}
		s.Resident = min(int(resident), s.Chunks)
		p := contexttransfer.PlanImport(s)
		if p.From != s.Resident || p.To < p.From || p.To > max(s.Chunks, s.Resident) {
			t.Fatalf("plan %+v of %+v imports other than the missing chunks", p, s)
		}
		if p.Cost > p.CostRecompute {
			t.Fatalf("the plan costs more than recomputing: %+v", p)
		}
	})
}

func TestBenefitRatio(t *testing.T) {
	c := contexttransfer.CopyCandidate{ReturnProbability: 0.8, ChunkBytes: 100 << 20, PrefillRate: 8000, Objective: ttftOnly, LinkRate: 1 << 30}
	if contexttransfer.BenefitRatio(c) < 1 {
		t.Errorf("likely use again, fast link: got ratio %g, want at least 1", contexttransfer.BenefitRatio(c))
	}
	for name, change := range map[string]func(*contexttransfer.CopyCandidate){
		"never used again":      func(c *contexttransfer.CopyCandidate) { c.ReturnProbability = 0 },
		"link too slow":         func(c *contexttransfer.CopyCandidate) { c.LinkRate = 100 << 20 },
		"link suspended":        func(c *contexttransfer.CopyCandidate) { c.LinkRate = 0 },
		"link use is expensive": func(c *contexttransfer.CopyCandidate) { c.Objective = linkSaving },
	} {
		x := c
		change(&x)
		if contexttransfer.BenefitRatio(x) >= 1 {
			t.Errorf("%s: got ratio %g, want less than 1", name, contexttransfer.BenefitRatio(x))
		}
	}
}

// TestRankStores checks that two copies are in different failure domains, that a store has about
// its share of the contexts, and that its loss moves no others.
func TestRankStores(t *testing.T) {
	var stores []*config.StoreHost
	for i := range 6 {
		stores = append(stores, &config.StoreHost{ID: fmt.Sprint("s", i), Domain: fmt.Sprint("d", i%3)})
	}
	moved, onLost := 0, 0
	const contexts = 600
	for n := range contexts {
		root := contextkey.Key{byte(n), byte(n >> 8)}
		two := contexttransfer.RankStores(stores, root, 2)
		if two[0].Domain == two[1].Domain {
			t.Fatalf("both copies in %s", two[0].Domain)
		}
		without := contexttransfer.RankStores(stores[1:], root, 1)
		if two[0] == stores[0] {
			onLost++
		} else if without[0] != two[0] {
			moved++
		}
	}
	if moved != 0 || onLost < contexts/12 || onLost > contexts/3 {
		t.Errorf("%d contexts were on the lost store, %d others moved", onLost, moved)
	}
	if got := contexttransfer.RankStores(stores[:1], contextkey.Key{}, 2); len(got) != 1 {
		t.Errorf("got %d stores, want the only one", len(got))
	}
}

// TestResidencyWithLostEvents evicts chunks in the order of their use and loses most events.
//
// The agent receives only one eviction event. Chunks used before that one must count as evicted,
// those used after it as resident.
func TestResidencyWithLostEvents(t *testing.T) {
	r := contexttransfer.NewResidency()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var keys []contextkey.Key
	for i := range 10 {
		keys = append(keys, contextkey.Key{byte(i)})
		r.MarkUsed(keys[i], now.Add(time.Duration(i)*time.Second))
	}
	r.MarkEvicted(keys[4])
	for i, key := range keys {
		if got := r.ResidentPrefix([]contextkey.Key{key}) == 1; got != (i > 4) {
			t.Errorf("chunk %d: got resident %v", i, got)
		}
	}
	r.MarkUsed(keys[0], now.Add(time.Minute))
	if r.ResidentPrefix(keys[:1]) != 1 {
		t.Error("a chunk that was used again is not resident")
	}
	r.MarkStored(keys[1], now.Add(time.Minute))
	r.Clear()
	if r.ResidentPrefix(keys[9:]) != 0 {
		t.Error("a chunk is resident after a swap of weights")
	}
}

func TestLinkBudgetIsShared(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const rate, agents, chunk, seconds = 1000.0, 4, 20, 100
	total := int64(0)
	for range agents {
		l := contexttransfer.NewLink(rate)
		for ms := range seconds * 10 {
			if l.AllowUpload(chunk, agents, now.Add(time.Duration(ms)*100*time.Millisecond)) {
				total += chunk
			}
		}
	}
	if share := float64(total) / (rate * seconds); share < 0.23 || share > 0.27 {
		t.Errorf("uploads used %.2f of the link, want a quarter", share)
	}
}

func TestLinkSuspendsAFailingStore(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := contexttransfer.NewLink(1000)
	for range 3 {
		l.Begin(10)
		l.End(10, time.Second, false, now)
	}
	if l.Rate(now) != 0 || l.Rate(now.Add(6*time.Second)) == 0 || l.Backlog() != 0 {
		t.Errorf("got rate %g and later %g, backlog %d; want 0 and later more, backlog 0", l.Rate(now), l.Rate(now.Add(6*time.Second)), l.Backlog())
	}
	for range 20 {
		l.Begin(10)
		l.End(10, time.Second, true, now)
	}
	if got := l.Rate(now.Add(time.Minute)); got > 30 {
		t.Errorf("got rate %g bytes/s of a slow link, want at most 30", got)
	}
}

func TestOpenRejectsAlteredBlocks(t *testing.T) {
	salt, key := []byte("salt"), contextkey.Key{1}
	sealed := blockseal.Seal(salt, key, []byte("the content"))
	flip := func(at int) []byte {
		out := append([]byte(nil), sealed...)
		out[at] ^= 1
		return out
	}
	if content, err := blockseal.Open(salt, key, sealed); err != nil || string(content) != "the content" {
		t.Fatalf("%q %v", content, err)
	}
	rows := map[string][]byte{
		"empty": nil, "torn": sealed[:len(sealed)-1], "half": sealed[:len(sealed)/2], "longer": append(append([]byte(nil), sealed...), 0),
		"zeroed tail": append(append([]byte(nil), sealed[:len(sealed)-32]...), make([]byte, 32)...),
		"other key":   blockseal.Seal(salt, contextkey.Key{2}, []byte("the content")),
		"other salt":  blockseal.Seal([]byte("other"), key, []byte("the content")),
	}
	for at := range sealed {
		rows[fmt.Sprint("bit at ", at)] = flip(at)
	}
	for name, data := range rows {
		if _, err := blockseal.Open(salt, key, data); err == nil {
			t.Errorf("%s: the block is accepted", name)
		}
	}
}

func FuzzOpen(f *testing.F) {
	f.Add(blockseal.Seal([]byte("salt"), contextkey.Key{1}, []byte("x")))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := blockseal.Open([]byte("another salt"), contextkey.Key{1}, data); err == nil {
			t.Error("a block is accepted under a salt that it was not sealed with")
		}
	})
}

// fixture is one engine with a mover and a store, in a synctest bubble.
type fixture struct {
	t       *testing.T
	engine  *enginestandin.Engine
	store   *kvstandin.Store
	mover   *contexttransfer.Mover
	metrics metrics.Registry
	view    *config.View
	runs    int
}

const (
	modelName = "toy"
	version   = "v1"
)

func runWithFixture(t *testing.T, test func(f *fixture), documents ...config.Document) {
	synctest.Test(t, func(t *testing.T) {
		store := config.NewStore()
		documents := append([]config.Document{
			{Ref: config.Ref{Kind: config.KindCustomer, ID: "a"}, Spec: json.RawMessage(`{"key_hashes":[],"limits":{},"salt":"YQ=="}`)},
			{Ref: config.Ref{Kind: config.KindCustomer, ID: "b"}, Spec: json.RawMessage(`{"key_hashes":[],"limits":{},"salt":"Yg=="}`)},
			{Ref: config.Ref{Kind: config.KindService, ID: "s"}, Spec: json.RawMessage(`{"kind":"prompt","customers":["*"],"objective":{"weight_recompute":1},"limits":{}}`)},
			{Ref: config.Ref{Kind: config.KindStore, ID: "kv"}, Spec: json.RawMessage(`{"url":"http://kv","domain":"d","tier":"memory","link_bytes_per_second":1000000000}`)},
		}, documents...)
		if err := store.Apply(config.Change{Revision: 1, Puts: documents}); err != nil {
			t.Fatal(err)
		}
		f := &fixture{
			t: t, store: kvstandin.New(1 << 30), metrics: metrics.NewRegistry(), view: store.View(),
			engine: enginestandin.New(enginestandin.Config{Model: modelName, WeightVersion: version, Slots: 4, MaxQueue: 4, CacheBlocks: 4, PieceBytes: 1000}),
		}
		f.mover = contexttransfer.NewMover(f.engine, func(string) kvstore.Store { return f.store }, store, func() int { return 1 }, zap.NewNop(), f.metrics)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { f.mover.RunExports(ctx) })
		group.Go(func() { f.mover.FollowEvents(ctx, 100*time.Millisecond) })
		test(f)
		cancel()
		group.Wait()
	})
}

// runPrompt runs a prompt as an agent does, and returns its answer and what was
// imported for it.
func (f *fixture) runPrompt(customer, text string) (answer string, imported int) {
	f.t.Helper()
	f.runs++
	c := f.view.Customers[customer]
	keys := contextkey.ChunkKeys(contextkey.Scope{Salt: c.Salt, Model: modelName, WeightVersion: version}, text)
	status, _ := f.engine.Status(f.t.Context())
	p := contexttransfer.Prompt{Customer: c, Service: f.view.Services["s"], Keys: keys, Status: status, RequestID: fmt.Sprint(f.runs)}
	imported = f.mover.ImportContext(f.t.Context(), p)
	stream, err := f.engine.Generate(f.t.Context(), engine.Request{
		RequestID: p.RequestID, Model: modelName, WeightVersion: version, Text: text, Blocks: keys, MaxTokens: 8,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	var out strings.Builder
	for {
		e, err := stream.Next()
		if err != nil {
			f.t.Fatal(err)
		}
		if e.Started != nil {
			f.mover.RecordComputed(p)
		}
		out.WriteString(strings.Join(e.Tokens, ""))
		if e.Finish != "" {
			time.Sleep(time.Second) // copies are written and events are read
			return out.String(), imported
		}
	}
}

func promptText(name string) string {
	return strings.Repeat(name+" ", 3*contextkey.ChunkBytes/(len(name)+1)+1)
}

func wantAnswer(text string) string {
	return strings.Join(enginestandin.Answer(text, version, 0, 8), "")
}

// TestContextStaysInAllowedRegions guards against copies of a customer's context in a store outside the regions that
// the customer or the service allow, and against prompts that read such copies.
func TestContextStaysInAllowedRegions(t *testing.T) {
	customer := func(regions string) config.Document {
		return config.Document{Ref: config.Ref{Kind: config.KindCustomer, ID: "a"}, Spec: json.RawMessage(`{"key_hashes":[],"limits":{},"salt":"YQ==","allowed_regions":[` + regions + `]}`)}
	}
	store := func(region string) config.Document {
		return config.Document{Ref: config.Ref{Kind: config.KindStore, ID: "kv"}, Spec: json.RawMessage(
			`{"url":"http://kv","domain":"d","region":"` + region + `","tier":"memory","link_bytes_per_second":1000000000}`)}
	}
	rows := []struct {
		name      string
		documents []config.Document
		imports   bool
	}{
		{"no limit", []config.Document{customer(""), store("west")}, true},
		{"the customer's region", []config.Document{customer(`"east","west"`), store("west")}, true},
		{"another region", []config.Document{customer(`"east"`), store("west")}, false},
		{"a store without a region", []config.Document{customer(`"east"`), store("")}, false},
	}
	for _, row := range rows {
		runWithFixture(t, func(f *fixture) {
			f.runPrompt("a", promptText("x"))
			for i := range 4 {
				f.runPrompt("b", promptText(fmt.Sprint("other", i)))
			}
			if _, imported := f.runPrompt("a", promptText("x")); (imported > 0) != row.imports {
				t.Errorf("%s: %d tokens were imported, want any: %v", row.name, imported, row.imports)
			}
		}, row.documents...)
	}
}

// TestCorruptBlocksNeverReachAnswer sends a prompt again whose context the engine has evicted,
// while its store host returns faulty blocks of each kind.
//
// The context was copied to the store before it was evicted. The caller gets the right answer each
// time: imported from the store if its block is right, recomputed if the store returns torn,
// flipped, freed or unsealed blocks, another block's bytes or another customer's.
func TestCorruptBlocksNeverReachAnswer(t *testing.T) {
	rows := []struct {
		name    string
		wrongs  kvstandin.Wrongs
		before  func(f *fixture)
		imports bool
	}{
		{"a correct store", kvstandin.Wrongs{}, nil, true},
		{"torn blocks", kvstandin.Wrongs{Torn: true}, nil, false},
		{"flipped bits", kvstandin.Wrongs{Flipped: true}, nil, false},
		{"another block's bytes", kvstandin.Wrongs{Misdirected: true}, nil, false},
		{"freed blocks, correctly gone", kvstandin.Wrongs{}, freeAll, false},
		{"a slot reserved again and half written", kvstandin.Wrongs{Unsealed: true}, writeHalf, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			runWithFixture(t, func(f *fixture) {
				prompt := promptText("oak")
				for range 2 { // the second run makes the return rate high enough for a copy
					if got, _ := f.runPrompt("a", prompt); got != wantAnswer(prompt) {
						t.Fatalf("got wrong first answer %q", got)
					}
				}
				f.runPrompt("b", prompt) // another customer's copy of the same text
				f.runPrompt("a", promptText("ash"))
				f.runPrompt("a", promptText("elm"))
				if status, _ := f.store.Status(t.Context()); status.Used == 0 {
					t.Fatal("nothing was copied to the store")
				}
				if row.before != nil {
					row.before(f)
				}
				f.store.SetWrongs(row.wrongs)
				got, imported := f.runPrompt("a", prompt)
				if got != wantAnswer(prompt) {
					t.Errorf("got answer %q, want %q", got, wantAnswer(prompt))
				}
				if row.imports != (imported > 0) {
					t.Errorf("got %d imported tokens", imported)
				}
			})
		})
	}
}

func keysOf(customer string) []contextkey.Key {
	return contextkey.ChunkKeys(contextkey.Scope{Salt: []byte(customer), Model: modelName, WeightVersion: version}, promptText("oak"))
}

func freeAll(f *fixture) {
	for _, key := range keysOf("a") {
		f.store.Free(f.t.Context(), key)
	}
}

// writeHalf begins to write the blocks again and stops half-way, like an agent that dies.
func writeHalf(f *fixture) {
	for _, key := range keysOf("a") {
		slot, err := f.store.Reserve(f.t.Context(), key, 200)
		if err != nil {
			f.t.Fatal(err)
		}
		f.store.Write(f.t.Context(), slot, 0, []byte("half"))
	}
}
