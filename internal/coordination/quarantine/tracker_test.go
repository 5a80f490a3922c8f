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

// at lists who was at each crash: crash 1, crash 2 and so on.
func trackerWithCrashes(crashes ...[]string) *Tracker {
	tracker := NewTracker()
	for i, names := range crashes {
		for _, name := range names {
			tracker.RecordCrash(keyOf(name), uint64(i+1), RequestInfo{Target: name}, start)
		}
	}
	return tracker
}

// TestBlameAttribution guards against a request being blamed for the crashes of another that ran beside it, and
// against the culprit hiding behind those.
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
					t.Errorf("%s is not held: %+v", row.blamed, v)
				}
			}
			for _, other := range row.others {
				if v := tracker.Check(keyOf(other), start); v.Standing != Clear {
					t.Errorf("%s: %+v", other, v)
				}
			}
			tracker.Evaluate(start.Add(verdictDelay))
			if row.blamed != "" {
				v := tracker.Check(keyOf(row.blamed), start.Add(verdictDelay))
				if v.Standing != Quarantined || v.After != initialQuarantine {
					t.Errorf("%s is not in quarantine: %+v", row.blamed, v)
				}
			}
			for _, other := range row.others {
				if v := tracker.Check(keyOf(other), start.Add(verdictDelay)); v.Standing != Clear {
					t.Errorf("%s: %+v", other, v)
				}
			}
		})
	}
}

// TestEvaluateWaitsForOtherProcesses guards against a quarantine that rests on half of the evidence: a request that ran beside
// the culprit is known to be at a third crash before the culprit is.
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

// TestOnBlame guards against runs that go on when their request is to blame: by a crash seen here, by word of
// another process, or when what hid it is cleared.
func TestOnBlame(t *testing.T) {
	third := func(tracker *Tracker) { tracker.RecordCrash(keyOf("a"), 3, RequestInfo{}, start) }
	rows := []struct {
		name    string
		crashes [][]string
		then    func(tracker *Tracker)
		want    bool
	}{
		{"a third crash", [][]string{{"a"}, {"a"}}, third, true},
		{"word of a third crash", [][]string{{"a"}, {"a"}}, func(tracker *Tracker) {
			tracker.Merge(Record{Key: keyOf("a"), Crashes: crashesAt(start, 3)}, start)
		}, true},
		{"word of a quarantine", [][]string{{"a"}}, func(tracker *Tracker) {
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
		{"blame of another", [][]string{{"b"}, {"b"}}, func(tracker *Tracker) { tracker.RecordCrash(keyOf("b"), 3, RequestInfo{}, start) }, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			tracker := trackerWithCrashes(row.crashes...)
			reported := map[fingerprint.Key]bool{}
			tracker.OnBlame(func(key fingerprint.Key) { reported[key] = true })
			row.then(tracker)
			if reported[keyOf("a")] != row.want {
				t.Errorf("told of it: %v, want %v", reported[keyOf("a")], row.want)
			}
		})
	}
}

// TestQuarantinedRequestExplainsCrashes guards against one request's crashes being held against those beside it after the
// quarantine began.
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

// TestCompletionClearsRequest guards against a request that comes often, and so was at many crashes, being refused
// though endpoints run it.
func TestCompletionClearsRequest(t *testing.T) {
	tracker := NewTracker()
	for crash := uint64(1); crash < 20; crash++ {
		tracker.RecordCrash(keyOf("often"), crash, RequestInfo{}, start)
		tracker.RecordCompletion(keyOf("often"), start)
		if v := tracker.Check(keyOf("often"), start); v.Standing != Clear {
			t.Fatalf("after %d crashes: %+v", crash, v)
		}
	}
	outdated := Record{Key: keyOf("often"), Round: 3, Crashes: crashesAt(start, 101, 102, 103, 104)}
	if tracker.Merge(outdated, start) {
		t.Error("word of an earlier round counts")
	}
}

// TestQuarantineEndsWithTrial follows a quarantine over its end: one run, a longer quarantine when that crashes its endpoint
// too, and freedom when it ends well.
func TestQuarantineEndsWithTrial(t *testing.T) {
	tracker := trackerWithCrashes([]string{"a"}, []string{"a"}, []string{"a"})
	now := start.Add(verdictDelay)
	tracker.Evaluate(now)
	for level := uint32(1); level < 8; level++ {
		want := min(maxQuarantine, initialQuarantine<<(level-1))
		if v := tracker.Check(keyOf("a"), now.Add(want-1)); v.Standing != Quarantined {
			t.Fatalf("level %d: %+v", level, v)
		}
		now = now.Add(want)
		if v := tracker.Check(keyOf("a"), now); v.Standing != OnTrial {
			t.Fatalf("level %d: %+v", level, v)
		}
		tracker.BeginTrial(keyOf("a"), now)
	}
	if v := tracker.Check(keyOf("a"), now); v.Standing != Quarantined || v.After != maxQuarantine {
		t.Errorf("during its trial: %+v", v)
	}
	if !tracker.RecordCompletion(keyOf("a"), now) {
		t.Error("the quarantine is not lifted")
	}
	if v := tracker.Check(keyOf("a"), now); v.Standing != Clear {
		t.Errorf("after its trial: %+v", v)
	}
}

// TestExpiredRecordsAreRemoved guards against a book that grows with all that ever was at a crash.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	tracker := trackerWithCrashes([]string{"a", "b"}, []string{"a"})
	tracker.RecordCompletion(keyOf("b"), start)
	tracker.Evaluate(start.Add(clearedLifetime))
	if len(tracker.records) != 1 {
		t.Errorf("%d cases", len(tracker.records))
	}
	if v := tracker.Check(keyOf("a"), start); v.Standing != Clear {
		t.Errorf("%+v", v)
	}
	tracker.Evaluate(start.Add(evidenceLifetime))
	if !tracker.IsEmpty() || len(tracker.crashes) != 0 || len(tracker.sendsLeft) != 0 {
		t.Errorf("%d cases, %d crashes, %d rumours", len(tracker.records), len(tracker.crashes), len(tracker.sendsLeft))
	}
}

