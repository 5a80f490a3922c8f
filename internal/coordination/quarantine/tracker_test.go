package quarantine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/fingerprint"
)

var start = time.Unix(1_800_000_000, 0)

func keyOf(name string) fingerprint.Key {
	return fingerprint.Of(fingerprint.Request{Target: name}, nil)
}

// trackerWithCrashes returns a tracker with crashes 1, 2 and so on, each given by the names of the requests in
// flight there.
func trackerWithCrashes(crashes ...[]string) *Tracker {
	tracker := NewTracker()
	for i, names := range crashes {
		for _, name := range names {
			tracker.RecordCrash(keyOf(name), uint64(i+1), RequestInfo{Target: name}, start)
		}
	}
	return tracker
}

// TestBlameAttribution guards against a request being blamed for crashes of another that ran beside it, and
// against the culprit not being found because of those that ran beside it.
func TestBlameAttribution(t *testing.T) {
	rows := []struct {
		name    string
		crashes [][]string
		blamed  string
		others  []string
	}{
		{"at two crashes", [][]string{{"a"}, {"a"}}, "", []string{"a"}},
		{"alone at three", [][]string{{"a"}, {"a"}, {"a"}}, "a", nil},
		{"with others at three", [][]string{{"a", "b"}, {"a", "c"}, {"a", "b"}}, "a", []string{"b", "c"}},
		{"beside it at each", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}}, "", []string{"a", "b"}},
		{"beside it at each but one", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a"}}, "a", []string{"b"}},
		{"always together", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}}, "b", nil},
		{"at three, two of them another's", [][]string{{"a", "b"}, {"a", "b"}, {"a"}, {"a"}, {"b"}}, "a", []string{"b"}},
		{"two at crashes of their own", [][]string{{"a"}, {"b"}, {"a"}, {"b"}, {"a"}, {"b"}}, "b", nil},
		{"three at crashes of their own", [][]string{{"a"}, {"b"}, {"c"}, {"a"}, {"b"}, {"c"}, {"a"}, {"b"}, {"c"}}, "a", nil},
		{"at three among others", [][]string{{"a"}, {"b"}, {"a"}, {"c"}, {"a"}, {"d"}}, "", []string{"a", "b", "c", "d"}},
		{"at most among others", [][]string{{"a"}, {"b"}, {"a"}, {"c"}, {"a"}, {"a"}}, "a", []string{"b", "c"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			tracker := trackerWithCrashes(row.crashes...)
			if row.blamed != "" {
				if v := tracker.Check(keyOf(row.blamed), start); v.Standing != Pending {
					t.Errorf("%s: got %+v, want Pending", row.blamed, v)
				}
			}
			for _, other := range row.others {
				if v := tracker.Check(keyOf(other), start); v.Standing != Clear {
					t.Errorf("%s: got %+v, want Clear", other, v)
				}
			}
			tracker.Evaluate(start.Add(verdictDelay))
			if row.blamed != "" {
				v := tracker.Check(keyOf(row.blamed), start.Add(verdictDelay))
				if v.Standing != Quarantined || v.After != initialQuarantine {
					t.Errorf("%s: got %+v, want Quarantined for initialQuarantine", row.blamed, v)
				}
			}
			for _, other := range row.others {
				if v := tracker.Check(keyOf(other), start.Add(verdictDelay)); v.Standing != Clear {
					t.Errorf("%s after Evaluate: got %+v, want Clear", other, v)
				}
			}
		})
	}
}

