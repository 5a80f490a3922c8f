package origingossip

import (
	"math"
	"net"
	"net/netip"
	"testing"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/datagram/datagramtest"
)

// FuzzReceive receives messages of any content: none may end the process.
func FuzzReceive(f *testing.F) {
	message, err := proto.Marshal(&wire.StreamReport{
		AsksVersions: true, Asks: []uint64{1, 2}, Versions: []*wire.SoftwareVersion{{Service: "s", Version: "v1", AgeDs: math.MaxUint32}, {}},
		Origins:      []*wire.StreamOrigin{{Stream: 1, Version: 0}, {Stream: 2, Version: math.MaxUint32}},
		Introduction: &wire.StreamIntroduction{Domain: "a", Peers: []*wire.StreamPeer{{Host: []byte{10, 0, 0, 3}, Domain: "b"}, {Host: []byte{1}}, {}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{message, {}, []byte("\xff"), message[:len(message)/2]} {
		f.Add(seed)
	}
	network := datagramtest.New()
	group := &datagram.Socket{Conn: network.Listen(netip.MustParseAddrPort("10.0.0.1:1")), Port: 1}
	e := New(group, streamorigin.NewRegistry(), Peer{netip.MustParseAddr("10.0.0.1"), "a"}, func() []Peer { return nil }, zap.NewNop())
	from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("10.0.0.2:1"))
	f.Fuzz(func(_ *testing.T, data []byte) { e.channel.Dispatch(data, from, e.receive) })
}
