package contentreport

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/contextcache"
	"limpetwall/internal/transport/datagram"
)

// fakeTracker returns the same reports again and again, and passes on the reports that it
// receives.
type fakeTracker struct {
	reports  []contextcache.Report
	received chan contextcache.Report
}

func (c *fakeTracker) DrainReports() []contextcache.Report { return c.reports }

func (c *fakeTracker) ApplyReport(r contextcache.Report) {
	select {
	case c.received <- r:
	default:
	}
}

func startExchanger(t *testing.T, host string, port uint16, other string, reports []contextcache.Report) (*fakeTracker, uint16) {
	t.Helper()
	group, err := datagram.Listen(netip.AddrPortFrom(netip.MustParseAddr(host), port))
	if err != nil {
		t.Fatal(err)
	}
	c := &fakeTracker{reports: reports, received: make(chan contextcache.Report, 1)}
	exchanger := &Exchanger{Group: group, Hosts: func() []netip.Addr { return []netip.Addr{netip.MustParseAddr(other)} }, Tracker: c, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		exchanger.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c, group.Port
}

// TestReportsReachOtherProcesses has one of two processes report a store's contents, while another
// socket sends bytes that are no report.
func TestReportsReachOtherProcesses(t *testing.T) {
	report := contextcache.Report{Address: "10.0.0.1:1", Epoch: 3, AsOf: 5, Next: 2}
	_, port := startExchanger(t, "127.0.0.51", 0, "127.0.0.52", []contextcache.Report{report})
	receiver, _ := startExchanger(t, "127.0.0.52", port, "127.0.0.51", nil)
	stray, err := datagram.Listen(netip.MustParseAddrPort("127.0.0.53:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer stray.Conn.Close()
	stray.Port = port
	stray.Send([]byte("\xff no report"), []netip.Addr{netip.MustParseAddr("127.0.0.52")})
	select {
	case got := <-receiver.received:
		if got.Address != report.Address || got.Epoch != 3 || got.AsOf != 5 || got.Next != 2 {
			t.Errorf("%+v", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("no report was received")
	}
}
