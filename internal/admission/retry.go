package admission

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// retryShare is the number of retries that each success adds to a budget.
	retryShare = 0.1
	// retryBurst is the most retries that a budget accumulates.
	retryBurst = 10
	// retriesPerSecond is the rate that a budget allows without any success, so that
	// the recovery of a pool is detected.
	retriesPerSecond = 0.2
	// budgetIdleTime is how long an unused budget is kept.
	budgetIdleTime = 10 * time.Minute
	// backoffBase and backoffMax bound the wait before a retry.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 5 * time.Second
)

// budget is a token bucket of retries, filled by successes and by time.
type budget struct {
	tokens  float64
	updated time.Duration
}

// add adds n tokens and those that have accumulated since the last call.
func (b *budget) add(now time.Duration, n float64) {
	b.tokens = min(b.tokens+n+retriesPerSecond*(now-b.updated).Seconds(), retryBurst)
	b.updated = now
}

// RetryBudgets limits the retries and hedges of one router by workspace and by pool; a
// retry or hedge takes one token from each of the two budgets. Beyond retryBurst and
// retriesPerSecond, retries thus add at most a tenth to the load of the successful
// requests, and failures in one workspace don't use up the budgets of others. It is not safe for concurrent use.
type RetryBudgets struct {
	workspaces map[fleet.WorkspaceID]*budget
	pools      map[fleet.PoolID]*budget
}

// NewRetryBudgets returns RetryBudgets in which the budget of every workspace and pool
// starts full.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{workspaces: map[fleet.WorkspaceID]*budget{}, pools: map[fleet.PoolID]*budget{}}
}

// RecordSuccess records one successful request, which adds to both budgets.
func (r *RetryBudgets) RecordSuccess(now time.Duration, w fleet.WorkspaceID, p fleet.PoolID) {
	budgetOf(r.workspaces, now, w).add(now, retryShare)
	budgetOf(r.pools, now, p).add(now, retryShare)
}

// Allow reports whether one retry or hedge may be sent now, and charges both budgets
// if so.
func (r *RetryBudgets) Allow(now time.Duration, w fleet.WorkspaceID, p fleet.PoolID) bool {
	bw, bp := budgetOf(r.workspaces, now, w), budgetOf(r.pools, now, p)
	bw.add(now, 0)
	bp.add(now, 0)
	if bw.tokens < 1 || bp.tokens < 1 {
		return false
	}
	bw.tokens--
	bp.tokens--
	return true
}

// DeleteIdle deletes workspace budgets unused for budgetIdleTime; they have refilled
// by then.
func (r *RetryBudgets) DeleteIdle(now time.Duration) {
	for id, b := range r.workspaces {
		if now-b.updated > budgetIdleTime {
			delete(r.workspaces, id)
		}
	}
}

// budgetOf returns the budget with the given ID, which it adds with retryBurst tokens if it
// is new.
func budgetOf[ID comparable](budgets map[ID]*budget, now time.Duration, id ID) *budget {
	b := budgets[id]
	if b == nil {
		b = &budget{retryBurst, now}
		budgets[id] = b
	}
	return b
}

// Random returns random numbers in [0, 1), as the Rand of math/rand/v2 does.
type Random interface {
	Float64() float64
}

// Backoff returns the wait before the given retry, counted from 1: exponential with
// full jitter (Brooker, 2015).
func Backoff(retry int, random Random) time.Duration {
	most := backoffMax
	if shift := max(retry-1, 0); shift < 16 {
		most = min(backoffBase<<shift, backoffMax)
	}
	return time.Duration(random.Float64() * float64(most))
}
