package dogsidecar

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since the machine was booted, including the time in which the
// process or the machine was suspended, which the monotonic clock of the runtime leaves
// out. It is not affected by steps of the wall clock.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without this clock, keys would be trusted for too long after a suspension.
		panic(fmt.Sprintf("dogsidecar: read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
