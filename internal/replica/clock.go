package replica

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// BootTimeClock returns a clock for Options.Clock that, unlike the monotonic clock,
// includes the time for which the host was suspended, so that a lease does not
// outlast a suspension. It returns an error if the system has no such clock.
func BootTimeClock() (func() time.Duration, error) {
	start, err := bootTime()
	if err != nil {
		return nil, err
	}
	return func() time.Duration {
		now, err := bootTime()
		if err != nil {
			// Not expected, because reading the clock succeeded above.
			panic(err)
		}
		return now - start
	}, nil
}

func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, fmt.Errorf("replica: read CLOCK_BOOTTIME: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}