// TestTrackerIsBounded fills a book beyond its bound, as the crash of many busy endpoints does: quarantines stay, and what is
// at most crashes.
func TestTrackerIsBounded(t *testing.T) {
	tracker := trackerWithCrashes([]string{"q"}, []string{"q"}, []string{"q"})
	tracker.Evaluate(start.Add(verdictDelay))
	tracker.RecordCrash(keyOf("twice"), 10, RequestInfo{}, start)
	tracker.RecordCrash(keyOf("twice"), 11, RequestInfo{}, start)
	for i := range 3 * maxRecords {
		tracker.RecordCrash(keyOf(fmt.Sprint(i)), uint64(100+i%50), RequestInfo{}, start)
	}
	if len(tracker.records) > maxRecords || len(tracker.sendsLeft) > maxRecords || int(tracker.size.Load()) != len(tracker.records) {
		t.Errorf("%d cases, %d rumours, size %d", len(tracker.records), len(tracker.sendsLeft), tracker.size.Load())
	}
	if v := tracker.Check(keyOf("q"), start.Add(verdictDelay)); v.Standing != Quarantined {
		t.Errorf("%+v", v)
	}
	if r := tracker.records[keyOf("twice")]; r == nil {
		t.Error("what was at two crashes is forgotten before what was at one")
	}
}

// TestMergeIsOrderIndependent merges the same reports in any order, with repeats: all processes come to the same cases.
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
				t.Fatalf("%+v\n%+v", r, second.records[key])
			}
		}
		if first.Digest() != second.Digest() || len(first.records) != len(second.records) {
			t.Fatal("digests differ")
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

// checkIndex compares the lists of who was at each crash with the cases.
func checkIndex(t *rapid.T, tracker *Tracker) {
	entries := 0
	for incarnation, event := range tracker.crashes {
		entries += len(event.inFlight)
		for _, key := range event.inFlight {
			if r := tracker.records[key]; r == nil || !r.hasCrash(incarnation) {
				t.Fatalf("%s is listed at crash %d", key, incarnation)
			}
		}
	}
	for _, r := range tracker.records {
		entries -= len(r.Crashes)
	}
	if entries != 0 {
		t.Fatalf("%d entries too many", entries)
	}
}

// TestNewProcessAgreesWithOthers guards against a process that starts and lets a request crash endpoints which all others
// refuse: it hears at once of all that crashed for other reasons before, and must not take that for crashes of now.
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
				t.Errorf("%s process after %d crashes: %+v", name, crash, v)
			}
			tracker.RecordCrash(keyOf("a"), 100+crash, RequestInfo{}, now)
		}
	}
	for name, tracker := range map[string]*Tracker{"old": old, "new": newcomer} {
		if v := tracker.Check(keyOf("a"), now); v.Standing != Pending {
			t.Errorf("%s process: %+v", name, v)
		}
	}
}

// TestCrashAgesSurviveTransport guards against evidence that grows younger with each process it passes through, and against ages that
// no process would tell.
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

// TestEarlierCrashesOfOtherCauses guards against blame for a request that comes while endpoints are being killed one after the other.
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
			t.Errorf("%s after others: %+v", row.before, v)
		}
	}
}

// TestKilledEndpointsBlameNoBystander plays endpoints that are killed under streams whose callers try again, for many days, with and without
// a request among them that crashes endpoints. No stream that only ran beside gets into quarantine while one of nine endpoints
// is killed every second or less often; the culprit does, soon, however many are killed.
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
				t.Logf("%d others lost a run, %d were held for a moment, %d are in quarantine; the culprit crashed %.1f endpoints in the mean, %d at most",
					total.lost, total.pending, total.quarantined, float64(total.crashes)/runs, total.maxCrashesPerRun)
				if total.quarantined > 0 && (killEvery == 0 || killEvery >= time.Second) {
					t.Errorf("%d requests that only ran beside are in quarantine", total.quarantined)
				}
				if withCulprit && total.maxCrashesPerRun > sufficientCrashes {
					t.Errorf("the culprit crashed %d endpoints", total.maxCrashesPerRun)
				}
			})
		}
	}
}

type simulationResult struct {
	// lost, pending and quarantined count others, crashes those of the culprit, maxCrashesPerRun the maxCrashesPerRun of one day.
	lost, pending, quarantined, crashes, maxCrashesPerRun int
}

// simulation has nine endpoints. Seven streams begin at each step; they have their first event after two, and are done after ten. Who
// ran at a killed endpoint tries again at another, five times in all.
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

// complete ends the runs of an endpoint that are done.
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