// TestEvaluateWaitsForOtherProcesses guards against a quarantine that rests on half of the evidence: a request
// that ran beside the culprit is known to be at a third crash before the culprit is.
func TestEvaluateWaitsForOtherProcesses(t *testing.T) {
	tracker := trackerWithCrashes([]string{"culprit", "beside"}, []string{"culprit", "beside"}, []string{"beside"})
	if v := tracker.Check(keyOf("beside"), start); v.Standing != Pending || v.After != pendingRetryAfter {
		t.Errorf("%+v", v)
	}
	if tracker.Evaluate(start.Add(verdictDelay - 1)); len(tracker.DurableRecords()) != 0 {
		t.Errorf("%+v", tracker.DurableRecords())
	}
	later := start.Add(verdictDelay - 1)
	tracker.RecordCrash(keyOf("culprit"), 3, RequestInfo{}, later)
	if tracker.Evaluate(later.Add(verdictDelay)); len(tracker.DurableRecords()) != 0 {
		t.Errorf("%+v", tracker.DurableRecords())
	}
	later = later.Add(verdictDelay)
	tracker.RecordCrash(keyOf("culprit"), 4, RequestInfo{}, later)
	tracker.Evaluate(later.Add(verdictDelay))
	found := tracker.DurableRecords()
	if len(found) != 1 || found[0].Key != keyOf("culprit") {
		t.Errorf("%+v", found)
	}
	if v := tracker.Check(keyOf("beside"), later.Add(verdictDelay)); v.Standing != Clear {
		t.Errorf("%+v", v)
	}
}

// TestOnBlame guards against attempts that go on although their request is found to cause crashes: by a crash that
// this process observed, by what another process sent, or because the record that explained the crashes was
// cleared.
func TestOnBlame(t *testing.T) {
	third := func(tracker *Tracker) { tracker.RecordCrash(keyOf("a"), 3, RequestInfo{}, start) }
	rows := []struct {
		name    string
		crashes [][]string
		then    func(tracker *Tracker)
		want    bool
	}{
		{"a third crash", [][]string{{"a"}, {"a"}}, third, true},
		{"a third crash reported by another process", [][]string{{"a"}, {"a"}}, func(tracker *Tracker) {
			tracker.Merge(Record{Key: keyOf("a"), Crashes: crashesAt(start, 3)}, start)
		}, true},
		{"a quarantine reported by another process", [][]string{{"a"}}, func(tracker *Tracker) {
			tracker.Merge(Record{Key: keyOf("a"), Level: 1, Until: start.Add(time.Minute)}, start)
		}, true},
		{"more crashes", [][]string{{"a"}, {"a"}}, func(tracker *Tracker) {
			third(tracker)
			tracker.RecordCrash(keyOf("a"), 4, RequestInfo{}, start)
		}, true},
		{"another is cleared", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}}, func(tracker *Tracker) {
			tracker.RecordCompletion(keyOf("b"), start)
			tracker.Evaluate(start.Add(verdictDelay))
		}, true},
		{"a second crash", [][]string{{"a"}}, func(tracker *Tracker) { tracker.RecordCrash(keyOf("a"), 2, RequestInfo{}, start) }, false},
		{"another is to blame", [][]string{{"b"}, {"b"}}, func(tracker *Tracker) { tracker.RecordCrash(keyOf("b"), 3, RequestInfo{}, start) }, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			tracker := trackerWithCrashes(row.crashes...)
			reported := map[fingerprint.Key]bool{}
			tracker.OnBlame(func(key fingerprint.Key) { reported[key] = true })
			row.then(tracker)
			if reported[keyOf("a")] != row.want {
				t.Errorf("got OnBlame called %v, want %v", reported[keyOf("a")], row.want)
			}
		})
	}
}

// TestQuarantinedRequestExplainsCrashes guards against crashes of a request that is already quarantined being
// counted against those that ran beside it.
func TestQuarantinedRequestExplainsCrashes(t *testing.T) {
	tracker := trackerWithCrashes([]string{"culprit"}, []string{"culprit"}, []string{"culprit"})
	tracker.Evaluate(start.Add(verdictDelay))
	for crash := uint64(4); crash < 9; crash++ {
		tracker.RecordCrash(keyOf("culprit"), crash, RequestInfo{}, start)
		tracker.RecordCrash(keyOf("beside"), crash, RequestInfo{}, start)
	}
	if v := tracker.Check(keyOf("beside"), start); v.Standing != Clear {
		t.Errorf("%+v", v)
	}
}

