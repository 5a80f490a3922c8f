package origingossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/datagram/datagramtest"
)

// mutualFleet is a small fleet in which two processes know each other or neither knows the other, and none is alone.
type mutualFleet struct {
	*fleet
	links map[[2]int]bool
}

func newMutualFleet(size int, knownShare float64, seed uint64) *mutualFleet {
	f := &mutualFleet{
		fleet: &fleet{network: datagramtest.New(), random: rand.New(rand.NewPCG(seed, seed)), processes: make([]*process, size)},
		links: map[[2]int]bool{},
	}
	for n := range size {
		f.hosts = append(f.hosts, netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}))
	}
	link := func(a, b int) { f.links[[2]int{a, b}], f.links[[2]int{b, a}] = true, true }
	for a := range size {
		for b := range a {
			if f.random.Float64() < knownShare {
				link(a, b)
			}
		}
	}
	for n := range size {
		if f.isCutOff(n, nil) {
			link(n, (n+1)%size)
		}
	}
	for n := range size {
		f.start(n)
	}
	return f
}

// isCutOff reports whether a process knows none of the others but those that were killed.
func (f *mutualFleet) isCutOff(process int, killed map[int]bool) bool {
	for other := range f.hosts {
		if f.links[[2]int{process, other}] && !killed[other] {
			return false
		}
	}
	return true
}

// start starts a process that knows nothing of what its predecessor knew.
func (f *mutualFleet) start(n int) {
	peerOf := func(i int) Peer { return Peer{f.hosts[i], fmt.Sprint(i % domains)} }
	var others []Peer
	for i := range f.hosts {
		if f.links[[2]int{n, i}] {
			others = append(others, peerOf(i))
		}
	}
	p := &process{host: f.hosts[n], registry: streamorigin.NewRegistry()}
	p.registry.ObserveVersions(versions, time.Now())
	group := &datagram.Socket{Conn: f.network.Listen(netip.AddrPortFrom(p.host, port)), Port: port}
	p.exchange = New(group, p.registry, peerOf(n), func() []Peer { return others }, zap.NewNop())
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
	f.processes[n] = p
}

// playMutual plays a scenario in a mutual fleet. isAnyCutOff is set if a survivor knows no other survivor.
func (s scenario) playMutual() (r result, isAnyCutOff bool) {
	f := newMutualFleet(s.size, 1-s.unknown, s.seed)
	defer f.stop()
	time.Sleep(startTime)
	f.network.SetLoss(s.loss)
	streams := f.beginStreams(max(2, sampleSize/s.size*3))
	killed := f.random.Perm(s.size)[:int(s.killed*float64(s.size))]
	isKilled := map[int]bool{}
	for _, n := range killed {
		isKilled[n] = true
		f.kill(n)
	}
	if s.restarts {
		for _, n := range killed {
			f.start(n)
		}
	}
	for n := range f.hosts {
		isAnyCutOff = isAnyCutOff || !isKilled[n] && f.isCutOff(n, isKilled)
	}
	f.random.Shuffle(len(streams), func(i, j int) { streams[i], streams[j] = streams[j], streams[i] })
	var ofKilled, ofAlive []begun
	for _, b := range streams {
		switch {
		case isKilled[b.process] && len(ofKilled) < sampleSize:
			ofKilled = append(ofKilled, b)
		case !isKilled[b.process] && len(ofAlive) < sampleSize:
			ofAlive = append(ofAlive, b)
		}
	}
	var wrong [2]int
	r.killedAsked, r.aliveAsked = len(ofKilled), len(ofAlive)
	r.killedFound, wrong[0] = f.found(ofKilled)
	r.aliveFound, wrong[1] = f.found(ofAlive)
	r.wrong = wrong[0] + wrong[1]
	return r, isAnyCutOff
}

// TestOriginsSurviveTheirProcessWithMutualKnowledge guards against streams that nobody can go on with once the process that
// brought their first event is killed, in a small fleet whose knowledge is mutual. No origin may be wrong.
func TestOriginsSurviveTheirProcessWithMutualKnowledge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(3).Draw(rt, "scenario")
		var r result
		var isAnyCutOff bool
		synctest.Test(t, func(*testing.T) { r, isAnyCutOff = s.playMutual() })
		if r.wrong > 0 {
			rt.Fatalf("%+v: %d origins are wrong", s, r.wrong)
		}
		if float64(r.killedFound) < smallestShare*float64(r.killedAsked) {
			rt.Fatalf("%+v: %d of %d origins of killed processes are found, want half or more", s, r.killedFound, r.killedAsked)
		}
		if !isAnyCutOff && float64(r.aliveFound) < smallestShare*float64(r.aliveAsked) {
			rt.Fatalf("%+v: %d of %d origins of living processes are found, want half or more", s, r.aliveFound, r.aliveAsked)
		}
	})
}
