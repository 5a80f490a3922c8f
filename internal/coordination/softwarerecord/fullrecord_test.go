package softwarerecord

import (
	"testing"
	"testing/synctest"
	"time"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/transport/objectapi/standin"
)

// TestFullRecordIsNotWhole guards against a record that has no space for another version and is taken for all: streams begin unrecorded.
func TestFullRecordIsNotWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		registry, stop := observed(store, true, 0, "v1")
		defer stop()
		time.Sleep(time.Second)
		for i := range 1_100 {
			registry.ObserveVersions([]streamorigin.Origin{{Service: "other", Version: time.Duration(i).String()}}, time.Now())
		}
		see(registry, "v2")
		time.Sleep(time.Second)
		if _, _, isLimited := registry.RecordedVersions(service, time.Now()); isLimited {
			t.Fatal("streams begin at recorded versions only, want the case without")
		}
		if got, err := ReadAll(t.Context(), store); err == nil {
			t.Errorf("got a whole record of %d versions while streams begin at any, want %v", len(got.Versions), ErrIncomplete)
		}
	})
}
