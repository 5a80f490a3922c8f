// Package configlog stores the accepted changes in the platform's object API.
//
// One object, the head, holds the newest changes and names the snapshot that
// holds the older ones. A change is accepted only by a conditional update of the
// head: when two operators write at the same version, one of them is refused.
package configlog

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/state/config"
	"limpetwall/internal/transport/objectapi"
)

const (
	// HeadKey is the object that decides the order of changes.
	HeadKey        = "config.head"
	snapshotPrefix = "config.snapshot."
	// maxHeadChanges bounds the head's size: older changes go into a snapshot.
	maxHeadChanges             = 64
	headChangesAfterCompaction = 32
	// maxObjectSize bounds the head and each part of a snapshot. It leaves room for
	// an object's own framing within objectapi.MaxValue.
	maxObjectSize = 900 << 10
)

// Head is the content of the object HeadKey.
type Head struct {
	Revision uint64 `json:"revision"`
	// SnapshotRevision and SnapshotParts identify the snapshot, which holds all
	// changes before Changes.
	SnapshotRevision uint64          `json:"snapshot_revision"`
	SnapshotParts    int             `json:"snapshot_parts"`
	Changes          []config.Change `json:"changes"`
	// version is the object's version, the condition of the next update.
	version int64
}

// HasSameVersion reports whether two heads were read at the same version of the
// object.
func (h Head) HasSameVersion(o Head) bool { return h.version == o.version }

// Log reads the accepted changes and appends new ones.
type Log struct {
	api objectapi.API
}

// New returns a log stored in api.
func New(api objectapi.API) *Log { return &Log{api: api} }

// Read returns the head; a log without changes has revision 0.
func (l *Log) Read(ctx context.Context) (Head, error) {
	o, err := l.api.Get(ctx, HeadKey)
	return decodeHead(o, err)
}

// Watch waits up to wait for a head newer than after and returns the newest.
func (l *Log) Watch(ctx context.Context, after Head, wait time.Duration) (Head, error) {
	o, err := l.api.Watch(ctx, HeadKey, after.version, wait)
	return decodeHead(o, err)
}

func decodeHead(o objectapi.Object, err error) (Head, error) {
	if errors.Is(err, objectapi.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, errors.Trace(err)
	}
	var h Head
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return Head{}, errors.WithType(err, config.ErrMalformed)
	}
	h.version = o.Version
	return h, nil
}

