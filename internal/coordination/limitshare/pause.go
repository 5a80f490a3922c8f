package limitshare

import "time"

// maxTickGap is the longest time between two decisions of a process that runs. A process without a
// whole processor may be late by two steps.
const maxTickGap = 3 * stepInterval

// pauseWatch notices that this process was paused. Loans that arrived meanwhile wait in its socket and
// look like new ones when it reads them, while the holder has long lent their part to others.
type pauseWatch struct {
	tickedAt, resumedAt time.Time
}

// tick records that the process runs.
func (w *pauseWatch) tick(now time.Time) {
	if now.Sub(w.tickedAt) > maxTickGap {
		w.resumedAt = now
	}
	w.tickedAt = now
}

// canBeLate reports whether a message that is read now may have waited for the process: it has not
// ticked since a pause, or has only just done so and may still be reading.
func (w *pauseWatch) canBeLate(now time.Time) bool {
	return now.Sub(w.tickedAt) > maxTickGap || now.Sub(w.resumedAt) < stepInterval
}
