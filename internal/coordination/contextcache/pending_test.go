package contextcache

import (
	"fmt"
	"strings"
	"testing"
	"time"
	"unsafe"

	"limpetwall/internal/state/routes"
)

// TestPendingSavesAreBounded guards against segments without tokens, which need no capacity, that fill a process's memory.
func TestPendingSavesAreBounded(t *testing.T) {
	s := newStore(routes.Store{MemoryTokens: 10_000})
	begun := 0
	for n := range 2 * maxPendingSaves {
		if s.tryBeginSave(SegmentKey{"s", fmt.Sprint(n)}, 0, epoch) {
			begun++
		}
	}
	if begun != maxPendingSaves || len(s.pending) != maxPendingSaves {
		t.Errorf("%d saves begun, %d pending, want %d", begun, len(s.pending), maxPendingSaves)
	}
	if !s.tryBeginSave(SegmentKey{"s", "later"}, 0, epoch.Add(pendingSaveTimeout+time.Millisecond)) {
		t.Error("no save begins after the others have expired")
	}
}

// TestPendingSaveKeepsNoHeader guards against a save in flight that keeps the whole header of the request that asked for it.
func TestPendingSaveKeepsNoHeader(t *testing.T) {
	s := newStore(routes.Store{MemoryTokens: 10_000})
	header := strings.Repeat("x", 1<<10)
	s.tryBeginSave(SegmentKey{"s", header[:8]}, 1, epoch)
	for key := range s.pending {
		if unsafe.StringData(key.ID) == unsafe.StringData(header) {
			t.Error("the ID shares the header's memory")
		}
	}
}
