package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// ThreadTime returns the processor time that the calling thread has used. A goroutine
// that compares two values must be locked to its thread meanwhile.
func ThreadTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // elapsed time is at least as long
	}
	return time.Duration(ts.Nano())
}