// TestCompletionClearsRequest guards against the refusal of a frequent request, which is in flight at many crashes
// although endpoints can run it.
func TestCompletionClearsRequest(t *testing.T) {
	tracker := NewTracker()
	for crash := uint64(1); crash < 20; crash++ {
		tracker.RecordCrash(keyOf("often"), crash, RequestInfo{}, start)
		tracker.RecordCompletion(keyOf("often"), start)
		if v := tracker.Check(keyOf("often"), start); v.Standing != Clear {
			t.Fatalf("after %d crashes: got %+v, want Clear", crash, v)
		}
	}
	outdated := Record{Key: keyOf("often"), Round: 3, Crashes: crashesAt(start, 101, 102, 103, 104)}
	if tracker.Merge(outdated, start) {
		t.Error("evidence of an earlier round was merged")
	}
}

// TestQuarantineEndsWithTrial checks what follows a quarantine: a single attempt, a longer quarantine if that
// crashes its endpoint too, and release if it completes.
func TestQuarantineEndsWithTrial(t *testing.T) {
	tracker := trackerWithCrashes([]string{"a"}, []string{"a"}, []string{"a"})
	now := start.Add(verdictDelay)
	tracker.Evaluate(now)
	for level := uint32(1); level < 8; level++ {
		want := min(maxQuarantine, initialQuarantine<<(level-1))
		if v := tracker.Check(keyOf("a"), now.Add(want-1)); v.Standing != Quarantined {
			t.Fatalf("level %d: got %+v, want Quarantined", level, v)
		}
		now = now.Add(want)
		if v := tracker.Check(keyOf("a"), now); v.Standing != OnTrial {
			t.Fatalf("level %d: got %+v, want OnTrial", level, v)
		}
		tracker.BeginTrial(keyOf("a"), now)
	}
	if v := tracker.Check(keyOf("a"), now); v.Standing != Quarantined || v.After != maxQuarantine {
		t.Errorf("during its trial: got %+v, want Quarantined for maxQuarantine", v)
	}
	if !tracker.RecordCompletion(keyOf("a"), now) {
		t.Error("the quarantine was not lifted")
	}
	if v := tracker.Check(keyOf("a"), now); v.Standing != Clear {
		t.Errorf("after its trial: got %+v, want Clear", v)
	}
}

// TestExpiredRecordsAreRemoved guards against a tracker that grows with all requests that were ever in flight at a
// crash.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	tracker := trackerWithCrashes([]string{"a", "b"}, []string{"a"})
	tracker.RecordCompletion(keyOf("b"), start)
	tracker.Evaluate(start.Add(clearedLifetime))
	if len(tracker.records) != 1 {
		t.Errorf("got %d records, want 1", len(tracker.records))
	}
	if v := tracker.Check(keyOf("a"), start); v.Standing != Clear {
		t.Errorf("%+v", v)
	}
	tracker.Evaluate(start.Add(evidenceLifetime))
	if !tracker.IsEmpty() || len(tracker.crashes) != 0 || len(tracker.sendsLeft) != 0 {
		t.Errorf("got %d records, %d crashes and %d pending updates, want none", len(tracker.records), len(tracker.crashes), len(tracker.sendsLeft))
	}
}

// TestTrackerIsBounded fills a tracker beyond its limit, as the crash of many busy endpoints does: quarantines
// stay, and so do the requests that were at the most crashes.
func TestTrackerIsBounded(t *testing.T) {
	tracker := trackerWithCrashes([]string{"q"}, []string{"q"}, []string{"q"})
	tracker.Evaluate(start.Add(verdictDelay))
	tracker.RecordCrash(keyOf("twice"), 10, RequestInfo{}, start)
	tracker.RecordCrash(keyOf("twice"), 11, RequestInfo{}, start)
	for i := range 3 * maxRecords {
		tracker.RecordCrash(keyOf(fmt.Sprint(i)), uint64(100+i%50), RequestInfo{}, start)
	}
	if len(tracker.records) > maxRecords || len(tracker.sendsLeft) > maxRecords || int(tracker.size.Load()) != len(tracker.records) {
		t.Errorf("got %d records, %d pending updates and size %d, want at most maxRecords and a size equal to the records", len(tracker.records), len(tracker.sendsLeft), tracker.size.Load())
	}
	if v := tracker.Check(keyOf("q"), start.Add(verdictDelay)); v.Standing != Quarantined {
		t.Errorf("%+v", v)
	}
	if r := tracker.records[keyOf("twice")]; r == nil {
		t.Error("a request at two crashes was removed before those at one")
	}
}

