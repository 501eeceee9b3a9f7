package admission

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// retryShare is the part of the successes that may be retried.
	retryShare = 0.1
	// retryBurst is how many retries a budget saves up.
	retryBurst = 10
	// retryTrickle is the number of retries a second that a budget allows without
	// any success, so that a pool which recovers is noticed.
	retryTrickle = 0.2
	// budgetIdle is how long an unused budget is kept.
	budgetIdle = 10 * time.Minute
	// backoffBase and backoffMax bound the wait before a retry.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 5 * time.Second
)

// budget is a token bucket that successes fill.
type budget struct {
	tokens float64
	at     time.Duration
}

func (b *budget) add(now time.Duration, n float64) {
	b.tokens = min(b.tokens+n+retryTrickle*(now-b.at).Seconds(), retryBurst)
	b.at = now
}

// Retries bounds the retries and hedges of one router, by workspace and by pool:
// both budgets must allow one. So retries add at most a tenth to the load of
// what succeeds, and the trouble of one workspace leaves the budgets of others
// alone. It is not safe for concurrent use.
type Retries struct {
	workspaces map[fleet.WorkspaceID]*budget
	pools      map[fleet.PoolID]*budget
}

// NewRetries returns full budgets for every workspace and pool.
func NewRetries() *Retries {
	return &Retries{workspaces: map[fleet.WorkspaceID]*budget{}, pools: map[fleet.PoolID]*budget{}}
}

// Succeeded counts one request that was answered.
func (r *Retries) Succeeded(now time.Duration, w fleet.WorkspaceID, p fleet.PoolID) {
	budgetOf(r.workspaces, now, w).add(now, retryShare)
	budgetOf(r.pools, now, p).add(now, retryShare)
}

// Allow tells whether one retry or hedge may go out now, and counts it if so.
func (r *Retries) Allow(now time.Duration, w fleet.WorkspaceID, p fleet.PoolID) bool {
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

// Trim forgets budgets that were not used for long. They are full by then.
func (r *Retries) Trim(now time.Duration) {
	for id, b := range r.workspaces {
		if now-b.at > budgetIdle {
			delete(r.workspaces, id)
		}
	}
}

func budgetOf[ID comparable](budgets map[ID]*budget, now time.Duration, id ID) *budget {
	b := budgets[id]
	if b == nil {
		b = &budget{retryBurst, now}
		budgets[id] = b
	}
	return b
}

// Random gives numbers in [0, 1), as math/rand/v2's Rand does.
type Random interface {
	Float64() float64
}

// Backoff returns the wait before the given retry, counted from 1: exponential,
// with the whole range as jitter (Brooker, 2015).
func Backoff(retry int, random Random) time.Duration {
	most := backoffMax
	if shift := max(retry-1, 0); shift < 16 {
		most = min(backoffBase<<shift, backoffMax)
	}
	return time.Duration(random.Float64() * float64(most))
}
