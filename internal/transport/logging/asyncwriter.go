package logging

import (
	"context"
	"io"
	"sync"
	"time"

	"limpetwall/internal/transport/boundedqueue"
)

// AsyncWriter hands log lines to one duty that writes them. A reader that doesn't read
// must not stop the requests whose decisions are logged: when the ring is full,
// lines are dropped and counted.
type AsyncWriter struct {
	lines  *boundedqueue.Queue[[]byte]
	out    io.Writer
	done   sync.WaitGroup
	cancel context.CancelFunc
}

// NewAsyncWriter starts a writer that holds up to size lines.
func NewAsyncWriter(out io.Writer, size int) *AsyncWriter {
	ctx, cancel := context.WithCancel(context.Background())
	w := &AsyncWriter{lines: boundedqueue.New[[]byte](size), out: out, cancel: cancel}
	w.done.Go(func() { w.write(ctx) })
	return w
}

// batchSize bounds one write to the output; one call for many lines saves processor time.
const batchSize = 32 << 10

func (w *AsyncWriter) write(ctx context.Context) {
	var buffer []byte
	for {
		line, err := w.lines.Pop(ctx)
		if err != nil {
			break
		}
		buffer = append(buffer[:0], line...)
		for len(buffer) < batchSize {
			next, ok := w.lines.TryPop()
			if !ok {
				break
			}
			buffer = append(buffer, next...)
		}
		// There is nobody to tell that the log can't be written.
		w.out.Write(buffer)
	}
	for {
		line, ok := w.lines.TryPop()
		if !ok {
			return
		}
		w.out.Write(line)
	}
}

// Write implements io.Writer; it never waits.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.lines.TryPush(append([]byte(nil), line...))
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *AsyncWriter) Sync() error { return nil }

// Dropped counts the lines that found no room.
func (w *AsyncWriter) Dropped() int64 { return w.lines.Rejected() }

// Close writes what is held, for at most limit.
func (w *AsyncWriter) Close(limit time.Duration) {
	w.cancel()
	finished := make(chan struct{})
	go func() {
		w.done.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(limit):
	}
}
