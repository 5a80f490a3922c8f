package gateway

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"limpetwall/internal/transport/memquota"
)

// newEventReader reads events of a text that comes in parts of any size.
func newEventReader(t *testing.T, text string) *eventReader {
	return &eventReader{ctx: t.Context(), r: bufio.NewReaderSize(iotest.HalfReader(strings.NewReader(text)), eventReadSize)}
}

// TestEventsOfAnySizeAreReadWhole guards against events that change when they pass from a small buffer to a large one.
func TestEventsOfAnySizeAreReadWhole(t *testing.T) {
	var want []string
	for n, size := range []int{0, 1, eventReadSize, freeEventBytes - 12, freeEventBytes, maxEventBytes - 64, 3, freeEventBytes + 1, 5} {
		want = append(want, fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat(string(rune('a'+n)), size)))
	}
	events := newEventReader(t, strings.Join(want, ""))
	defer events.release()
	for n := range want {
		got, err := events.next()
		if err != nil || string(got) != want[n] {
			t.Fatalf("event %d: %d bytes, %v, want %d as they came", n, len(got), err, len(want[n]))
		}
	}
	if _, err := events.next(); err != io.EOF {
		t.Errorf("%v, want io.EOF", err)
	}
}

// TestTooLargeEventEndsItsStream guards against an event that outgrows its buffer.
func TestTooLargeEventEndsItsStream(t *testing.T) {
	events := newEventReader(t, "data: "+strings.Repeat("x", 2*memquota.BufferSize))
	if _, err := events.next(); err == nil {
		t.Error("no error")
	}
	if cap(events.event) > memquota.BufferSize {
		t.Errorf("the buffer has grown to %d bytes, want %d", cap(events.event), memquota.BufferSize)
	}
	events.release()
}
