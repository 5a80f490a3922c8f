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
func bookOf(crashes ...[]string) *Tracker {
	b := NewTracker()
	for i, names := range crashes {
		for _, name := range names {
			b.RecordCrash(keyOf(name), uint64(i+1), RequestInfo{Target: name}, start)
		}
	}
	return b
}

// TestWhoseDoing guards against a request being blamed for the crashes of another that ran beside it, and
// against the culprit hiding behind those.
func TestWhoseDoing(t *testing.T) {
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
			b := bookOf(row.crashes...)
			if row.blamed != "" {
				if v := b.Check(keyOf(row.blamed), start); v.Standing != Pending {
					t.Errorf("%s is not held: %+v", row.blamed, v)
				}
			}
			for _, other := range row.others {
				if v := b.Check(keyOf(other), start); v.Standing != Clear {
					t.Errorf("%s: %+v", other, v)
				}
			}
			b.Evaluate(start.Add(verdictDelay))
			if row.blamed != "" {
				v := b.Check(keyOf(row.blamed), start.Add(verdictDelay))
				if v.Standing != Quarantined || v.After != initialQuarantine {
					t.Errorf("%s is not in quarantine: %+v", row.blamed, v)
				}
			}
			for _, other := range row.others {
				if v := b.Check(keyOf(other), start.Add(verdictDelay)); v.Standing != Clear {
					t.Errorf("%s: %+v", other, v)
				}
			}
		})
	}
}

// TestVerdictWaitsForWordOfOthers guards against a quarantine that rests on half of the evidence: a request that ran beside
// the culprit is known to be at a third crash before the culprit is.
func TestVerdictWaitsForWordOfOthers(t *testing.T) {
	b := bookOf([]string{"culprit", "beside"}, []string{"culprit", "beside"}, []string{"beside"})
	if v := b.Check(keyOf("beside"), start); v.Standing != Pending || v.After != pendingRetryAfter {
		t.Errorf("%+v", v)
	}
	if b.Evaluate(start.Add(verdictDelay - 1)); len(b.DurableRecords()) != 0 {
		t.Errorf("%+v", b.DurableRecords())
	}
	later := start.Add(verdictDelay - 1)
	b.RecordCrash(keyOf("culprit"), 3, RequestInfo{}, later)
	if b.Evaluate(later.Add(verdictDelay)); len(b.DurableRecords()) != 0 {
		t.Errorf("%+v", b.DurableRecords())
	}
	later = later.Add(verdictDelay)
	b.RecordCrash(keyOf("culprit"), 4, RequestInfo{}, later)
	b.Evaluate(later.Add(verdictDelay))
	found := b.DurableRecords()
	if len(found) != 1 || found[0].Key != keyOf("culprit") {
		t.Errorf("%+v", found)
	}
	if v := b.Check(keyOf("beside"), later.Add(verdictDelay)); v.Standing != Clear {
		t.Errorf("%+v", v)
	}
}

// TestBlameIsTold guards against runs that go on when their request is to blame: by a crash seen here, by word of
// another process, or when what hid it is cleared.
func TestBlameIsTold(t *testing.T) {
	third := func(b *Tracker) { b.RecordCrash(keyOf("a"), 3, RequestInfo{}, start) }
	rows := []struct {
		name    string
		crashes [][]string
		then    func(b *Tracker)
		want    bool
	}{
		{"a third crash", [][]string{{"a"}, {"a"}}, third, true},
		{"word of a third crash", [][]string{{"a"}, {"a"}}, func(b *Tracker) {
			b.Merge(Record{Key: keyOf("a"), Crashes: crashesAt(start, 3)}, start)
		}, true},
		{"word of a quarantine", [][]string{{"a"}}, func(b *Tracker) {
			b.Merge(Record{Key: keyOf("a"), Level: 1, Until: start.Add(time.Minute)}, start)
		}, true},
		{"more crashes", [][]string{{"a"}, {"a"}}, func(b *Tracker) {
			third(b)
			b.RecordCrash(keyOf("a"), 4, RequestInfo{}, start)
		}, true},
		{"another is cleared", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}}, func(b *Tracker) {
			b.RecordCompletion(keyOf("b"), start)
			b.Evaluate(start.Add(verdictDelay))
		}, true},
		{"a second crash", [][]string{{"a"}}, func(b *Tracker) { b.RecordCrash(keyOf("a"), 2, RequestInfo{}, start) }, false},
		{"blame of another", [][]string{{"b"}, {"b"}}, func(b *Tracker) { b.RecordCrash(keyOf("b"), 3, RequestInfo{}, start) }, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := bookOf(row.crashes...)
			told := map[fingerprint.Key]bool{}
			b.OnBlame(func(key fingerprint.Key) { told[key] = true })
			row.then(b)
			if told[keyOf("a")] != row.want {
				t.Errorf("told of it: %v, want %v", told[keyOf("a")], row.want)
			}
		})
	}
}

