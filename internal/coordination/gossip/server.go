package gossip

import (
	"context"

	"limpetwall/internal/protocol/wire"
)

// Server exposes a node to its peers over gRPC.
type Server struct {
	wire.UnimplementedPeerServer
	Node *Node
	// ErrorBudget returns the error budget snapshot of this process as JSON. It is nil in
	// processes that have none.
	ErrorBudget func() ([]byte, error)
}

// Exchange implements wire.PeerServer.
func (s *Server) Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	return s.Node.HandleExchange(ctx, r)
}

// FetchConfig implements wire.PeerServer.
func (s *Server) FetchConfig(ctx context.Context, r *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	return s.Node.HandleFetchConfig(ctx, r)
}

// FetchMembers implements wire.PeerServer.
func (s *Server) FetchMembers(ctx context.Context, r *wire.FetchMembersRequest) (*wire.FetchMembersResponse, error) {
	return s.Node.HandleFetchMembers(ctx, r)
}

// Probe implements wire.PeerServer.
func (s *Server) Probe(ctx context.Context, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	return s.Node.HandleProbe(ctx, r)
}

// BurnReport implements wire.PeerServer.
func (s *Server) BurnReport(context.Context, *wire.BurnReportRequest) (*wire.BurnReportResponse, error) {
	if s.ErrorBudget == nil {
		return &wire.BurnReportResponse{Snapshot: []byte("{}")}, nil
	}
	data, err := s.ErrorBudget()
	return &wire.BurnReportResponse{Snapshot: data}, err
}
