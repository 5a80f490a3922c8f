package contextcache

import (
	"context"
	"fmt"
	"limpetwall/internal/state/residency"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/sleep"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	localAddress  = "10.0.0.1:1"
	remoteAddress = "10.0.0.2:1"
)

// fakeClock is a clock that tests set.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// newTracker returns a tracker with two empty stores that were just listed, and its clock.
func newTracker(t *testing.T) (*Tracker, *fakeClock) {
	c := &fakeClock{epoch}
	tracker := NewTracker(nil, zap.NewNop(), "a", c.Now)
	tracker.SetStores(map[string]*routes.Service{
		"near": {Store: &routes.Store{Address: localAddress, Domain: "a", MemoryTokens: 10_000}},
		"far":  {Store: &routes.Store{Address: remoteAddress, Domain: "b", MemoryTokens: 10_000}},
		"llm":  {Engine: &routes.Engine{}},
	})
	for _, address := range []string{localAddress, remoteAddress} {
		if _, ok := tracker.applyListing(address, Listing{Epoch: 7, Complete: map[SegmentKey]SegmentInfo{}}, c.now); !ok {
			t.Fatal("store is not known")
		}
	}
	tracker.applyEvents(localAddress, Events{Epoch: 7, ClockMS: c.now.UnixMilli() + 5000}, c.now)
	return tracker, c
}

func added(salt, id string, tokens int) Change {
	return Change{Added: true, Segment: SegmentKey{salt, id}, SegmentInfo: SegmentInfo{Tokens: tokens, Model: "m"}}
}

var testSegments = []Segment{{"p1", 500}, {"p2", 1500}}

// promptOf returns a prompt whose weights are not replaced soon.
func (t *Tracker) promptOf(salt string, segments []Segment) Prompt {
	return Prompt{Salt: salt, Segments: segments, StoresUntil: t.Now().Add(ReplacedUse)}
}

func (t *Tracker) plan(salt string) (from, to []string, stored int) {
	p := t.Plan(t.promptOf(salt, testSegments), "context", "", 0, residency.Rule{})
	return p.ImportFrom, p.SaveTo, p.StoredTokens
}

// storedTokens returns the length of the prompt's prefix, in tokens, that can be imported.
func (t *Tracker) storedTokens(salt string, segments []Segment) int {
	tokens := 0
	for _, i := range t.Lookup(t.promptOf(salt, segments)).Segments {
		if !i.Stored {
			break
		}
		tokens += i.Tokens
	}
	return tokens
}

// TestOnlyCompleteSegmentsAreImported saves a prompt's segments and plans again at each stage of
// the save.
func TestOnlyCompleteSegmentsAreImported(t *testing.T) {
	tracker, c := newTracker(t)
	from, to, stored := tracker.plan("s.1")
	if from[0] != "" || to[0] == "" || to[1] != to[0] || stored != 0 {
		t.Fatalf("empty stores: from %q to %q, %d stored", from, to, stored)
	}
	target := to[0]
	if from, to, _ = tracker.plan("s.1"); from[0] != "" || to[0] != "" {
		t.Errorf("while the save is in flight: from %q to %q, want neither", from, to)
	}
	tracker.applyEvents(target, Events{Epoch: 7, Changes: []Change{added("s.1", "p1", 300)}}, c.now)
	if from, _, _ = tracker.plan("s.1"); from[0] != "" {
		t.Error("a segment with fewer tokens than the prompt's is imported")
	}
	tracker.applyEvents(target, Events{Epoch: 7, Changes: []Change{added("s.1", "p1", 500), added("s.1", "p2", 1500)}}, c.now)
	from, to, stored = tracker.plan("s.1")
	if from[0] != target || from[1] != target || to[0] != "" || stored != 2000 {
		t.Errorf("complete: from %q to %q, %d tokens stored", from, to, stored)
	}
	if from, _, stored = tracker.plan("s.2"); from[0] != "" || stored != 0 {
		t.Error("segments computed with other weights are imported")
	}
	if until := tracker.Plan(tracker.promptOf("s.1", testSegments), "context", "", 0, residency.Rule{}).ImportDeadline; until != c.now.UnixMilli()+5000+maxImportTime.Milliseconds() {
		t.Errorf("imports end at %d", until)
	}
}

