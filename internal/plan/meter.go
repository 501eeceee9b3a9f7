package plan

import "time"

const (
	// quotaStep is the resolution of the sliding minute.
	quotaStep = 2 * time.Second
	// quotaSteps is the number of steps in a minute plus the current one.
	quotaSteps = int(time.Minute/quotaStep) + 1
)

// bucket is a token bucket whose level and outstanding credits together never exceed
// the capacity. Granted credits are thus part of the burst, wherever they are spent,
// and the rate holds over all borrowers together.
type bucket struct {
	rate        float64 // tokens per second; 0 means no limit
	capacity    float64
	level       float64 // tokens available to grant
	outstanding float64 // tokens granted and neither spent nor returned
	updated     time.Duration
}

// refill adds the tokens accumulated since the last call. Those that exceed the
// capacity, including the outstanding credits, are lost as in any full bucket.
func (b *bucket) refill(now time.Duration) {
	b.level += b.rate * (now - b.updated).Seconds()
	b.updated = now
	b.level = min(b.level, max(b.capacity-b.outstanding, 0))
}

// takeTokens moves up to n whole tokens from the level to the outstanding credits and
// returns their number.
func (b *bucket) takeTokens(now time.Duration, n int64) int64 {
	b.refill(now)
	n = min(n, int64(b.level))
	if n <= 0 {
		return 0
	}
	b.level -= float64(n)
	b.outstanding += float64(n)
	return n
}

// settleCredits removes n tokens from the outstanding credits and returns the unspent ones
// among them to the level.
func (b *bucket) settleCredits(now time.Duration, n, unspent int64) {
	b.refill(now)
	b.outstanding -= float64(n)
	b.level += float64(unspent)
}

// quota limits the tokens used within any minute, with a ring of sums over steps of
// quotaStep.
type quota struct {
	limit       int64 // tokens in any minute; 0 means no limit
	used        [quotaSteps]int64
	sum         int64
	outstanding int64 // granted and neither reported as spent nor returned
	step        int64 // number of the newest step
}

// advance clears the steps that lie entirely before the last minute.
func (q *quota) advance(now time.Duration) {
	step := int64(now / quotaStep)
	for q.step < step {
		if step-q.step > int64(quotaSteps) {
			q.step = step - int64(quotaSteps)
		}
		q.step++
		slot := &q.used[q.step%int64(quotaSteps)]
		q.sum -= *slot
		*slot = 0
	}
}

// recordUse counts n tokens now.
func (q *quota) recordUse(now time.Duration, n int64) {
	q.advance(now)
	q.used[q.step%int64(quotaSteps)] += n
	q.sum += n
}

// free returns the number of tokens that may be granted now.
func (q *quota) free(now time.Duration) int64 {
	q.advance(now)
	return max(q.limit-q.sum-q.outstanding, 0)
}

// refund removes n tokens that were reserved at a past time and counted then or later.
// Since it removes them from a step no newer than the one that counted them, it never
// frees more than is unused in any coming minute.
func (q *quota) refund(now, at time.Duration, n int64) {
	q.advance(now)
	if slot := q.stepSum(int(q.step - int64(at/quotaStep))); slot != nil && at >= 0 && n > 0 {
		*slot -= n
		q.sum -= n
	}
}

// subtract removes up to n tokens that were counted at a past time.
func (q *quota) subtract(now, at time.Duration, n int64) {
	q.advance(now)
	if slot := q.stepSum(int(q.step - int64(at/quotaStep))); slot != nil {
		n = min(n, *slot)
		*slot -= n
		q.sum -= n
	}
}

// moveUse counts n tokens as used age steps ago instead of at the time at.
func (q *quota) moveUse(now, at time.Duration, age int, n int64) {
	q.subtract(now, at, n)
	q.recordPastUse(now, age, n)
}

// stepSum returns the sum of the step that lies age steps back, or nil.
func (q *quota) stepSum(age int) *int64 {
	if age < 0 || age >= quotaSteps || q.step < int64(age) {
		return nil
	}
	return &q.used[(q.step-int64(age))%int64(quotaSteps)]
}

// recordPastUse counts tokens as used the given number of steps ago.
func (q *quota) recordPastUse(now time.Duration, stepsAgo int, tokens int64) {
	q.advance(now)
	if stepsAgo >= quotaSteps || q.step < int64(stepsAgo) {
		stepsAgo = 0
	}
	q.used[(q.step-int64(stepsAgo))%int64(quotaSteps)] += tokens
	q.sum += tokens
}

// useByAge returns the use of the last minute by step, newest first.
func (q *quota) useByAge(now time.Duration) []int64 {
	q.advance(now)
	out := make([]int64, quotaSteps)
	for age := range out {
		if q.step >= int64(age) {
			out[age] = q.used[(q.step-int64(age))%int64(quotaSteps)]
		}
	}
	return out
}

// timeUntilFree estimates the time until n tokens are free, at most a minute.
func (q *quota) timeUntilFree(now time.Duration, n int64) time.Duration {
	q.advance(now)
	missing := n - (q.limit - q.sum - q.outstanding)
	for age := quotaSteps - 1; age >= 0 && q.step >= int64(age); age-- {
		if missing -= q.used[(q.step-int64(age))%int64(quotaSteps)]; missing <= 0 {
			return time.Duration(q.step+int64(quotaSteps-age))*quotaStep - now
		}
	}
	return time.Minute
}
