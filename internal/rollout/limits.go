package rollout

import "time"

// Limits are the operators' bounds of roll-outs. The zero value turns roll-outs off.
type Limits struct {
	// ExposureShare and ExposureSlack bound what a bad version gets of its pool's requests
	// between the order and its deadline, over all routers: ExposureShare of them, and
	// ExposureSlack more.
	ExposureShare float64
	ExposureSlack int
	// Rollback is the time after the 50th bad answer of a version from which on no router sends
	// it anything.
	Rollback time.Duration
	// Repeat is the time after an order's acceptance in which the same order counts as a repeat.
	Repeat time.Duration
}

// Enabled reports whether operators order roll-outs.
func (l Limits) Enabled() bool { return l.Rollback > 0 }
