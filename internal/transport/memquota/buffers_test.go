package memquota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// holder takes a buffer on an account that returns it once it is revoked.
func holder(t *testing.T, q *Quota) (a *Account, revoked *bool) {
	t.Helper()
	revoked = new(bool)
	var buf []byte
	a = q.Open(func() {
		*revoked = true
		a.ReturnBuffer(buf)
		a.Close()
	})
	a.Seal()
	if buf = a.TryTakeBuffer(); len(buf) != BufferSize {
		t.Fatalf("a buffer of %d bytes, want %d", len(buf), BufferSize)
	}
	return a, revoked
}

// TestUnreadAnswerGivesUpItsBuffer guards against answers that wait forever for buffers of callers that do not read, and against
// cutting more callers than buffers are needed, or callers that read.
func TestUnreadAnswerGivesUpItsBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(1<<20, 0)
		q.AllowBuffers(3)
		unread, unreadRevoked := holder(t, q)
		otherUnread, otherRevoked := holder(t, q)
		reading, readingRevoked := holder(t, q)
		unread.BeginWrite()
		otherUnread.BeginWrite()
		next := q.Open(func() {})
		if next.TryTakeBuffer() != nil {
			t.Fatal("a fourth buffer of three")
		}
		began := time.Now()
		buf, err := next.TakeBuffer(t.Context())
		if err != nil || len(buf) != BufferSize {
			t.Fatalf("%d bytes, %v", len(buf), err)
		}
		if waited := time.Since(began); waited < blockedGrace {
			t.Errorf("an unread answer was cut after %v, want at least %v", waited, blockedGrace)
		}
		if *unreadRevoked == *otherRevoked || *readingRevoked {
			t.Errorf("revoked: unread %v and %v, reading %v; want one unread one", *unreadRevoked, *otherRevoked, *readingRevoked)
		}
		reading.EndWrite()
		next.ReturnBuffer(buf)
		if buf := next.TryTakeBuffer(); buf == nil {
			t.Error("a returned buffer can't be taken")
		}
		// reclaim ends once nobody waits.
		time.Sleep(2 * reclaimInterval)
	})
}

// TestWaitForBufferEnds guards against a request that waits beyond its end, and against a buffer that is lost to it.
func TestWaitForBufferEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(1<<20, 0)
		q.AllowBuffers(1)
		first := q.Open(func() {})
		buf := first.TryTakeBuffer()
		cause := errors.New("ended")
		ctx, cancel := context.WithCancelCause(t.Context())
		waiting := make(chan error)
		go func() {
			_, err := q.Open(func() {}).TakeBuffer(ctx)
			waiting <- err
		}()
		synctest.Wait()
		cancel(cause)
		if err := <-waiting; err != cause {
			t.Errorf("%v, want the context's cause", err)
		}
		first.ReturnBuffer(buf)
		if first.TryTakeBuffer() == nil {
			t.Error("the buffer is lost")
		}
		time.Sleep(2 * reclaimInterval)
	})
}

// TestBuffersWithoutLimit guards against a process without limits that has no buffers.
func TestBuffersWithoutLimit(t *testing.T) {
	for name, a := range map[string]*Account{"no quota": nil, "no buffers": New(1<<20, 0).Open(func() {})} {
		buf, err := a.TakeBuffer(t.Context())
		if err != nil || len(buf) != BufferSize {
			t.Errorf("%s: %d bytes, %v", name, len(buf), err)
		}
		a.ReturnBuffer(buf)
	}
}
