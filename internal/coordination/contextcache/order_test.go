package contextcache

import (
	"fmt"
	"slices"
	"testing"

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

// TestChangesInAnyOrder has reports lost, doubled, delayed by any time and out of order. A segment
// must never count as held if its latest change that arrived is a removal, and nothing that arrives
// in time may be missed. The memory for this is bounded.
func TestChangesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const segments, changes = 3 * orderWindow, 8 * orderWindow
		s := &store{complete: map[SegmentKey]SegmentInfo{}, pending: map[SegmentKey]pendingSave{}}
		var sent []Change
		for n := range int64(changes) {
			id := fmt.Sprint(rapid.IntRange(0, segments).Draw(t, "segment"))
			if slices.ContainsFunc(sent[max(0, len(sent)-8):], func(c Change) bool { return c.Segment.ID == id }) {
				id = "hot"
			}
			c := removed("s", id)
			if n%3 != 0 {
				c = added("s", id, 16)
			}
			sent = append(sent, numbered(n, c))
		}
		maxDelay := rapid.SampledFrom([]int{0, orderWindow / 4, 6 * orderWindow}).Draw(t, "delay")
		arrivals := make([][]Change, changes+maxDelay+1)
		for i, c := range sent {
			for range rapid.IntRange(0, 2).Draw(t, "copies") {
				at := i + rapid.IntRange(0, maxDelay).Draw(t, "late by")
				arrivals[at] = append(arrivals[at], c)
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
