package origingossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/datagram/datagramtest"
)

// startKnowing starts the processes of a fleet; members[n] lists whom the n-th learns of from membership.
func startKnowing(members ...[]int) *fleet {
	f := &fleet{network: datagramtest.New(), random: rand.New(rand.NewPCG(1, 1)), processes: make([]*process, len(members))}
	for n := range members {
		f.hosts = append(f.hosts, netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}))
	}
	for n, list := range members {
		var peers []Peer
		for _, i := range list {
			peers = append(peers, Peer{f.hosts[i], fmt.Sprint(i)})
		}
		f.processes[n] = f.startWith(n, func() []Peer { return peers })
	}
	return f
}

func (f *fleet) startWith(n int, peers func() []Peer) *process {
	p := &process{host: f.hosts[n], registry: streamorigin.NewRegistry()}
	p.registry.ObserveVersions(versions, time.Now())
	group := &datagram.Socket{Conn: f.network.Listen(netip.AddrPortFrom(p.host, port)), Port: port}
	p.exchange = New(group, p.registry, Peer{p.host, fmt.Sprint(n)}, peers, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.exchange.Run(ctx)
	}()
	p.stop = func() {
		cancel()
		<-done
	}
	return p
}

// TestOneSidedKnowledge guards against streams that cannot go on because membership tells a process of others that were not
// told of it.
func TestOneSidedKnowledge(t *testing.T) {
	rows := []struct {
		name    string
		members [][]int
	}{
		{"one of two knows the other", [][]int{{}, {0}}},
		{"each knows the next", [][]int{{1}, {2}, {0}}},
		{"a chain whose end knows nobody", [][]int{{}, {2}, {0}}},
		{"all know one that knows nobody", [][]int{{}, {0}, {0}, {0}}},
	}
	for _, row := range rows {
		for killed := range row.members {
			t.Run(fmt.Sprint(row.name, ", ", killed, " is killed"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startKnowing(row.members...)
					defer f.stop()
					time.Sleep(time.Second)
					streams := f.beginStreams(10)
					f.kill(killed)
					if found, wrong := f.found(streams); found != len(streams) || wrong > 0 {
						t.Errorf("%d of %d origins are found, %d are wrong; want all found", found, len(streams), wrong)
					}
				})
			})
		}
	}
}

// TestRecordsAreSentOncePeersAreKnown guards against streams that cannot go on because they began before their process knew
// another.
func TestRecordsAreSentOncePeersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startKnowing(nil, nil)
		defer f.stop()
		f.kill(0)
		var isKnown atomic.Bool
		f.processes[0] = f.startWith(0, func() []Peer {
			if !isKnown.Load() {
				return nil
			}
			return []Peer{{f.hosts[1], "1"}}
		})
		streams := f.beginStreams(3)
		time.Sleep(time.Second)
		isKnown.Store(true)
		time.Sleep(time.Second)
		f.kill(0)
		if found, wrong := f.found(streams); found != len(streams) || wrong > 0 {
			t.Errorf("%d of %d origins are found, %d are wrong; want all found", found, len(streams), wrong)
		}
	})
}

// TestGoneProcessIsForgotten guards against a process that is gone and which the others name to each other for good.
func TestGoneProcessIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startKnowing(nil, []int{0, 2}, []int{1})
		defer f.stop()
		time.Sleep(time.Second)
		if got := len(f.processes[2].exchange.knownPeers()); got != 2 {
			t.Errorf("got %d known processes, want 2", got)
		}
		f.kill(0)
		for range 4 {
			time.Sleep(learnedRetention / 2)
			f.processes[1].exchange.sendIntroduction(&wire.StreamReport{AsksVersions: true}, []netip.Addr{f.hosts[2]})
			f.processes[2].exchange.sendIntroduction(&wire.StreamReport{AsksVersions: true}, []netip.Addr{f.hosts[1]})
		}
		time.Sleep(2 * learnedRetention)
		if got := f.processes[2].exchange.knownPeers(); len(got) != 1 {
			t.Errorf("got known processes %v, want one", got)
		}
	})
}

// TestLoneProcessDecidesAtOnce guards against a caller that waits for an answer although there is nobody to ask.
func TestLoneProcessDecidesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startKnowing(nil)
		defer f.stop()
		asked := time.Now()
		if _, ok := f.processes[0].exchange.Find(t.Context(), 7); ok || time.Since(asked) > 0 {
			t.Errorf("got an origin: %v, after %v; want none at once", ok, time.Since(asked))
		}
	})
}

// TestLearnedPeersAreBounded guards against memory and broadcasts that grow with the processes that reports name.
func TestLearnedPeersAreBounded(t *testing.T) {
	var l learnedPeers
	now := time.Now()
	for n := range 10 * maxLearned {
		l.add(Peer{netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), "a"}, false, now)
	}
	if got := len(l.list(nil, now)); got != maxLearned {
		t.Errorf("got %d learned peers, want %d", got, maxLearned)
	}
	later := now.Add(2 * learnedRetention)
	l.add(Peer{netip.AddrFrom4([4]byte{10, 2, 0, 1}), "a"}, false, later)
	if got := len(l.list(nil, later)); got != 1 {
		t.Errorf("got %d learned peers once the others' time is over, want 1", got)
	}
}
