package discovery

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestListIsConfirmedWhileEntriesAreRewritten guards against a list that can't be confirmed as long as endpoints write their entries
// anew without joining or leaving, as cold ones do with each heartbeat: callers whose stream's version is gone are told to come back
// again and again.
func TestListIsConfirmedWhileEntriesAreRewritten(t *testing.T) {
	rows := []struct{ processes, endpoints int }{{3, 12}, {29, 55}, {370, 200}}
	for _, row := range rows {
		t.Run(fmt.Sprintf("%d processes, %d endpoints", row.processes, row.endpoints), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const heartbeat, questions = 1200 * time.Millisecond, 100
				feed := newFakeFeed()
				_, w := startWatcherWith(t, feed, func(w *Watcher) { w.Processes = func() int { return row.processes } })
				ctx, cancel := context.WithCancel(t.Context())
				var endpoints sync.WaitGroup
				endpoints.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						feed.put("servers", fmt.Sprint("i", n%row.endpoints), false)
						time.Sleep(heartbeat / time.Duration(row.endpoints))
					}
				})
				defer endpoints.Wait()
				defer cancel()
				time.Sleep(10 * time.Second)
				confirmed := 0
				for range questions {
					if w.Confirm(t.Context(), "servers") == nil {
						confirmed++
					}
					time.Sleep(77 * time.Millisecond)
				}
				if confirmed < questions/2 {
					t.Errorf("got %d of %d questions confirmed, want half or more: no endpoint joined or left", confirmed, questions)
				}
			})
		})
	}
}
