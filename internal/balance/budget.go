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
	// returnMargin is the fraction that they use together with the retries reserved for
	// the returns of moved requests.
	returnMargin = 0.85
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
	slots    [budgetSlots + 1]tally
	reserved int // retries that requests may still take by takeReserved
}

// countRequest counts one request to the pool.
func (b *budget) countRequest(now time.Duration, l RetryLimits) {
	if l.Window > 0 {
		tallyAt(b.slots[:], now, l.Window/budgetSlots).all++
	}
}

// mayRetry reports whether the budget allows one more retry and the reservation of some. The slack
// is divided by the number of routers; it isn't used while that is unknown (0).
func (b *budget) mayRetry(now time.Duration, l RetryLimits, routers, reserve int) bool {
	if l.Window <= 0 {
		return false
	}
	retries, ratio, slack := b.sums(now, l, routers)
	return float64(retries+1) <= ratioMargin*ratio+slackMargin*slack &&
		float64(retries+1+b.reserved+reserve) <= returnMargin*(ratio+slack)
}

// sums returns the retries of the window that ends now, and the retries that the operators' ratio and
// this router's share of their slack allow in it.
func (b *budget) sums(now time.Duration, l RetryLimits, routers int) (retries int, ratio, slack float64) {
	requests, retries := sumTallies(b.slots[:], now, l.Window/budgetSlots)
	if routers > 0 {
		slack = l.Slack / float64(routers)
	}
	return retries, l.Ratio * float64(requests), slack
}

// takeRetry counts one retry and reserves some if the budget allows it, and reports whether it
// does.
func (b *budget) takeRetry(now time.Duration, l RetryLimits, routers, reserve int) bool {
	if !b.mayRetry(now, l, routers, reserve) {
		return false
	}
	tallyAt(b.slots[:], now, l.Window/budgetSlots).marked++
	b.reserved += reserve
	return true
}

// mayTakeReserved reports whether the budget covers a retry that was reserved: it doesn't while it has
// shrunk below it since, because fewer requests have come.
func (b *budget) mayTakeReserved(now time.Duration, l RetryLimits, routers int) bool {
	retries, ratio, slack := b.sums(now, l, routers)
	return float64(retries+1) <= returnMargin*(ratio+slack)
}

// takeReserved counts a retry that was reserved if the budget covers it, and reports whether it does.
func (b *budget) takeReserved(now time.Duration, l RetryLimits, routers int) bool {
	if !b.mayTakeReserved(now, l, routers) {
		return false
	}
	b.reserved--
	tallyAt(b.slots[:], now, l.Window/budgetSlots).marked++
	return true
}
