package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started. Unlike the clock of package time,
// it counts the time for which the machine is suspended, so that a permission with an end
// does not outlast it on a machine that stood still.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // only for a clock that the kernel does not have
	}
	return time.Duration(now.Nano())
}
