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

	"limpetwall/internal/coordination/loadreport"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/transport/datagram/datagramtest"
	objectstandin "limpetwall/internal/transport/objectapi/standin"
)

// idleDirectory has no work to report.
type idleDirectory struct{}

func (idleDirectory) OwnWork() []routing.Work                       { return nil }
func (idleDirectory) ApplyPeerReport(routing.PeerReport, time.Time) {}
func (idleDirectory) ExpirePeers(time.Time)                         {}

// TestOneWayCutKeepsOrigins guards against streams that cannot go on because their process dropped, from its membership, a
// process whose messages were lost on the way.
func TestOneWayCutKeepsOrigins(t *testing.T) {
	const membershipPort = 7701
	for n := range 20 {
		// The processes read the registry every minute; what they know of each other differs in between.
		size, cutFor := 2+n%2, time.Duration(1+n/2)*20*time.Second
		t.Run(fmt.Sprint(size, " processes, ", cutFor), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{network: datagramtest.New(), random: rand.New(rand.NewPCG(1, 1)), processes: make([]*process, size)}
				registry := objectstandin.New()
				for n := range size {
					f.hosts = append(f.hosts, netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}))
				}
				for n, host := range f.hosts {
					address := netip.AddrPortFrom(host, membershipPort)
					members := &loadreport.Exchanger{
						Conn: f.network.Listen(address), Address: address, Domain: fmt.Sprint(n), Incarnation: uint64(n + 1),
						Directory: idleDirectory{}, Registry: registry, Log: zap.NewNop(),
					}
					f.processes[n] = f.startWith(n, func() (out []Peer) {
						for host, domain := range members.Domains() {
							out = append(out, Peer{host, domain})
						}
						return out
					})
					ctx, cancel := context.WithCancel(t.Context())
					done, stopExchange := make(chan struct{}), f.processes[n].stop
					go func() {
						defer close(done)
						members.Run(ctx)
					}()
					f.processes[n].stop = func() {
						stopExchange()
						cancel()
						<-done
					}
				}
				defer f.stop()
				time.Sleep(10 * time.Second)
				deaf, lost := f.hosts[0], f.hosts[1]
				for _, p := range []uint16{port, membershipPort} {
					f.network.SetCut(netip.AddrPortFrom(lost, p), netip.AddrPortFrom(deaf, p), true)
				}
				time.Sleep(cutFor)
				streams := f.beginStreams(10)
				f.kill(0)
				found := 0
				for _, b := range streams {
					if origin, ok := f.processes[1].exchange.Find(t.Context(), b.stream); ok && origin == b.origin {
						found++
					}
				}
				if found != len(streams) {
					t.Errorf("%d of %d origins are found, want all", found, len(streams))
				}
			})
		})
	}
}
