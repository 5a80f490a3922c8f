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

// contents tells one report over and over, and passes on what it hears.
type contents struct {
	tells []contextcache.Report
	heard chan contextcache.Report
}

func (c *contents) DrainReports() []contextcache.Report { return c.tells }

func (c *contents) ApplyReport(r contextcache.Report) {
	select {
	case c.heard <- r:
	default:
	}
}

func start(t *testing.T, host string, port uint16, other string, tells []contextcache.Report) (*contents, uint16) {
	t.Helper()
	group, err := datagram.Listen(netip.AddrPortFrom(netip.MustParseAddr(host), port))
	if err != nil {
		t.Fatal(err)
	}
	c := &contents{tells: tells, heard: make(chan contextcache.Report, 1)}
	s := &Exchanger{Group: group, Hosts: func() []netip.Addr { return []netip.Addr{netip.MustParseAddr(other)} }, Tracker: c, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c, group.Port
}

// TestReportsReachTheOthers lets one of two processes tell what a store holds; bytes that are no
// report come between.
func TestReportsReachTheOthers(t *testing.T) {
	report := contextcache.Report{Address: "10.0.0.1:1", Epoch: 3, AsOf: 5, Next: 2}
	_, port := start(t, "127.0.0.51", 0, "127.0.0.52", []contextcache.Report{report})
	hearer, _ := start(t, "127.0.0.52", port, "127.0.0.51", nil)
	stray, err := datagram.Listen(netip.MustParseAddrPort("127.0.0.53:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer stray.Conn.Close()
	stray.Port = port
	stray.Send([]byte("\xff no report"), []netip.Addr{netip.MustParseAddr("127.0.0.52")})
	select {
	case got := <-hearer.heard:
		if got.Address != report.Address || got.Epoch != 3 || got.AsOf != 5 || got.Next != 2 {
			t.Errorf("%+v", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("nothing was heard")
	}
}
