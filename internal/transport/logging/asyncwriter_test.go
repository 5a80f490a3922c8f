package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter is an output that nobody reads: its first write tells that it has begun,
// and ends with the test.
type blockedWriter struct {
	once             sync.Once
	started, release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.started) })
	<-s.release
	return len(p), nil
}

// TestBlockedOutputDoesNotBlockLogging logs to an output that nobody reads.
//
// The requests whose decisions are logged go on; the lines that find no room are
// counted, each of them.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{started: make(chan struct{}), release: make(chan struct{})}
	defer close(out.release)
	b := NewAsyncWriter(out, 10)
	log := New(b, zapcore.InfoLevel)
	log.Info("first")
	<-out.started
	for range 100 {
		log.Info("decision")
	}
	if dropped := b.Dropped(); dropped != 90 {
		t.Errorf("%d lines dropped", dropped)
	}
	b.Close(time.Millisecond)
}

func TestLinesWrittenWholeAndInOrder(t *testing.T) {
	var out bytes.Buffer
	b := NewAsyncWriter(&out, 1000)
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
