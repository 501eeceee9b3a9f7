package gateway

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// PlannedStop decides which requests a router that stops still accepts. At the end of the grace
// period it cuts what runs, so a request that it accepts should end before. The rest is
// rejected without having run, and its caller turns to another router.
type PlannedStop struct {
	noticeEnd time.Duration // when the balancer has turned to other routers
	graceEnd  time.Duration // when running requests are cut; 0 for never
}

// newPlannedStop returns the planned stop that begins now and is cut off when ctx ends.
func newPlannedStop(ctx context.Context, now, notice time.Duration) *PlannedStop {
	s := &PlannedStop{noticeEnd: now + notice}
	if deadline, ok := ctx.Deadline(); ok {
		s.graceEnd = now + time.Until(deadline)
	}
	return s
}

// admits reports whether a request that arrives at now, with the given time limit, is accepted. One
// that may not be repeated is accepted only if its time limit ends before the grace period: if
// it were cut, nobody would know whether it has run. Others mostly end long before their limit,
// and the balancer sends them here until the end of the notice; after it few arrive.
func (s *PlannedStop) admits(now, limit time.Duration, kind routes.Kind) bool {
	if s.graceEnd == 0 || limit <= s.graceEnd {
		return true
	}
	return kind != routes.KindOnce && now < s.noticeEnd
}