// TestCrashesOfAQuarantinedRequest guards against one request's crashes being held against those beside it after the
// quarantine began.
func TestCrashesOfAQuarantinedRequest(t *testing.T) {
	b := bookOf([]string{"culprit"}, []string{"culprit"}, []string{"culprit"})
	b.Evaluate(start.Add(verdictDelay))
	for crash := uint64(4); crash < 9; crash++ {
		b.RecordCrash(keyOf("culprit"), crash, RequestInfo{}, start)
		b.RecordCrash(keyOf("beside"), crash, RequestInfo{}, start)
	}
	if v := b.Check(keyOf("beside"), start); v.Standing != Clear {
		t.Errorf("%+v", v)
	}
}

// TestWhoRunsToTheEndIsCleared guards against a request that comes often, and so was at many crashes, being refused
// though endpoints run it.
func TestWhoRunsToTheEndIsCleared(t *testing.T) {
	b := NewTracker()
	for crash := uint64(1); crash < 20; crash++ {
		b.RecordCrash(keyOf("often"), crash, RequestInfo{}, start)
		b.RecordCompletion(keyOf("often"), start)
		if v := b.Check(keyOf("often"), start); v.Standing != Clear {
			t.Fatalf("after %d crashes: %+v", crash, v)
		}
	}
	late := Record{Key: keyOf("often"), Round: 3, Crashes: crashesAt(start, 101, 102, 103, 104)}
	if b.Merge(late, start) {
		t.Error("word of an earlier round counts")
	}
}

// TestQuarantineEndsWithATrial follows a quarantine over its end: one run, a longer quarantine when that crashes its endpoint
// too, and freedom when it ends well.
func TestQuarantineEndsWithATrial(t *testing.T) {
	b := bookOf([]string{"a"}, []string{"a"}, []string{"a"})
	now := start.Add(verdictDelay)
	b.Evaluate(now)
	for level := uint32(1); level < 8; level++ {
		want := min(maxQuarantine, initialQuarantine<<(level-1))
		if v := b.Check(keyOf("a"), now.Add(want-1)); v.Standing != Quarantined {
			t.Fatalf("level %d: %+v", level, v)
		}
		now = now.Add(want)
		if v := b.Check(keyOf("a"), now); v.Standing != OnTrial {
			t.Fatalf("level %d: %+v", level, v)
		}
		b.BeginTrial(keyOf("a"), now)
	}
	if v := b.Check(keyOf("a"), now); v.Standing != Quarantined || v.After != maxQuarantine {
		t.Errorf("during its trial: %+v", v)
	}
	if !b.RecordCompletion(keyOf("a"), now) {
		t.Error("the quarantine is not lifted")
	}
	if v := b.Check(keyOf("a"), now); v.Standing != Clear {
		t.Errorf("after its trial: %+v", v)
	}
}

