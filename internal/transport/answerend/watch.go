package answerend

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/bootclock"
)

const (
	// checkInterval is the time between two looks at the connection of an answer in progress.
	checkInterval = 50 * time.Millisecond
	// probeTimeout bounds the connections that are opened after an answer's end: a host that is up answers within a round trip.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the time after which another connection is tried, as an opening packet may be lost.
	probeInterval = 100 * time.Millisecond
	// witnessRetry is the time after which another witness is opened if there is none: servers close idle connections.
	witnessRetry = time.Second
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Watch collects evidence about the process that an answer without a length comes from. The end of the connection is
// noticed when it arrives, and not only when it is read: by then the process may have left or been replaced.
type Watch struct {
	conn      *Conn
	address   string
	witnesses *Witnesses
	// startedAt and startedBoot are when the watch began, by the clock that stops while the host is suspended and by
	// the one that does not.
	startedAt, startedBoot time.Time

	cancel context.CancelFunc
	ctx    context.Context
	// ended is closed when the end of the connection was read; age is then that of the answer's last byte.
	ended    chan struct{}
	endOnce  sync.Once
	age      time.Duration
	endBoot  time.Time
	done     chan struct{}
	evidence Evidence
}

// Start watches the connection of an answer whose head has been read. The caller must Stop the watch.
func (ws *Witnesses) Start(conn *Conn, address string) *Watch {
	w := &Watch{
		conn: conn, address: address, witnesses: ws, startedAt: time.Now(), startedBoot: bootclock.Now(),
		ended: make(chan struct{}), done: make(chan struct{}),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	conn.OnEnd(w.observeEnd)
	go w.run()
	return w
}

// observeEnd records that the end of the connection has arrived. It must run before this process closes the connection, as
// the kernel keeps no state of it after that.
func (w *Watch) observeEnd() {
	w.endOnce.Do(func() {
		w.age, w.endBoot = w.lastByteAge(), bootclock.Now()
		close(w.ended)
	})
}

// Evidence returns the evidence after the answer's end, which must have been read.
func (w *Watch) Evidence(ctx context.Context) Evidence {
	select {
	case <-w.done:
		return w.evidence
	case <-ctx.Done():
		return Evidence{}
	}
}

// Stop ends the watch.
func (w *Watch) Stop() { w.cancel() }

func (w *Watch) run() {
	defer close(w.done)
	var current *witness
	var triedAt time.Time
	defer func() { w.witnesses.release(w.address, current) }()
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.ended:
			w.collect(current)
			return
		case <-tick.C:
		}
		if state := stateOf(w.conn); state.isEnded {
			w.observeEnd()
			continue
		}
		if current != nil && current.hasEnded() {
			// Its server closed it while it was idle: the answer goes on.
			w.witnesses.release(w.address, current)
			current = nil
		}
		if current == nil && time.Since(triedAt) >= witnessRetry {
			triedAt = time.Now()
			current = w.openWitness()
		}
	}
}

// openWitness returns a connection to the process of the answer, or nil. While the answer's connection has not ended, no
// other process listens at the address.
func (w *Watch) openWitness() *witness {
	ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
	defer cancel()
	go func() {
		select {
		case <-w.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	opened := w.witnesses.acquire(ctx, w.address)
	if opened == nil {
		return nil
	}
	select {
	case <-w.ended:
	default:
		if !stateOf(w.conn).isEnded {
			return opened
		}
	}
	w.witnesses.release(w.address, opened)
	return nil
}

func (w *Watch) collect(current *witness) {
	ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
	defer cancel()
	var connectedAt time.Time
	w.evidence.Listener, connectedAt = probe(ctx, w.witnesses.dial, w.address)
	switch {
	case current == nil:
	case current.hasEnded():
		w.evidence.Witness = WitnessEnded
	default:
		w.evidence.Witness = WitnessOpen
	}
	w.evidence.LastByteAge = w.age + connectedAt.Sub(w.endBoot)
}

// lastByteAge returns how long ago the last byte of the answer arrived at this host. If the
// connection's state is unknown, it returns the time since the answer's head was read.
func (w *Watch) lastByteAge() time.Duration {
	sinceStart := bootclock.Now().Sub(w.startedBoot)
	state := stateOf(w.conn)
	if !state.isKnown {
		return sinceStart
	}
	// The kernel does not count the time in which the host was suspended.
	suspended := max(0, sinceStart-time.Since(w.startedAt))
	return state.lastByteAge + suspended
}

// probe opens a connection to an address and half-closes it. It returns what became of the connection, and when it was
// opened by the boot clock. While a process exits, its listener may outlive the connection of the answer; the kernel then
// resets what was never accepted, whereas a process that is alive ends the connection in order or leaves it open.
func probe(ctx context.Context, dial DialFunc, address string) (Listener, time.Time) {
	c, err := dialRepeatedly(ctx, dial, address)
	connectedAt := bootclock.Now()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ListenerRefused, connectedAt
	case err != nil:
		return ListenerUnknown, connectedAt
	}
	defer c.Close()
	if side, ok := c.(interface{ CloseWrite() error }); ok {
		side.CloseWrite()
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.SetReadDeadline(deadline)
	}
	var one [1]byte
	if _, err := c.Read(one[:]); err != nil && err != io.EOF && !errors.Is(err, os.ErrDeadlineExceeded) {
		return ListenerRefused, connectedAt
	}
	return ListenerAccepted, connectedAt
}

// dialRepeatedly opens a connection. Every probeInterval it tries another one, and returns the first that is accepted or
// refused.
func dialRepeatedly(ctx context.Context, dial DialFunc, address string) (net.Conn, error) {
	type result struct {
		conn net.Conn
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result)
	try := func() {
		c, err := dial(ctx, "tcp", address)
		select {
		case results <- result{c, err}:
		case <-ctx.Done():
			if c != nil {
				c.Close()
			}
		}
	}
	next := time.NewTicker(probeInterval)
	defer next.Stop()
	go try()
	for {
		select {
		case r := <-results:
			if r.err == nil || errors.Is(r.err, syscall.ECONNREFUSED) {
				return r.conn, r.err
			}
		case <-next.C:
			go try()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