// TestMergeIsOrderIndependent merges the same reports in any order, with repeats: all processes end up with the
// same records.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			r := Record{
				Key: keyOf(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")), Round: rapid.Uint32Range(0, 2).Draw(t, "round"),
				Level: rapid.Uint32Range(0, 2).Draw(t, "level"), Lifted: rapid.Bool().Draw(t, "lifted"),
			}
			for _, crash := range rapid.SliceOfN(rapid.Uint64Range(1, 20), 0, maxCrashes).Draw(t, "crashes") {
				seen := start.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second)
				r.addCrash(Crash{crash, seen})
			}
			if r.Level > 0 {
				r.Until = start.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "left")) * time.Second)
			}
			return r
		}), 1, 12).Draw(t, "reports")
		first, second := NewTracker(), NewTracker()
		for _, r := range reports {
			first.Merge(r, start)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, seed))
		twice := append(slices.Clone(reports), reports...)
		random.Shuffle(len(twice), func(i, j int) { twice[i], twice[j] = twice[j], twice[i] })
		for _, r := range twice {
			second.Merge(r, start)
		}
		for key, r := range first.records {
			if !reflect.DeepEqual(r, second.records[key]) {
				t.Fatalf("the records differ:\n%+v\n%+v", r, second.records[key])
			}
		}
		if first.Digest() != second.Digest() || len(first.records) != len(second.records) {
			t.Fatal("digests or numbers of records differ")
		}
		for _, tracker := range []*Tracker{first, second} {
			checkIndex(t, tracker)
		}
	})
}

func crashesAt(seen time.Time, incarnations ...uint64) []Crash {
	var out []Crash
	for _, incarnation := range incarnations {
		out = append(out, Crash{incarnation, seen})
	}
	return out
}

// checkIndex compares the requests listed for each crash with the records.
func checkIndex(t *rapid.T, tracker *Tracker) {
	entries := 0
	for incarnation, event := range tracker.crashes {
		entries += len(event.inFlight)
		for _, key := range event.inFlight {
			r := tracker.records[key]
			if r == nil {
				t.Fatalf("no record of %s", key)
			}
			if _, found := r.findCrash(incarnation); !found {
				t.Fatalf("%s is listed at crash %d, which its record lacks", key, incarnation)
			}
		}
	}
	for _, r := range tracker.records {
		entries -= len(r.Crashes)
	}
	if entries != 0 {
		t.Fatalf("the crashes list %d requests more than the records have crashes, want 0", entries)
	}
}

// TestNewProcessAgreesWithOthers guards against a process that starts and lets a request crash endpoints although
// all others refuse it: it learns at once of all earlier crashes of other causes, and must not treat them as
// crashes that happen now.
func TestNewProcessAgreesWithOthers(t *testing.T) {
	old, newcomer := trackerWithCrashes([]string{"x"}, []string{"y"}, []string{"z"}), NewTracker()
	now := start.Add(2 * backgroundWindow)
	var sent []Record
	for _, r := range old.records {
		sent = append(sent, r.clone())
	}
	if err := newcomer.MergeWire(RecordsToWire(sent, now), now); err != nil || len(newcomer.crashes) != len(old.crashes) {
		t.Fatal(err)
	}
	for crash := range uint64(minBlamedCrashes) {
		for name, tracker := range map[string]*Tracker{"old": old, "new": newcomer} {
			if v := tracker.Check(keyOf("a"), now); v.Standing != Clear {
				t.Errorf("%s process after %d crashes: got %+v, want Clear", name, crash, v)
			}
			tracker.RecordCrash(keyOf("a"), 100+crash, RequestInfo{}, now)
		}
	}
	for name, tracker := range map[string]*Tracker{"old": old, "new": newcomer} {
		if v := tracker.Check(keyOf("a"), now); v.Standing != Pending {
			t.Errorf("%s process: got %+v, want Pending", name, v)
		}
	}
}

