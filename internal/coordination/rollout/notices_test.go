package rollout_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// network carries notices between the processes of one test.
type network struct {
	mu      sync.Mutex
	members []*member
	// deaf members hear nothing.
	deaf map[*member]bool
}

func newNetwork() *network { return &network{deaf: map[*member]bool{}} }

// announcer is one member's way to the others.
type announcer struct {
	network *network
	self    *member
}

func (n *network) join(m *member) announcer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = append(n.members, m)
	return announcer{n, m}
}

func (a announcer) Announce(version int64, value []byte) {
	a.network.mu.Lock()
	defer a.network.mu.Unlock()
	for _, m := range a.network.members {
		if m != a.self && !a.network.deaf[m] {
			m.lease.ObserveRenewal(version, value)
		}
	}
}

func (n *network) deafen(m *member, deaf bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deaf[m] = deaf
}

// reads sums what the members read of the store.
func reads(members []*member) int {
	sum := 0
	for _, m := range members {
		m.api.mu.Lock()
		sum += m.api.gets
		m.api.mu.Unlock()
	}
	return sum
}

func holderOf(members []*member) *member {
	for _, m := range members {
		if m.lease.IsHeld(time.Now()) {
			return m
		}
	}
	return nil
}

// TestFollowersGoByNotices lets a hundred processes follow a holder through a rollout.
//
// Each that read the lease itself, every 2.4 s and four times a second while engines load,
// made 0.4 and 4 calls a second: the platform counts every call. With the holder's notices
// the fleet reads nothing, and knows sooner which engines load.
func TestFollowersGoByNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		members := directTold(t, f, 100, newNetwork())
		time.Sleep(10 * time.Second)
		before := reads(members)
		time.Sleep(30 * time.Second)
		if got := reads(members) - before; got > 0 {
			t.Errorf("%d reads of the store in half a calm minute", got)
		}
		name(members, 2)
		time.Sleep(300 * time.Millisecond)
		want := f.loadingNow()
		for i, m := range members {
			if got := m.loading(); got != want || got == 0 {
				t.Errorf("process %d takes %d engines for loading, not %d", i, got, want)
			}
		}
		time.Sleep(7 * time.Second)
		if f.at(2) != 9 {
			t.Errorf("%d of 9 engines have the named weights", f.at(2))
		}
		if got := reads(members) - before; got > 0 {
			t.Errorf("%d reads of the store with a rollout", got)
		}
		holdersApart(t, f)
	})
}

// TestDeafFollowerReadsTheStore cuts one process off from the notices, as a cut between two
// hosts does.
//
// It hears of the rollout from the store, a second later at most than before; and it does not
// take the lease, which it finds renewed there.
func TestDeafFollowerReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		f.loads = 3 * time.Second
		between := newNetwork()
		members := directTold(t, f, 100, between)
		time.Sleep(10 * time.Second)
		deaf := members[0]
		if deaf == holderOf(members) {
			deaf = members[1]
		}
		between.deafen(deaf, true)
		time.Sleep(10 * time.Second)
		holder := holderOf(members)
		name(members, 2)
		time.Sleep(1500 * time.Millisecond)
		if got, want := deaf.loading(), f.loadingNow(); got != want || got == 0 {
			t.Errorf("the deaf process takes %d engines for loading, not %d", got, want)
		}
		time.Sleep(10 * time.Second)
		if holderOf(members) != holder {
			t.Error("the lease has another holder")
		}
		holdersApart(t, f)
	})
}

// TestSilentHolderIsReplaced freezes the holder while engines load.
//
// The notices end with its renewals. The others look at the store again, in their own time
// and not all at once, and one takes over as soon as without notices: a term after the last
// renewal.
func TestSilentHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngines(1, 1, 1, 1, 1, 1, 1, 1, 1)
		members := directTold(t, f, 100, newNetwork())
		time.Sleep(10 * time.Second)
		name(members, 2)
		time.Sleep(300 * time.Millisecond)
		frozenHolder, before := holderOf(members), reads(members)
		frozenHolder.api.freeze()
		time.Sleep(term + time.Second/2)
		if holderOf(members) == nil || holderOf(members) == frozenHolder {
			t.Error("nobody has taken over half a second after the term")
		}
		if got := reads(members) - before; got > 400 {
			t.Errorf("%d reads of the store until then", got)
		}
		time.Sleep(4 * time.Second)
		frozenHolder.api.thaw()
		time.Sleep(3 * time.Second)
		if f.at(2) != 9 {
			t.Errorf("%d of 9 engines have the named weights", f.at(2))
		}
		holdersApart(t, f)
	})
}
