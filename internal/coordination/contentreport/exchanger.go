package contentreport

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/contextcache"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/pause"
)

// tellEvery is the time between two rounds of reports: what a store holds must be fresh
// within a second, and one of its followers' calls waits 0.3 s of that.
const tellEvery = 200 * time.Millisecond

// Tracker knows what stores and engines hold.
type Tracker interface {
	// DrainReports takes what is to be told now.
	DrainReports() []contextcache.Report
	ApplyReport(contextcache.Report)
}

// Exchanger exchanges reports. Its fields are set before Run.
type Exchanger struct {
	Group *datagram.Group
	// Hosts lists the other processes of the failure domain.
	Hosts   func() []netip.Addr
	Tracker Tracker
	Log     *zap.Logger
}

// Run exchanges reports until ctx ends.
func (s *Exchanger) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.Group.Receive(ctx, s.take) })
	for pause.For(ctx, tellEvery) {
		s.tell()
	}
	duties.Wait()
}

func (s *Exchanger) tell() {
	hosts := s.Hosts()
	if len(hosts) == 0 {
		return
	}
	messages, err := encode(s.Tracker.DrainReports())
	if err != nil {
		s.Log.Error("content report", zap.Error(err))
	}
	for _, data := range messages {
		s.Group.Send(data, hosts)
	}
}

func (s *Exchanger) take(data []byte, from net.Addr) {
	reports, err := decode(data)
	if err != nil {
		s.Log.Warn("content report does not decode", zap.Stringer("from", from), zap.Error(err))
		return
	}
	for _, r := range reports {
		s.Tracker.ApplyReport(r)
	}
}
