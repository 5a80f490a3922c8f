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

// ReadAll reads all versions at which a stream may have begun, before the call, that a caller can still take up. It returns
// ErrIncomplete if the record may lack some, and the store's error.
func ReadAll(ctx context.Context, store objectapi.API) ([]streamorigin.Origin, error) {
	o, err := store.Get(ctx, objectKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, ErrIncomplete
	}
	if err != nil {
		return nil, errors.Annotate(err, "record of software versions")
	}
	var stored record
	if err := json.Unmarshal(o.Value, &stored); err != nil || !stored.isCompleteIn(objectapi.Revision(o.Version).Era()) {
		return nil, ErrIncomplete
	}
	return stored.origins(), nil
}