// TestSilentStoreIsNotUsed freezes this process for two seconds. Meanwhile the store restarts,
// and another process begins to save the same segment again.
//
// If the contents of the epoch before the restart were still used, half of a segment would end
// up in an answer. A store is not a source later than a second after its last answer.
func TestSilentStoreIsNotUsed(t *testing.T) {
	tracker, c := newTracker(t)
	tracker.applyEvents(localAddress, Events{Epoch: 7, Changes: []Change{added("s.1", "p1", 500)}}, c.now)
	if from, _, _ := tracker.plan("s.1"); from[0] != localAddress {
		t.Fatalf("%q", from)
	}
	c.now = c.now.Add(2 * time.Second)
	if from, to, _ := tracker.plan("s.1"); from[0] != "" || to[0] != "" {
		t.Errorf("after the freeze: from %q to %q", from, to)
	}
	if tracker.storedTokens("s.1", testSegments) != 0 {
		t.Error("segments of a silent store count as stored")
	}
	if _, ok := tracker.applyEvents(localAddress, Events{Epoch: 8}, c.now); ok {
		t.Error("events of the new epoch are applied to the contents of the old one")
	}
	if from, _, _ := tracker.plan("s.1"); from[0] != "" {
		t.Error("a segment of the epoch before is imported")
	}
	tracker.applyListing(localAddress, Listing{Epoch: 8, Complete: map[SegmentKey]SegmentInfo{}, Partial: map[SegmentKey]int{{"s.1", "p1"}: 500}}, c.now)
	if from, _, _ := tracker.plan("s.1"); from[0] != "" {
		t.Error("a segment that is still being written is imported")
	}
}

func TestEventGapsAndRemovals(t *testing.T) {
	tracker, c := newTracker(t)
	tracker.applyEvents(localAddress, Events{Epoch: 7, Changes: []Change{added("s.1", "p1", 500), added("s.1", "p2", 1500)}}, c.now)
	tracker.applyEvents(localAddress, Events{Epoch: 7, Changes: []Change{{Segment: SegmentKey{"s.1", "p1"}}}}, c.now)
	if got := tracker.storedTokens("s.1", testSegments); got != 0 {
		t.Errorf("got %d stored tokens after a missing segment, want 0", got)
	}
	if _, ok := tracker.applyEvents(localAddress, Events{Epoch: 7, Lost: true}, c.now); ok {
		t.Error("a gap in the events is ignored")
	}
	if from, _, _ := tracker.plan("s.1"); from[1] != "" {
		t.Error("the contents from before the gap are still used")
	}
}

// TestSavesStayWithinCapacity fills a store. Saves in flight count as filled.
func TestSavesStayWithinCapacity(t *testing.T) {
	s := newStore(routes.Store{MemoryTokens: 10_000})
	s.loadListing(Listing{Complete: map[SegmentKey]SegmentInfo{{"s", "a"}: {Tokens: 4000}}, Partial: map[SegmentKey]int{{"s", "b"}: 2000}}, epoch)
	if !s.tryBeginSave(SegmentKey{"s", "c"}, 3000, epoch) || s.tryBeginSave(SegmentKey{"s", "d"}, 3000, epoch) {
		t.Error("saves are not limited to the free capacity")
	}
	s.expirePending(epoch.Add(pendingSaveTimeout))
	if !s.tryBeginSave(SegmentKey{"s", "d"}, 3000, epoch.Add(pendingSaveTimeout)) {
		t.Error("a lost save keeps its capacity forever")
	}
}

