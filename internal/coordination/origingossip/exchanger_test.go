package origingossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
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

const (
	port = 7706
	// controlBudget is what a process may send for control, in bytes per second with headers.
	controlBudget = 3 << 10
	// streamsPerSecond is the rate at which streams begin at each process: 5,900 a second at 370 processes.
	streamsPerSecond = 16
	// smallestShare is the share of the streams of killed processes that go on at least, if the others reach each other.
	smallestShare = 0.5
	domains       = 5
)

var versions = []streamorigin.Origin{{Service: "ledger-reader", Version: "v1.1"}, {Service: "ledger-reader", Version: "v1.2"}}

// process is one process of a fleet; it is nil once it is killed.
type process struct {
	host     netip.Addr
	registry *streamorigin.Registry
	exchange *Exchanger
	stop     func()
}

// fleet is a number of processes before endpoints of two software versions.
type fleet struct {
	network *datagramtest.Network
	random  *rand.Rand
	hosts   []netip.Addr
	// knownShare is the share of the others that each process knows.
	knownShare float64
	processes  []*process
}

func newFleet(size int, knownShare float64, seed uint64) *fleet {
	f := &fleet{network: datagramtest.New(), random: rand.New(rand.NewPCG(seed, seed)), knownShare: knownShare, processes: make([]*process, size)}
	for n := range size {
		f.hosts = append(f.hosts, netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}))
	}
	for n := range size {
		f.start(n)
	}
	return f
}

// start starts a process that knows nothing of what its predecessor knew.
func (f *fleet) start(n int) {
	peerOf := func(i int) Peer { return Peer{f.hosts[i], fmt.Sprint(i % domains)} }
	var others []Peer
	for i := range f.hosts {
		if i != n && f.random.Float64() < f.knownShare {
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

func (f *fleet) kill(n int) {
	if p := f.processes[n]; p != nil {
		p.stop()
		f.processes[n] = nil
	}
}

func (f *fleet) stop() {
	for n := range f.processes {
		f.kill(n)
	}
}

// begun is a stream and where it began.
type begun struct {
	stream  streamorigin.Key
	origin  streamorigin.Origin
	process int
}

// beginStreams begins so many streams at each process.
func (f *fleet) beginStreams(each int) []begun {
	var out []begun
	for range each {
		for n, p := range f.processes {
			b := begun{streamorigin.Key(f.random.Uint64()), versions[f.random.IntN(len(versions))], n}
			p.registry.Record(b.stream, b.origin, time.Now())
			out = append(out, b)
		}
		time.Sleep(time.Second / streamsPerSecond)
	}
	return out
}

// sentBytes returns the mean bytes that each process has sent since the last call, headers included.
func (f *fleet) sentBytes() float64 {
	datagrams, bytes := f.network.SentSinceLastCall()
	return float64(bytes+datagram.HeaderBytes*datagrams) / float64(len(f.hosts))
}

// found counts, of some streams, those whose origin a process that is alive finds, and those for which it gets a wrong one.
func (f *fleet) found(streams []begun) (found, wrong int) {
	for _, b := range streams {
		p := f.processes[f.random.IntN(len(f.processes))]
		for p == nil {
			p = f.processes[f.random.IntN(len(f.processes))]
		}
		origin, ok := p.exchange.Find(context.Background(), b.stream)
		switch {
		case ok && origin == b.origin:
			found++
		case ok:
			wrong++
		}
		time.Sleep(time.Duration(len(f.hosts)) * time.Second / askRate)
	}
	return found, wrong
}

// scenario is what happens to a fleet.
type scenario struct {
	size                  int
	killed, loss, unknown float64
	restarts              bool
	seed                  uint64
}

// result is what became of the streams of killed and of living processes, of each asked for a sample.
type result struct {
	killedAsked, killedFound, aliveAsked, aliveFound, wrong int
}

// sampleSize is the number of streams of killed and of living processes that are asked for.
const sampleSize = 20

func (s scenario) play() (r result) {
	f := newFleet(s.size, 1-s.unknown, s.seed)
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
	return r
}

// TestOriginsSurviveTheirProcess guards against streams that nobody can go on with once the process that brought their
// first event is killed, with up to a third of the processes at once, lost datagrams, processes that know only most of the
// others and others that have just started. No origin may be wrong.
func TestOriginsSurviveTheirProcess(t *testing.T) {
	for _, size := range []int{3, 29} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { checkScenario(t, rt, drawScenario(size).Draw(rt, "scenario")) })
		})
	}
	t.Run("370", func(t *testing.T) {
		for seed := range largeScenarios {
			checkScenario(t, t, drawScenario(370).Example(seed))
		}
	})
}

// largeScenarios is the number of scenarios at the largest size; each takes as long as hundreds of the small ones.
const largeScenarios = 15

