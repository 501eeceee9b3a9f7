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
	// continuedMargin is the fraction that they use together with the retries that continue
	// an answer: its caller can't be told to come again.
	continuedMargin = 0.85
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

// Retry tells what a retry is for.
type Retry uint8

const (
	// RetryUnanswered is for a request whose caller has nothing of an answer yet.
	RetryUnanswered Retry = iota
	// RetryMove is for a stream whose attempt goes on until the retry has sent an event. It leaves
	// room for the return of the stream.
	RetryMove
	// RetryContinued is for a stream that has begun and that nothing else continues.
	RetryContinued
)

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
func (b *budget) mayRetry(now time.Duration, l RetryLimits, routers int, r Retry) bool {
	if l.Window <= 0 {
		return false
	}
	requests, retries := sumTallies(b.slots[:], now, l.Window/budgetSlots)
	ratio, slack := l.Ratio*float64(requests), 0.0
	if routers > 0 {
		slack = l.Slack / float64(routers)
	}
	usual, continued := ratioMargin*ratio+slackMargin*slack, continuedMargin*(ratio+slack)
	switch r {
	case RetryMove:
		return float64(retries+1) <= usual && float64(retries+2) <= continued
	case RetryContinued:
		return float64(retries+1) <= continued
	default:
		return float64(retries+1) <= usual
	}
}

// takeRetry counts one retry if the budget allows it, and reports whether it does.
func (b *budget) takeRetry(now time.Duration, l RetryLimits, routers int, r Retry) bool {
	if !b.mayRetry(now, l, routers, r) {
		return false
	}
	tallyAt(b.slots[:], now, l.Window/budgetSlots).marked++
	return true
}

// returnRetry takes back a retry that was counted lately.
func (b *budget) returnRetry(now time.Duration, l RetryLimits) {
	if t := tallyAt(b.slots[:], now, l.Window/budgetSlots); t.marked > 0 {
		t.marked--
	}
}
