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
	// rumourSends is how often this process passes a change on: with a few receivers each time, all of several
	// hundred processes have it though a third of the messages is lost.
	rumourSends = 8
	// rumourLasts is how long evidence is news: in a crowd of suspects what has not been told by then would keep
	// processes talking for half an hour, and helps nobody any more.
	rumourLasts = 5 * time.Second
)

// spread has a change passed on; b.mu is held.
func (b *Tracker) spread(key fingerprint.Key) {
	b.rumours[key] = rumourSends
	if b.cases[key].isUrgent() {
		b.announce()
	}
}

// isUrgent tells whether a change is told at once. One crash is held against all that ran there: told at once, they would
// use up what a process may send when the next crash shows whose doing it is.
func (c *Record) isUrgent() bool { return c.isDurable() || len(c.Crashes) > 1 }

// announce has News receive.
func (b *Tracker) announce() {
	select {
	case b.news <- struct{}{}:
	default:
	}
}

// compareUrgency orders cases of one sort by which others are to hear of first. Of quarantines it is the one that began
// last, whenever this process heard of it: while there are more than can be told, a new one would else wait behind
// hundreds that most processes know.
func compareUrgency(a, b *Record) int {
	return cmp.Or(b.began().Compare(a.began()), cmp.Compare(len(b.Crashes), len(a.Crashes)), b.changed.Compare(a.changed))
}

// PopUpdates returns changes that are to be passed on in a message of about so many bytes, at least one if there
// are any; those that must be known first come first.
func (b *Tracker) PopUpdates(bytes int, now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out, _ := b.takeRumours(bytes, now, func(*Record, int) bool { return true })
	return out
}

// PopUrgentUpdates returns the urgent ones of them that have not been passed on once, if any.
func (b *Tracker) PopUrgentUpdates(bytes int, now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out, left := b.takeRumours(bytes, now, func(c *Record, sends int) bool {
		return sends == rumourSends && c.isUrgent()
	})
	if left {
		b.announce()
	}
	return out
}

// takeRumours returns those that are left to be sent as often as wanted, and whether there are more; b.mu is held.
func (b *Tracker) takeRumours(bytes int, now time.Time, wanted func(c *Record, sends int) bool) (out []Record, left bool) {
	for _, c := range b.rumoursByUrgency(now, wanted) {
		if bytes -= c.wireBytes(); bytes < 0 && len(out) > 0 {
			return out, true
		}
		if b.rumours[c.Key]--; b.rumours[c.Key] <= 0 {
			delete(b.rumours, c.Key)
		}
		out = append(out, c.copy())
	}
	return out, false
}

// rumoursByUrgency returns quarantines and suspects in turn: those of either could else keep a message full while a
// process that alone knows of one of the others ends. b.mu is held.
func (b *Tracker) rumoursByUrgency(now time.Time, wanted func(c *Record, sends int) bool) []*Record {
	var quarantines, suspects []*Record
	for key, sends := range b.rumours {
		switch c := b.cases[key]; {
		case !wanted(c, sends):
		case c.isDurable():
			quarantines = append(quarantines, c)
		case now.Sub(c.changed) > rumourLasts:
			delete(b.rumours, key)
		default:
			suspects = append(suspects, c)
		}
	}
	slices.SortFunc(quarantines, compareUrgency)
	slices.SortFunc(suspects, compareUrgency)
	both := min(len(quarantines), len(suspects))
	var out []*Record
	for i := range both {
		out = append(out, quarantines[i], suspects[i])
	}
	return slices.Concat(out, quarantines[both:], suspects[both:])
}

// DurableRecords returns the quarantines, and those lifted of late, by key.
func (b *Tracker) DurableRecords() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Record
	for _, c := range b.cases {
		if c.isDurable() {
			out = append(out, c.copy())
		}
	}
	slices.SortFunc(out, func(x, y Record) int { return slices.Compare(x.Key[:], y.Key[:]) })
	return out
}

// Sample returns at most so many of the cases, in any order: what one message leaves out, others bring.
func Sample(cases []Record, most int) []Record {
	rand.Shuffle(len(cases), func(i, j int) { cases[i], cases[j] = cases[j], cases[i] })
	return cases[:min(len(cases), most)]
}

// Digests are the same, part by part, for two books with the same quarantines. A part holds the fingerprints that
// begin alike: two books that differ little find where.
type Digests [16]uint32

// BucketOf is the part of a digest that a fingerprint belongs to.
func BucketOf(key fingerprint.Key) int { return int(key[0] >> 4) }

// Digests returns the book's.
func (b *Tracker) Digests() Digests {
	var out Digests
	if b.IsEmpty() {
		return out
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.cases {
		if c.isDurable() {
			text := binary.BigEndian.AppendUint32(c.Key[:], c.Round)
			out[BucketOf(c.Key)] ^= uint32(xxhash.Sum64(binary.BigEndian.AppendUint32(text, c.Level)))
		}
	}
	return out
}

// Digest is the same for two books with the same quarantines.
func (b *Tracker) Digest() uint64 {
	var text []byte
	digests := b.Digests()
	if digests == (Digests{}) {
		return 0
	}
	for _, part := range digests {
		text = binary.BigEndian.AppendUint32(text, part)
	}
	return xxhash.Sum64(text)
}
