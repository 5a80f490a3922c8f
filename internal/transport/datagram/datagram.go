// Package datagram carries small messages between processes that listen on the same port,
// each on its own host. A message may be lost, come twice or late: what must hold can't rest
// on one.
package datagram

import (
	"context"
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// MaxSize bounds a message, in bytes: it should travel in one packet.
const MaxSize = 1400

// Socket is a process's end of what such processes tell each other.
type Socket struct {
	Conn net.PacketConn
	Port uint16
}

// Listen opens a group at a process's own address.
func Listen(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Socket{Conn: conn, Port: conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()}, nil
}

// Send sends a message to hosts, and counts those to which it could not be sent.
func (s *Socket) Send(data []byte, hosts []netip.Addr) (failed int) {
	for _, host := range hosts {
		to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, s.Port))
		if _, err := s.Conn.WriteTo(data, to); err != nil {
			failed++
		}
	}
	return failed
}

// Receive hands on what arrives until ctx ends, and closes the connection. The bytes are
// valid during the call of take.
func (s *Socket) Receive(ctx context.Context, handle func(data []byte, from net.Addr)) {
	stop := context.AfterFunc(ctx, func() { s.Conn.Close() })
	defer stop()
	ReadLoop(s.Conn, handle)
}

// ReadLoop hands on what arrives until the connection is closed.
func ReadLoop(conn net.PacketConn, handle func(data []byte, from net.Addr)) {
	buffer := make([]byte, MaxSize)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Such as another host saying that nobody listens there.
			continue
		}
		handle(buffer[:n], from)
	}
}
