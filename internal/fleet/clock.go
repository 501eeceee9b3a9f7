package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary origin. It is monotonic, is not affected
// by changes of the system time, and advances while the host is suspended, so that
// leases can rely on it.
type Clock func() time.Duration

// SinceBoot returns the time since the host was booted, including the time that it was
// suspended. Go's own monotonic clock stops while the host is suspended.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("fleet: CLOCK_BOOTTIME: " + err.Error()) // every Linux since 2.6.39 has it
	}
	return time.Duration(t.Nano())
}

// MonotonicClock returns a Clock whose origin is now.
func MonotonicClock() Clock {
	origin := SinceBoot()
	return func() time.Duration { return SinceBoot() - origin }
}
