// Package datagramtest provides an in-memory datagram network, for tests that run many processes in one.
package datagramtest

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
)

// inboxSize is the maximum number of unread datagrams of a connection, like the receive buffer of a socket.
const inboxSize = 64

// Network delivers datagrams between its connections.
type Network struct {
	mu            sync.Mutex
	random        *rand.Rand
	conns         map[netip.AddrPort]*conn
	isolated      map[netip.AddrPort]bool
	cut           map[link]bool
	loss          float64
	sentDatagrams int
	sentBytes     int
}

// link is one direction between two addresses.
type link struct{ from, to netip.AddrPort }

// New returns a network without packet loss.
func New() *Network {
	return &Network{random: rand.New(rand.NewPCG(1, 1)), conns: map[netip.AddrPort]*conn{}, isolated: map[netip.AddrPort]bool{}, cut: map[link]bool{}}
}

// conn is the connection at one address of the network. It implements only those methods of
// net.PacketConn that the processes use.
type conn struct {
	net.PacketConn
	network *Network
	address netip.AddrPort
	inbox   chan packet
	closed  chan struct{}
}

type packet struct {
	from netip.AddrPort
	data []byte
}

// Listen opens a connection at an address. It replaces a connection that was open there.
func (n *Network) Listen(address netip.AddrPort) net.PacketConn {
	c := &conn{network: n, address: address, inbox: make(chan packet, inboxSize), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = c
	return c
}

// SetIsolated starts or stops dropping every datagram to and from an address.
func (n *Network) SetIsolated(address netip.AddrPort, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = isolated
}

// SetCut starts or stops dropping every datagram from one address to another; the other direction is not affected.
func (n *Network) SetCut(from, to netip.AddrPort, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = isCut
}

// SetLoss sets the fraction of all datagrams that are dropped.
func (n *Network) SetLoss(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = fraction
}

// SentSinceLastCall returns the number of datagrams sent since the last call, and their total size in bytes.
func (n *Network) SentSinceLastCall() (datagrams, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	datagrams, size = n.sentDatagrams, n.sentBytes
	n.sentDatagrams, n.sentBytes = 0, 0
	return datagrams, size
}

// WriteTo implements net.PacketConn.
func (c *conn) WriteTo(data []byte, to net.Addr) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentDatagrams++
	n.sentBytes += len(data)
	address := to.(*net.UDPAddr).AddrPort()
	peer := n.conns[address]
	if peer == nil || n.isolated[address] || n.isolated[c.address] || n.cut[link{c.address, address}] || n.random.Float64() < n.loss {
		return len(data), nil
	}
	select {
	case peer.inbox <- packet{c.address, slices.Clone(data)}:
	default:
	}
	return len(data), nil
}

// ReadFrom implements net.PacketConn.
func (c *conn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case d := <-c.inbox:
		return copy(buffer, d.data), net.UDPAddrFromAddrPort(d.from), nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// Close implements net.PacketConn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.network.conns[c.address] == c {
		delete(c.network.conns, c.address)
	}
	close(c.closed)
	return nil
}
