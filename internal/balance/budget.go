package balance

import "time"

const (
	// budgetSlots is the number of slots that the window of a budget is divided into.
	budgetSlots = 10
	// ratioMargin and slackMargin are the fractions of the operators' retry budget that
	// routers use. The margin covers sliding windows and requests that arrive later than
	// they are counted.
	ratioMargin = 0.7
	slackMargin = 0.7
)

// RetryLimits bounds the retries at a pool, over all routers.
type RetryLimits struct {
	// Ratio is the most retries per request, in any Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of retries per window allowed on top of the ratio, shared
	// by all routers.
	Slack float64
}

// budget counts the requests for one pool at this router. The marked ones are retries.
type budget struct {
	slots [budgetSlots + 1]tally
}

// countRequest counts one request to the pool.
func (b *budget) countRequest(now time.Duration, l RetryLimits) {
	if l.Window > 0 {
		tallyAt(b.slots[:], now, l.Window/budgetSlots).all++
	}
}

// mayRetry reports whether the budget allows one more retry. The slack is divided by the number
// of routers; it isn't used while that is unknown (0).
func (b *budget) mayRetry(now time.Duration, l RetryLimits, routers int) bool {
	if l.Window <= 0 {
		return false
	}
	requests, retries := sumTallies(b.slots[:], now, l.Window/budgetSlots)
	allowed := ratioMargin * l.Ratio * float64(requests)
	if routers > 0 {
		allowed += slackMargin * l.Slack / float64(routers)
	}
	return float64(retries+1) <= allowed
}

// takeRetry counts one retry if the budget allows it, and reports whether it does.
func (b *budget) takeRetry(now time.Duration, l RetryLimits, routers int) bool {
	if !b.mayRetry(now, l, routers) {
		return false
	}
	tallyAt(b.slots[:], now, l.Window/budgetSlots).marked++
	return true
}