// TestObsoleteSegmentsAreFreed frees segments of replaced weights, and no others.
func TestObsoleteSegmentsAreFreed(t *testing.T) {
	tracker, c := newTracker(t)
	old, now := Salt("shared", "m", "1"), Salt("shared", "m", "2")
	tracker.applyEvents(localAddress, Events{Epoch: 7, Changes: []Change{
		added(old, "p1", 1), added(now, "p1", 1), added("somebody else's", "p1", 1), added(old, "p2", 1),
	}}, c.now)
	if jobs := tracker.freeJobs(map[string]int64{"m": 1}, c.now); len(jobs) != 0 {
		t.Errorf("freed although no newer weights are named: %v", jobs)
	}
	jobs := tracker.freeJobs(map[string]int64{"m": 2}, c.now)
	if job := jobs[localAddress]; len(jobs) != 1 || job.Epoch != 7 || job.Until != c.now.UnixMilli()+5000 || len(job.Segments) != 2 || job.Segments[0].Salt != old {
		t.Errorf("%v", jobs)
	}
	c.now = c.now.Add(2 * storeFreshFor)
	if jobs := tracker.freeJobs(map[string]int64{"m": 2}, c.now); len(jobs) != 0 {
		t.Error("freed in a store that may have restarted")
	}
}

// TestContextsAreDistributedByLinkRate places many contexts on stores with unequal links, of
// which a slow one has the most memory, and on stores without a known link rate.
//
// Imports and saves wait for links, so each store gets contexts in proportion to its link's rate.
// Without known rates it gets them in proportion to its memory.
func TestContextsAreDistributedByLinkRate(t *testing.T) {
	const n = 10_000
	linked := map[string]routes.Store{
		"a": {LinkBytesPerSecond: 100, MemoryTokens: 9000}, "b": {LinkBytesPerSecond: 100, MemoryTokens: 10}, "c": {LinkBytesPerSecond: 800, MemoryTokens: 10},
	}
	withoutRate := map[string]routes.Store{"a": {MemoryTokens: 100}, "b": {MemoryTokens: 100}, "c": {MemoryTokens: 800}}
	for _, stores := range []map[string]routes.Store{linked, withoutRate} {
		counts := map[string]int{}
		for i := range n {
			best, bestScore := "", 0.0
			for address, config := range stores {
				if score := rendezvousScore(address, fmt.Sprint(i), newStore(config).saveWeight(0)); score > bestScore {
					best, bestScore = address, score
				}
			}
			counts[best]++
		}
		for address, share := range map[string]float64{"a": 0.1, "b": 0.1, "c": 0.8} {
			if want := n * share; math.Abs(float64(counts[address])-want) > 0.15*want {
				t.Errorf("store %s: got %d contexts, want about %g", address, counts[address], want)
			}
		}
	}
}

func TestEngineCacheContents(t *testing.T) {
	c := &fakeClock{epoch}
	tracker := NewTracker(nil, zap.NewNop(), "a", c.Now)
	tracker.SetEngines(map[string]Engine{localAddress: {Domain: "a"}, remoteAddress: {Domain: "b"}})
	if tracker.Lookup(tracker.promptOf("s", nil)).EnginesKnown {
		t.Error("engines count as known before any answer")
	}
	tracker.applyEngineEvents(localAddress, Events{Epoch: 1, Next: 5, Changes: []Change{added("s", "p1", 500), added("s", "p2", 1500)}})
	tracker.applyEngineEvents(remoteAddress, Events{Epoch: 1, Next: 5, Changes: []Change{added("s", "p2", 1500)}})
	resident := tracker.Lookup(tracker.promptOf("s", testSegments)).Resident
	if !tracker.Lookup(tracker.promptOf("s", nil)).EnginesKnown || len(resident) != 1 || resident[0] != (ResidentPrefix{localAddress, 2000, 2}) {
		t.Errorf("%+v", resident)
	}
	tracker.applyEngineEvents(localAddress, Events{Epoch: 2, Next: 1})
	if len(tracker.Lookup(tracker.promptOf("s", testSegments)).Resident) != 0 {
		t.Error("the cache contents from before an engine's restart are still used")
	}
	c.now = c.now.Add(2 * engineFreshFor)
	if tracker.Lookup(tracker.promptOf("s", nil)).EnginesKnown {
		t.Error("engines count as known by old answers")
	}
}

