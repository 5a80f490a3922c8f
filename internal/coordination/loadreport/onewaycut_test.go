package loadreport

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestOneWayCutKeepsPeer guards against a process that drops a live peer whose reports are lost on the way, and leaves it out of
// broadcasts.
func TestOneWayCutKeepsPeer(t *testing.T) {
	for _, size := range []int{2, 3, 5, 12} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet()
				var processes []*process
				for n := 1; n <= size; n++ {
					processes = append(processes, f.start(t, n, "a"))
				}
				time.Sleep(10 * time.Second)
				deaf, lost := processes[0], processes[1]
				f.network.SetCut(lost.address, deaf.address, true)
				for second := range 300 {
					time.Sleep(time.Second)
					if !slices.Contains(deaf.exchanger.Hosts(), lost.address.Addr()) {
						t.Fatalf("the peer is dropped %d s after its reports are lost", second)
					}
					if size > 2 && deaf.exchanger.Processes() != size {
						t.Fatalf("got %d processes after %d s, want %d", deaf.exchanger.Processes(), second, size)
					}
				}
				if deleted := f.registry.deleted.Load(); size > 2 && deleted != 0 {
					t.Errorf("%d entries of live processes were removed, want none", deleted)
				}
				f.network.SetCut(lost.address, deaf.address, false)
				deaf.reset()
				time.Sleep(2 * time.Minute)
				if got := deaf.senders(); !slices.Contains(got, 2) {
					t.Errorf("got reports from %v after the cut, want one from process 2", got)
				}
				for _, m := range processes {
					m.stop()
				}
			})
		})
	}
}

// TestGonePeerIsDropped guards against processes that confirm to each other a peer that is gone.
func TestGonePeerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		one, two, gone := f.start(t, 1, "a"), f.start(t, 2, "a"), f.start(t, 3, "a")
		time.Sleep(10 * time.Second)
		f.network.SetIsolated(gone.address, true)
		gone.stop()
		time.Sleep(silenceTimeout + liveWithin + time.Second)
		for _, p := range []*process{one, two} {
			if got := p.exchanger.Processes(); got != 2 {
				t.Errorf("got %d processes, want 2", got)
			}
		}
		time.Sleep(2 * silentRetention)
		for _, p := range []*process{one, two} {
			if got := p.exchanger.Hosts(); len(got) != 1 {
				t.Errorf("got hosts %v, want one", got)
			}
			p.stop()
		}
	})
}
