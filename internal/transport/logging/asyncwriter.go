package logging

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"limpetwall/internal/transport/boundedqueue"
)

// AsyncWriter queues log lines for a background goroutine that writes them to the
// output. An output that blocks because nothing reads it must not stop the requests
// whose decisions are logged: when the queue is full, lines are dropped and counted.
type AsyncWriter struct {
	lines *boundedqueue.Queue[[]byte]
	// queued is the size of the queued lines, and tooLarge counts those that were dropped because of it.
	queued, tooLarge atomic.Int64
	out              io.Writer
	done             sync.WaitGroup
	cancel           context.CancelFunc
}

// NewAsyncWriter starts a writer that queues up to size lines.
func NewAsyncWriter(out io.Writer, size int) *AsyncWriter {
	ctx, cancel := context.WithCancel(context.Background())
	w := &AsyncWriter{lines: boundedqueue.New[[]byte](size), out: out, cancel: cancel}
	w.done.Go(func() { w.write(ctx) })
	return w
}

// maxQueued bounds the size of the queued lines, in bytes: some hold text that callers chose.
const maxQueued = 4 << 20

// batchSize is the size in bytes from which on no more lines are added to a write.
// Writing many lines in one call saves CPU time.
const batchSize = 32 << 10

func (w *AsyncWriter) write(ctx context.Context) {
	var buffer []byte
	for {
		line, err := w.lines.Pop(ctx)
		if err != nil {
			break
		}
		w.queued.Add(-int64(len(line)))
		buffer = append(buffer[:0], line...)
		for len(buffer) < batchSize {
			next, ok := w.lines.TryPop()
			if !ok {
				break
			}
			w.queued.Add(-int64(len(next)))
			buffer = append(buffer, next...)
		}
		// The error is dropped: there is no other place to report that the log can't be written.
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

// Write implements io.Writer. It never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	switch {
	case w.queued.Add(size) > maxQueued:
		w.queued.Add(-size)
		w.tooLarge.Add(1)
	case !w.lines.TryPush(bytes.Clone(line)):
		w.queued.Add(-size)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *AsyncWriter) Sync() error { return nil }

// Dropped returns the number of lines dropped because the queue was full.
func (w *AsyncWriter) Dropped() int64 { return w.lines.Rejected() + w.tooLarge.Load() }

// Close stops the writer and waits until the queued lines are written, for at most limit.
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
