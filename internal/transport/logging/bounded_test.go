package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// TestReaderThatDoesNotRead logs to a pipe that nobody reads.
//
// The requests whose decisions are logged go on; the lines that find no room are
// counted.
func TestReaderThatDoesNotRead(t *testing.T) {
	reader, writer := io.Pipe()
	defer reader.Close()
	b := NewBounded(writer, 10)
	log := New(b, zapcore.InfoLevel)
	for range 100 {
		log.Info("decision")
	}
	if dropped := b.Dropped(); dropped < 80 || dropped > 90 {
		t.Errorf("%d lines dropped", dropped)
	}
	b.Close(time.Millisecond)
}

func TestLinesComeWholeAndInOrder(t *testing.T) {
	var out bytes.Buffer
	b := NewBounded(&out, 1000)
	log := New(b, zapcore.InfoLevel)
	for i := range 500 {
		log.Info("decision", zap.Int("number", i))
	}
	b.Close(10 * time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 500 || !strings.Contains(lines[499], `"number":499`) || b.Dropped() != 0 {
		t.Errorf("%d lines, %d dropped", len(lines), b.Dropped())
	}
}
