package pushbackgossip

import (
	"math"
	"net"
	"net/netip"
	"testing"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpetwall/internal/coordination/limitshare"
	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/datagram/datagramtest"
)

// FuzzReceive receives messages of any content: none may end the process.
func FuzzReceive(f *testing.F) {
	registry := pushback.NewRegistry()
	registry.Endpoint("e", 1, "a")
	known := uint64(pushback.KeyOf("e", 1))
	nan, large := float32(math.NaN()), float32(math.Inf(1))
	message, err := proto.Marshal(&wire.PushbackReport{
		Asks: true, Used: []uint64{known, 0}, Needed: []uint64{known}, Leaving: []uint64{known, math.MaxUint64},
		Limits: []*wire.EndpointLimit{{Endpoint: known, PerSecond: 2, AgeMs: 1}, {Endpoint: known, PerSecond: nan, AgeMs: math.MaxUint32}, {PerSecond: -1}},
		Loans:  []*wire.LimitLoan{{Endpoint: known, PerSecond: large, ValidMs: math.MaxUint32}, {Endpoint: known, PerSecond: nan}, {Endpoint: known, PerSecond: 1, ValidMs: 10}},
		Sent:   []*wire.SentUnaware{{Endpoint: known, Requests: math.MaxUint32}},
	})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{message, {}, []byte("\xff"), message[:len(message)/2]} {
		f.Add(seed)
	}
	network := datagramtest.New()
	x := &Exchanger{
		Group: &datagram.Socket{Conn: network.Listen(netip.MustParseAddrPort("10.0.0.1:1")), Port: 1}, Hosts: func() []netip.Addr { return nil },
		Registry: registry, Log: zap.NewNop(),
	}
	x.Divider = &limitshare.Divider{
		Registry: registry, Messenger: x, Hosts: func(string) []netip.Addr { return nil }, Self: netip.MustParseAddr("10.0.0.1"), Domain: "a", Log: zap.NewNop(),
	}
	from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("10.0.0.2:1"))
	f.Fuzz(func(_ *testing.T, data []byte) { x.channel().Dispatch(data, from, x.receive) })
}
