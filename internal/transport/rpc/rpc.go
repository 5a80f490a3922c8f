// Package rpc carries grpc between the system's processes: one server, and a
// pool of client connections by address.
package rpc

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"limpetwall/internal/protocol/wire"
)

const (
	// MaxMessage bounds one message, in bytes: a prompt's text or a snapshot.
	MaxMessage = 32 << 20
	// streamWindow and connWindow bound the bytes in flight of one run and of one
	// connection, so that a caller who reads slowly holds back its own run only.
	streamWindow = 256 << 10
	connWindow   = 4 << 20
	// keepaliveTime finds a peer that vanished without closing its connections:
	// a silent network would otherwise leave a stream waiting for its deadline.
	keepaliveTime = 2 * time.Second
	// keepaliveTimeout is long, as the answer to a ping comes behind all that is in flight: a peer that is slow to read
	// that is not gone.
	keepaliveTimeout = 20 * time.Second
	idleTimeout      = 2 * time.Minute
	dialTimeout      = time.Second
	// handshakeTimeout bounds the handshake of a peer, maxHeaderList the headers of a call in bytes, and maxCalls the calls at
	// a time on one connection.
	handshakeTimeout = 10 * time.Second
	maxHeaderList    = 64 << 10
	maxCalls         = 16_384
)

// NewServer returns a grpc server; a nil tlsConfig means plaintext.
func NewServer(tlsConfig *tls.Config, extra ...grpc.ServerOption) *grpc.Server {
	options := append([]grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessage), grpc.MaxSendMsgSize(MaxMessage),
		grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(connWindow),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxHeaderListSize(maxHeaderList), grpc.MaxConcurrentStreams(maxCalls),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	}, extra...)
	if tlsConfig != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(tlsConfig)))
	}
	return grpc.NewServer(options...)
}

// Pool holds one connection an address.
type Pool struct {
	creds credentials.TransportCredentials
	extra []grpc.DialOption
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool; a nil tlsConfig means plaintext. Extra options
// serve benches that count what crosses the connections.
func NewPool(tlsConfig *tls.Config, extra ...grpc.DialOption) *Pool {
	creds := insecure.NewCredentials()
	if tlsConfig != nil {
		creds = credentials.NewTLS(tlsConfig)
	}
	return &Pool{creds: creds, extra: extra, conns: map[string]*grpc.ClientConn{}}
}

func (p *Pool) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	// Retries are the entry's own decision: grpc's could run a request twice.
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(p.creds), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithInitialWindowSize(streamWindow), grpc.WithInitialConnWindowSize(connWindow),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime * 5, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage), grpc.MaxCallSendMsgSize(MaxMessage)),
	}, p.extra...)
	c, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.conns[address] = c
	return c, nil
}

// Forget closes the connection to an address that will not be used again.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		c.Close()
		delete(p.conns, address)
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		c.Close()
		delete(p.conns, address)
	}
}

// Agent returns a client of the agent at address.
func (p *Pool) Agent(address string) (wire.AgentClient, error) {
	c, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return wire.NewAgentClient(c), nil
}

// ErrNotReached is returned if there was no connection to a peer, so it has not been sent
// anything. grpc reports a broken connection as Unavailable whether the request
// was written or not; only a connection that never became ready proves that not.
const ErrNotReached = errors.ConstError("peer not reached")

// WaitReady makes sure that a connection to address stands, or fails with
// ErrNotReached.
func (p *Pool) WaitReady(ctx context.Context, address string) error {
	c, err := p.conn(address)
	if err != nil {
		return errors.WithType(err, ErrNotReached)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	state := c.GetState()
	if state == connectivity.TransientFailure {
		// It may have failed long ago: try again now instead of after the backoff.
		c.ResetConnectBackoff()
	}
	for state != connectivity.Ready {
		c.Connect()
		if !c.WaitForStateChange(ctx, state) {
			return errors.Annotatef(ErrNotReached, "%s", address)
		}
		state = c.GetState()
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			return errors.Annotatef(ErrNotReached, "%s", address)
		}
	}
	return nil
}

// Exchange implements gossip.Peers.
func (p *Pool) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	c, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return wire.NewPeerClient(c).Exchange(ctx, r)
}

// FetchConfig implements gossip.Peers.
func (p *Pool) FetchConfig(ctx context.Context, address string, r *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	c, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return wire.NewPeerClient(c).FetchConfig(ctx, r)
}

// FetchMembers implements gossip.Peers.
func (p *Pool) FetchMembers(ctx context.Context, address string) (*wire.FetchMembersResponse, error) {
	c, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return wire.NewPeerClient(c).FetchMembers(ctx, &wire.FetchMembersRequest{})
}

// Probe implements gossip.Peers.
func (p *Pool) Probe(ctx context.Context, address string, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	c, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return wire.NewPeerClient(c).Probe(ctx, r)
}

// BurnReport asks an entry for its service-level windows.
func (p *Pool) BurnReport(ctx context.Context, address string) ([]byte, error) {
	c, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	resp, err := wire.NewPeerClient(c).BurnReport(ctx, &wire.BurnReportRequest{})
	return resp.GetSnapshot(), err
}
