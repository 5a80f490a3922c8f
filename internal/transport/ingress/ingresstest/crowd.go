package ingresstest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// sendTimeout bounds how long a client of a crowd goes on sending: a process may read slowly, or no longer.
const sendTimeout = 10 * time.Second

// settleTime is how long a crowd is left alone after it has sent, so that the process takes what has come.
const settleTime = time.Second

// Crowd is a number of connections that stay open whatever the process does.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Gather opens size connections, calls send on each of them at the same time, and returns some time after all have returned.
// Errors of the network are ignored: the process may refuse any of the clients.
func Gather(t *testing.T, address string, size int, send func(net.Conn)) *Crowd {
	c := &Crowd{}
	t.Cleanup(c.Disperse)
	var sending sync.WaitGroup
	for range size {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			conn.SetDeadline(time.Now().Add(sendTimeout))
			send(conn)
		})
	}
	sending.Wait()
	time.Sleep(settleTime)
	return c
}

// Disperse closes all connections.
func (c *Crowd) Disperse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}
