package streamorigin_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"limpetwall/internal/coordination/streamorigin"
)

// TestRecordedVersionsAgeWithoutTheStore guards against streams that begin at a version which other processes have removed from
// the record, at a process that has not followed the store since.
func TestRecordedVersionsAgeWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := streamorigin.NewRegistry()
		r.RecordFollowed()
		r.SetRecorded([]streamorigin.Origin{{Service: "s", Version: "v1"}})
		time.Sleep(2 * streamorigin.Retention)
		if versions, _, _ := r.RecordedVersions("s", time.Now()); slices.Contains(versions, "v1") {
			t.Errorf("got %v as recorded %v after the store last answered, want none", versions, 2*streamorigin.Retention)
		}
	})
}
