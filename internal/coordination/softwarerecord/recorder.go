package softwarerecord

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/transport/objectapi"
)

const (
	// objectKey names the object that holds the record.
	objectKey = "streams.versions"
	// callTimeout bounds one call to the store.
	callTimeout = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 50 * time.Millisecond
	// for the first processes; later ones wait up to retryRankUnit longer each, so that a large fleet does not fill a store in
	// trouble with its calls.
	maxRetryDelay = 400 * time.Millisecond
	retryRankUnit = 10 * time.Millisecond
	// checkInterval is how often a process looks for versions that may be removed.
	checkInterval = 5 * time.Second
	// rankDelay is the time by which each process waits longer than the one before it to write a change that all have
	// seen: it finds the change written, and spares the store a write that would conflict.
	rankDelay = 20 * time.Millisecond
	// firstRanks wait rankDelay longer each, and those after them laterRankDelay: a version that one process only sees must be in the
	// record within a second.
	firstRanks     = 25
	laterRankDelay = time.Millisecond
)

// Recorder keeps the record. Set its fields before Run.
type Recorder struct {
	Store objectapi.API
	// Origins knows the versions that this process has seen, and is told those of the record.
	Origins *streamorigin.Registry
	// IsFirstStart is set if the whole system starts for the first time: if there is no record then, there was no version.
	IsFirstStart bool
	// StreamTargets, if set, returns where the routes lead resumable streams.
	StreamTargets func() StreamTargets
	// Rank is the position of this process among those that it knows.
	Rank    func() int
	Log     *zap.Logger
	Metrics metrics.Registry

	// stored is the record last read or written, version the object's version, 0 if there is none. readIn is the
	// registry's generation when it was last read. listEra is the era in which it was first read in that generation.
	stored  record
	version int64
	readIn  uint64
	listEra uint64
	// mayRemove is set while versions may be removed from the record.
	mayRemove bool
	// wasFirstStart is set while no streams can have begun by other routes: the whole system has just started for the first time.
	wasFirstStart bool
	// firstSince is when this process first knew where the routes lead, readFor the configuration's version when it last read the record.
	firstSince time.Time
	readFor    uint64
	// isRead is set once the store has answered a call for the record.
	isRead bool
	// heldSince holds since when each version is known to be in the record.
	heldSince map[streamorigin.Origin]time.Time
	// returned holds the versions that came back while the record held them, and the object's version that was read then. A
	// removal decided before may still be carried out, until the object has a later version.
	returned map[streamorigin.Origin]int64
}

// StreamTargets is where the routes of a configuration lead resumable streams.
type StreamTargets struct {
	// Fingerprint is 0 before the first configuration.
	Fingerprint uint64
	// ConfigVersion is the configuration's, and Since is when this process first saw the routes lead there without a change since.
	ConfigVersion uint64
	Since         time.Time
}

// record is the stored form.
type record struct {
	Versions []versionEntry `json:"versions"`
	// CompleteIn is the era of the store in which a process that knew all versions wrote the record, nil if none has. In
	// another era, an older copy of the store may have lost versions.
	CompleteIn *uint64 `json:"complete_in,omitempty"`
	// StreamTargets is the fingerprint of where routes have led resumable streams for streamorigin.Retention or longer, 0 after a
	// change: a process that has just started does not know by which routes the streams began that callers still take up.
	// ConfigVersion is the version of the configuration by which it was written.
	StreamTargets uint64 `json:"stream_targets,omitempty"`
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// TargetsDiffer is set if processes lead streams to different services by that configuration.
	TargetsDiffer bool `json:"targets_differ,omitempty"`
}

type versionEntry struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

func (r record) origins() []streamorigin.Origin {
	out := make([]streamorigin.Origin, 0, len(r.Versions))
	for _, v := range r.Versions {
		out = append(out, streamorigin.Origin{Service: v.Service, Version: v.Version})
	}
	return out
}

func (r record) isCompleteIn(era uint64) bool { return r.CompleteIn != nil && *r.CompleteIn == era }

