package quarantine

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/fingerprint"
)

// ageUnit is the unit of ages on the wire: verdicts need no finer resolution than seconds.
const ageUnit = 100 * time.Millisecond

// errMalformedRecord is returned for a received record that no process would send.
const errMalformedRecord = errors.ConstError("malformed quarantine record")

// RecordsToWire converts records to messages. Clocks differ, so a quarantine is sent with the time left, and a
// crash with its age.
func RecordsToWire(records []Record, now time.Time) []*wire.QuarantineCase {
	out := make([]*wire.QuarantineCase, 0, len(records))
	for i := range records {
		out = append(out, records[i].toWire(now))
	}
	return out
}

func (r *Record) toWire(now time.Time) *wire.QuarantineCase {
	w := &wire.QuarantineCase{Fingerprint: r.Key[:], Round: r.Round, Level: r.Level, Lifted: r.Lifted}
	for _, crash := range r.sentCrashes() {
		w.Crashes = append(w.Crashes, crash.Incarnation)
		w.CrashAgesDs = append(w.CrashAgesDs, uint32(max(0, now.Sub(crash.Seen)/ageUnit)))
	}
	if !r.RanWellAt.IsZero() {
		w.RanWellAgeDs = uint32(max(0, now.Sub(r.RanWellAt)/ageUnit)) + 1
	}
	w.Requests = r.Requests
	if r.Level > 0 {
		w.LeftMs = uint32(max(0, r.Until.Sub(now).Milliseconds()))
	}
	return w
}

// sentCrashes returns the crashes to send: of a part in quarantine only the newest, after which answers with it have to
// run well to refute it.
func (r *Record) sentCrashes() []Crash {
	if !r.Key.IsPart() || r.Level == 0 || len(r.Crashes) == 0 {
		return r.Crashes
	}
	return []Crash{slices.MaxFunc(r.Crashes, func(a, b Crash) int { return a.Seen.Compare(b.Seen) })}
}

// wireSize returns about how many bytes the record takes in a message.
func (r *Record) wireSize() int {
	const fixed, perCrash, perRequest = 32, 10, 4
	return fixed + perCrash*len(r.sentCrashes()) + perRequest*len(r.Requests)
}

func recordFromWire(w *wire.QuarantineCase, now time.Time) (Record, error) {
	if len(w.GetFingerprint()) != fingerprint.Size {
		return Record{}, errors.Annotatef(errMalformedRecord, "fingerprint of %d bytes", len(w.GetFingerprint()))
	}
	if len(w.GetCrashes()) > maxPartCrashes {
		return Record{}, errors.Annotatef(errMalformedRecord, "%d crashes", len(w.GetCrashes()))
	}
	r := Record{Key: fingerprint.Key(w.GetFingerprint()), Round: w.GetRound(), Level: w.GetLevel(), Lifted: w.GetLifted()}
	ages := w.GetCrashAgesDs()
	for i, incarnation := range w.GetCrashes() {
		crash := Crash{incarnation, now}
		if i < len(ages) {
			crash.Seen = now.Add(-min(evidenceLifetime, time.Duration(ages[i])*ageUnit))
		}
		r.addCrash(crash)
	}
	if age := w.GetRanWellAgeDs(); age > 0 && r.Key.IsPart() {
		r.RanWellAt = now.Add(-min(evidenceLifetime, time.Duration(age)*ageUnit))
	}
	if r.Key.IsPart() {
		r.Requests = w.GetRequests()[:min(len(w.GetRequests()), minPartRequests)]
	}
	if r.Level > 0 {
		r.Until = now.Add(time.Duration(w.GetLeftMs()) * time.Millisecond)
	}
	return r, nil
}

// MergeWire merges what a peer sent. The error names the first record that can't be decoded; the others are merged
// all the same.
func (t *Tracker) MergeWire(records []*wire.QuarantineCase, now time.Time) error {
	var err error
	for i, w := range records {
		r, bad := recordFromWire(w, now)
		if bad != nil {
			if err == nil {
				err = errors.Annotatef(bad, "record %d", i)
			}
			continue
		}
		t.Merge(r, now)
	}
	return err
}
