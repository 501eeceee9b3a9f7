package fleet

import "time"

// Clock returns the time since an arbitrary origin. It never goes back and is
// not set by hand, so that leases can be counted on it.
type Clock func() time.Duration

// MonotonicClock returns a Clock whose origin is now.
func MonotonicClock() Clock {
	origin := time.Now()
	return func() time.Duration { return time.Since(origin) }
}