// Run keeps the record until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		changed, returned := r.Origins.VersionsChanged(), r.Store.Eras().Changed()
		wait := checkInterval
		if err := r.step(ctx); err != nil {
			wait = retryDelay
			retryDelay = min(2*retryDelay, max(maxRetryDelay, time.Duration(r.Rank())*retryRankUnit))
		} else {
			retryDelay = minRetryDelay
		}
		if r.wasFirstStart {
			// The record lacks the routes until the first configuration is known.
			wait = min(wait, maxRetryDelay)
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-returned:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// step reads the record if this process does not know all versions, and writes it if it is not what it should be.
func (r *Recorder) step(ctx context.Context) error {
	generation := r.Origins.Generation()
	if generation == 0 {
		return nil
	}
	if r.needsRead(generation) {
		if err := r.read(ctx, generation); err != nil {
			return err
		}
	}
	if r.mayRemove = false; !r.needsWrite(time.Now()) {
		if r.mayRemove = true; !r.needsWrite(time.Now()) {
			return nil
		}
	}
	if r.version != 0 {
		timer := time.NewTimer(delayOf(r.Rank()))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		// A version that came back was in the record all the time, so that the record does not show it: it is removed only right
		// after an answer that shows what came back, and only from the record as it was before that answer.
		version := r.version
		if r.mayRemove && !r.waitUntilFollowed(ctx) {
			return nil
		}
		if r.Rank() > 0 {
			if err := r.read(ctx, generation); err != nil || !r.needsWrite(time.Now()) {
				return err
			}
		}
		if r.mayRemove && r.version != version {
			return nil
		}
	}
	if !r.needsWrite(time.Now()) {
		return nil
	}
	return r.write(ctx)
}

// waitUntilFollowed waits until the process has seen all changes of endpoints, and reports whether it has.
func (r *Recorder) waitUntilFollowed(ctx context.Context) bool {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-r.Origins.Followed():
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// delayOf returns how long the process of a rank waits before it writes.
func delayOf(rank int) time.Duration {
	first := min(rank, firstRanks)
	return time.Duration(first)*rankDelay + time.Duration(rank-first)*laterRankDelay
}

// read reads the record, and merges it into what this process knows.
func (r *Recorder) read(ctx context.Context, generation uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	readFor := r.configVersion()
	o, err := r.Store.Get(ctx, objectKey)
	var stored record
	isComplete, era := false, objectapi.Revision(o.Version).Era()
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		isComplete, era = r.IsFirstStart, r.Store.Eras().Current()
		r.wasFirstStart = r.IsFirstStart
	case err != nil:
		return errors.Annotate(err, "record of software versions")
	default:
		if err := json.Unmarshal(o.Value, &stored); err != nil {
			// What another writer left there says nothing, and is replaced.
			r.Log.Error("record of software versions can't be read", zap.Error(err))
			stored = record{}
		}
		isComplete = stored.isCompleteIn(era)
		r.wasFirstStart = (r.wasFirstStart || r.IsFirstStart) && stored.ConfigVersion == 0
	}
	now := time.Now()
	isNews := generation != r.readIn || o.Version != r.version
	if generation != r.readIn {
		if r.readIn == 0 || era != r.listEra {
			r.Origins.ForgetEarlierVersions()
		}
		r.listEra = era
	}
	r.noteReturned(stored, o.Version)
	r.Origins.MergeVersions(r.added(stored), now)
	r.Origins.ConfirmVersions(stored.origins(), generation, isComplete, now)
	r.setStored(stored, o.Version, isComplete, now)
	r.readIn, r.readFor, r.isRead, r.IsFirstStart = generation, readFor, true, false
	if isNews {
		r.Log.Info("record of software versions read", zap.Any("versions", stored.Versions), zap.Bool("complete", isComplete),
			zap.Bool("found", err == nil), zap.Bool("all_versions_known", r.Origins.KnowsAllVersions(now)))
	}
	return nil
}

// noteReturned notes the versions that came back since the record was last read.
func (r *Recorder) noteReturned(stored record, version int64) {
	for _, o := range stored.origins() {
		if !r.isForgotten(o) {
			continue
		}
		if r.returned == nil {
			r.returned = map[streamorigin.Origin]int64{}
		}
		if _, ok := r.returned[o]; !ok {
			r.returned[o] = version
		}
	}
}

// isForgotten reports whether a version was in the record when it was last read, and was not listed for a while since.
func (r *Recorder) isForgotten(o streamorigin.Origin) bool {
	return !r.heldSince[o].IsZero() && !r.Origins.IsRecorded(o)
}

// added returns the versions of a record that the one known so far lacks.
func (r *Recorder) added(stored record) []streamorigin.VersionAge {
	var out []streamorigin.VersionAge
	for _, o := range stored.origins() {
		if r.heldSince[o].IsZero() {
			out = append(out, streamorigin.VersionAge{Origin: o})
		}
	}
	return out
}

// setStored records what the stored record holds, and whether it is taken for whole.
func (r *Recorder) setStored(stored record, version int64, isComplete bool, now time.Time) {
	held := make(map[streamorigin.Origin]time.Time, len(stored.Versions))
	for _, o := range stored.origins() {
		if held[o] = now; !r.heldSince[o].IsZero() {
			held[o] = r.heldSince[o]
		}
	}
	r.stored, r.version, r.heldSince = stored, version, held
	for o, readAt := range r.returned {
		if held[o].IsZero() || version > readAt {
			delete(r.returned, o)
		}
	}
	r.Origins.SetSettledTargets(stored.StreamTargets)
	recorded := slices.DeleteFunc(stored.origins(), func(o streamorigin.Origin) bool { return r.returned[o] != 0 })
	if !isComplete {
		// An older copy that lacks a version misleads nobody while it is not whole, and streams still begin at the version.
		for _, v := range r.Origins.Versions(now) {
			if r.Origins.IsRecorded(v.Origin) && !slices.Contains(recorded, v.Origin) {
				recorded = append(recorded, v.Origin)
			}
		}
	}
	r.Origins.SetRecorded(recorded)
}

// needsRead reports whether the record must be read for what it holds.
func (r *Recorder) needsRead(generation uint64) bool {
	return !r.isRead || r.readIn != generation || r.configVersion() != r.readFor || slices.ContainsFunc(r.Origins.Versions(time.Now()), func(v streamorigin.VersionAge) bool {
		return r.isForgotten(v.Origin) && r.returned[v.Origin] == 0
	})
}

// target returns what the record should hold.
func (r *Recorder) target(now time.Time) record {
	era := r.Store.Eras().Current()
	// What this process has seen before its newest list says nothing of what others have seen, if the store has lost that.
	known, knowsAll := r.Origins.Versions(now), r.Origins.KnowsAllVersions(now) && era == r.listEra
	var versions []streamorigin.Origin
	for _, v := range known {
		versions = append(versions, v.Origin)
	}
	for _, o := range r.stored.origins() {
		// Another process may have added a version that this one has yet to see.
		canRemove := r.mayRemove && knowsAll && now.Sub(r.heldSince[o]) > streamorigin.Retention
		if !canRemove && !slices.Contains(versions, o) {
			versions = append(versions, o)
		}
	}
	slices.SortFunc(versions, func(a, b streamorigin.Origin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	out := record{CompleteIn: r.stored.CompleteIn}
	for _, o := range versions {
		out.Versions = append(out.Versions, versionEntry{o.Service, o.Version})
	}
	if knowsAll {
		out.CompleteIn = &era
	}
	r.setTargets(&out, era, now)
	return out
}

func (r *Recorder) configVersion() uint64 {
	if r.StreamTargets == nil {
		return 0
	}
	return r.StreamTargets().ConfigVersion
}

// setTargets sets what a record should hold of the routes.
func (r *Recorder) setTargets(out *record, era uint64, now time.Time) {
	out.StreamTargets, out.ConfigVersion, out.TargetsDiffer = r.stored.StreamTargets, r.stored.ConfigVersion, r.stored.TargetsDiffer
	if r.StreamTargets == nil {
		return
	}
	t := r.StreamTargets()
	if t.Fingerprint == 0 || t.ConfigVersion < out.ConfigVersion && r.stored.isCompleteIn(era) {
		return
	}
	if r.firstSince.IsZero() {
		r.firstSince = t.Since
	}
	isSameConfig := t.ConfigVersion == out.ConfigVersion
	hasChanged, isSettled := t.Since.After(r.firstSince), now.Sub(t.Since) > streamorigin.Retention
	switch {
	case isSameConfig && out.TargetsDiffer:
	case t.Fingerprint == out.StreamTargets && hasChanged && !isSettled:
		// They were changed and changed back.
		out.StreamTargets, out.ConfigVersion, out.TargetsDiffer = 0, t.ConfigVersion, false
	case t.Fingerprint == out.StreamTargets:
	case isSameConfig && out.StreamTargets != 0:
		// Entries that can't be read are kept as each process read them before.
		out.StreamTargets, out.TargetsDiffer = 0, true
	case r.wasFirstStart || isSettled:
		out.StreamTargets, out.ConfigVersion, out.TargetsDiffer = t.Fingerprint, t.ConfigVersion, false
	case out.StreamTargets != 0 || out.ConfigVersion == 0:
		out.StreamTargets, out.ConfigVersion, out.TargetsDiffer = 0, t.ConfigVersion, false
	}
}

func (r *Recorder) needsWrite(now time.Time) bool {
	target := r.target(now)
	isSameEra := (target.CompleteIn == nil) == (r.stored.CompleteIn == nil) && (target.CompleteIn == nil || *target.CompleteIn == *r.stored.CompleteIn)
	return r.version == 0 || len(r.returned) > 0 || !isSameEra || target.StreamTargets != r.stored.StreamTargets || target.ConfigVersion != r.stored.ConfigVersion || target.TargetsDiffer != r.stored.TargetsDiffer || !slices.Equal(target.Versions, r.stored.Versions)
}

// write writes the record, unless another process has changed it meanwhile.
func (r *Recorder) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := r.target(time.Now())
	value, err := json.Marshal(target)
	if err != nil {
		return errors.Trace(err)
	}
	o, err := r.Store.Put(ctx, objectKey, value, r.version)
	if err != nil {
		r.isRead = false
		return errors.Annotate(err, "record of software versions")
	}
	r.wasFirstStart = r.wasFirstStart && target.ConfigVersion == 0
	r.setStored(target, o.Version, target.isCompleteIn(objectapi.Revision(o.Version).Era()), time.Now())
	metrics.GetOrRegisterCounter("gateway.streams.version_records_written", r.Metrics).Inc(1)
	r.Log.Info("record of software versions written", zap.Any("versions", target.Versions), zap.Bool("complete", target.CompleteIn != nil))
	return nil
}
