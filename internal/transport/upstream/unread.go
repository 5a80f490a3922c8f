package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// looksPerLimit is how often a connection is looked at within its TCP_USER_TIMEOUT: the kernel
	// may end it once the timeout has passed.
	looksPerLimit = 3
	// unansweredProbes to a closed window mean that the peer is gone; one may just be underway.
	unansweredProbes = 2
)

// unreadWatch keeps a connection whose endpoint is alive but has no room for the rest of a body.
//
// TCP_USER_TIMEOUT bounds the time without an acknowledgement, and also the time in which the peer's
// window is closed though it acknowledges each probe: an endpoint that reads a long body late would lose
// its request.
type unreadWatch struct {
	raw   syscall.RawConn
	limit int
	// written is closed when the kernel has taken the whole body.
	written <-chan struct{}
}

// watchUnread watches the connection until the present body has left this host.
func (c *conn) watchUnread() {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return
	}
	w := &unreadWatch{raw: raw, written: c.writing}
	err = w.control(func(fd int) (err error) {
		w.limit, err = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		return err
	})
	if err != nil || w.limit == 0 {
		return
	}
	w.lookLater()
}

func (w *unreadWatch) lookLater() {
	time.AfterFunc(time.Duration(w.limit)*time.Millisecond/looksPerLimit, w.look)
}

// look lifts the limit while only the peer's window holds the body up. An error means that the connection is closed.
func (w *unreadWatch) look() {
	done := false
	err := w.control(func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return err
		}
		limit := w.limit
		if info.Notsent_bytes > 0 && w.isAlive(info) {
			limit = 0
		}
		done = info.Notsent_bytes == 0 && w.isWritten()
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, limit)
	})
	if err == nil && !done {
		w.lookLater()
	}
}

// isAlive tells whether the peer still acknowledges. Probes of a closed window grow rare: the last acknowledgement may
// be old though none is missing.
func (w *unreadWatch) isAlive(info *unix.TCPInfo) bool {
	acknowledged := int(info.Last_ack_recv) < w.limit/looksPerLimit
	return acknowledged || (info.Unacked == 0 && info.Probes < unansweredProbes)
}

func (w *unreadWatch) isWritten() bool {
	select {
	case <-w.written:
		return true
	default:
		return false
	}
}

// control carries out a call on the connection's descriptor.
func (w *unreadWatch) control(call func(fd int) error) error {
	var failed error
	if err := w.raw.Control(func(fd uintptr) { failed = call(int(fd)) }); err != nil {
		return err
	}
	return failed
}
