package elector

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock reads the time since the machine's start. Unlike the clock of
// package time it goes on while the machine is suspended.
func BootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // only on kernels without that clock
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
