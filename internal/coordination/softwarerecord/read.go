package softwarerecord

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/transport/objectapi"
)

// ErrIncomplete is returned for a record that may lack versions.
const ErrIncomplete = errors.ConstError("the record of software versions is not complete")

// ReadAll reads where streams that a caller can still take up may have begun, before the call. It returns ErrIncomplete if the
// record may lack versions, and the store's error.
func ReadAll(ctx context.Context, store objectapi.API) (streamorigin.Recorded, error) {
	var none streamorigin.Recorded
	o, err := store.Get(ctx, objectKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return none, ErrIncomplete
	}
	if err != nil {
		return none, errors.Annotate(err, "record of software versions")
	}
	var stored record
	if err := json.Unmarshal(o.Value, &stored); err != nil || !stored.isCompleteIn(objectapi.Revision(o.Version).Era()) {
		return none, ErrIncomplete
	}
	return streamorigin.Recorded{Versions: stored.origins(), StreamTargets: stored.StreamTargets}, nil
}
