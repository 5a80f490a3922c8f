package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/state/routes"
)

// hangingDropper does not answer the release of a copy before its context ends.
type hangingDropper struct {
	*hookCopier
	asked chan struct{}
}

// Drop implements RunCopier.
func (h hangingDropper) Drop(ctx context.Context, _ discovery.Instance, _ string) error {
	close(h.asked)
	<-ctx.Done()
	return ctx.Err()
}

// TestWholeAnswerDoesNotWaitForItsMove guards against a stream that ended whole, whose end reaches the caller late, and is lost
// if the process exits meanwhile, as its handler waits for a final copy or for the release of a copy.
func TestWholeAnswerDoesNotWaitForItsMove(t *testing.T) {
	for _, row := range []struct {
		name string
		// hangs is set if the final copy gets no answer.
		hangs bool
	}{
		{"final copy that hangs", true},
		{"release of a copy that hangs", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			asked := make(chan struct{})
			copier := newHookCopier(func(ctx context.Context) {
				close(asked)
				if row.hangs {
					<-ctx.Done()
				}
			})
			copier.last = io.ErrUnexpectedEOF
			begun := make(chan struct{})
			var ended time.Time
			s := newTestServer(t, singleRoute(routes.Streaming, 1), func(c net.Conn, r *http.Request) {
				respondStream("", "1")(c, r)
				close(begun)
				<-asked
				// The run ended before the order to stop it took effect.
				io.WriteString(c, lastChunk)
			}, reject)
			s.useEngines(hangingDropper{copier, make(chan struct{})})
			stop := s.startStoppable()
			go func() {
				<-begun
				s.gateway.State.SetLoading("i-1", false)
				leaveFirstEngine(s.gateway.State)
			}()
			cut := make(chan time.Time, 1)
			go func() {
				<-asked
				time.Sleep(50 * time.Millisecond)
				cut <- time.Now()
				stop()
			}()
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part"))
			ended = time.Now()
			if err != nil || eventIDs(body) != "1" {
				t.Errorf("got events %s, error %v, want event 1 and the end", eventIDs(body), err)
			}
			// A forced stop gives handlers 0.2 s, and 0.1 s more once connections are closed.
			if took := ended.Sub(<-cut); took > 300*time.Millisecond {
				t.Errorf("the answer ended %v after the cut, want within 300ms", took)
			}
		})
	}
}
