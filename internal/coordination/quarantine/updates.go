package quarantine

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetwall/internal/state/fingerprint"
)

const (
	// updateSends is how often this process sends a change. With a few receivers each time, all of several hundred
	// processes get it even if a third of the messages is lost.
	updateSends = 8
	// suspectUpdateLifetime is how long evidence against suspects is sent. With many suspects, processes would
	// otherwise go on sending it for half an hour, and what has not been sent by then no longer helps.
	suspectUpdateLifetime = 5 * time.Second
)

// enqueueUpdate has a change sent to other processes; t.mu is held.
func (t *Tracker) enqueueUpdate(key fingerprint.Key) {
	t.sendsLeft[key] = updateSends
	if t.isUrgent(t.records[key]) {
		t.signalUrgent()
	}
}

// isUrgent reports whether a change is sent at once. A single crash counts against all requests that were in
// flight there: sending these at once would use up the rate limit before the next crash shows which request is the
// cause. A part that never ran well is rare there, and the process may end before its next crash.
func (t *Tracker) isUrgent(r *Record) bool {
	isUnknownPart := r.Key.IsPart() && len(r.Crashes) > 0 && !t.soundParts.has(r.Key)
	return r.isDurable() || len(r.Crashes) > 1 || r.peak > 1 || isUnknownPart
}

// signalUrgent makes the channel of UrgentPending receive a value.
func (t *Tracker) signalUrgent() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

// compareUrgency orders records of the same kind, quarantines or suspects, by which others must learn of first.
// For quarantines it is the one that began last, whenever this process learned of it: while there are more than
// can be sent, a new one would otherwise wait behind hundreds that most processes know.
//
// Of suspects these are the parts that never ran well: a part that sound requests share is at the most crashes.
func (t *Tracker) compareUrgency(a, b *Record) int {
	return cmp.Or(b.startedAt().Compare(a.startedAt()), cmp.Compare(t.urgencyClass(a), t.urgencyClass(b)), cmp.Compare(max(b.peak, len(b.Crashes)), max(a.peak, len(a.Crashes))), b.changed.Compare(a.changed))
}

// urgencyClass ranks suspects, the most urgent with 0.
func (t *Tracker) urgencyClass(r *Record) int {
	switch {
	case r.isDurable():
		return 0
	case r.Key.IsPart() && (!t.soundParts.has(r.Key) || r.isNearlyCleared()):
		return 0
	case !r.Key.IsPart() && len(r.Crashes) > 1:
		return 0
	case r.Key.IsPart() && r.peak >= minPartCrashes && r.suspectSince.Before(r.changed.Add(-minTurnTime)):
		return 1
	}
	return 2
}

// isNearlyCleared reports whether answers that ran well have cleared a part of most of so many crashes that others may
// blame it.
func (r *Record) isNearlyCleared() bool {
	return r.peak >= minPartCrashes-1 && len(r.Crashes) <= 1
}

// PopUpdates returns changed records for a message of about the given number of bytes, the most urgent first: at
// least one if there are any. Each counts as sent once.
func (t *Tracker) PopUpdates(bytes int, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, _ := t.dequeueUpdates(bytes, now, func(*Record, int) bool { return true })
	return out
}

// PopUrgentUpdates is PopUpdates for the urgent changes that have not been sent yet. If not all fit, UrgentPending
// receives again.
func (t *Tracker) PopUrgentUpdates(bytes int, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, more := t.dequeueUpdates(bytes, now, func(r *Record, sends int) bool {
		return sends == updateSends && t.isUrgent(r)
	})
	if more {
		t.signalUrgent()
	}
	return out
}

// dequeueUpdates returns the wanted changes that fit into the given number of bytes, and whether there are more;
// t.mu is held.
func (t *Tracker) dequeueUpdates(bytes int, now time.Time, wanted func(r *Record, sends int) bool) (out []Record, more bool) {
	for _, r := range t.pendingByUrgency(now, wanted) {
		if bytes -= r.wireSize(); bytes < 0 && len(out) > 0 {
			return out, true
		}
		if t.sendsLeft[r.Key]--; t.sendsLeft[r.Key] <= 0 {
			delete(t.sendsLeft, r.Key)
		}
		out = append(out, r.clone())
	}
	return out, false
}

// pendingByUrgency returns quarantines and suspects in turn: either kind could otherwise keep messages full until
// a process ends that alone knows one of the other kind. It drops wanted suspects that have not changed for
// suspectUpdateLifetime. t.mu is held.
func (t *Tracker) pendingByUrgency(now time.Time, wanted func(r *Record, sends int) bool) []*Record {
	var quarantines, suspects []*Record
	for key, sends := range t.sendsLeft {
		switch r := t.records[key]; {
		case !wanted(r, sends):
		case r.isDurable():
			quarantines = append(quarantines, r)
		case now.Sub(r.changed) > suspectUpdateLifetime:
			delete(t.sendsLeft, key)
		default:
			suspects = append(suspects, r)
		}
	}
	slices.SortFunc(quarantines, t.compareUrgency)
	slices.SortFunc(suspects, t.compareUrgency)
	pairs := min(len(quarantines), len(suspects))
	var out []*Record
	for i := range pairs {
		out = append(out, quarantines[i], suspects[i])
	}
	return slices.Concat(out, quarantines[pairs:], suspects[pairs:])
}

// DurableRecords returns the quarantined and the recently lifted records, ordered by key.
func (t *Tracker) DurableRecords() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, r := range t.records {
		if r.isDurable() {
			out = append(out, r.clone())
		}
	}
	slices.SortFunc(out, func(x, y Record) int { return slices.Compare(x.Key[:], y.Key[:]) })
	return out
}

// Sample shuffles the records and returns at most n of them: what one message leaves out, others bring.
func Sample(records []Record, n int) []Record {
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	return records[:min(len(records), n)]
}

// Digests are equal for two trackers with the same quarantines. Each digest covers one bucket of fingerprints,
// those with the same first four bits, so that trackers that differ little find out where.
type Digests [16]uint32

// BucketOf returns the index in Digests of the bucket that a fingerprint belongs to.
func BucketOf(key fingerprint.Key) int { return int(key[0] >> 4) }

// Digests returns the tracker's digests.
func (t *Tracker) Digests() Digests {
	var out Digests
	if t.IsEmpty() {
		return out
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.isDurable() {
			data := binary.BigEndian.AppendUint32(r.Key[:], r.Round)
			out[BucketOf(r.Key)] ^= uint32(xxhash.Sum64(binary.BigEndian.AppendUint32(data, r.Level)))
		}
	}
	return out
}

// Digest is equal for two trackers with the same quarantines; it is 0 without any.
func (t *Tracker) Digest() uint64 {
	var data []byte
	digests := t.Digests()
	if digests == (Digests{}) {
		return 0
	}
	for _, digest := range digests {
		data = binary.BigEndian.AppendUint32(data, digest)
	}
	return xxhash.Sum64(data)
}
