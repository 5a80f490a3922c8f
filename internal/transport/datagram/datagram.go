// Package datagram sends small messages over UDP between processes that listen on the same port,
// each on its own host. A message may be lost, duplicated or delayed, so nothing that must hold
// may depend on the delivery of one.
package datagram

import (
	"context"
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// MaxSize is the maximum size of a message, in bytes. A message should fit in one packet.
const MaxSize = 1400

// Socket sends messages to the same port on other hosts and receives theirs.
type Socket struct {
	Conn net.PacketConn
	Port uint16
}

// Listen opens a UDP socket at the process's own address.
func Listen(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Socket{Conn: conn, Port: conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()}, nil
}

// Send sends a message to each of hosts and returns the number of hosts for which sending failed.
func (s *Socket) Send(data []byte, hosts []netip.Addr) (failed int) {
	for _, host := range hosts {
		to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, s.Port))
		if _, err := s.Conn.WriteTo(data, to); err != nil {
			failed++
		}
	}
	return failed
}

// Receive passes each incoming message to handle until ctx ends, then closes the connection.
// The data is valid only until handle returns.
func (s *Socket) Receive(ctx context.Context, handle func(data []byte, from net.Addr)) {
	stop := context.AfterFunc(ctx, func() { s.Conn.Close() })
	defer stop()
	ReadLoop(s.Conn, handle)
}

// ReadLoop passes each incoming message to handle until the connection is closed. The data is
// valid only until handle returns.
func ReadLoop(conn net.PacketConn, handle func(data []byte, from net.Addr)) {
	buffer := make([]byte, MaxSize)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example, another host reported that no process listens on its port.
			continue
		}
		handle(buffer[:n], from)
	}
}
