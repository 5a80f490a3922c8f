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
	"limpetwall/internal/transport/sleep"
)

// sendInterval is the time between two rounds of reports. A store's contents are used for one
// second after its answer, and a reporter's call to the store waits 0.3 s of that.
const sendInterval = 200 * time.Millisecond

// Tracker tracks what stores and engines hold.
type Tracker interface {
	// DrainReports returns the reports to send now and clears their changes.
	DrainReports() []contextcache.Report
	ApplyReport(contextcache.Report)
}

// Exchanger sends this process's reports to the other processes of its failure domain and applies
// theirs. Its fields are set before Run.
type Exchanger struct {
	Group *datagram.Socket
	// Hosts lists the other processes of the failure domain.
	Hosts   func() []netip.Addr
	Tracker Tracker
	Log     *zap.Logger
}

// Run exchanges reports until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { e.Group.Receive(ctx, e.receive) })
	for sleep.For(ctx, sendInterval) {
		e.send()
	}
	workers.Wait()
}

func (e *Exchanger) send() {
	hosts := e.Hosts()
	if len(hosts) == 0 {
		return
	}
	messages, err := encode(e.Tracker.DrainReports())
	if err != nil {
		e.Log.Error("cannot encode content reports", zap.Error(err))
	}
	for _, data := range messages {
		e.Group.Send(data, hosts)
	}
}

func (e *Exchanger) receive(data []byte, from net.Addr) {
	reports, err := decode(data)
	if err != nil {
		e.Log.Warn("cannot decode content report", zap.Stringer("from", from), zap.Error(err))
		return
	}
	for _, r := range reports {
		e.Tracker.ApplyReport(r)
	}
}
