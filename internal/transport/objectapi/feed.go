package objectapi

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// ErrCompacted: the store no longer has the history that a watch asked for, or came back from
// an older copy; list again.
const ErrCompacted = errors.ConstError("history is gone")

// Record is one object of a kind that others write: operators and endpoints.
type Record struct {
	Name string
	// Revision of the object's last change, in the era of the answer; one counter serves all kinds.
	Revision Revision
	Spec     json.RawMessage
}

// Event is one change of a kind.
type Event struct {
	Record
	Removed bool
}

// Feed reads the kinds that others write.
type Feed interface {
	// ListKind returns all objects of a kind and a revision to watch from.
	ListKind(ctx context.Context, kind string) (list []Record, revision Revision, err error)
	// WatchKind waits for changes after a revision, and returns them with the
	// revision to continue from; none when wait ends without one. ErrCompacted means
	// that changes may have been missed.
	WatchKind(ctx context.Context, kind string, since Revision, wait time.Duration) (events []Event, next Revision, err error)
	// Eras returns the store's era as known from all calls.
	Eras() *Eras
}
