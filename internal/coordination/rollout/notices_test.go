package rollout_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// network carries notices between the processes of one test.
type network struct {
	mu        sync.Mutex
	processes []*process
	// cutOff processes receive no notices.
	cutOff map[*process]bool
}

func newNetwork() *network { return &network{cutOff: map[*process]bool{}} }

// announcer sends one process's notices to the others.
type announcer struct {
	network *network
	self    *process
}

func (n *network) join(p *process) announcer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes = append(n.processes, p)
	return announcer{n, p}
}

func (a announcer) Announce(version int64, value []byte) {
	a.network.mu.Lock()
	defer a.network.mu.Unlock()
	for _, p := range a.network.processes {
		if p != a.self && !a.network.cutOff[p] {
			p.lease.ObserveRenewal(version, value)
		}
	}
}

func (n *network) setCutOff(p *process, cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff[p] = cutOff
}

// storeReads returns how many reads of the store the processes made together.
func storeReads(processes []*process) int {
	sum := 0
	for _, p := range processes {
		p.api.mu.Lock()
		sum += p.api.reads
		p.api.mu.Unlock()
	}
	return sum
}

func holderOf(processes []*process) *process {
	for _, p := range processes {
		if p.lease.IsHeld(time.Now()) {
			return p
		}
	}
	return nil
}

// TestFollowersRelyOnNotices lets a hundred processes follow a holder through a rollout.
//
// A follower that reads the lease itself, every 2.4 s and four times a second while engines
// load, makes 0.4 and 4 calls a second, and the platform counts every call. With the holder's
// notices the followers must read nothing, and learn sooner which engines load.
func TestFollowersRelyOnNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		processes := startDirectorsWithNotices(t, f, 100, newNetwork())
		time.Sleep(10 * time.Second)
		before := storeReads(processes)
		time.Sleep(30 * time.Second)
		if got := storeReads(processes) - before; got > 0 {
			t.Errorf("got %d reads of the store in 30 s without a rollout, want 0", got)
		}
		setTarget(processes, 2)
		time.Sleep(300 * time.Millisecond)
		want := f.busyCount()
		for i, p := range processes {
			if got := p.loadingCount(); got != want || got == 0 {
				t.Errorf("process %d treats %d engines as loading, want %d", i, got, want)
			}
		}
		time.Sleep(7 * time.Second)
		if f.countAt(2) != 9 {
			t.Errorf("%d of 9 engines have the target weights", f.countAt(2))
		}
		if got := storeReads(processes) - before; got > 0 {
			t.Errorf("got %d reads of the store including a rollout, want 0", got)
		}
		checkOrderSpacing(t, f)
	})
}

// TestFollowerWithoutNoticesReadsTheStore cuts one process off from the notices, as a
// partition between two hosts does.
//
// It must learn of the rollout from the store, at most a second later than before; and it must
// not acquire the lease, which it finds renewed there.
func TestFollowerWithoutNoticesReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		f.loadTime = 3 * time.Second
		notices := newNetwork()
		processes := startDirectorsWithNotices(t, f, 100, notices)
		time.Sleep(10 * time.Second)
		follower := processes[0]
		if follower == holderOf(processes) {
			follower = processes[1]
		}
		notices.setCutOff(follower, true)
		time.Sleep(10 * time.Second)
		holder := holderOf(processes)
		setTarget(processes, 2)
		time.Sleep(1500 * time.Millisecond)
		if got, want := follower.loadingCount(), f.busyCount(); got != want || got == 0 {
			t.Errorf("the process without notices treats %d engines as loading, want %d", got, want)
		}
		time.Sleep(10 * time.Second)
		if holderOf(processes) != holder {
			t.Error("another process has taken the lease over")
		}
		checkOrderSpacing(t, f)
	})
}

// TestFrozenHolderIsReplaced freezes the holder while engines load.
//
// The notices end with its renewals. The others must check the store again, each at its own
// time rather than all at once, and one must take over as soon as without notices: a term
// after the last renewal.
func TestFrozenHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		processes := startDirectorsWithNotices(t, f, 100, newNetwork())
		time.Sleep(10 * time.Second)
		setTarget(processes, 2)
		time.Sleep(300 * time.Millisecond)
		frozenHolder, before := holderOf(processes), storeReads(processes)
		frozenHolder.api.freeze()
		time.Sleep(term + time.Second/2)
		if holderOf(processes) == nil || holderOf(processes) == frozenHolder {
			t.Error("no process has taken over half a second after the term")
		}
		if got := storeReads(processes) - before; got > 400 {
			t.Errorf("got %d reads of the store until the takeover, want 400 at most", got)
		}
		time.Sleep(4 * time.Second)
		frozenHolder.api.thaw()
		time.Sleep(3 * time.Second)
		if f.countAt(2) != 9 {
			t.Errorf("%d of 9 engines have the target weights", f.countAt(2))
		}
		checkOrderSpacing(t, f)
	})
}