// fakeClient is one store that tests take down and restart.
type fakeClient struct {
	mu    sync.Mutex
	epoch int64
	down  bool
	lists int
	freed []SegmentKey
}

func (f *fakeClient) List(context.Context, string) (Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.down {
		return Listing{}, errors.New("down")
	}
	return Listing{Epoch: f.epoch, Complete: map[SegmentKey]SegmentInfo{{"s", "p1"}: {Tokens: 500, Model: "m"}}}, nil
}

func (f *fakeClient) Events(ctx context.Context, _ string, since int64, wait time.Duration) (Events, error) {
	if !sleep.For(ctx, wait) {
		return Events{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Events{}, errors.New("down")
	}
	return Events{Epoch: f.epoch, Next: since, ClockMS: 1}, nil
}

func (f *fakeClient) Free(_ context.Context, _ string, job FreeJob) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, job.Segments...)
	return nil
}

// TestEnginesAtCallLimit has engines of both domains refuse calls for their limit of waiting
// calls.
//
// An engine of another domain is left to its own domain's processes for a long time. The contents
// of this domain's engines are enough for decisions.
func TestEnginesAtCallLimit(t *testing.T) {
	c := &fakeClock{epoch}
	tracker := NewTracker(nil, zap.NewNop(), "a", c.Now)
	tracker.SetEngines(map[string]Engine{localAddress: {Domain: "a"}, remoteAddress: {Domain: "b"}, "10.0.0.3:1": {Domain: "b"}})
	tracker.applyEngineEvents(localAddress, Events{Epoch: 1, Next: 5})
	if !tracker.Lookup(tracker.promptOf("s", nil)).EnginesKnown {
		t.Error("engines don't count as known though the own domain's engine is known")
	}
	rows := []struct {
		address string
		err     error
		want    time.Duration
	}{
		{remoteAddress, ErrTooManyCalls, remoteRetryDelay}, {remoteAddress, errors.New("reset"), engineRetryDelay}, {localAddress, ErrTooManyCalls, 0}, {"gone", ErrTooManyCalls, engineRetryDelay},
	}
	for _, row := range rows {
		if got := tracker.handleEngineFailure(row.address, row.err); got != row.want {
			t.Errorf("%s after %v: got delay %s", row.address, row.err, got)
		}
	}
	if !tracker.Lookup(tracker.promptOf("s", nil)).EnginesKnown {
		t.Error("an engine's contents are dropped because it refused a call for its limit")
	}
	c.now = c.now.Add(2 * engineFreshFor)
	if tracker.Lookup(tracker.promptOf("s", nil)).EnginesKnown {
		t.Error("engines count as known by an engine that has refused calls for long")
	}
}

// TestEventsContinueAfterFailedCall loses one call while the engine keeps running.
func TestEventsContinueAfterFailedCall(t *testing.T) {
	c := &fakeClock{epoch}
	tracker := NewTracker(nil, zap.NewNop(), "a", c.Now)
	tracker.SetEngines(map[string]Engine{localAddress: {Domain: "a"}})
	tracker.applyEngineEvents(localAddress, Events{Epoch: 1, Next: 5, Changes: []Change{added("s", "p1", 500)}})
	tracker.handleEngineFailure(localAddress, errors.New("reset"))
	if len(tracker.Lookup(tracker.promptOf("s", testSegments)).Resident) != 0 {
		t.Error("an engine's contents are used while it does not answer")
	}
	tracker.applyEngineEvents(localAddress, Events{Epoch: 1, Next: 6, Changes: []Change{added("s", "p2", 1500)}})
	if r := tracker.Lookup(tracker.promptOf("s", testSegments)).Resident; len(r) != 1 || r[0].Segments != 2 {
		t.Errorf("got resident %+v, want two segments: the contents from before the failure are lost", r)
	}
}

