package datagram

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// HeaderBytes is the size of a message's IP and UDP headers, which count against a byte budget as well.
const HeaderBytes = 28

// protoMessage is a pointer to the struct of a generated message.
type protoMessage[M any] interface {
	*M
	proto.Message
}

// Channel exchanges messages of one type with the processes that listen on the same port.
type Channel[M any, P protoMessage[M]] struct {
	Socket *Socket
	// Kind names the messages in the log.
	Kind string
	Log  *zap.Logger
}

// Send sends a message to each of hosts and returns the bytes that it took. The message may be lost anyway, so errors of
// the network are not reported.
func (c *Channel[M, P]) Send(m P, hosts []netip.Addr) int {
	data, err := proto.Marshal(m)
	if err != nil || len(data) > MaxSize {
		c.Log.Error(c.Kind+" can't be encoded or is too large", zap.Int("bytes", len(data)), zap.Error(err))
		return 0
	}
	c.Socket.Send(data, hosts)
	return len(hosts) * (len(data) + HeaderBytes)
}

// Receive passes each incoming message and its sender to handle until ctx ends, then closes the socket.
func (c *Channel[M, P]) Receive(ctx context.Context, handle func(m P, from netip.Addr)) {
	c.Socket.Receive(ctx, func(data []byte, from net.Addr) { c.Dispatch(data, from, handle) })
}

// Dispatch decodes one message and passes it to handle.
func (c *Channel[M, P]) Dispatch(data []byte, from net.Addr, handle func(m P, from netip.Addr)) {
	m := P(new(M))
	udp, ok := from.(*net.UDPAddr)
	if err := proto.Unmarshal(data, m); err != nil || !ok {
		c.Log.Warn(c.Kind+" does not decode", zap.Stringer("from", from), zap.Error(err))
		return
	}
	handle(m, udp.AddrPort().Addr().Unmap())
}

// Sample returns up to n of the hosts, at random. It changes the order of hosts.
func Sample(hosts []netip.Addr, n int) []netip.Addr {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(n, len(hosts))]
}