func drawScenario(size int) *rapid.Generator[scenario] {
	return rapid.Custom(func(rt *rapid.T) scenario {
		return scenario{
			size: size, killed: rapid.Float64Range(0.1, 0.34).Draw(rt, "killed"), loss: rapid.Float64Range(0, 0.1).Draw(rt, "loss"),
			unknown: rapid.Float64Range(0, 0.1).Draw(rt, "unknown"), restarts: rapid.Bool().Draw(rt, "restarts"), seed: rapid.Uint64().Draw(rt, "seed"),
		}
	})
}

func checkScenario(t *testing.T, report interface{ Fatalf(string, ...any) }, s scenario) {
	var r result
	synctest.Test(t, func(*testing.T) { r = s.play() })
	if r.wrong > 0 {
		report.Fatalf("%+v: %d origins are wrong", s, r.wrong)
	}
	if float64(r.killedFound) < smallestShare*float64(r.killedAsked) {
		report.Fatalf("%+v: %d of %d origins of killed processes are found, want half or more", s, r.killedFound, r.killedAsked)
	}
	if float64(r.aliveFound) < smallestShare*float64(r.aliveAsked) {
		report.Fatalf("%+v: %d of %d origins of living processes are found, want half or more", s, r.aliveFound, r.aliveAsked)
	}
}

// TestTrafficIsWithinBudget guards against a cost that grows with the fleet.
func TestTrafficIsWithinBudget(t *testing.T) {
	for _, size := range []int{3, 29, 370} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size, 1, 1)
				defer f.stop()
				time.Sleep(startTime)
				f.sentBytes()
				f.beginStreams(streamsPerSecond)
				got := f.sentBytes()
				if t.Logf("%.0f bytes per second", got); got > controlBudget {
					t.Errorf("a process sent %.0f bytes per second, want %d at most", got, controlBudget)
				}
			})
		})
	}
}

// TestFailureDomainIsLost guards against records that are only at hosts which are lost together with their process.
func TestFailureDomainIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(29, 1, 1)
		defer f.stop()
		time.Sleep(startTime)
		var lost []begun
		for _, b := range f.beginStreams(streamsPerSecond) {
			if b.process%domains == 0 {
				lost = append(lost, b)
			}
		}
		for n := range f.processes {
			if n%domains == 0 {
				f.kill(n)
			}
		}
		if found, wrong := f.found(lost[:sampleSize]); found != sampleSize || wrong > 0 {
			t.Errorf("%d of %d origins are found, %d are wrong; want all found", found, sampleSize, wrong)
		}
	})
}

// TestSingleVersionCostsNothing guards against traffic while all streams can go on anywhere.
func TestSingleVersionCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		saved := versions
		versions = versions[:1]
		defer func() { versions = saved }()
		f := newFleet(29, 1, 1)
		defer f.stop()
		time.Sleep(startTime)
		f.sentBytes()
		f.beginStreams(streamsPerSecond)
		if got := f.sentBytes(); got > 0 {
			t.Errorf("each process sent %.0f bytes, want none", got)
		}
	})
}

// TestUnknownStreamIsDecidedSoon guards against a caller that waits for an answer nobody has, and against callers that
// make a process ask all others at any rate.
func TestUnknownStreamIsDecidedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(29, 1, 1)
		defer f.stop()
		time.Sleep(startTime)
		f.sentBytes()
		asked := time.Now()
		if _, ok := f.processes[0].exchange.Find(t.Context(), 7); ok || time.Since(asked) > askTimeout {
			t.Errorf("got an origin: %v, after %v; want none after %v", ok, time.Since(asked), askTimeout)
		}
		for i := range 10 * askBurst / len(f.hosts) {
			f.processes[0].exchange.Find(t.Context(), streamorigin.Key(i+100))
		}
		datagrams, _ := f.network.SentSinceLastCall()
		seconds := time.Since(asked).Seconds()
		if bound := 2 * (askBurst + askRate*seconds); float64(datagrams) > bound {
			t.Errorf("%d datagrams were sent in %.0f s, want %.0f at most", datagrams, seconds, bound)
		}
	})
}

// TestStartedProcessLearnsOfVersionsThatLeft guards against a process that has just started and takes the version that is
// left for the only one.
func TestStartedProcessLearnsOfVersionsThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 1, 1)
		defer f.stop()
		f.kill(0)
		saved := versions
		versions = versions[:1]
		f.start(0)
		versions = saved
		time.Sleep(startTime)
		if _, sole := f.processes[0].registry.SoleVersion("ledger-reader", time.Now()); sole {
			t.Error("the process knows of one version only")
		}
	})
}

// TestForeignReports guards against reports of another release or sender that end the process or name versions that do
// not exist.
func TestForeignReports(t *testing.T) {
	registry := streamorigin.NewRegistry()
	e := New(&datagram.Socket{Conn: datagramtest.New().Listen(netip.AddrPort{})}, registry, Peer{}, func() []Peer { return nil }, zap.NewNop())
	rapid.Check(t, func(rt *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(rt, "data")
		e.channel.Dispatch(data, &net.UDPAddr{}, e.receive)
	})
}
