package fleet

import "time"

// MaxDuration bounds durations that come from outside. Sums of several of them, or of one and
// a clock's reading, don't overflow.
const MaxDuration = 365 * 24 * time.Hour

// BoundedDuration returns value units as a duration between -limit and limit, and reports
// whether it had to be changed for that: a larger magnitude becomes the limit, NaN becomes 0.
// The result is the same on all architectures, unlike that of a plain conversion.
func BoundedDuration(value float64, unit, limit time.Duration) (d time.Duration, changed bool) {
	switch ns := value * float64(unit); {
	case ns != ns:
		return 0, true
	case ns > float64(limit):
		return limit, true
	case ns < -float64(limit):
		return -limit, true
	default:
		return time.Duration(ns), false
	}
}
