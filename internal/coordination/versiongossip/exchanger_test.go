package versiongossip

import (
	"context"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/datagram/datagramtest"
)

const (
	port = 7707
	// maxRate is how many bytes a second a process may send for control, headers included.
	maxRate = 3 << 10
	// toldWithin is the time within which all processes of a fleet must know what one of them does.
	toldWithin = 3 * time.Second
)

// startProcesses starts processes that see one endpoint with weights 1. Version 2 is named now; all but the first may have missed
// that, as if they had started since.
func startProcesses(t *testing.T, network *datagramtest.Network, size int) (states []*discovery.State, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	var hosts []netip.Addr
	for n := range size {
		hosts = append(hosts, netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}))
	}
	for n := range size {
		s := discovery.NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
		s.RetireAfter = time.Hour
		s.SetInstance(discovery.Instance{ID: "i", Revision: 1, Model: "m", Weights: 1})
		s.SetTarget(discovery.TargetWeights{Model: "m", Version: 2, MayBeOlder: n > 0})
		others := slices.DeleteFunc(slices.Clone(hosts), func(h netip.Addr) bool { return h == hosts[n] })
		e := &Exchanger{
			Group: &datagram.Socket{Conn: network.Listen(netip.AddrPortFrom(hosts[n], port)), Port: port},
			Hosts: func() []netip.Addr { return others }, State: s, Log: zap.NewNop(),
		}
		running.Go(func() { e.Run(ctx) })
		states = append(states, s)
	}
	return states, func() {
		cancel()
		running.Wait()
	}
}

// playFleet checks what a fleet learns of a naming that one process has seen, and what that costs.
func playFleet(t *testing.T, size int) {
	synctest.Test(t, func(t *testing.T) {
		network := datagramtest.New()
		network.SetLoss(0.1)
		namedAt := time.Now()
		states, stop := startProcesses(t, network, size)
		time.Sleep(toldWithin)
		for n, s := range states {
			if age, by := s.ReplacedFor("m", 1); by != 2 || s.LacksVersionAges() || age.Round(time.Second) != time.Since(namedAt) {
				t.Errorf("process %d: got weights replaced for %v by %d, want %v by 2", n, age, by, time.Since(namedAt))
			}
		}
		datagrams, bytes := network.SentSinceLastCall()
		rate := float64(bytes+datagrams*datagram.HeaderBytes) / float64(size) / toldWithin.Seconds()
		time.Sleep(toldWithin)
		datagrams, bytes = network.SentSinceLastCall()
		compareRate := float64(bytes+datagrams*datagram.HeaderBytes) / float64(size) / toldWithin.Seconds()
		t.Logf("%.0f bytes/s a process while ages are asked for, %.0f while an endpoint is behind", rate, compareRate)
		if rate > maxRate {
			t.Errorf("got %.0f bytes/s a process, want %d at most", rate, maxRate)
		}
		for _, s := range states {
			s.ObserveWeights("i", 2)
		}
		time.Sleep(askInterval)
		network.SentSinceLastCall()
		time.Sleep(toldWithin)
		if datagrams, _ := network.SentSinceLastCall(); datagrams > 0 {
			t.Errorf("got %d datagrams while no endpoint is behind, want none", datagrams)
		}
		stop()
	})
}

// TestFleetLearnsAge guards against processes that have started since a naming and do not learn of its age from the one that has
// seen it, or load the network with questions.
func TestFleetLearnsAge(t *testing.T) {
	for _, size := range []int{2, 3, 29} {
		playFleet(t, size)
	}
}

// TestUnknownAgeStaysUnknown guards against an age that processes make up among each other when none has seen the naming.
func TestUnknownAgeStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := datagramtest.New()
		states, stop := startProcesses(t, network, 3)
		states[0].ObserveWeights("i", 2)
		network.SetIsolated(netip.MustParseAddrPort("10.0.0.0:7707"), true)
		time.Sleep(toldWithin)
		for n, s := range states[1:] {
			s.RetireOutdated()
			if !s.LacksVersionAges() || s.OutdatedEndpoints() != 1 {
				t.Errorf("process %d takes an age for known that nobody knows", n+1)
			}
		}
		stop()
	})
}

// FuzzReceive receives messages of any content: none may end the process, nor make a target of a version that the store has not named.
func FuzzReceive(f *testing.F) {
	message, err := proto.Marshal(&wire.VersionReport{Asks: true, Ages: []*wire.VersionAge{{Model: "m", Version: 2, AgeMs: 1, Exact: true}, {Model: "m", Version: math.MaxInt64, Replaces: -1, AgeMs: math.MaxUint64}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{message, {}, []byte("\xff"), message[:len(message)/2]} {
		f.Add(seed)
	}
	network := datagramtest.New()
	from := netip.MustParseAddrPort("10.0.0.2:1")
	s := discovery.NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
	s.RetireAfter = time.Hour
	s.SetInstance(discovery.Instance{ID: "i", Revision: 1, Model: "m", Weights: 1})
	s.SetTarget(discovery.TargetWeights{Model: "m", Version: 2})
	e := &Exchanger{
		Group: &datagram.Socket{Conn: network.Listen(netip.MustParseAddrPort("10.0.0.1:1")), Port: 1}, Hosts: func() []netip.Addr { return nil }, State: s, Log: zap.NewNop(),
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e.channel().Dispatch(data, net.UDPAddrFromAddrPort(from), e.receive)
		if version := s.TargetVersion("m"); version != 2 {
			t.Errorf("%q: got target version %d, want 2", data, version)
		}
	})
}
