package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// retryBudget bounds work that is run again, so that retries do not multiply an
// overload.
type retryBudget struct {
	mu   sync.Mutex
	core *admission.Retries
}

func newRetryBudget() *retryBudget { return &retryBudget{core: admission.NewRetries()} }

func (b *retryBudget) succeeded(now time.Duration, w fleet.WorkspaceID, p fleet.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Succeeded(now, w, p)
}

// allow takes one retry out of the budgets of the workspace and the pool.
func (b *retryBudget) allow(now time.Duration, w fleet.WorkspaceID, p fleet.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Allow(now, w, p)
}

// trimInterval spaces the forgetting of budgets that are not used.
const trimInterval = time.Minute

// Run forgets what is not used any more until ctx ends.
func (s *Server) Run(ctx context.Context) {
	fleet.Every(ctx, trimInterval, func(context.Context) { s.retries.trim(s.cfg.Clock()) })
}

func (b *retryBudget) trim(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Trim(now)
}

// retriesSpent is the refusal of a request that would have to run again beyond
// the budget.
func retriesSpent(d answer.Decision) *answer.Refusal {
	return &answer.Refusal{
		Status: http.StatusServiceUnavailable, Outcome: d.Outcome, RetryAfter: time.Second,
		Code: "retries_spent", Message: "the attempt failed and the budget of retries is spent",
	}
}