// TestLargeFleetFollowsOwnDomain follows the engines of a small and a large fleet.
//
// In the small one all engines are followed, from their oldest event on. In the large one only
// those of the own domain are, from their next event on: the events of 55 engines, new and stored,
// would fill a small host's link and delay callers' answers.
func TestLargeFleetFollowsOwnDomain(t *testing.T) {
	rows := []struct {
		engines, want int
		from          int64
		own           string
	}{
		{12, 12, 0, "a"}, {54, 18, fromNow, "a"}, {54, 54, fromNow, "a domain without engines"},
	}
	for _, row := range rows {
		tracker := NewTracker(nil, zap.NewNop(), row.own, time.Now)
		engines := map[string]Engine{}
		for i := range row.engines {
			engines[fmt.Sprintf("10.0.0.%d:1", i)] = Engine{Domain: string(rune('a' + i%3))}
		}
		tracker.SetEngines(engines)
		if got, from := len(tracker.followers()), tracker.firstEngineEvent("10.0.0.0:1"); got != row.want || from != row.from {
			t.Errorf("%d engines: got %d followed, from event %d", row.engines, got, from)
		}
	}
}

// TestVeryLargeFleetIsDivided has two processes follow a domain of 600 engines.
//
// Following all would use a small host's whole processor. Each process follows a different subset,
// and the subset barely changes when an engine is removed: a newly followed engine has to be read
// from scratch.
func TestVeryLargeFleetIsDivided(t *testing.T) {
	const count = 600
	followed := func(self string, without int) map[string]bool {
		tracker := NewTracker(nil, zap.NewNop(), "a", time.Now)
		tracker.Self = self
		engines := map[string]Engine{}
		for i := range count {
			if i != without {
				engines[fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)] = Engine{Domain: "a"}
			}
		}
		tracker.SetEngines(engines)
		out := map[string]bool{}
		for address := range tracker.followers() {
			out[address] = true
		}
		return out
	}
	common := func(a, b map[string]bool) int {
		n := 0
		for address := range a {
			if b[address] {
				n++
			}
		}
		return n
	}
	one, other := followed("g1", -1), followed("g2", -1)
	if len(one) != maxFollowed || len(other) != maxFollowed || common(one, other) > maxFollowed/2 {
		t.Errorf("%d and %d followed, %d by both", len(one), len(other), common(one, other))
	}
	for without := range count {
		if inBoth := common(one, followed("g1", without)); inBoth < maxFollowed-1 {
			t.Fatalf("%d of %d still followed without engine %d", inBoth, maxFollowed, without)
		}
	}
}

// TestEngineIsPreferredOverStore plans for a prompt whose first segment is in two engines, one
// of them the target, and whose second segment is in an engine and in a store.
func TestEngineIsPreferredOverStore(t *testing.T) {
	tracker, c := newTracker(t)
	const target, other = "10.0.1.1:1", "10.0.1.2:1"
	tracker.SetEngines(map[string]Engine{target: {Domain: "a", TokenBytes: 1000, LinkBytesPerSecond: 1_000_000}, other: {Domain: "b", LinkBytesPerSecond: 1_000_000}})
	tracker.applyEvents(localAddress, Events{Epoch: 7, Changes: []Change{added("s.1", "p2", 1500)}}, c.now)
	tracker.applyEngineEvents(target, Events{Epoch: 1, Changes: []Change{added("s.1", "p1", 500)}})
	if p := tracker.Plan(tracker.promptOf("s.1", testSegments), "context", target, 0, residency.Rule{}); p.ImportFrom[0] != "" || p.ImportFrom[1] != localAddress {
		t.Errorf("%q", p.ImportFrom)
	}
	tracker.applyEngineEvents(other, Events{Epoch: 1, Changes: []Change{added("s.1", "p1", 500), added("s.1", "p2", 1500)}})
	if p := tracker.Plan(tracker.promptOf("s.1", testSegments), "context", target, 0, residency.Rule{}); p.ImportFrom[0] != other || p.ImportFrom[1] != other {
		t.Errorf("%q", p.ImportFrom)
	}
	segments := tracker.Lookup(tracker.promptOf("s.1", testSegments)).Segments
	if len(segments) != 2 || !segments[1].Stored || segments[1].Domain != "b" || segments[1].TransferTime != 1500*time.Millisecond {
		t.Errorf("%+v", segments)
	}
}

