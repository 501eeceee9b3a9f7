package ledger

import "time"

// Lease allows a process to start work until an instant of its monotonic clock.
type Lease struct {
	// Tenure is the number of the current period in which the process has held a
	// lease without interruption. Control can't have removed the process within one
	// tenure.
	Tenure uint64
	// Until is when the lease ends.
	Until time.Duration
}

// LeaseTracker records the lease of a process and gives each tenure, a period in which the
// process holds a lease without a gap, a new number. The zero value has no lease.
type LeaseTracker struct{ lease Lease }

// RecordGrant records a grant that ends at until and returns the lease. now must be read
// after the grant was received: a grant that arrives after the previous lease ended
// starts a new tenure, because control may have removed the process in between.
func (t *LeaseTracker) RecordGrant(now, until time.Duration) Lease {
	if now >= t.lease.Until {
		t.lease.Tenure++
	}
	t.lease.Until = max(t.lease.Until, until)
	return t.lease
}

// Lease returns the lease by the grants recorded so far.
func (t *LeaseTracker) Lease() Lease { return t.lease }
