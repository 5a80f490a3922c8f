package command

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/agent"
	"limpetwall/internal/coordination/contexttransfer"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/finding"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/engine"
	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/plainservice"
	"limpetwall/internal/transport/pushbackheader"
	"limpetwall/internal/transport/settings"
	"limpetwall/internal/transport/upstream"
)

// AgentSettings are an agent's settings.
type AgentSettings struct {
	*BaseSettings
	Engine, Plain string
	Labels        map[string]string
	Agent         agent.Config
}

// BindAgent declares an agent's settings.
func BindAgent(set *settings.Set) *AgentSettings {
	s := &AgentSettings{BaseSettings: bindBase(set), Agent: agent.DefaultConfig(), Labels: map[string]string{}}
	f := set.Flags()
	f.StringVar(&s.Engine, "engine", "", "URL of the model engine beside this agent")
	f.StringVar(&s.Plain, "plain", "", "URL of the plain service beside this agent")
	labels := f.String("labels", "", "labels of the endpoint, name=value, comma-separated (required)")
	status := set.Duration("status-every", 200*time.Millisecond, 10*time.Millisecond, time.Minute, "period of the engine's status reads")
	ticketTTL := set.Duration("ticket-ttl", 10*time.Minute, 2*time.Minute, 24*time.Hour, "time an unused ticket stays valid")
	keepFor := set.Duration("keep-answers", time.Hour, time.Minute, 48*time.Hour, "time that answers of requests that may not be repeated are kept")
	maxKept := set.Int("max-kept-bytes", 96<<20, 1<<20, 1<<31, "bytes of such answers kept, an eighth of the memory at most; beyond it new ones are refused")
	set.Check(func(l *finding.List) {
		if (s.Engine == "") == (s.Plain == "") {
			l.Add("-engine", "and -plain: exactly one must be given")
		}
		s.readLabels(l, *labels)
		s.Agent.StatusEvery = *status
		s.Agent.Ledger.TicketTTL, s.Agent.Ledger.Retention = *ticketTTL, *keepFor
		s.Agent.Ledger.MaxBytes = s.Limits.part(keptPart, int64(*maxKept))
		s.Agent.MaxPlainAnswer = s.Limits.part(answerPart, s.Agent.MaxPlainAnswer)
	})
	return s
}

func (s *AgentSettings) readLabels(l *finding.List, text string) {
	if text == "" {
		l.Add("-labels", "is required: intents select endpoints by labels")
		return
	}
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			l.Add("-labels", "%q is not name=value", pair)
			continue
		}
		s.Labels[name] = value
	}
}

// RunAgent runs an agent until a stop is requested.
func RunAgent(s *AgentSettings, logger *zap.Logger, stop Stop) error {
	return runAgent(s, logger, stop, func(*base) {})
}

// runAgent is RunAgent; it calls built once its parts are built.
func runAgent(s *AgentSettings, logger *zap.Logger, stop Stop, built func(*base)) error {
	endpoint := fleet.Endpoint{ID: s.ID, Kind: fleet.KindPlain, Labels: s.Labels}
	if s.Engine != "" {
		endpoint.Kind = fleet.KindEngine
	}
	p, err := newBase(s.BaseSettings, logger, fleet.RoleAgent, endpoint, nil)
	if err != nil {
		return err
	}
	defer p.close()
	a := buildAgent(s, p)
	wire.RegisterAgentServer(p.server, a)
	built(p)
	p.start(stop)
	p.run(a.RunDuties)
	p.run(func(ctx context.Context) { p.node.Quarantines().RunExpiry(ctx, time.Now) })
	p.zap.Info("agent ready", zap.String("peer_listen", p.listener.Addr().String()), zap.Uint64("revision", p.store.View().Revision))
	<-stop.Graceful
	drainAgent(p, a, stop)
	return nil
}

func buildAgent(s *AgentSettings, p *base) *agent.Agent {
	var a *agent.Agent
	observe := func(asks pushbackheader.Asks, sent time.Time) { a.ObserveAnswer(asks, sent) }
	if s.Engine != "" {
		client := &http.Client{Transport: &pushbackheader.Transport{Next: httpjson.NewTransport(&http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute}), Observe: observe}}
		a = agent.New(s.Agent, p.node, p.store, engine.NewClient(s.Engine, client), nil, contexttransfer.HTTPStore(), p.zap, p.metrics)
	} else {
		a = agent.New(s.Agent, p.node, p.store, nil, plainservice.NewClient(s.Plain, &pushbackheader.Transport{Next: plainservice.NewTransport(), Observe: observe}), nil, p.zap, p.metrics)
	}
	a.HasEnded = hasEnded(s.Engine + s.Plain)
	return a
}

// hasEnded returns a check of whether the endpoint at a URL has ended, nil if the URL has no port.
func hasEnded(endpoint string) func(context.Context) bool {
	u, err := url.Parse(endpoint)
	if err != nil || u.Port() == "" {
		return nil
	}
	var dialer net.Dialer
	return func(ctx context.Context) bool { return upstream.HasEnded(ctx, dialer.DialContext, u.Host) }
}

// drainAgent first announces that the agent leaves, on which entries stop sending new runs to it. The
// runs that it already has can then finish.
func drainAgent(p *base, a *agent.Agent, stop Stop) {
	p.zap.Info("stopping")
	a.Leave()
	p.awaitLeaveSpread()
	left := a.Drain(p.beginDrain(stop))
	p.zap.Info("stopped", zap.Int("cut", left))
}