// TestSegmentsThatTargetMayHaveEvicted plans for a prompt whose first segment the target is known
// to hold, while a store holds both segments.
//
// The target evicts the first segment before the prompt arrives, and the event has not arrived
// yet. An engine can't use a segment after one that it lacks: without a source for the first it
// prefills both, even though the second was imported.
func TestSegmentsThatTargetMayHaveEvicted(t *testing.T) {
	tracker, c := newTracker(t)
	const target, other = "10.0.1.1:1", "10.0.1.2:1"
	tracker.SetEngines(map[string]Engine{target: {Domain: "a"}, other: {Domain: "a"}})
	tracker.applyEngineEvents(target, Events{Epoch: 1, Changes: []Change{added("s.1", "p1", 500)}})
	tracker.applyEngineEvents(other, Events{Epoch: 1, Changes: []Change{added("s.1", "p1", 500)}})
	if p := tracker.Plan(tracker.promptOf("s.1", testSegments), "context", target, 0, residency.Rule{}); p.ImportFrom[0] != other || p.ImportFrom[1] != "" {
		t.Errorf("held by another engine only: got sources %q", p.ImportFrom)
	}
	tracker.applyEvents(localAddress, Events{Epoch: 7, Changes: []Change{added("s.1", "p1", 500), added("s.1", "p2", 1500)}}, c.now)
	if p := tracker.Plan(tracker.promptOf("s.1", testSegments), "context", target, 0, residency.Rule{}); p.ImportFrom[0] != localAddress || p.ImportFrom[1] != localAddress {
		t.Errorf("held by a store, which evicts nothing by itself: got sources %q", p.ImportFrom)
	}
}

// TestFullStoreIsSkipped saves more contexts than one store can hold.
func TestFullStoreIsSkipped(t *testing.T) {
	tracker, c := newTracker(t)
	tracker.applyEvents(localAddress, Events{Epoch: 7, Changes: []Change{added("s.1", "other", 9_600)}}, c.now)
	for i := range 8 {
		p := tracker.Plan(tracker.promptOf("s.1", []Segment{{fmt.Sprint("p", i), 1000}}), fmt.Sprint("context ", i), "", 0, residency.Rule{})
		if p.SaveTo[0] != remoteAddress {
			t.Errorf("context %d: got store %q, want the other one", i, p.SaveTo[0])
		}
	}
}

// TestImportDeadlineLeavesTimeForPrefill checks how long prompts may wait for imports that may
// not arrive.
//
// The engine prefills a prompt whose import did not arrive in time. Half of the objective is left
// for that.
func TestImportDeadlineLeavesTimeForPrefill(t *testing.T) {
	for objective, want := range map[time.Duration]time.Duration{
		600 * time.Millisecond: 300 * time.Millisecond,
		20 * time.Second:       maxImportTime,
		0:                      maxImportTime,
	} {
		tracker, c := newTracker(t)
		if until := tracker.Plan(tracker.promptOf("s.1", testSegments), "context", "", objective, residency.Rule{}).ImportDeadline; until != c.now.Add(5*time.Second+want).UnixMilli() {
			t.Errorf("objective %s: until %d", objective, until)
		}
	}
}
