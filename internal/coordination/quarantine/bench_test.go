package quarantine

import (
	"fmt"
	"testing"

	"limpetwall/internal/state/fingerprint"
)

// fullBook holds as many suspects as a book takes, at 64 crashes.
func fullBook() *Tracker {
	b := NewTracker()
	for i := range maxRecords - 1 {
		b.RecordCrash(keyOf(fmt.Sprint(i)), uint64(i%64), RequestInfo{}, start)
	}
	return b
}

// BenchmarkCheck is what a request costs while the book is full.
func BenchmarkCheck(b *testing.B) {
	book, key := fullBook(), keyOf("other")
	for b.Loop() {
		book.Check(key, start)
	}
}

// BenchmarkSettle is what a full book costs four times a second.
func BenchmarkSettle(b *testing.B) {
	book := fullBook()
	for b.Loop() {
		book.Evaluate(start)
	}
}

// BenchmarkFingerprint is what a request with a body of 16 KB costs while any suspect is known.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 16<<10)
	for b.Loop() {
		fingerprint.Of(fingerprint.Request{Customer: "club", Host: "h", Method: "POST", Target: "/dues/4"}, body)
	}
}
