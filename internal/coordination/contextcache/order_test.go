package contextcache

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func numbered(number int64, c Change) Change {
	c.Number = number
	return c
}

func removed(salt, id string) Change { return Change{Segment: SegmentKey{salt, id}} }

// TestReportInSeveralDatagramsIsAppliedWhole guards against a busy store's report of which only
// the first datagram counts: each of them gives the same next number.
func TestReportInSeveralDatagramsIsAppliedWhole(t *testing.T) {
	tracker, c := newListedTracker(t)
	for i, id := range []string{"p1", "p2"} {
		tokens := []int{500, 1500}[i]
		tracker.ApplyReport(Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 5, Changes: []Change{numbered(int64(3+i), added("s", id, tokens))}})
	}
	if got := tracker.storedTokens("s", testSegments); got != 2000 {
		t.Errorf("got %d stored tokens, want 2000", got)
	}
}

// TestChangeMissedByOneReporterComesFromTheOther guards against a reporter that lost an event and
// reports first: the other's report of that event is not old.
func TestChangeMissedByOneReporterComesFromTheOther(t *testing.T) {
	tracker, c := newListedTracker(t)
	tracker.ApplyReport(Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 9})
	tracker.ApplyReport(Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 4, Changes: []Change{numbered(3, added("s", "p1", 500))}})
	if got := tracker.storedTokens("s", testSegments); got != 500 {
		t.Errorf("got %d stored tokens, want 500", got)
	}
}

// TestReportedChangeBeforeListIsIgnored guards against a late report of a segment that was freed
// before this process listed the store: it may be half written again.
func TestReportedChangeBeforeListIsIgnored(t *testing.T) {
	tracker, c := newListedTracker(t)
	tracker.applyListing(localAddress, Listing{Epoch: 7, Next: 10, Complete: map[SegmentKey]SegmentInfo{}}, c.now)
	tracker.ApplyReport(Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 10, Changes: []Change{numbered(9, added("s", "p1", 500))}})
	if got := tracker.storedTokens("s", testSegments); got != 0 {
		t.Errorf("got %d stored tokens, want 0", got)
	}
}

// TestLateRemovalCounts guards against a removal that is dropped because its number is below those
// that are remembered: the segment would count as held for good.
func TestLateRemovalCounts(t *testing.T) {
	tracker, c := newListedTracker(t)
	report := func(changes ...Change) {
		tracker.ApplyReport(Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 5000, Changes: changes})
	}
	report(numbered(3, added("s", "p1", 500)))
	for n := range 3 * orderWindow {
		report(numbered(int64(10+n), added("s", fmt.Sprint("other", n), 16)))
	}
	report(numbered(4, removed("s", "p1")))
	if got := tracker.storedTokens("s", testSegments); got != 0 {
		t.Errorf("got %d stored tokens after the removal, want 0", got)
	}
	report(numbered(3, added("s", "p1", 500)))
	if got := tracker.storedTokens("s", testSegments); got != 0 {
		t.Errorf("got %d stored tokens after a late copy of the addition, want 0", got)
	}
}

// TestNumbersStartAnewWithEpoch guards against a restarted store whose changes count as known
// because their numbers are lower than those before the restart.
func TestNumbersStartAnewWithEpoch(t *testing.T) {
	tracker, c := newListedTracker(t)
	tracker.ApplyReport(Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 901, Changes: []Change{numbered(900, added("s", "p1", 500))}})
	c.now = c.now.Add(100 * time.Millisecond)
	tracker.ApplyReport(Report{Address: localAddress, Epoch: 8, AsOf: endpointMS(c.now), Next: 2, Changes: []Change{numbered(1, added("s", "p1", 500))}})
	if got := tracker.storedTokens("s", testSegments); got != 500 {
		t.Errorf("got %d stored tokens, want 500", got)
	}
}

// TestOutOfOrderChangesAreCounted has two reporters of which the first missed a change and sends
// another one twice.
func TestOutOfOrderChangesAreCounted(t *testing.T) {
	tracker, c := newListedTracker(t)
	first, second := numbered(3, added("s", "p1", 500)), numbered(4, added("s", "p2", 1500))
	for _, changes := range [][]Change{{second}, {second}, {first, second}} {
		tracker.ApplyReport(Report{Address: localAddress, Epoch: 7, AsOf: endpointMS(c.now), Next: 5, Changes: changes})
	}
	if got := tracker.OutOfOrderChanges(); got != 1 {
		t.Errorf("got %d changes out of order, want 1", got)
	}
}

// TestChangesInAnyOrder has reports lost, doubled, delayed by any time and out of order. A segment
// must never count as held if its latest change that arrived is a removal, and nothing that arrives
// in time may be missed. The memory for this is bounded.
func TestChangesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const segments, changes = 3 * orderWindow, 8 * orderWindow
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		maxDelay := rapid.SampledFrom([]int{0, orderWindow / 4, 6 * orderWindow}).Draw(t, "delay")
		s := &store{complete: map[SegmentKey]SegmentInfo{}, pending: map[SegmentKey]pendingSave{}}
		arrivals := make([][]Change, changes+maxDelay+1)
		for i := range changes {
			id := fmt.Sprint(rng.IntN(segments))
			if i%8 == 0 {
				id = "hot"
			}
			c := removed("s", id)
			if rng.IntN(3) > 0 {
				c = added("s", id, 16)
			}
			for range rng.IntN(3) {
				at := i + rng.IntN(maxDelay+1)
				arrivals[at] = append(arrivals[at], numbered(int64(i), c))
			}
		}
		arrived := map[SegmentKey]Change{}
		for _, at := range arrivals {
			s.applyReport(Report{Changes: at}, s.lastAnswer)
			for _, c := range at {
				if before, ok := arrived[c.Segment]; !ok || c.Number > before.Number {
					arrived[c.Segment] = c
				}
			}
			if len(s.latest)+len(s.previous) > 2*orderWindow {
				t.Fatalf("%d numbers are kept, want at most %d", len(s.latest)+len(s.previous), 2*orderWindow)
			}
		}
		for key, c := range arrived {
			switch held := s.complete[key].Tokens > 0; {
			case held && !c.Added:
				t.Fatalf("%v counts as held after its removal", key)
			case !held && c.Added && maxDelay < orderWindow:
				t.Fatalf("%v does not count as held", key)
			}
		}
	})
}
