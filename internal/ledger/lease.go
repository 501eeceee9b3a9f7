package ledger

import "time"

// Lease is a process' right to open work, on its monotonic clock.
type Lease struct {
	// Tenure numbers the times without interruption in which the process held a
	// lease. Within one tenure control can't have declared the process gone.
	Tenure uint64
	// Until is when the lease ends.
	Until time.Duration
}

// LeaseTracker numbers a process' tenures. The zero value holds no lease.
type LeaseTracker struct{ lease Lease }

// Renewed takes a lease that ends at until. now must be read after the grant was
// received: a grant that comes after the former lease ended starts a new tenure,
// since control may have declared the process gone in between.
func (t *LeaseTracker) Renewed(now, until time.Duration) Lease {
	if now >= t.lease.Until {
		t.lease.Tenure++
	}
	t.lease.Until = max(t.lease.Until, until)
	return t.lease
}

// Lease returns the lease as last renewed.
func (t *LeaseTracker) Lease() Lease { return t.lease }
