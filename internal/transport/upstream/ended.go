package upstream

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// HasEnded reports whether the process at an address has ended. Only a refused connection shows that: its host is up,
// and nothing listens. After a reset connection, a lost answer or a partition, the process still listens or its state
// is unknown.
func HasEnded(ctx context.Context, dial DialFunc, address string) bool {
	conn, err := dial(ctx, "tcp", address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
