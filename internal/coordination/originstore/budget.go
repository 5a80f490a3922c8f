package originstore

import "time"

// budget counts the bytes on the wire that a process may write. Each small write is charged twice: the second time for the next
// large one, whose cost is thus spread over the writes before it.
type budget struct {
	// bytes is what may be written at once, below zero while the next write must wait.
	bytes float64
	// saved is what small writes were charged for the next large one.
	saved float64
	// lastWrite is when the last write began, at when bytes was counted.
	lastWrite, at time.Time
}

func newBudget(now time.Time) budget { return budget{bytes: writeBurst, at: now} }

// paysForLarge reports whether the large object is to be written anew, with all streams that are open, rather than the small one
// with the recent: once small writes cost as much.
func (b *budget) paysForLarge(recent, open int) bool {
	return b.saved+keysOnWire(recent) >= keysOnWire(open)
}

// charge counts a write of size bytes that began at a time and ended now, the first one of so many streams. It returns the time
// of the next write.
func (b *budget) charge(began, now time.Time, size, streams int, isLarge bool, interval time.Duration) time.Time {
	b.bytes = min(writeBurst, b.bytes+writeBytes*now.Sub(b.at).Seconds())
	b.at = now
	cost := wireFactor * float64(size)
	if isLarge {
		cost, b.saved = cost-b.saved, 0
	} else {
		b.saved += cost
		cost *= 2
	}
	// Streams are expected to begin as often as since the last write.
	rate := float64(writeBytes)
	if !b.lastWrite.IsZero() {
		rate += streamBytes * float64(streams) / max(began.Sub(b.lastWrite), minInterval).Seconds()
	}
	b.bytes = min(writeBurst, b.bytes+streamBytes*float64(streams)-cost)
	b.bytes = max(b.bytes, -rate*maxWait.Seconds())
	b.lastWrite = began
	next := began.Add(interval)
	if wait := now.Add(time.Duration(-b.bytes / rate * float64(time.Second))); wait.After(next) {
		return wait
	}
	return next
}

// keysOnWire is the size on the wire of the keys of so many streams.
func keysOnWire(streams int) float64 {
	const base64Factor = 4.0 / 3
	return wireFactor * base64Factor * keyBytes * float64(streams)
}
