package upstream

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// HasEnded tells whether the process at an address has ended. Only a refused connection says so: its host lives, and
// nobody listens. After a reset connection, a lost answer or a cut link a process still listens, or nothing is known.
func HasEnded(ctx context.Context, dial DialFunc, address string) bool {
	conn, err := dial(ctx, "tcp", address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
