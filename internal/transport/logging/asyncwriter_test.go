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

// stuck is an output that nobody reads: its first write tells that it has begun,
// and ends with the test.
type stuck struct {
	once       sync.Once
	begun, end chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.begun) })
	<-s.end
	return len(p), nil
}

// TestReaderThatDoesNotRead logs to an output that nobody reads.
//
// The requests whose decisions are logged go on; the lines that find no room are
// counted, each of them.
func TestReaderThatDoesNotRead(t *testing.T) {
	out := &stuck{begun: make(chan struct{}), end: make(chan struct{})}
	defer close(out.end)
	b := NewAsyncWriter(out, 10)
	log := New(b, zapcore.InfoLevel)
	log.Info("first")
	<-out.begun
	for range 100 {
		log.Info("decision")
	}
	if dropped := b.Dropped(); dropped != 90 {
		t.Errorf("%d lines dropped", dropped)
	}
	b.Close(time.Millisecond)
}

func TestLinesComeWholeAndInOrder(t *testing.T) {
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