// TestCrashAgesSurviveTransport guards against evidence that becomes younger with each process it passes through,
// and against ages that no process would send.
func TestCrashAgesSurviveTransport(t *testing.T) {
	now := start.Add(time.Minute)
	sent := []*wire.QuarantineCase{
		RecordsToWire([]Record{{Key: keyOf("a"), Crashes: crashesAt(start, 1)}}, now)[0],
		{Fingerprint: make([]byte, fingerprint.Size), Crashes: []uint64{2, 3}, CrashAgesDs: []uint32{math.MaxUint32}},
	}
	tracker := NewTracker()
	if err := tracker.MergeWire(sent, now); err != nil {
		t.Fatal(err)
	}
	for incarnation, want := range map[uint64]time.Duration{1: time.Minute, 2: evidenceLifetime, 3: 0} {
		if got := now.Sub(tracker.crashes[incarnation].firstSeen); got != want {
			t.Errorf("crash %d was %v ago, want %v", incarnation, got, want)
		}
	}
}

// TestEarlierCrashesOfOtherCauses guards against blame for a request that arrives while endpoints are being killed
// one after the other.
func TestEarlierCrashesOfOtherCauses(t *testing.T) {
	for _, row := range []struct {
		before time.Duration
		want   Standing
	}{{backgroundWindow, Clear}, {backgroundWindow + time.Second, Pending}} {
		tracker := NewTracker()
		for kill := range uint64(4) {
			tracker.RecordCrash(keyOf(fmt.Sprint(kill)), 100+kill, RequestInfo{}, start)
		}
		for crash := range uint64(minBlamedCrashes) {
			tracker.RecordCrash(keyOf("a"), crash, RequestInfo{}, start.Add(row.before))
		}
		if v := tracker.Check(keyOf("a"), start.Add(row.before)); v.Standing != row.want {
			t.Errorf("%s after the other crashes: unexpected standing: %+v", row.before, v)
		}
	}
}

// TestKilledEndpointsBlameNoBystander simulates endpoints that are killed under streams whose callers retry, in
// many runs, with and without a request among them that crashes endpoints. No stream that only ran beside is
// quarantined while one of nine endpoints is killed every second or less often. The culprit is, soon, however many
// endpoints are killed.
func TestKilledEndpointsBlameNoBystander(t *testing.T) {
	const runs = 60
	for _, killEvery := range []time.Duration{0, 10 * time.Second, 2 * time.Second, time.Second, 600 * time.Millisecond} {
		for _, withCulprit := range []bool{false, true} {
			t.Run(fmt.Sprintf("a kill each %s, culprit %v", killEvery, withCulprit), func(t *testing.T) {
				t.Parallel()
				var total simulationResult
				for n := range runs {
					s := newSimulation(rand.New(rand.NewPCG(uint64(n), 7)), killEvery)
					s.run(withCulprit)
					total.pending += s.pending
					total.quarantined += s.quarantined
					total.lost += s.lost
					total.crashes += s.crashes
					total.maxCrashesPerRun = max(total.maxCrashesPerRun, s.crashes)
				}
				t.Logf("%d other requests lost an attempt, %d were pending for a moment, %d are quarantined; the culprit crashed %.1f endpoints on average, %d at most",
					total.lost, total.pending, total.quarantined, float64(total.crashes)/runs, total.maxCrashesPerRun)
				if total.quarantined > 0 && (killEvery == 0 || killEvery >= time.Second) {
					t.Errorf("got %d requests in quarantine that only ran beside, want none", total.quarantined)
				}
				if withCulprit && total.maxCrashesPerRun > sufficientCrashes {
					t.Errorf("the culprit crashed %d endpoints, want at most sufficientCrashes", total.maxCrashesPerRun)
				}
			})
		}
	}
}

