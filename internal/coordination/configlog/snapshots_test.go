package configlog

import (
	"strings"
	"testing"

	"limpetwall/internal/transport/objectapi/standin"
)

// TestOddKeysBesideSnapshots guards against a key among those of snapshots, left by another writer, that ends the process.
func TestOddKeysBesideSnapshots(t *testing.T) {
	api := standin.New()
	odd := []string{snapshotPrefix, snapshotPrefix + "0", snapshotPrefix + "00000000000000000001", snapshotPrefix + "0/" + strings.Repeat("x", 40), snapshotPrefix + "\x00\xff"}
	for _, key := range append(odd, snapshotKey(1, 0), snapshotKey(2, 0), snapshotKey(2, 1), snapshotKey(3, 0)) {
		if _, err := api.Put(t.Context(), key, []byte("v"), 0); err != nil {
			t.Fatal(err)
		}
	}
	New(api).deleteOldSnapshots(t.Context(), 3)
	for key, want := range map[string]bool{snapshotKey(1, 0): false, snapshotKey(2, 0): true, snapshotKey(2, 1): true, snapshotKey(3, 0): true} {
		if _, err := api.Get(t.Context(), key); (err == nil) != want {
			t.Errorf("%s: got kept %v, want %v", key, err == nil, want)
		}
	}
}
