package engine_test

import (
	"net/http/httptest"
	"testing"

	"limpetwall/internal/transport/engine"
	"limpetwall/internal/transport/engine/enginetest"
	"limpetwall/internal/transport/engine/standin"
)

func config(ignoreFence bool) standin.Config {
	return standin.Config{Model: "toy", WeightVersion: "v1", Slots: 4, MaxQueue: 4, CacheBlocks: 8, IgnoreFence: ignoreFence}
}

func TestStandinContract(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		enginetest.Run(t, enginetest.Options{Model: "toy", WeightVersion: "v1", ChecksFence: !ignore}, func(*testing.T) engine.Engine {
			return standin.New(config(ignore))
		})
	}
}

func TestClientContract(t *testing.T) {
	enginetest.Run(t, enginetest.Options{Model: "toy", WeightVersion: "v1", ChecksFence: true}, func(t *testing.T) engine.Engine {
		server := httptest.NewServer(standin.New(config(false)).Handler())
		t.Cleanup(server.Close)
		return engine.NewClient(server.URL, server.Client())
	})
}

func FuzzDecodeEvent(f *testing.F) {
	f.Add([]byte(`{"started":{"weight_version":"v1"}}`))
	f.Add([]byte(`{"tokens":["a"]}`))
	f.Add([]byte(`{"finish":"stop"}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		e, err := engine.DecodeEvent(line)
		if err == nil && e.Started == nil && e.Tokens == nil && e.Finish == "" {
			t.Errorf("an event without a field was accepted: %q", line)
		}
	})
}
