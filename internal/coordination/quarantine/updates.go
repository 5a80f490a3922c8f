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
	// updateSends is how often this process passes a change on: with a few receivers each time, all of several
	// hundred processes have it though a third of the messages is lost.
	updateSends = 8
	// suspectUpdateLifetime is how long evidence is news: in a crowd of suspects what has not been told by then would keep
	// processes talking for half an hour, and helps nobody any more.
	suspectUpdateLifetime = 5 * time.Second
)

// enqueueUpdate has a change passed on; b.mu is held.
func (t *Tracker) enqueueUpdate(key fingerprint.Key) {
	t.sendsLeft[key] = updateSends
	if t.records[key].isUrgent() {
		t.signalUrgent()
	}
}

// isUrgent tells whether a change is told at once. One crash is held against all that ran there: told at once, they would
// use up what a process may send when the next crash shows whose doing it is.
func (r *Record) isUrgent() bool { return r.isDurable() || len(r.Crashes) > 1 }

// signalUrgent has News receive.
func (t *Tracker) signalUrgent() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

// compareUrgency orders cases of one sort by which others are to hear of first. Of quarantines it is the one that began
// last, whenever this process heard of it: while there are more than can be told, a new one would else wait behind
// hundreds that most processes know.
func compareUrgency(a, b *Record) int {
	return cmp.Or(b.startedAt().Compare(a.startedAt()), cmp.Compare(len(b.Crashes), len(a.Crashes)), b.changed.Compare(a.changed))
}

// PopUpdates returns changes that are to be passed on in a message of about so many bytes, at least one if there
// are any; those that must be known first come first.
func (t *Tracker) PopUpdates(bytes int, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, _ := t.dequeueUpdates(bytes, now, func(*Record, int) bool { return true })
	return out
}

// PopUrgentUpdates returns the urgent ones of them that have not been passed on once, if any.
func (t *Tracker) PopUrgentUpdates(bytes int, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, more := t.dequeueUpdates(bytes, now, func(r *Record, sends int) bool {
		return sends == updateSends && r.isUrgent()
	})
	if more {
		t.signalUrgent()
	}
	return out
}

// dequeueUpdates returns those that are left to be sent as often as wanted, and whether there are more; b.mu is held.
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

// pendingByUrgency returns quarantines and suspects in turn: those of either could else keep a message full while a
// process that alone knows of one of the others ends. b.mu is held.
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
	slices.SortFunc(quarantines, compareUrgency)
	slices.SortFunc(suspects, compareUrgency)
	pairs := min(len(quarantines), len(suspects))
	var out []*Record
	for i := range pairs {
		out = append(out, quarantines[i], suspects[i])
	}
	return slices.Concat(out, quarantines[pairs:], suspects[pairs:])
}

// DurableRecords returns the quarantines, and those lifted of late, by key.
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

// Sample returns at most so many of the cases, in any order: what one message leaves out, others bring.
func Sample(records []Record, n int) []Record {
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	return records[:min(len(records), n)]
}

// Digests are the same, part by part, for two books with the same quarantines. A part holds the fingerprints that
// begin alike: two books that differ little find where.
type Digests [16]uint32

// BucketOf is the part of a digest that a fingerprint belongs to.
func BucketOf(key fingerprint.Key) int { return int(key[0] >> 4) }

// Digests returns the book's.
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

// Digest is the same for two books with the same quarantines.
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
