package quarantine

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/transport/objectapi"
)

// objectKey names the object that holds all quarantines: a process reads them with one call at its start, and two
// that change them at once detect the conflict by the object's version.
const objectKey = "quarantine"

// maxEntries bounds the stored list, at about 400 bytes an entry, to what an object may hold.
const maxEntries = 1024

// Entry is a quarantine in the platform's store.
type Entry struct {
	Fingerprint fingerprint.Key `json:"fingerprint"`
	Round       uint32          `json:"round"`
	// Level counts consecutive quarantines; 0 means that the quarantine was lifted.
	Level uint32 `json:"level"`
	// EndsMS is the quarantine's end or, if it was lifted, when the entry may be removed. Unix ms.
	EndsMS int64 `json:"ends_ms"`
	// Crashes counts those that the request was blamed for.
	Crashes int `json:"crashes,omitempty"`
	RequestInfo
}

type storedList struct {
	Entries []Entry `json:"entries"`
}

// ReadEntries returns the quarantines in force in a store, for operators.
func ReadEntries(ctx context.Context, store objectapi.API) ([]Entry, error) {
	entries, _, err := loadEntries(ctx, store)
	if err != nil {
		return nil, err
	}
	now, out := time.Now(), []Entry{}
	for _, e := range entries {
		if e.Level > 0 && !e.isExpired(now) {
			out = append(out, e)
		}
	}
	return out, nil
}

// ErrNotQuarantined is returned when the request whose quarantine is to be lifted is in none.
const ErrNotQuarantined = errors.ConstError("no such quarantine")

// LiftEntry ends a quarantine in the store; the processes learn of it when they read the list.
func LiftEntry(ctx context.Context, store objectapi.API, key fingerprint.Key) error {
	for range maxWriteAttempts {
		entries, version, err := loadEntries(ctx, store)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(entries, func(e Entry) bool { return e.Fingerprint == key && e.Level > 0 })
		if i < 0 {
			return ErrNotQuarantined
		}
		entries[i].Round++
		entries[i].Level, entries[i].EndsMS = 0, time.Now().Add(maxQuarantine).UnixMilli()
		if err = saveEntries(ctx, store, entries, version); !errors.Is(err, objectapi.ErrConflict) {
			return err
		}
	}
	return objectapi.ErrConflict
}

// loadEntries returns the entries and the version of the stored list; none and 0 while there is no list.
func loadEntries(ctx context.Context, store objectapi.API) ([]Entry, int64, error) {
	o, err := store.Get(ctx, objectKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	var list storedList
	if err := json.Unmarshal(o.Value, &list); err != nil {
		return nil, o.Version, errors.WithType(err, errMalformedList)
	}
	return list.Entries, o.Version, nil
}

// errMalformedList is returned when the stored bytes aren't what these processes write.
const errMalformedList = errors.ConstError("record of quarantines does not decode")

func saveEntries(ctx context.Context, store objectapi.API, entries []Entry, version int64) error {
	data, err := json.Marshal(storedList{entries})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = store.Put(ctx, objectKey, data, version)
	return errors.Trace(err)
}

// toRecord converts an entry to a record, and its end from wall time to this process's clock.
func (e Entry) toRecord(now, wallTime time.Time) Record {
	r := Record{Key: e.Fingerprint, Round: e.Round, Level: e.Level, About: e.RequestInfo, Lifted: e.Level == 0}
	if e.Level > 0 {
		r.Until = now.Add(time.UnixMilli(e.EndsMS).Sub(wallTime))
	}
	return r
}

// newEntry converts a record to an entry, and its end from this process's clock to wall time.
func newEntry(r Record, now, wallTime time.Time) Entry {
	ends := r.Until
	if r.Level == 0 {
		ends = r.expiresAt()
	}
	return Entry{
		Fingerprint: r.Key, Round: r.Round, Level: r.Level, Crashes: len(r.Crashes), RequestInfo: r.About,
		EndsMS: wallTime.Add(ends.Sub(now)).UnixMilli(),
	}
}

// isNewerThan reports whether a process knows more of a request than an entry says.
func (r *Record) isNewerThan(e Entry) bool {
	return r.Round > e.Round || (r.Round == e.Round && r.Level > e.Level)
}

// isExpired reports whether an entry is no longer needed.
func (e Entry) isExpired(wallTime time.Time) bool {
	end := time.UnixMilli(e.EndsMS)
	if e.Level > 0 {
		end = end.Add(maxQuarantine)
	}
	return wallTime.After(end)
}

// updateEntries brings entries up to date with records. It returns false if there was nothing to add; the removal
// of expired entries alone doesn't count.
func updateEntries(entries []Entry, records []Record, now, wallTime time.Time) ([]Entry, bool) {
	out := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.isExpired(wallTime) })
	changed := false
	for _, r := range records {
		i := slices.IndexFunc(out, func(e Entry) bool { return e.Fingerprint == r.Key })
		switch {
		case i < 0 && len(out) < maxEntries:
			out = append(out, newEntry(r, now, wallTime))
			changed = true
		case i >= 0 && r.isNewerThan(out[i]):
			about := out[i].RequestInfo
			out[i] = newEntry(r, now, wallTime)
			if r.About == (RequestInfo{}) {
				out[i].RequestInfo = about
			}
			changed = true
		case i >= 0 && out[i].RequestInfo == (RequestInfo{}) && r.About != (RequestInfo{}):
			// The entry was written by a process that has not seen the request.
			out[i].RequestInfo, changed = r.About, true
		}
	}
	return out, changed
}
