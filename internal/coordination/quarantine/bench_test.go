package quarantine

import (
	"fmt"
	"testing"

	"limpetwall/internal/state/fingerprint"
)

// newFullTracker returns a tracker with as many suspects as it takes, at 64 crashes.
func newFullTracker() *Tracker {
	tracker := NewTracker()
	for i := range maxRecords - 1 {
		tracker.RecordCrash(keyOf(fmt.Sprint(i)), uint64(i%64), RequestInfo{}, start)
	}
	return tracker
}

// BenchmarkCheck measures what a request costs while the tracker is full.
func BenchmarkCheck(b *testing.B) {
	tracker, key := newFullTracker(), keyOf("other")
	for b.Loop() {
		tracker.Check(key, start)
	}
}

// BenchmarkEvaluate measures what a full tracker costs four times a second.
func BenchmarkEvaluate(b *testing.B) {
	tracker := newFullTracker()
	for b.Loop() {
		tracker.Evaluate(start)
	}
}

// BenchmarkFingerprint measures what a request with a body of 16 KB costs while any suspect is known.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 16<<10)
	for b.Loop() {
		fingerprint.Of(fingerprint.Request{Customer: "club", Host: "h", Method: "POST", Target: "/dues/4"}, body)
	}
}
