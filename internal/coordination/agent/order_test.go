package agent

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/configlog"
	"limpetwall/internal/coordination/contexttransfer"
	"limpetwall/internal/coordination/gossip"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	enginestandin "limpetwall/internal/transport/engine/standin"
	"limpetwall/internal/transport/objectapi/standin"
)

const incarnation = 7

// agentBeside returns an agent beside an engine that ignores fencing numbers.
func agentBeside(t *testing.T, eng *enginestandin.Engine) *Agent {
	table := fleet.NewTable(fleet.DefaultConfig(), fleet.Member{
		ID: "a", Incarnation: incarnation, Role: fleet.RoleAgent, Endpoint: fleet.Endpoint{ID: "a", Kind: fleet.KindEngine},
	}, time.Now())
	store := config.NewStore()
	node := gossip.New(gossip.DefaultConfig(), table, store, configlog.New(standin.New()), nil, nil, zap.NewNop())
	a := New(DefaultConfig(), node, store, eng, nil, contexttransfer.HTTPStore(), zap.NewNop(), metrics.NewRegistry())
	a.readStatus(t.Context())
	return a
}

func newEngine() *enginestandin.Engine {
	return enginestandin.New(enginestandin.Config{Model: "m", WeightVersion: "v1", Slots: 1, MaxQueue: 1, IgnoreFence: true})
}

func order(t *testing.T, a *Agent, fence uint64, version string) *wire.OrderResponse {
	t.Helper()
	resp, err := a.Order(t.Context(), &wire.OrderRequest{Fence: fence, WantIncarnation: incarnation, Model: "m", WeightVersion: version})
	if err != nil {
		t.Fatal(err)
	}
	<-a.inflight.waitIdle()
	return resp
}

func serves(a *Agent) string {
	s, _ := a.engine.Status(context.Background())
	return s.WeightVersion
}

// TestOldHolderIsRefused gives orders of two lease holders to an agent whose
// engine ignores fencing numbers.
//
// The old holder was paused and sends its order after the new one's: the agent
// refuses it, also after it has restarted and heard of the new number only from
// the fleet, with the platform down (it is never asked).
func TestOldHolderIsRefused(t *testing.T) {
	eng := newEngine()
	a := agentBeside(t, eng)
	if resp := order(t, a, 5, "v2"); !resp.GetAccepted() || serves(a) != "v2" {
		t.Fatalf("%v, serves %s", resp, serves(a))
	}
	if resp := order(t, a, 4, "v1"); resp.GetAccepted() || serves(a) != "v2" {
		t.Errorf("an old holder's order: %v, serves %s", resp, serves(a))
	}
	restarted := agentBeside(t, newEngine())
	restarted.node.HandleExchange(t.Context(), &wire.ExchangeRequest{From: "peer", Fence: 5})
	if resp := order(t, restarted, 4, "v9"); resp.GetAccepted() || serves(restarted) != "v1" {
		t.Errorf("an old holder's order after a restart: %v, serves %s", resp, serves(restarted))
	}
	same := agentBeside(t, eng)
	if resp := order(t, same, 4, "v1"); resp.GetAccepted() {
		t.Errorf("an engine that remembers 5 got 4: %v", resp)
	}
	if resp := order(t, same, 5, "v3"); !resp.GetAccepted() || serves(same) != "v3" {
		t.Errorf("the holder's next order: %v", resp)
	}
}

func TestOrderRefusals(t *testing.T) {
	a := agentBeside(t, newEngine())
	rows := []struct {
		name   string
		change func(r *wire.OrderRequest)
	}{
		{"an earlier life of the agent", func(r *wire.OrderRequest) { r.WantIncarnation = 6 }},
		{"while loading", func(*wire.OrderRequest) { a.setLoading(true, "", 1) }},
		{"while leaving", func(*wire.OrderRequest) { a.draining.Store(true) }},
	}
	for _, row := range rows {
		r := &wire.OrderRequest{Fence: 9, WantIncarnation: incarnation, Model: "m", WeightVersion: "v2"}
		row.change(r)
		if resp, err := a.Order(t.Context(), r); err != nil || resp.GetAccepted() || resp.GetReason() == "" {
			t.Errorf("%s: %v %v", row.name, resp, err)
		}
		<-a.inflight.waitIdle()
		a.setLoading(false, "", 1)
	}
	if serves(a) != "v1" {
		t.Errorf("serves %s", serves(a))
	}
}
