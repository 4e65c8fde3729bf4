package replica

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// BootTimeClock returns a clock for Options that counts the time for which the host
// was suspended, so that a lease does not outlive a suspension.
func BootTimeClock() (func() time.Duration, error) {
	start, err := bootTime()
	if err != nil {
		return nil, err
	}
	return func() time.Duration {
		now, err := bootTime()
		if err != nil {
			// The clock was read before; it does not vanish.
			panic(err)
		}
		return now - start
	}, nil
}

func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, fmt.Errorf("replica: read the boot-time clock: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}
