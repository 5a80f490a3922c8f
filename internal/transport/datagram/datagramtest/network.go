// Package datagramtest is a network of datagrams in memory, for tests that run many processes in one.
package datagramtest

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
)

// inboxSize bounds the datagrams that wait to be read, as a socket's buffer does.
const inboxSize = 64

// Network carries datagrams between its connections.
type Network struct {
	mu            sync.Mutex
	random        *rand.Rand
	conns         map[netip.AddrPort]*conn
	isolated      map[netip.AddrPort]bool
	loss          float64
	sentDatagrams int
	sentBytes     int
}

// New returns a network that loses nothing.
func New() *Network {
	return &Network{random: rand.New(rand.NewPCG(1, 1)), conns: map[netip.AddrPort]*conn{}, isolated: map[netip.AddrPort]bool{}}
}

// conn is one address of the network; of net.PacketConn it has what the processes use.
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

// Listen returns the connection at an address.
func (n *Network) Listen(address netip.AddrPort) net.PacketConn {
	c := &conn{network: n, address: address, inbox: make(chan packet, inboxSize), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = c
	return c
}

// SetIsolated has all be lost that an address sends and is sent, or ends that.
func (n *Network) SetIsolated(address netip.AddrPort, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = isolated
}

// SetLoss has a share of all datagrams be lost.
func (n *Network) SetLoss(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = fraction
}

// SentSinceLastCall counts the datagrams sent since the last call, and their bytes.
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
	if peer == nil || n.isolated[address] || n.isolated[c.address] || n.random.Float64() < n.loss {
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
