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

// blockedWriter is an output that nothing reads. Its first write closes started;
// each write blocks until release is closed.
type blockedWriter struct {
	once             sync.Once
	started, release chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.started) })
	<-w.release
	return len(p), nil
}

// TestBlockedOutputDoesNotBlockLogging logs to an output that nothing reads.
// Logging must not block the requests whose decisions are logged, and each line
// that the full queue rejects must be counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{started: make(chan struct{}), release: make(chan struct{})}
	defer close(out.release)
	w := NewAsyncWriter(out, 10)
	log := New(w, zapcore.InfoLevel)
	log.Info("first")
	<-out.started
	for range 100 {
		log.Info("decision")
	}
	if dropped := w.Dropped(); dropped != 90 {
		t.Errorf("got %d dropped lines, want 90", dropped)
	}
	w.Close(time.Millisecond)
}

// TestLongLinesAreBounded guards against a queue of few but long lines, whose text callers chose, that takes much memory while
// nothing reads it.
func TestLongLinesAreBounded(t *testing.T) {
	out := &blockedWriter{started: make(chan struct{}), release: make(chan struct{})}
	defer close(out.release)
	w := NewAsyncWriter(out, 1000)
	w.Write([]byte("first"))
	<-out.started
	long := bytes.Repeat([]byte("x"), 64<<10)
	for range 100 {
		w.Write(long)
	}
	if dropped := w.Dropped(); dropped != 100-maxQueued/int64(len(long)) {
		t.Errorf("got %d dropped lines, want %d", dropped, 100-maxQueued/int64(len(long)))
	}
	w.Close(time.Millisecond)
}

func TestLinesWrittenWholeAndInOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out, 1000)
	log := New(w, zapcore.InfoLevel)
	for i := range 500 {
		log.Info("decision", zap.Int("number", i))
	}
	w.Close(10 * time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 500 || !strings.Contains(lines[499], `"number":499`) || w.Dropped() != 0 {
		t.Errorf("got %d lines, %d dropped; want 500 ending with number 499, 0 dropped", len(lines), w.Dropped())
	}
}
