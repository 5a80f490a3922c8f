package ingress

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// nextProtoHTTP2 is the ALPN name of HTTP/2.
const nextProtoHTTP2 = "h2"

const (
	// maxStreams bounds the concurrent requests of an HTTP/2 connection.
	maxStreams = 250
	// receiveBuffer bounds what is received and not read yet on an HTTP/2 connection, in bytes.
	receiveBuffer = 256 << 10
	// http2IdleTimeout is how long an HTTP/2 connection may have no request.
	http2IdleTimeout = 2 * time.Minute
)

// goAwayInterval is how often a stop sends GOAWAY to HTTP/2 connections.
const goAwayInterval = time.Second

// ServeTLS is Serve for TLS connections, of HTTP/1.1 and HTTP/2.
//
// HTTP/2 has an http.Server of its own without a listener: its Shutdown sends GOAWAY, whereas the
// Shutdown of the server for HTTP/1.1 would drop requests.
func (s *Server) ServeTLS(l net.Listener, config *tls.Config) error {
	inner := s.register(l)
	inner.secure = true
	h2 := &http.Server{
		MaxHeaderBytes: s.http.MaxHeaderBytes, ErrorLog: s.http.ErrorLog, IdleTimeout: http2IdleTimeout,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: receiveBuffer, MaxReceiveBufferPerStream: receiveBuffer},
	}
	// Serve configures HTTP/2 and returns, as there is nothing to accept.
	if err := h2.Serve(noListener{}); err != net.ErrClosed {
		s.removeListener(inner)
		return errors.Annotate(err, "setting up HTTP/2")
	}
	serve := h2.TLSNextProto[nextProtoHTTP2]
	s.http.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){
		nextProtoHTTP2: func(_ *http.Server, c *tls.Conn, handler http.Handler) {
			c.NetConn().(*conn).markHTTP2()
			serve(h2, c, handler)
		},
	}
	s.http.TLSConfig = config
	s.mu.Lock()
	s.h2 = h2
	s.mu.Unlock()
	return s.serve(inner, func(inner net.Listener) error { return s.http.ServeTLS(inner, "", "") })
}

// goAway asks the callers of HTTP/2 connections to open new ones elsewhere.
func (s *Server) goAway(ctx context.Context) {
	s.mu.Lock()
	h2 := s.h2
	s.mu.Unlock()
	if h2 != nil {
		h2.Shutdown(ctx)
	}
}

// noListener is a closed listener.
type noListener struct{}

func (noListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (noListener) Close() error              { return nil }
func (noListener) Addr() net.Addr            { return &net.TCPAddr{} }
