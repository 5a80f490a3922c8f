package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checksPerTimeout is how often a connection is checked within its TCP_USER_TIMEOUT: the kernel may
	// close it once the timeout has passed.
	checksPerTimeout = 3
	// unansweredProbes of a closed window mean that the peer is gone; a single one may still be in flight.
	unansweredProbes = 2
)

// unreadWatch keeps the kernel from closing a connection whose endpoint is alive but does not yet read
// the rest of a body.
//
// TCP_USER_TIMEOUT limits not only the time without an acknowledgment but also the time in which the
// peer's window is closed, even if the peer acknowledges each probe: an endpoint that reads a long body
// late would lose its request.
type unreadWatch struct {
	raw   syscall.RawConn
	limit int
	// written is closed once the kernel has accepted the whole body.
	written <-chan struct{}
}

// watchUnread watches the connection until the current body has left this host.
func (c *conn) watchUnread() {
	raw, err := c.SyscallConn()
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
	w.scheduleCheck()
}

func (w *unreadWatch) scheduleCheck() {
	time.AfterFunc(time.Duration(w.limit)*time.Millisecond/checksPerTimeout, w.check)
}

// check lifts the timeout while only the peer's closed window delays the body. An error means that the connection is closed.
func (w *unreadWatch) check() {
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
		w.scheduleCheck()
	}
}

// isAlive reports whether the peer still acknowledges. Probes of a closed window become less frequent, so the last
// acknowledgment may be old although none is missing.
func (w *unreadWatch) isAlive(info *unix.TCPInfo) bool {
	acknowledged := int(info.Last_ack_recv) < w.limit/checksPerTimeout
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

// control makes a call on the connection's descriptor.
func (w *unreadWatch) control(call func(fd int) error) error {
	var failed error
	if err := w.raw.Control(func(fd uintptr) { failed = call(int(fd)) }); err != nil {
		return err
	}
	return failed
}
