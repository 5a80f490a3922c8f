package rpc

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"limpetwall/internal/transport/memquota"
)

const (
	// requestBytesKey is the metadata that names the size of a call's request, in bytes.
	requestBytesKey = "limpetwall-request-bytes"
	// refusedUnreadKey is the trailer of a call whose request was refused for want of memory.
	refusedUnreadKey = "limpetwall-refused-unread"
	// undeclaredBytes is how large a request is taken for whose size is not named.
	undeclaredBytes = 1 << 20
	// RequestFactor is how many times its size a request takes: as it came, and as it is sent on.
	RequestFactor = 2
	// receiveTimeout bounds the wait for a request once there is memory for it.
	receiveTimeout = 30 * time.Second
	// refusalLines limits the log lines of refused requests, a second.
	refusalLines = 10
)

// DeclareRequest names the size of a call's request, in bytes, so that its receiver can first find the memory for it.
func DeclareRequest(ctx context.Context, request proto.Message) context.Context {
	return metadata.AppendToOutgoingContext(ctx, requestBytesKey, strconv.Itoa(proto.Size(request)))
}

// IsRefusedUnread reports whether a call with this trailer was refused for want of memory before anything was done with its request.
func IsRefusedUnread(trailer metadata.MD) bool { return len(trailer.Get(refusedUnreadKey)) > 0 }

// LimitRequests has the requests of streaming calls received only once there is memory for them; a nil quota has no limit. A request
// holds its memory until its handler returns, or longer with HoldRequest.
func LimitRequests(quota *memquota.Quota, log *zap.Logger, registry metrics.Registry) grpc.ServerOption {
	l := &requestLimit{
		quota: quota, log: log, lines: rate.NewLimiter(refusalLines, refusalLines),
		refused: metrics.GetOrRegisterCounter("peers.requests_refused_for_memory", registry),
	}
	if quota != nil {
		metrics.NewRegisteredFunctionalGauge("peers.held_bytes", registry, quota.Held)
	}
	return grpc.StreamInterceptor(l.intercept)
}

type requestLimit struct {
	quota   *memquota.Quota
	log     *zap.Logger
	lines   *rate.Limiter
	refused metrics.Counter
}

func (l *requestLimit) intercept(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if l.quota == nil {
		return handler(server, stream)
	}
	held := &heldRequest{account: l.quota.Open(func() {}), holders: 1}
	defer held.release()
	// Whoever comes next is refused: a request that a peer sends has been accepted from a caller.
	held.account.Seal()
	return handler(server, &receivingStream{ServerStream: stream, limit: l, held: held, ctx: context.WithValue(stream.Context(), heldKey{}, held)})
}

// refuse ends a call whose request has not been passed to its handler.
func (l *requestLimit) refuse(stream grpc.ServerStream, size int64) error {
	l.refused.Inc(1)
	if l.lines.Allow() {
		address := ""
		if p, ok := peer.FromContext(stream.Context()); ok {
			address = p.Addr.String()
		}
		l.log.Warn("peer's request refused for memory", zap.String("peer", address), zap.Int64("bytes", size), zap.Int64("held", l.quota.Held()))
	}
	stream.SetTrailer(metadata.Pairs(refusedUnreadKey, "1"))
	return status.Error(codes.ResourceExhausted, "the memory for requests is in use")
}

// receivingStream receives one request, whose memory it holds.
type receivingStream struct {
	grpc.ServerStream
	limit *requestLimit
	held  *heldRequest
	ctx   context.Context
}

// Context implements grpc.ServerStream.
func (s *receivingStream) Context() context.Context { return s.ctx }

// RecvMsg implements grpc.ServerStream.
func (s *receivingStream) RecvMsg(m any) error {
	request, ok := m.(proto.Message)
	if !ok {
		return s.ServerStream.RecvMsg(m)
	}
	declared := declaredBytes(s.ctx)
	if s.held.account.Grow(RequestFactor*declared) != nil {
		return s.limit.refuse(s.ServerStream, declared)
	}
	received := make(chan error, 1)
	go func() { received <- s.ServerStream.RecvMsg(m) }()
	timer := time.NewTimer(receiveTimeout)
	defer timer.Stop()
	select {
	case err := <-received:
		if err != nil {
			return err
		}
	case <-timer.C:
		// The end of the call ends the receipt.
		return status.Error(codes.DeadlineExceeded, "the request has not come")
	}
	size := int64(proto.Size(request))
	s.held.account.Shrink(RequestFactor * (declared - size))
	if s.held.account.Grow(RequestFactor*(size-declared)) != nil {
		return s.limit.refuse(s.ServerStream, size)
	}
	return nil
}

// declaredBytes returns the size that a call names for its request.
func declaredBytes(ctx context.Context) int64 {
	for _, value := range metadata.ValueFromIncomingContext(ctx, requestBytesKey) {
		if n, err := strconv.ParseInt(value, 10, 64); err == nil && n >= 0 && n <= MaxMessage {
			return n
		}
	}
	return undeclaredBytes
}

type heldKey struct{}

// heldRequest is the memory of a request.
type heldRequest struct {
	account *memquota.Account
	mu      sync.Mutex
	holders int
}

func (h *heldRequest) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holders--; h.holders == 0 {
		h.account.Close()
	}
}

// HoldRequest keeps the memory of a call's request beyond the end of its handler, until the returned function is called once.
func HoldRequest(ctx context.Context) (release func()) {
	h, ok := ctx.Value(heldKey{}).(*heldRequest)
	if !ok {
		return func() {}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holders++
	return h.release
}