type simulationResult struct {
	// lost, pending and quarantined count the other requests, crashes those of endpoints that the culprit crashed,
	// and maxCrashesPerRun is the most of these in one run.
	lost, pending, quarantined, crashes, maxCrashesPerRun int
}

// simulation has nine endpoints. Seven streams begin at each step; they have their first event after two steps and
// are done after ten. A stream that ran at a killed endpoint is retried at another, and runs up to five times in
// all.
type simulation struct {
	simulationResult
	random      *rand.Rand
	killEvery   time.Duration
	now         time.Time
	guard       *Guard
	running     [9][]activeAttempt
	started     int
	incarnation uint64
}

type activeAttempt struct {
	Attempt
	tries int
}

const (
	simulationStep   = 200 * time.Millisecond
	simulationSteps  = 150
	startsPerStep    = 7
	firstOutputDelay = 2 * simulationStep
	attemptDuration  = 10 * simulationStep
	maxTries         = 5
)

var culprit = keyOf("culprit")

func newSimulation(random *rand.Rand, killEvery time.Duration) *simulation {
	s := &simulation{random: random, killEvery: killEvery, now: start}
	s.guard = NewGuard(NewTracker(), nil, zap.NewNop(), metrics.NewRegistry(), func() time.Time { return s.now })
	return s
}

func (s *simulation) dispatch(r activeAttempt) {
	r.Sent = s.now.Add(-1)
	e := s.random.IntN(len(s.running))
	s.running[e] = append(s.running[e], r)
}

func (s *simulation) run(withCulprit bool) {
	for step := range simulationSteps {
		s.now = start.Add(time.Duration(step) * simulationStep)
		for range startsPerStep {
			s.started++
			s.dispatch(activeAttempt{Attempt: Attempt{Key: keyOf(fmt.Sprint(s.started))}})
		}
		if withCulprit && step%2 == 0 && s.guard.Quarantines.Check(culprit, s.now).Standing == Clear {
			s.dispatch(activeAttempt{Attempt: Attempt{Key: culprit}})
		}
		killed := -1
		if s.killEvery > 0 && time.Duration(step)*simulationStep%s.killEvery < simulationStep {
			killed = s.random.IntN(len(s.running))
		}
		for e := range s.running {
			s.complete(e)
			if e == killed || slices.ContainsFunc(s.running[e], func(r activeAttempt) bool { return r.Key == culprit }) {
				s.crashEndpoint(e)
			}
		}
		s.guard.Quarantines.Evaluate(s.now)
	}
	for _, r := range s.guard.Quarantines.DurableRecords() {
		if r.Key != culprit {
			s.quarantined++
		}
	}
}

// complete ends the attempts at an endpoint that are done.
func (s *simulation) complete(e int) {
	s.running[e] = slices.DeleteFunc(s.running[e], func(r activeAttempt) bool {
		done := s.now.Sub(r.Sent) >= attemptDuration
		if done {
			s.guard.RecordCompletion(r.Key)
		}
		return done
	})
}

func (s *simulation) crashEndpoint(e int) {
	s.incarnation++
	lost := s.running[e]
	s.running[e] = nil
	for _, r := range lost {
		if output := r.Sent.Add(firstOutputDelay); !output.After(s.now) && r.Key != culprit {
			r.Output = output
		}
		s.guard.RecordCrash(r.Attempt, s.incarnation, s.now)
	}
	for _, r := range lost {
		if r.Key == culprit {
			s.crashes++
			continue
		}
		s.lost++
		if r.tries++; r.tries >= maxTries {
			continue
		}
		if s.guard.Quarantines.Check(r.Key, s.now).Standing != Clear {
			s.pending++
			continue
		}
		s.dispatch(r)
	}
}
