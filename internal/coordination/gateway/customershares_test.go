package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/routes"
)

// TestCustomerShares checks that each window shows who got most of the answers and who was refused, and that an old window is
// not shown for the present.
func TestCustomerShares(t *testing.T) {
	var s customerShares
	now := time.Unix(1_000_000, 0)
	for i := range 100 {
		s.observe([]string{"large", "large", "large", "small"}[i%4], true, now)
	}
	s.observe("small", false, now)
	if got := s.percent(0, now); got != 0 {
		t.Errorf("got %d%% before the window ended, want 0", got)
	}
	now = now.Add(shareWindow)
	ended, hasEnded := s.observe("small", true, now)
	if !hasEnded || ended.overloaded != 1 || ended.largest[0] != (customerCount{"large", 75, 0}) || ended.largest[1] != (customerCount{"small", 25, 1}) {
		t.Errorf("got %+v, want 75 answers for large, 25 and one refusal for small", ended)
	}
	if first, second, third := s.percent(0, now), s.percent(1, now), s.percent(2, now); first != 75 || second != 25 || third != 0 {
		t.Errorf("got %d%%, %d%%, %d%%; want 75, 25, 0", first, second, third)
	}
	if got := s.percent(0, now.Add(3*shareWindow)); got != 0 {
		t.Errorf("got %d%% long after the last request, want 0", got)
	}
}

// TestCustomerSharesAreBounded guards against state that grows with the customers, and against a clock that is set back and
// would end no window any more.
func TestCustomerSharesAreBounded(t *testing.T) {
	var s customerShares
	now := time.Unix(1_000_000, 0)
	for i := range 3 * maxShareCustomers {
		s.observe(fmt.Sprint("c", i), true, now)
	}
	if len(s.counts) > maxShareCustomers || s.answered != 3*maxShareCustomers {
		t.Errorf("got %d customers with %d answers, want at most %d with all answers", len(s.counts), s.answered, maxShareCustomers)
	}
	if _, hasEnded := s.observe("c0", true, now.Add(-time.Hour)); !hasEnded || len(s.last.largest) != ListedCustomerShares {
		t.Errorf("got %d customers listed after the clock was set back, want %d", len(s.last.largest), ListedCustomerShares)
	}
}

// TestOverloadNamesLargestCustomers guards against an overload after which operators can't see who was served, and against a
// log line for each window without one.
func TestOverloadNamesLargestCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		g := &Gateway{Log: zap.New(core), Metrics: metrics.NewRegistry()}
		for _, isAnswered := range []bool{true, false, true} {
			g.observeShare("small", isAnswered)
			time.Sleep(shareWindow)
		}
		g.observeShare("small", true)
		if got := logs.FilterMessage("shares of customers under overload").Len(); got != 1 {
			t.Errorf("got %d log lines for three windows with one refusal, want 1", got)
		}
	})
}

// TestRefusalsAreCountedByUrgency checks the counters of refusals, also of a request that was refused before it had a service.
func TestRefusalsAreCountedByUrgency(t *testing.T) {
	g := &Gateway{Metrics: metrics.NewRegistry()}
	for _, urgency := range []int{0, 2, 2} {
		x := &exchange{g: g, service: &routes.Service{}, urgency: routes.Urgency{Level: urgency}}
		x.countRefusal(apierror.CodeOverloaded)
	}
	(&exchange{g: g}).countRefusal(apierror.CodeOverloaded)
	for name, want := range map[string]int64{"urgency_0": 1, "urgency_1": 0, "urgency_2": 2} {
		if got := metrics.GetOrRegisterCounter("gateway.refusals.overloaded."+name, g.Metrics).Snapshot().Count(); got != want {
			t.Errorf("%s: got %d, want %d", name, got, want)
		}
	}
}
