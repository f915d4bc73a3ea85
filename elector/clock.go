package elector

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the machine booted (CLOCK_BOOTTIME). Unlike
// the monotonic clock of package time, it keeps counting while the machine is
// suspended.
func BootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // fallback for kernels without CLOCK_BOOTTIME
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
