package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary origin. It never goes back, is not
// set by hand and goes on while the machine is suspended, so that leases can be
// counted on it.
type Clock func() time.Duration

// SinceBoot returns the time since the machine was booted, suspensions included.
// Go's own monotonic clock stands still while a machine is suspended.
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