// CatchUp brings a store up to the head's revision. It reads the snapshot if the
// head no longer has all changes that the store lacks. If the platform came back
// from an older copy and lost changes that the store has, it writes them again.
func (l *Log) CatchUp(ctx context.Context, store *config.Store, head Head) error {
	current := store.View().Revision
	if current > head.Revision && l.api.Eras().Current() > 0 {
		return l.restore(ctx, store.View())
	}
	headSuffices := len(head.Changes) > 0 && head.Changes[0].Revision <= current+1
	if current < head.Revision && !headSuffices {
		v, err := l.readSnapshot(ctx, head)
		if err != nil {
			return errors.Trace(err)
		}
		store.Load(v)
	}
	for _, c := range head.Changes {
		if err := store.Apply(c); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// ErrDiverged: the log has accepted changes at revisions at which this process
// knows others.
const ErrDiverged = errors.ConstError("log and configuration in force have diverged")

// restore writes the configuration in force to a log that is behind it. Nobody else
// has what the platform has lost, and no change could be accepted until the log has
// the revision in force. A conflict means that another process has restored the log
// or appended to it; the next read shows which.
func (l *Log) restore(ctx context.Context, view *config.View) error {
	head, err := l.Read(ctx)
	if err != nil || head.Revision >= view.Revision {
		return err
	}
	for _, c := range head.Changes {
		if view.Plans[c.PlanID] != c.Revision {
			return errors.Annotatef(ErrDiverged, "change %d by plan %s", c.Revision, c.PlanID)
		}
	}
	next := Head{Revision: view.Revision}
	if err := l.compact(ctx, &next, view); err != nil {
		return err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := l.api.Put(ctx, HeadKey, value, head.version); !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	return nil
}

// snapshotKey pads the revision to 20 digits, so that keys sort by revision.
func snapshotKey(revision uint64, part int) string {
	return fmt.Sprintf("%s%020d.%d", snapshotPrefix, revision, part)
}

func (l *Log) readSnapshot(ctx context.Context, head Head) (*config.View, error) {
	var data []byte
	for part := range head.SnapshotParts {
		o, err := l.api.Get(ctx, snapshotKey(head.SnapshotRevision, part))
		if err != nil {
			return nil, errors.Annotatef(err, "snapshot %d part %d", head.SnapshotRevision, part)
		}
		data = append(data, o.Value...)
	}
	return config.DecodeView(data)
}

// Append writes the change that follows head. base is the configuration at the
// head's revision. Errors are objectapi's: ErrConflict if another change was
// accepted first, ErrUnavailable if nothing was written, ErrOutcomeUnknown if the
// write may have taken effect.
func (l *Log) Append(ctx context.Context, head Head, base *config.View, c config.Change) error {
	next := Head{
		Revision:         c.Revision,
		SnapshotRevision: head.SnapshotRevision,
		SnapshotParts:    head.SnapshotParts,
		Changes:          append(append([]config.Change(nil), head.Changes...), c),
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	if len(next.Changes) > maxHeadChanges || len(value) > maxObjectSize {
		if err := l.compact(ctx, &next, base); err != nil {
			// The head has not been written, so the change is not accepted, even
			// if the outcome of the snapshot's write is unknown.
			return errors.Annotatef(objectapi.ErrUnavailable, "snapshot: %v", err)
		}
		if value, err = json.Marshal(next); err != nil {
			return errors.Trace(err)
		}
	}
	if _, err = l.api.Put(ctx, HeadKey, value, head.version); err != nil {
		return err
	}
	if next.SnapshotRevision != head.SnapshotRevision {
		l.deleteOldSnapshots(ctx, next.SnapshotRevision)
	}
	return nil
}

// compact writes a snapshot of base and drops older changes from the head. The
// snapshot is written before the head names it, so readers never look for a
// missing object. The last changes stay for readers that are slightly behind.
func (l *Log) compact(ctx context.Context, next *Head, base *config.View) error {
	data, err := config.EncodeView(base)
	if err != nil {
		return errors.Trace(err)
	}
	parts := 0
	for offset := 0; offset < len(data); offset += maxObjectSize {
		end := min(offset+maxObjectSize, len(data))
		_, err := l.api.Put(ctx, snapshotKey(base.Revision, parts), data[offset:end], 0)
		// A conflict means that a racing writer, or our own write whose answer
		// was lost, stored the same snapshot of the same revision.
		if err != nil && !errors.Is(err, objectapi.ErrConflict) {
			return errors.Trace(err)
		}
		parts++
	}
	next.SnapshotRevision = base.Revision
	next.SnapshotParts = parts
	retained := min(headChangesAfterCompaction, len(next.Changes))
	next.Changes = next.Changes[len(next.Changes)-retained:]
	for encodedSize(next.Changes) > maxObjectSize && len(next.Changes) > 1 {
		next.Changes = next.Changes[1:]
	}
	return nil
}

func encodedSize(changes []config.Change) int {
	data, _ := json.Marshal(changes)
	return len(data)
}

// deleteOldSnapshots deletes the snapshots before the previous one, which stays
// for reads in flight. What it fails to delete is deleted after a later
// compaction.
func (l *Log) deleteOldSnapshots(ctx context.Context, current uint64) {
	objects, err := l.api.List(ctx, snapshotPrefix)
	if err != nil {
		return
	}
	previous := uint64(0)
	for _, o := range objects {
		if revision, ok := snapshotRevision(o.Key); ok && revision < current {
			previous = max(previous, revision)
		}
	}
	for _, o := range objects {
		if revision, ok := snapshotRevision(o.Key); ok && revision < previous {
			l.api.Delete(ctx, o.Key, o.Version)
		}
	}
}

// snapshotRevision returns the revision of a snapshot by the key of one of its parts; false if the key is none.
func snapshotRevision(key string) (revision uint64, ok bool) {
	digits, part, _ := strings.Cut(strings.TrimPrefix(key, snapshotPrefix), ".")
	revision, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, false
	}
	number, err := strconv.Atoi(part)
	return revision, err == nil && key == snapshotKey(revision, number)
}
