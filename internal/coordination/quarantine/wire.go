package quarantine

import (
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/fingerprint"
)

// ageUnit is that of ages on the wire: verdicts look at whole seconds.
const ageUnit = 100 * time.Millisecond

// errCase tells that a message does not say what a case says.
const errCase = errors.ConstError("not a case of a quarantine")

// RecordsToWire converts cases for their transport. Clocks differ, so that what is left of a quarantine travels.
func RecordsToWire(cases []Record, now time.Time) []*wire.QuarantineCase {
	out := make([]*wire.QuarantineCase, 0, len(cases))
	for i := range cases {
		out = append(out, cases[i].toWire(now))
	}
	return out
}

func (c *Record) toWire(now time.Time) *wire.QuarantineCase {
	w := &wire.QuarantineCase{Fingerprint: c.Key[:], Round: c.Round, Level: c.Level, Lifted: c.Lifted}
	for _, crash := range c.Crashes {
		w.Crashes = append(w.Crashes, crash.Incarnation)
		w.CrashAgesDs = append(w.CrashAgesDs, uint32(max(0, now.Sub(crash.Seen)/ageUnit)))
	}
	if c.Level > 0 {
		w.LeftMs = uint32(max(0, c.Until.Sub(now).Milliseconds()))
	}
	return w
}

// wireBytes is about what a case takes of a message.
func (c *Record) wireBytes() int {
	const fixed, eachCrash = 32, 10
	return fixed + eachCrash*len(c.Crashes)
}

func caseFromWire(w *wire.QuarantineCase, now time.Time) (Record, error) {
	if len(w.GetFingerprint()) != fingerprint.Size {
		return Record{}, errors.Annotatef(errCase, "fingerprint of %d bytes", len(w.GetFingerprint()))
	}
	if len(w.GetCrashes()) > maxCrashes {
		return Record{}, errors.Annotatef(errCase, "%d crashes", len(w.GetCrashes()))
	}
	c := Record{Key: fingerprint.Key(w.GetFingerprint()), Round: w.GetRound(), Level: w.GetLevel(), Lifted: w.GetLifted()}
	ages := w.GetCrashAgesDs()
	for i, incarnation := range w.GetCrashes() {
		crash := Crash{incarnation, now}
		if i < len(ages) {
			crash.Seen = now.Add(-min(evidenceLasts, time.Duration(ages[i])*ageUnit))
		}
		c.addCrash(crash)
	}
	if c.Level > 0 {
		c.Until = now.Add(time.Duration(w.GetLeftMs()) * time.Millisecond)
	}
	return c, nil
}

// MergeWire takes in what a peer told; the error names the first case that can't be read, and does not keep the others out.
func (b *Tracker) MergeWire(cases []*wire.QuarantineCase, now time.Time) error {
	var err error
	for i, w := range cases {
		c, bad := caseFromWire(w, now)
		if bad != nil {
			if err == nil {
				err = errors.Annotatef(bad, "case %d", i)
			}
			continue
		}
		b.Merge(c, now)
	}
	return err
}