// TestExpiredCasesAreForgotten guards against a book that grows with all that ever was at a crash.
func TestExpiredCasesAreForgotten(t *testing.T) {
	b := bookOf([]string{"a", "b"}, []string{"a"})
	b.RecordCompletion(keyOf("b"), start)
	b.Evaluate(start.Add(clearedLifetime))
	if len(b.records) != 1 {
		t.Errorf("%d cases", len(b.records))
	}
	if v := b.Check(keyOf("a"), start); v.Standing != Clear {
		t.Errorf("%+v", v)
	}
	b.Evaluate(start.Add(evidenceLifetime))
	if !b.IsEmpty() || len(b.crashes) != 0 || len(b.sendsLeft) != 0 {
		t.Errorf("%d cases, %d crashes, %d rumours", len(b.records), len(b.crashes), len(b.sendsLeft))
	}
}

// TestBookIsBounded fills a book beyond its bound, as the crash of many busy endpoints does: quarantines stay, and what is
// at most crashes.
func TestBookIsBounded(t *testing.T) {
	b := bookOf([]string{"q"}, []string{"q"}, []string{"q"})
	b.Evaluate(start.Add(verdictDelay))
	b.RecordCrash(keyOf("twice"), 10, RequestInfo{}, start)
	b.RecordCrash(keyOf("twice"), 11, RequestInfo{}, start)
	for i := range 3 * maxRecords {
		b.RecordCrash(keyOf(fmt.Sprint(i)), uint64(100+i%50), RequestInfo{}, start)
	}
	if len(b.records) > maxRecords || len(b.sendsLeft) > maxRecords || int(b.size.Load()) != len(b.records) {
		t.Errorf("%d cases, %d rumours, size %d", len(b.records), len(b.sendsLeft), b.size.Load())
	}
	if v := b.Check(keyOf("q"), start.Add(verdictDelay)); v.Standing != Quarantined {
		t.Errorf("%+v", v)
	}
	if c := b.records[keyOf("twice")]; c == nil {
		t.Error("what was at two crashes is forgotten before what was at one")
	}
}

