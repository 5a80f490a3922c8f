// Package weightstest is the contract that every implementation of the weight
// store port must pass.
package weightstest

import (
	"testing"

	"github.com/juju/errors"

	"limpetwall/internal/transport/weights"
)

// Run runs the contract on a store that holds exactly info.
func Run(t *testing.T, info weights.Info, store weights.Store) {
	got, err := store.Describe(t.Context(), info.Model, info.Version)
	if err != nil || got != info {
		t.Errorf("%+v %v, want %+v", got, err, info)
	}
	for _, other := range [][2]string{{info.Model, "none"}, {"none", info.Version}} {
		if _, err := store.Describe(t.Context(), other[0], other[1]); !errors.Is(err, weights.ErrNotFound) {
			t.Errorf("%v: %v", other, err)
		}
	}
}
