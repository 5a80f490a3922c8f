// Package bootclock is a steady clock that goes on while the host is suspended.
// Go's monotonic clock stands still meanwhile: a process that wakes after seconds
// would believe a lease that others have long taken over.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the host started. Only differences mean anything.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Not known to happen on Linux; the monotonic clock is the next best.
		return time.Now()
	}
	return time.Unix(t.Unix())
}
