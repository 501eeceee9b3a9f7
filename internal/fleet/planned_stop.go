package fleet

import (
	"context"
	"time"
)

// PlannedStop decides which requests a router that stops still accepts. At the end of the grace
// period it cuts what runs, so a request that it accepts should end before. The rest is
// rejected without having run, and its caller turns to another router.
type PlannedStop struct {
	NoticeEnd time.Duration // when the balancer has turned to other routers
	GraceEnd  time.Duration // when running requests are cut; 0 for never
}

// answerMargin is the time before the end of the grace period in which a router answers the
// requests that have not ended.
const answerMargin = 250 * time.Millisecond

// NewPlannedStop returns the planned stop that begins now and is cut off when ctx ends.
func NewPlannedStop(ctx context.Context, now, notice time.Duration) *PlannedStop {
	s := &PlannedStop{NoticeEnd: now + notice}
	if deadline, ok := ctx.Deadline(); ok {
		s.GraceEnd = now + time.Until(deadline)
	}
	return s
}

// Admits reports whether a request that arrives at now, with the given time limit, is accepted. One
// that may run only once is accepted only if its time limit ends before the grace period: if
// it were cut, nobody would know whether it has run. Others mostly end long before their limit,
// and the balancer sends them here until the end of the notice; after it few arrive.
func (s *PlannedStop) Admits(now, limit time.Duration, once bool) bool {
	if s.GraceEnd == 0 || limit <= s.GraceEnd {
		return true
	}
	return !once && now < s.NoticeEnd
}

// Cap returns the time limit, or the time at which a request is to be answered that has not ended
// by then, if that is earlier. A nil stop sets no limit.
func (s *PlannedStop) Cap(limit time.Duration) time.Duration {
	if s == nil || s.GraceEnd == 0 {
		return limit
	}
	return min(limit, s.GraceEnd-answerMargin)
}

// NoticeOver reports whether the balancer has turned to other routers. A nil stop has not begun.
func (s *PlannedStop) NoticeOver(now time.Duration) bool { return s != nil && now >= s.NoticeEnd }
