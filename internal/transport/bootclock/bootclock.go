// Package bootclock provides a monotonic clock that also advances while the host
// is suspended. Go's monotonic clock stops during a suspension: a process that
// resumes after some seconds would still consider itself the holder of a lease
// that another process has since taken over.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted as a time.Time. Only the difference
// between two results is meaningful.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Not known to happen on Linux. Go's monotonic clock is the closest substitute.
		return time.Now()
	}
	return time.Unix(t.Unix())
}
