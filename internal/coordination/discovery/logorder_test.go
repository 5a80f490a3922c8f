package discovery

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

// TestLinesFollowWhatTheySay guards against a log line that comes before its change is in force: who reads it still sees
// requests by the old state after it.
func TestLinesFollowWhatTheySay(t *testing.T) {
	s := newState()
	isAlive := func() bool {
		m, ok := s.Table.Get("i-1")
		return ok && m.State == fleet.Alive
	}
	holds := map[string]func() bool{
		"configuration in force":    func() bool { return s.Routes() != nil },
		"endpoint listed":           isAlive,
		"endpoint no longer listed": func() bool { return !isAlive() },
	}
	core, _ := observer.New(zap.InfoLevel)
	seen := map[string]bool{}
	s.Log = zap.New(zapcore.RegisterHooks(core, func(line zapcore.Entry) error {
		seen[line.Message] = true
		if check := holds[line.Message]; check != nil && !check() {
			t.Errorf("%q is logged before it holds", line.Message)
		}
		return nil
	}))
	s.SetRoutes(routes.New(1, 1, nil, []routes.Service{{Name: "s"}}, nil, routes.Limits{}))
	s.SetInstance(Instance{ID: "i-1", Revision: 2, Service: "s", Address: "10.0.0.1:1", Domain: "a", Slots: 4})
	s.Remove("i-1", false, time.Now())
	for message := range holds {
		if !seen[message] {
			t.Errorf("%q was not logged", message)
		}
	}
}
