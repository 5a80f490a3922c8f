package command

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/coordination/gossip"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/rpc"
	"limpetwall/platform"
)

// newTestBase returns a base that joins its own fleet, and its log.
func newTestBase(t *testing.T) (*base, *observer.ObservedLogs) {
	t.Helper()
	platform := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(platform.Close)
	core, lines := observer.New(zap.InfoLevel)
	p, err := newBase(&BaseSettings{
		ID: "agent-1", Host: "host-1", Domain: "domain-a", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		ObjectAPI: platform.URL, HostList: platform.URL, Spread: gossip.DefaultConfig(),
	}, zap.New(core), fleet.RoleAgent, fleet.Endpoint{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p, lines
}

// stopped is a Stop that was requested.
func stopped() Stop {
	graceful := make(chan struct{})
	close(graceful)
	return Stop{Graceful: graceful}
}

// TestListenersEndIsLogged guards against a process that no longer accepts connections without a log line.
func TestListenersEndIsLogged(t *testing.T) {
	rows := []struct {
		name string
		// serve serves a listener that is closed.
		serve func(*base, net.Listener)
	}{
		{"peers", func(p *base, closed net.Listener) {
			p.listener.Close()
			p.listener = rpc.Linger(closed, lingerQuiet)
			p.start(stopped())
		}},
		{"admin", (*base).serveAdmin},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			p, lines := newTestBase(t)
			closed, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			closed.Close()
			told := make(chan struct{})
			p.zap = p.zap.WithOptions(zap.Hooks(func(e zapcore.Entry) error {
				if e.Message == "listener ended" {
					close(told)
				}
				return nil
			}))
			row.serve(p, closed)
			select {
			case <-told:
			case <-time.After(10 * time.Second):
				t.Error("there is no log line")
			}
			p.close()
			if t.Failed() {
				return
			}
			if line := lines.FilterMessage("listener ended").All()[0]; line.Level != zap.ErrorLevel || line.ContextMap()["for"] != row.name {
				t.Errorf("got log line %v %v", line.Level, line.ContextMap())
			}
		})
	}
}

// TestOrdinaryStopLogsNoListener guards against an error line at each ordinary stop.
func TestOrdinaryStopLogsNoListener(t *testing.T) {
	p, lines := newTestBase(t)
	p.start(stopped())
	p.close()
	if n := lines.FilterMessage("listener ended").Len(); n != 0 {
		t.Errorf("got %d lines on the end of a listener, want none", n)
	}
}

// TestGatewayToldToStopOpensNoListener guards against callers that connect to a process which was told to stop before.
func TestGatewayToldToStopOpensNoListener(t *testing.T) {
	store := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(store.Close)
	clients, ready := freeAddress(t), freeAddress(t)
	settings, err := platform.DecodeSettings(fmt.Appendf(nil, `{"node":"front-a-1","ip":"127.0.0.1","zone":"a","region":"r",
	 "listen":{"front":%q,"ready":%q},"bounds":{"stable_window_ms":3000,"config_ms":2000,"drain_ms":2000,"grace_s":8,"lease_ms":3000,"version_ms":10000,"budget_window_s":10},
	 "platform":{"address":%q,"form":"objects"}}`, clients, ready, store.Listener.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	core, lines := observer.New(zap.InfoLevel)
	requestLines, moveRuns := 1, false
	if err := RunGateway(&GatewaySettings{Platform: settings, RequestLines: &requestLines, MoveRuns: &moveRuns}, zap.New(core), stopped()); err != nil {
		t.Error(err)
	}
	if n := lines.FilterMessage("started").Len(); n != 0 {
		t.Errorf("got %d starts, want none", n)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
