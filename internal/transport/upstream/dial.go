package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections that detect a silent peer. A host without power or
// behind a partition does not answer, and a connection to it would hang forever.
type Dialer struct {
	// Connect is the timeout for opening a connection.
	Connect time.Duration
	// Silence is how long sent bytes may stay unacknowledged, and keep-alive probes
	// unanswered.
	Silence time.Duration
}

// Dial opens a connection to an IP and port.
func (d Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	probe := max(time.Second, d.Silence/2)
	dialer := net.Dialer{
		Timeout:         d.Connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: 2},
		Control:         d.setUserTimeout,
	}
	return dialer.DialContext(ctx, network, address)
}

func (d Dialer) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
