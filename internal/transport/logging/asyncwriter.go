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
	lines *boundedqueue.Queue[[]byte]
	out   io.Writer
	done  sync.WaitGroup
	end   context.CancelFunc
}

// NewAsyncWriter starts a writer that holds up to size lines.
func NewAsyncWriter(out io.Writer, size int) *AsyncWriter {
	ctx, cancel := context.WithCancel(context.Background())
	b := &AsyncWriter{lines: boundedqueue.New[[]byte](size), out: out, end: cancel}
	b.done.Go(func() { b.write(ctx) })
	return b
}

// batch bounds one write to the output; one call for many lines saves processor time.
const batch = 32 << 10

func (b *AsyncWriter) write(ctx context.Context) {
	var buffer []byte
	for {
		line, err := b.lines.Pop(ctx)
		if err != nil {
			break
		}
		buffer = append(buffer[:0], line...)
		for len(buffer) < batch {
			next, ok := b.lines.TryPop()
			if !ok {
				break
			}
			buffer = append(buffer, next...)
		}
		// There is nobody to tell that the log can't be written.
		b.out.Write(buffer)
	}
	for {
		line, ok := b.lines.TryPop()
		if !ok {
			return
		}
		b.out.Write(line)
	}
}

// Write implements io.Writer; it never waits.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	b.lines.TryPush(append([]byte(nil), line...))
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (b *AsyncWriter) Sync() error { return nil }

// Dropped counts the lines that found no room.
func (b *AsyncWriter) Dropped() int64 { return b.lines.Rejected() }

// Close writes what is held, for at most limit.
func (b *AsyncWriter) Close(limit time.Duration) {
	b.end()
	finished := make(chan struct{})
	go func() {
		b.done.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(limit):
	}
}
