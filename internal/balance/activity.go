package balance

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Activity counts the requests of one or more routers at an upstream: those in flight and
// the recent outcomes.
type Activity struct {
	Running int
	// Ended counts the requests that ended within the last outcomeWindow with a known
	// outcome, and Failed those of them that the upstream failed.
	Ended, Failed int
}

// Activities maps upstreams to their activity.
type Activities = map[fleet.UpstreamID]Activity

// Plus returns the sum of two activities.
func (a Activity) Plus(b Activity) Activity {
	return Activity{a.Running + b.Running, a.Ended + b.Ended, a.Failed + b.Failed}
}

// Minus returns the difference of two activities, with each field at least 0.
func (a Activity) Minus(b Activity) Activity {
	return Activity{max(a.Running-b.Running, 0), max(a.Ended-b.Ended, 0), max(a.Failed-b.Failed, 0)}
}

const (
	// outcomeWindow is how long an outcome counts. An avoided upstream produces no new
	// failures to count, and partial (grey) failures last for some seconds.
	outcomeWindow = 8 * time.Second
	// outcomeWindowSlots is the number of slots that the window is divided into.
	outcomeWindowSlots = 8
	// minEnded is the least number of outcomes from which a failure rate is estimated.
	minEnded = 4
	// rateAge is how long an estimated failure rate is reused: half the interval of
	// reports.
	rateAge = 200 * time.Millisecond
	// failureCost is the cost in milliseconds of a failure for a request that may not be
	// repeated: more than any wait that its caller accepts. repeatCost is that for a
	// request which can be retried at another upstream, at worst after the first has
	// stalled.
	failureCost = 1500.0
	repeatCost  = 150.0
)

// outcomes counts the requests at one upstream that ended within outcomeWindow. The marked
// ones are those that failed.
type outcomes struct {
	slots [outcomeWindowSlots]tally
}

// record counts the outcome of one request.
func (o *outcomes) record(now time.Duration, failed bool) {
	t := tallyAt(o.slots[:], now, outcomeWindow/outcomeWindowSlots)
	t.all++
	if failed {
		t.marked++
	}
}

// sum returns the number of outcomes, and of failures among them, within outcomeWindow.
func (o *outcomes) sum(now time.Duration) (ended, failed int) {
	return sumTallies(o.slots[:], now, outcomeWindow/outcomeWindowSlots)
}

// activity returns this router's activity at the upstream.
func (s *upstreamState) activity(now time.Duration) Activity {
	ended, failed := s.outcomes.sum(now)
	return Activity{s.running, ended, failed}
}

// recentOthers returns the other routers' activity at the upstream, or none if their last
// report is older than reportAge.
func (s *upstreamState) recentOthers(now time.Duration) Activity {
	if s.reported && now-s.reportedAt < reportAge {
		return s.others
	}
	return Activity{}
}

// failureRate estimates the fraction of requests that the upstream fails, from the outcomes
// at all routers. It is 0 for fewer than minEnded outcomes. The estimate is reused for
// rateAge.
func (s *upstreamState) failureRate(now time.Duration) float64 {
	if now >= s.rateUntil {
		s.rate, s.rateUntil = s.computeFailureRate(now), now+rateAge
	}
	return s.rate
}

// computeFailureRate computes the estimate of failureRate.
func (s *upstreamState) computeFailureRate(now time.Duration) float64 {
	a := s.activity(now).Plus(s.recentOthers(now))
	if a.Ended < minEnded {
		return 0
	}
	return float64(a.Failed) / float64(a.Ended)
}

// meanFailureRate returns the mean failure rate of several upstreams. If all fail at the
// same rate, for instance because callers ask for what doesn't exist, none is avoided.
func meanFailureRate(now time.Duration, states []*upstreamState) float64 {
	total := 0.0
	for _, s := range states {
		total += s.failureRate(now)
	}
	return total / float64(len(states))
}
