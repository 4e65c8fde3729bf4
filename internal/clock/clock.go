// Package clock reads a monotonic clock that, unlike the one of package time, also advances
// while the host is suspended. Ages and permissions that end by themselves are measured on
// it, so that none outlasts a suspension.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns a clock that starts at 0. It returns an error if the system has no such
// clock.
func BootTime() (func() time.Duration, error) {
	start, err := read()
	if err != nil {
		return nil, err
	}
	return func() time.Duration { return SinceBoot() - start }, nil
}

// SinceBoot returns the time since the host started, which has no meaning on other hosts.
// The system must have the clock, see BootTime.
func SinceBoot() time.Duration {
	now, err := read()
	if err != nil {
		panic(err)
	}
	return now
}

func read() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, fmt.Errorf("clock: read CLOCK_BOOTTIME: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}
