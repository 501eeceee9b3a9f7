package plan

import "time"

const (
	// quotaStep is the resolution of the sliding minute.
	quotaStep = 2 * time.Second
	// quotaSteps covers a minute and the step in progress.
	quotaSteps = int(time.Minute/quotaStep) + 1
)

// bucket is a token bucket whose level and outstanding credits together never
// exceed the capacity. So lent credits are a part of the burst, wherever they
// are spent, and the rate holds over all borrowers together.
type bucket struct {
	rate        float64 // tokens a second; 0 means no limit
	capacity    float64
	level       float64
	outstanding float64
	at          time.Duration
}

// refill adds what the rate brought since the last call. What doesn't fit
// beside the outstanding credits is lost, as in a full bucket.
func (b *bucket) refill(now time.Duration) {
	b.level += b.rate * (now - b.at).Seconds()
	b.at = now
	b.level = min(b.level, max(b.capacity-b.outstanding, 0))
}

// lend takes up to n whole tokens out of the bucket.
func (b *bucket) lend(now time.Duration, n int64) int64 {
	b.refill(now)
	n = min(n, int64(b.level))
	if n <= 0 {
		return 0
	}
	b.level -= float64(n)
	b.outstanding += float64(n)
	return n
}

// settle ends the loan of n tokens, of which unspent are given back.
func (b *bucket) settle(now time.Duration, n, unspent int64) {
	b.refill(now)
	b.outstanding -= float64(n)
	b.level += float64(unspent)
}

// quota limits use within any minute: a ring of sums over short steps.
type quota struct {
	limit       int64 // tokens in any minute; 0 means no limit
	used        [quotaSteps]int64
	sum         int64
	outstanding int64
	step        int64 // number of the newest step
}

// advance forgets steps that lie wholly before the last minute.
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

// use counts n tokens now.
func (q *quota) use(now time.Duration, n int64) {
	q.advance(now)
	q.used[q.step%int64(quotaSteps)] += n
	q.sum += n
}

// free returns how many tokens may be lent now.
func (q *quota) free(now time.Duration) int64 {
	q.advance(now)
	return max(q.limit-q.sum-q.outstanding, 0)
}

// refund takes back n tokens that were reserved at a past time and counted then
// or later. Taken from a step no newer than the one that counted them, they
// never free more than is used in any minute that is still to come.
func (q *quota) refund(now, at time.Duration, n int64) {
	q.advance(now)
	if slot := q.slot(int(q.step - int64(at/quotaStep))); slot != nil && at >= 0 && n > 0 {
		*slot -= n
		q.sum -= n
	}
}

// take removes n tokens that were counted at a past time.
func (q *quota) take(now, at time.Duration, n int64) {
	q.advance(now)
	if slot := q.slot(int(q.step - int64(at/quotaStep))); slot != nil {
		n = min(n, *slot)
		*slot -= n
		q.sum -= n
	}
}

// move counts n tokens as used age steps ago instead of at the time `at`.
func (q *quota) move(now, at time.Duration, age int, n int64) {
	q.take(now, at, n)
	q.useAt(now, age, n)
}

// slot returns the sum of the step that lies age steps back, or nil.
func (q *quota) slot(age int) *int64 {
	if age < 0 || age >= quotaSteps || q.step < int64(age) {
		return nil
	}
	return &q.used[(q.step-int64(age))%int64(quotaSteps)]
}

// useAt counts n tokens as used the given number of steps ago.
func (q *quota) useAt(now time.Duration, age int, n int64) {
	q.advance(now)
	if age >= quotaSteps || q.step < int64(age) {
		age = 0
	}
	q.used[(q.step-int64(age))%int64(quotaSteps)] += n
	q.sum += n
}

// ages returns the use of the last minute, newest step first.
func (q *quota) ages(now time.Duration) []int64 {
	q.advance(now)
	out := make([]int64, quotaSteps)
	for age := range out {
		if q.step >= int64(age) {
			out[age] = q.used[(q.step-int64(age))%int64(quotaSteps)]
		}
	}
	return out
}

// until estimates how long it takes before n tokens are free.
func (q *quota) until(now time.Duration, n int64) time.Duration {
	q.advance(now)
	missing := n - (q.limit - q.sum - q.outstanding)
	for age := quotaSteps - 1; age >= 0 && q.step >= int64(age); age-- {
		if missing -= q.used[(q.step-int64(age))%int64(quotaSteps)]; missing <= 0 {
			return time.Duration(q.step+int64(quotaSteps-age))*quotaStep - now
		}
	}
	return time.Minute
}