// TestOrderOfWordDoesNotMatter merges the same reports in any order, with repeats: all processes come to the same cases.
func TestOrderOfWordDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			c := Record{
				Key: keyOf(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")), Round: rapid.Uint32Range(0, 2).Draw(t, "round"),
				Level: rapid.Uint32Range(0, 2).Draw(t, "level"), Lifted: rapid.Bool().Draw(t, "lifted"),
			}
			for _, crash := range rapid.SliceOfN(rapid.Uint64Range(1, 20), 0, maxCrashes).Draw(t, "crashes") {
				seen := start.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second)
				c.addCrash(Crash{crash, seen})
			}
			if c.Level > 0 {
				c.Until = start.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "left")) * time.Second)
			}
			return c
		}), 1, 12).Draw(t, "reports")
		one, other := NewTracker(), NewTracker()
		for _, c := range reports {
			one.Merge(c, start)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, seed))
		twice := append(slices.Clone(reports), reports...)
		random.Shuffle(len(twice), func(i, j int) { twice[i], twice[j] = twice[j], twice[i] })
		for _, c := range twice {
			other.Merge(c, start)
		}
		for key, c := range one.records {
			if !reflect.DeepEqual(c, other.records[key]) {
				t.Fatalf("%+v\n%+v", c, other.records[key])
			}
		}
		if one.Digest() != other.Digest() || len(one.records) != len(other.records) {
			t.Fatal("digests differ")
		}
		for _, b := range []*Tracker{one, other} {
			checkIndex(t, b)
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
func checkIndex(t *rapid.T, b *Tracker) {
	entries := 0
	for incarnation, at := range b.crashes {
		entries += len(at.inFlight)
		for _, key := range at.inFlight {
			if c := b.records[key]; c == nil || !c.hasCrash(incarnation) {
				t.Fatalf("%s is listed at crash %d", key, incarnation)
			}
		}
	}
	for _, c := range b.records {
		entries -= len(c.Crashes)
	}
	if entries != 0 {
		t.Fatalf("%d entries too many", entries)
	}
}

// TestNewcomerWeighsAsTheOthers guards against a process that starts and lets a request crash endpoints which all others
// refuse: it hears at once of all that crashed for other reasons before, and must not take that for crashes of now.
func TestNewcomerWeighsAsTheOthers(t *testing.T) {
	old, newcomer := bookOf([]string{"x"}, []string{"y"}, []string{"z"}), NewTracker()
	now := start.Add(2 * backgroundWindow)
	var told []Record
	for _, c := range old.records {
		told = append(told, c.clone())
	}
	if err := newcomer.MergeWire(RecordsToWire(told, now), now); err != nil || len(newcomer.crashes) != len(old.crashes) {
		t.Fatal(err)
	}
	for crash := range uint64(minBlamedCrashes) {
		for name, b := range map[string]*Tracker{"old": old, "new": newcomer} {
			if v := b.Check(keyOf("a"), now); v.Standing != Clear {
				t.Errorf("%s process after %d crashes: %+v", name, crash, v)
			}
			b.RecordCrash(keyOf("a"), 100+crash, RequestInfo{}, now)
		}
	}
	for name, b := range map[string]*Tracker{"old": old, "new": newcomer} {
		if v := b.Check(keyOf("a"), now); v.Standing != Pending {
			t.Errorf("%s process: %+v", name, v)
		}
	}
}

// TestAgesOfCrashesTravel guards against evidence that grows younger with each process it passes through, and against ages that
// no process would tell.
func TestAgesOfCrashesTravel(t *testing.T) {
	now := start.Add(time.Minute)
	told := []*wire.QuarantineCase{
		RecordsToWire([]Record{{Key: keyOf("a"), Crashes: crashesAt(start, 1)}}, now)[0],
		{Fingerprint: make([]byte, fingerprint.Size), Crashes: []uint64{2, 3}, CrashAgesDs: []uint32{math.MaxUint32}},
	}
	b := NewTracker()
	if err := b.MergeWire(told, now); err != nil {
		t.Fatal(err)
	}
	for incarnation, want := range map[uint64]time.Duration{1: time.Minute, 2: evidenceLifetime, 3: 0} {
		if got := now.Sub(b.crashes[incarnation].firstSeen); got != want {
			t.Errorf("crash %d was %v ago, want %v", incarnation, got, want)
		}
	}
}

// TestCrashesBeforeItCame guards against blame for a request that comes while endpoints are being killed one after the other.
func TestCrashesBeforeItCame(t *testing.T) {
	for _, row := range []struct {
		before time.Duration
		want   Standing
	}{{backgroundWindow, Clear}, {backgroundWindow + time.Second, Pending}} {
		b := NewTracker()
		for kill := range uint64(4) {
			b.RecordCrash(keyOf(fmt.Sprint(kill)), 100+kill, RequestInfo{}, start)
		}
		for crash := range uint64(minBlamedCrashes) {
			b.RecordCrash(keyOf("a"), crash, RequestInfo{}, start.Add(row.before))
		}
		if v := b.Check(keyOf("a"), start.Add(row.before)); v.Standing != row.want {
			t.Errorf("%s after others: %+v", row.before, v)
		}
	}
}

// TestKillsBlameNobody plays endpoints that are killed under streams whose callers try again, for many days, with and without
// a request among them that crashes endpoints. No stream that only ran beside gets into quarantine while one of nine endpoints
// is killed every second or less often; the culprit does, soon, however many are killed.
func TestKillsBlameNobody(t *testing.T) {
	const days = 60
	for _, killEvery := range []time.Duration{0, 10 * time.Second, 2 * time.Second, time.Second, 600 * time.Millisecond} {
		for _, withCulprit := range []bool{false, true} {
			t.Run(fmt.Sprintf("a kill each %s, culprit %v", killEvery, withCulprit), func(t *testing.T) {
				t.Parallel()
				var sum dayResult
				for n := range days {
					d := newDay(rand.New(rand.NewPCG(uint64(n), 7)), killEvery)
					d.play(withCulprit)
					sum.held += d.held
					sum.quarantined += d.quarantined
					sum.lost += d.lost
					sum.crashes += d.crashes
					sum.most = max(sum.most, d.crashes)
				}
				t.Logf("%d others lost a run, %d were held for a moment, %d are in quarantine; the culprit crashed %.1f endpoints in the mean, %d at most",
					sum.lost, sum.held, sum.quarantined, float64(sum.crashes)/days, sum.most)
				if sum.quarantined > 0 && (killEvery == 0 || killEvery >= time.Second) {
					t.Errorf("%d requests that only ran beside are in quarantine", sum.quarantined)
				}
				if withCulprit && sum.most > sufficientCrashes {
					t.Errorf("the culprit crashed %d endpoints", sum.most)
				}
			})
		}
	}
}

type dayResult struct {
	// lost, held and quarantined count others, crashes those of the culprit, most the most of one day.
	lost, held, quarantined, crashes, most int
}

// day has nine endpoints. Seven streams begin at each step; they have their first event after two, and are done after ten. Who
// ran at a killed endpoint tries again at another, five times in all.
type day struct {
	dayResult
	random      *rand.Rand
	killEvery   time.Duration
	now         time.Time
	guard       *Guard
	running     [9][]running
	begun       int
	incarnation uint64
}

type running struct {
	Attempt
	tries int
}

const (
	dayStep      = 200 * time.Millisecond
	daySteps     = 150
	beginPerStep = 7
	outputAfter  = 2 * dayStep
	doneAfter    = 10 * dayStep
	mostTries    = 5
)

var culprit = keyOf("culprit")

func newDay(random *rand.Rand, killEvery time.Duration) *day {
	d := &day{random: random, killEvery: killEvery, now: start}
	d.guard = NewGuard(NewTracker(), nil, zap.NewNop(), metrics.NewRegistry(), func() time.Time { return d.now })
	return d
}

func (d *day) place(r running) {
	r.Sent = d.now.Add(-1)
	e := d.random.IntN(len(d.running))
	d.running[e] = append(d.running[e], r)
}

func (d *day) play(withCulprit bool) {
	for step := range daySteps {
		d.now = start.Add(time.Duration(step) * dayStep)
		for range beginPerStep {
			d.begun++
			d.place(running{Attempt: Attempt{Key: keyOf(fmt.Sprint(d.begun))}})
		}
		if withCulprit && step%2 == 0 && d.guard.Quarantines.Check(culprit, d.now).Standing == Clear {
			d.place(running{Attempt: Attempt{Key: culprit}})
		}
		killed := -1
		if d.killEvery > 0 && time.Duration(step)*dayStep%d.killEvery < dayStep {
			killed = d.random.IntN(len(d.running))
		}
		for e := range d.running {
			d.finish(e)
			if e == killed || slices.ContainsFunc(d.running[e], func(r running) bool { return r.Key == culprit }) {
				d.crash(e)
			}
		}
		d.guard.Quarantines.Evaluate(d.now)
	}
	for _, c := range d.guard.Quarantines.DurableRecords() {
		if c.Key != culprit {
			d.quarantined++
		}
	}
}

// finish ends the runs of an endpoint that are done.
func (d *day) finish(e int) {
	d.running[e] = slices.DeleteFunc(d.running[e], func(r running) bool {
		done := d.now.Sub(r.Sent) >= doneAfter
		if done {
			d.guard.RecordCompletion(r.Key)
		}
		return done
	})
}

func (d *day) crash(e int) {
	d.incarnation++
	lost := d.running[e]
	d.running[e] = nil
	for _, r := range lost {
		if output := r.Sent.Add(outputAfter); !output.After(d.now) && r.Key != culprit {
			r.Output = output
		}
		d.guard.RecordCrash(r.Attempt, d.incarnation, d.now)
	}
	for _, r := range lost {
		if r.Key == culprit {
			d.crashes++
			continue
		}
		d.lost++
		if r.tries++; r.tries >= mostTries {
			continue
		}
		if d.guard.Quarantines.Check(r.Key, d.now).Standing != Clear {
			d.held++
			continue
		}
		d.place(r)
	}
}
