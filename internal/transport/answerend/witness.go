package answerend

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Witnesses holds one idle connection to each address from which answers without a length are being read. Safe for
// concurrent use.
type Witnesses struct {
	dial DialFunc

	mu        sync.Mutex
	byAddress map[string]*witness
}

// NewWitnesses returns an empty set whose connections are opened by dial.
func NewWitnesses(dial DialFunc) *Witnesses {
	return &Witnesses{dial: dial, byAddress: map[string]*witness{}}
}

// witness is an idle connection that the answers from one address share.
type witness struct {
	net.Conn
	// users is guarded by Witnesses.mu.
	users int
}

// acquire returns the open connection to an address, or opens one; nil if it can't. The caller must release it.
func (ws *Witnesses) acquire(ctx context.Context, address string) *witness {
	if shared := ws.share(address); shared != nil {
		return shared
	}
	c, err := ws.dial(ctx, "tcp", address)
	if err != nil {
		return nil
	}
	opened := &witness{Conn: c, users: 1}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.byAddress[address] = opened
	return opened
}

// share returns the connection to an address if it is open.
func (ws *Witnesses) share(address string) *witness {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	shared := ws.byAddress[address]
	if shared == nil || shared.hasEnded() {
		return nil
	}
	shared.users++
	return shared
}

// release closes a connection after its last user; nil is none.
func (ws *Witnesses) release(address string, w *witness) {
	if w == nil {
		return
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w.users--; w.users > 0 {
		return
	}
	w.Close()
	if ws.byAddress[address] == w {
		delete(ws.byAddress, address)
	}
}

// hasEnded reports whether the connection has ended or carries bytes, which nobody asked for and nobody reads. It does not
// wait.
func (w *witness) hasEnded() bool {
	raw, err := w.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		ended = err != syscall.EAGAIN
		return true
	})
	return err != nil || ended
}

// connState is what the kernel knows of a connection.
type connState struct {
	isKnown bool
	// isEnded is set if the peer has ended or reset the connection, although bytes before that may be unread.
	isEnded bool
	// lastByteAge is how long ago bytes arrived.
	lastByteAge time.Duration
}

// tcpEstablished is the state of a connection that neither side has ended.
const tcpEstablished = 1

func stateOf(c syscall.Conn) (state connState) {
	raw, err := c.SyscallConn()
	if err != nil {
		return connState{}
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.State == 0 {
			return
		}
		state = connState{isKnown: true, isEnded: info.State != tcpEstablished, lastByteAge: time.Duration(info.Last_data_recv) * time.Millisecond}
	})
	return state
}
